//! One connection to the control feed, and what has been received of the feed over all of them. No I/O.

use doorgrade::Ticks;

use crate::conn::ConnId;
use crate::feed::{Event, Frames, Malformed, ZoneAndKindNames};
use crate::remote_times::Arrival;
use crate::ring_buffer::RingBuffer;

/// What has been received of the feed, by whichever connection.
pub struct FeedPosition {
    /// The number of the last event applied.
    pub last_event: u64,
    /// Until then all events are known.
    known_until: Ticks,
}

impl FeedPosition {
    pub fn new(last_event: u64, now: Ticks) -> Self {
        FeedPosition { last_event, known_until: now }
    }
}

/// A connection to the feed, from its first attempt to connect.
pub struct FeedConnection {
    pub conn: ConnId,
    pub state: FeedState,
    /// When it was begun, established, or brought its last frame, whichever was last.
    pub active_at: Ticks,
    /// It has brought a frame that was not looked at by [`FeedConnection::take_heard`] yet.
    heard: bool,
    /// All events missed since the last connection have been received.
    caught_up: bool,
    frames: Frames,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedState {
    /// Being established, within the settings' time.
    Connecting,
    /// Being established, with more time: an attempt within the settings' time has failed.
    ConnectingPatiently,
    Established,
}

impl FeedConnection {
    /// An empty frame is sent each second; after 2.5 s without a frame another connection is made.
    pub const TIMEOUT: Ticks = 25_000;

    pub fn new(conn: ConnId, state: FeedState, now: Ticks) -> Self {
        let (heard, caught_up, frames) = (false, false, Frames::default());
        FeedConnection { conn, state, active_at: now, heard, caught_up, frames }
    }

    /// Whether it has brought a frame since the last call.
    pub fn take_heard(&mut self) -> bool {
        std::mem::take(&mut self.heard)
    }

    /// The connection is established. Returns the bytes to write to it.
    pub fn established(&mut self, position: &FeedPosition, now: Ticks) -> [u8; 8] {
        (self.state, self.active_at) = (FeedState::Established, now);
        position.last_event.to_be_bytes()
    }

    pub fn is_silent(&self, now: Ticks) -> bool {
        self.active_at + Self::TIMEOUT < now
    }

    /// How the last event has arrived.
    pub fn arrival(&self, position: &FeedPosition) -> Arrival {
        match self.caught_up {
            true => Arrival::Live,
            false => Arrival::CatchUp { since: position.known_until },
        }
    }

    /// The next new event. Any complete frame shows that the connection works.
    pub fn next_event(
        &mut self,
        position: &mut FeedPosition,
        buffer: &mut RingBuffer,
        names: &ZoneAndKindNames,
        now: Ticks,
    ) -> Result<Option<Event>, Malformed> {
        while let Some((number, event)) = self.frames.next(buffer, names)? {
            (self.active_at, self.heard) = (now, true);
            // The feed sends an empty frame only once all events have been sent.
            self.caught_up |= event.is_none();
            if self.caught_up {
                position.known_until = now;
            }
            if let Some(event) = event.filter(|_| number > position.last_event) {
                position.last_event = number;
                return Ok(Some(event));
            }
        }
        Ok(None)
    }
}

/// The delay between attempts to connect: from 0.1 s, doubling up to 1 s.
pub struct Backoff(Ticks);

impl Backoff {
    const MIN: Ticks = 1_000;
    const MAX: Ticks = 10_000;

    /// The next delay.
    pub fn next_delay(&mut self) -> Ticks {
        let delay = self.0;
        self.0 = (2 * delay).min(Self::MAX);
        delay
    }

    pub fn reset(&mut self) {
        self.0 = Self::MIN;
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff(Self::MIN)
    }
}
