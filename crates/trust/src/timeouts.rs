//! How long a peer may take. A connection costs the service memory and a file descriptor from its first byte, and a peer
//! that sends one byte per second would hold it for ever. So each stage has a timeout, and a message, once started, has
//! to arrive at a minimum rate. How long a peer may be silent between messages is decided elsewhere.

use crate::{TICKS_PER_SECOND, Ticks};

/// For the TLS handshake: some round trips, with a machine that serves a thousand others at the same time.
pub const HANDSHAKE: Ticks = 10 * TICKS_PER_SECOND;
/// From the handshake to the end of the first message, which is a name and a number.
pub const FIRST_MESSAGE: Ticks = 5 * TICKS_PER_SECOND;
/// From the start of a message to its end. It is extended by the time that the bytes transferred so far take at the
/// minimum rate.
pub const MESSAGE: Ticks = 10 * TICKS_PER_SECOND;
/// A hundredth of the capacity of a slow link. The longest configuration takes nine minutes at this rate.
pub const MIN_BYTES_PER_SECOND: u64 = 64 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Handshake,
    FirstMessage,
    /// Between messages.
    Idle,
    Message {
        started_at: Ticks,
        bytes: u64,
    },
}

/// The timeout of one direction of a connection.
#[derive(Clone, Debug)]
pub struct PeerTimeout {
    stage: Stage,
    since: Ticks,
}

impl PeerTimeout {
    pub fn new(now: Ticks) -> PeerTimeout {
        PeerTimeout { stage: Stage::Handshake, since: now }
    }

    /// The handshake is done. `expects_message`: the first message has to follow at once.
    pub fn handshake_done(&mut self, now: Ticks, expects_message: bool) {
        self.stage = if expects_message { Stage::FirstMessage } else { Stage::Idle };
        self.since = now;
    }

    /// Bytes of a message were received, or sent. `complete`: the message ends with them.
    pub fn transferred(&mut self, now: Ticks, count: u64, complete: bool) {
        self.stage = match self.stage {
            _ if complete => Stage::Idle,
            // The first message gets no more time for being long.
            Stage::FirstMessage => Stage::FirstMessage,
            Stage::Message { started_at, bytes } => Stage::Message { started_at, bytes: bytes + count },
            Stage::Handshake | Stage::Idle => Stage::Message { started_at: now, bytes: count },
        };
    }

    /// When the peer has taken too long, if no more bytes are transferred; none between messages.
    pub fn deadline(&self) -> Option<Ticks> {
        match self.stage {
            Stage::Handshake => Some(self.since + HANDSHAKE),
            Stage::FirstMessage => Some(self.since + FIRST_MESSAGE),
            Stage::Idle => None,
            Stage::Message { started_at, bytes } => {
                Some(started_at + MESSAGE + bytes.saturating_mul(TICKS_PER_SECOND) / MIN_BYTES_PER_SECOND)
            }
        }
    }

    pub fn is_expired(&self, now: Ticks) -> bool {
        self.deadline().is_some_and(|at| now >= at)
    }
}
