//! The state of the connection to the control feed. No I/O.

use doorgrade::Ticks;

use crate::conn::ConnId;
use crate::feed::{Event, Frames, Malformed, Names};
use crate::ring::Ring;
use crate::stamps::Told;

/// The connection to the feed.
pub struct Feed {
    pub conn: Option<ConnId>,
    pub up: bool,
    /// The last event that was taken.
    pub number: u64,
    pub heard: Ticks,
    /// It has told all that was missed since the last connection.
    caught_up: bool,
    /// Until then it is known what has happened.
    known_until: Ticks,
    frames: Frames,
    delay: Ticks,
}

impl Feed {
    /// An empty frame is due each second; after as long again and a half, the connection is taken for lost.
    pub const SILENCE: Ticks = 25_000;
    /// A connection that ends at once is not made again at once: from 0.1 s, doubling up to 1 s.
    const DELAYS: [Ticks; 2] = [1_000, 10_000];

    pub fn new(number: u64, now: Ticks) -> Self {
        let (conn, up, heard, caught_up) = (None, false, 0, false);
        let (frames, delay) = (Frames::default(), Self::DELAYS[0]);
        Feed { conn, up, number, heard, caught_up, known_until: now, frames, delay }
    }

    /// How the event taken last was told.
    pub fn told(&self) -> Told {
        match self.caught_up {
            true => Told::AsItHappens,
            false => Told::Behind { since: self.known_until },
        }
    }

    /// The connection is up: what to write on it.
    pub fn begin(&mut self, now: Ticks) -> [u8; 8] {
        (self.up, self.heard, self.frames) = (true, now, Frames::default());
        self.caught_up = false;
        self.number.to_be_bytes()
    }

    /// The next event that is new. One that goes on counts as a connection that works.
    pub fn take(&mut self, ring: &mut Ring, names: &Names, now: Ticks) -> Result<Option<Event>, Malformed> {
        while let Some((number, event)) = self.frames.next(ring, names)? {
            (self.heard, self.delay) = (now, Self::DELAYS[0]);
            // It says that there is nothing new only once all else is told.
            self.caught_up |= event.is_none();
            if self.caught_up {
                self.known_until = now;
            }
            if let Some(event) = event.filter(|_| number > self.number) {
                self.number = number;
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// The feed is somewhere else now: its first connection there is made at once.
    pub fn moved(&mut self) {
        (self.conn, self.up, self.delay) = (None, false, Self::DELAYS[0]);
    }

    /// The connection is lost: how long to wait before the next.
    pub fn lost(&mut self) -> Ticks {
        (self.conn, self.up) = (None, false);
        let delay = self.delay;
        self.delay = (2 * delay).min(Self::DELAYS[1]);
        delay
    }
}
