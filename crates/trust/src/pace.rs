//! How long a peer may take. A connection costs the service memory and a descriptor from its first byte, and whoever
//! sends one byte a second would hold it for good: so each stage has its end, and a message once begun has to come
//! at a least rate. Silence between messages is the machines' affair, not this one's.

use crate::{TICKS_PER_SECOND, Ticks};

/// For the TLS handshake: some round trips, on a machine that a thousand others ask at the same time.
pub const HANDSHAKE: Ticks = 10 * TICKS_PER_SECOND;
/// From there to the whole first word, which is a name and a number.
pub const FIRST_WORD: Ticks = 5 * TICKS_PER_SECOND;
/// A message once begun may take this long, and longer only as far as it has come at the least rate.
pub const MESSAGE: Ticks = 10 * TICKS_PER_SECOND;
/// Bytes a second: a thin link's hundredth part. A content of the greatest length takes nine minutes at it.
pub const LEAST_RATE: u64 = 64 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Handshake,
    FirstWord,
    /// Between messages.
    Idle,
    Message {
        begun: Ticks,
        bytes: u64,
    },
}

/// One direction of one connection.
#[derive(Clone, Debug)]
pub struct Pace {
    stage: Stage,
    since: Ticks,
}

impl Pace {
    pub fn begin(now: Ticks) -> Pace {
        Pace { stage: Stage::Handshake, since: now }
    }

    /// The handshake is done. `speaks_first`: a word is owed at once.
    pub fn shook_hands(&mut self, now: Ticks, speaks_first: bool) {
        self.stage = if speaks_first { Stage::FirstWord } else { Stage::Idle };
        self.since = now;
    }

    /// Bytes of a message have come, or gone; `done`: it is whole with them.
    pub fn moved(&mut self, now: Ticks, count: u64, done: bool) {
        self.stage = match self.stage {
            _ if done => Stage::Idle,
            // The first word is one message like any other, but is not given more time for being long.
            Stage::FirstWord => Stage::FirstWord,
            Stage::Message { begun, bytes } => Stage::Message { begun, bytes: bytes + count },
            Stage::Handshake | Stage::Idle => Stage::Message { begun: now, bytes: count },
        };
    }

    /// When it has taken too long, if nothing more comes; none while nothing is owed.
    pub fn until(&self) -> Option<Ticks> {
        match self.stage {
            Stage::Handshake => Some(self.since + HANDSHAKE),
            Stage::FirstWord => Some(self.since + FIRST_WORD),
            Stage::Idle => None,
            Stage::Message { begun, bytes } => {
                Some(begun + MESSAGE + bytes.saturating_mul(TICKS_PER_SECOND) / LEAST_RATE)
            }
        }
    }

    pub fn late(&self, now: Ticks) -> bool {
        self.until().is_some_and(|at| now >= at)
    }
}
