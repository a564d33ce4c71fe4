//! The state of the connection to the control feed. No I/O.

use doorgrade::Ticks;

use crate::conn::ConnId;
use crate::feed::{Event, Frames, Malformed, ZoneAndKindNames};
use crate::remote_times::Arrival;
use crate::ring_buffer::RingBuffer;

pub struct FeedConnection {
    pub conn: Option<ConnId>,
    pub up: bool,
    /// The number of the last event applied.
    pub last_event: u64,
    pub received_at: Ticks,
    /// All events missed since the last connection have been received.
    caught_up: bool,
    /// Until then all events are known.
    known_until: Ticks,
    frames: Frames,
    backoff: Ticks,
}

impl FeedConnection {
    /// An empty frame arrives each second; after 2.5 s without one the connection is considered lost.
    pub const TIMEOUT: Ticks = 25_000;
    /// The backoff between connections: from 0.1 s, doubling up to 1 s.
    const BACKOFF: [Ticks; 2] = [1_000, 10_000];

    pub fn new(last_event: u64, now: Ticks) -> Self {
        let (conn, up, received_at, caught_up) = (None, false, 0, false);
        let (frames, backoff) = (Frames::default(), Self::BACKOFF[0]);
        FeedConnection { conn, up, last_event, received_at, caught_up, known_until: now, frames, backoff }
    }

    /// How the last event has arrived.
    pub fn arrival(&self) -> Arrival {
        match self.caught_up {
            true => Arrival::Live,
            false => Arrival::CatchUp { since: self.known_until },
        }
    }

    /// The connection is established. Returns the bytes to write to it.
    pub fn connected(&mut self, now: Ticks) -> [u8; 8] {
        (self.up, self.received_at, self.frames) = (true, now, Frames::default());
        self.caught_up = false;
        self.last_event.to_be_bytes()
    }

    /// The next new event. Any complete frame shows that the connection works, and resets the backoff.
    pub fn next_event(
        &mut self,
        buffer: &mut RingBuffer,
        names: &ZoneAndKindNames,
        now: Ticks,
    ) -> Result<Option<Event>, Malformed> {
        while let Some((number, event)) = self.frames.next(buffer, names)? {
            (self.received_at, self.backoff) = (now, Self::BACKOFF[0]);
            // The feed sends an empty frame only once all events have been sent.
            self.caught_up |= event.is_none();
            if self.caught_up {
                self.known_until = now;
            }
            if let Some(event) = event.filter(|_| number > self.last_event) {
                self.last_event = number;
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// The feed has another address: the first connection to it is made without a delay.
    pub fn moved(&mut self) {
        (self.conn, self.up, self.backoff) = (None, false, Self::BACKOFF[0]);
    }

    /// The connection is lost. Returns the delay before the next.
    pub fn lost(&mut self) -> Ticks {
        (self.conn, self.up) = (None, false);
        let delay = self.backoff;
        self.backoff = (2 * delay).min(Self::BACKOFF[1]);
        delay
    }
}
