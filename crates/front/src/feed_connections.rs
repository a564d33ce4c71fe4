//! The connections to the control feed: usually one. While it is silent, others are made beside it, and the first
//! to bring a frame is kept. So a feed whose bytes come later than any timeout here is heard all the same, as
//! soon as its first bytes come. No I/O.

use doorgrade::Ticks;

use crate::conn::ConnId;
use crate::feed_connection::{Backoff, FeedConnection, FeedPosition, FeedState};

/// Established connections at the same time.
const MAX_ESTABLISHED: usize = 3;
/// How long a silent connection is kept beside newer ones: far longer than any delay of a link that is of use.
const MAX_SILENCE: Ticks = 300_000;
/// How long a patient attempt to connect may take.
const PATIENT_TIMEOUT: Ticks = 100_000;
/// What the feed has to tell counts as told after this time, whether it has arrived or not.
const STALE_AFTER: Ticks = 70_000;

/// An attempt to connect that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub state: FeedState,
    /// How long it may take.
    pub timeout: Ticks,
}

/// What has changed about the age of what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Nothing was heard for so long.
    Stale(Ticks),
    /// Something was heard again, after so long.
    Fresh(Ticks),
}

pub struct FeedConnections {
    pub position: FeedPosition,
    /// The oldest first.
    connections: Vec<FeedConnection>,
    backoff: Backoff,
    /// No attempt is made before.
    retry_at: Ticks,
    /// An attempt within the settings' time has taken all of it, and none has been made with more time since.
    wants_patience: bool,
    /// The settings' time for connecting.
    connect_timeout: Ticks,
    heard_at: Ticks,
    /// What is known was reported as stale.
    stale: bool,
}

impl FeedConnections {
    pub fn new(last_event: u64, connect_timeout: Ticks, now: Ticks) -> Self {
        FeedConnections {
            position: FeedPosition::new(last_event, now),
            connections: Vec::new(),
            backoff: Backoff::default(),
            retry_at: now,
            wants_patience: false,
            connect_timeout,
            heard_at: now,
            stale: false,
        }
    }

    pub fn contains(&self, conn: ConnId) -> bool {
        self.connections.iter().any(|c| c.conn == conn)
    }

    /// A connection, with what has been received over all.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<(&mut FeedConnection, &mut FeedPosition)> {
        let connection = self.connections.iter_mut().find(|c| c.conn == conn)?;
        Some((connection, &mut self.position))
    }

    /// The next attempt to connect, if one is due: no other is under way, and no connection has brought a frame
    /// lately. One with more time is made beside the others.
    pub fn next_attempt(&self, now: Ticks) -> Option<Attempt> {
        let is_active = |c: &FeedConnection| c.state == FeedState::Established && !c.is_silent(now);
        if self.connections.iter().any(is_active) {
            return None;
        }
        if self.wants_patience && !self.has(FeedState::ConnectingPatiently) {
            let timeout = PATIENT_TIMEOUT.max(self.connect_timeout);
            return Some(Attempt { state: FeedState::ConnectingPatiently, timeout });
        }
        let is_due = now >= self.retry_at && !self.has(FeedState::Connecting);
        is_due.then_some(Attempt { state: FeedState::Connecting, timeout: self.connect_timeout })
    }

    /// Whether the newest connection has just fallen silent, so that another is to be made.
    pub fn has_only_silent(&self, now: Ticks) -> bool {
        self.has(FeedState::Established) && self.next_attempt(now).is_some()
    }

    fn has(&self, state: FeedState) -> bool {
        self.connections.iter().any(|c| c.state == state)
    }

    /// An attempt to connect was begun.
    pub fn begin(&mut self, conn: ConnId, attempt: Attempt, now: Ticks) {
        self.wants_patience &= attempt.state != FeedState::ConnectingPatiently;
        self.connections.push(FeedConnection::new(conn, attempt.state, now));
    }

    /// A connection is established. Returns the bytes to write to it, and the connection that is to be closed
    /// because there are too many.
    pub fn established(&mut self, conn: ConnId, now: Ticks) -> Option<([u8; 8], Option<ConnId>)> {
        let (connection, position) = self.get_mut(conn)?;
        let bytes = connection.established(position, now);
        Some((bytes, self.remove_excess(now)))
    }

    /// The oldest stays longest: on a slow link it is the next to bring a frame.
    fn remove_excess(&mut self, now: Ticks) -> Option<ConnId> {
        let is_established = |c: &FeedConnection| c.state == FeedState::Established;
        let places = self.connections.iter().enumerate().filter(|(_, c)| is_established(c));
        let places: Vec<_> = places.map(|(place, _)| place).collect();
        if places.len() <= MAX_ESTABLISHED {
            return None;
        }
        let keeps_oldest = self.connections[places[0]].active_at + MAX_SILENCE > now;
        let place = if keeps_oldest { places[1] } else { places[0] };
        Some(self.connections.remove(place).conn)
    }

    /// A connection has brought a frame, and no other is of use any more. Returns those of them that are
    /// established, and whether what is known was stale.
    pub fn heard(&mut self, conn: ConnId, now: Ticks) -> (Vec<ConnId>, Option<Freshness>) {
        self.backoff.reset();
        self.wants_patience = false;
        let silence = now.saturating_sub(std::mem::replace(&mut self.heard_at, now));
        let freshness = std::mem::take(&mut self.stale).then_some(Freshness::Fresh(silence));
        let is_other = |c: &&FeedConnection| c.conn != conn && c.state == FeedState::Established;
        let others = self.connections.iter().filter(is_other).map(|c| c.conn).collect();
        self.connections.retain(|c| c.conn == conn);
        (others, freshness)
    }

    /// A connection is lost, or could not be established. Returns when the next attempt may be made.
    pub fn lost(&mut self, conn: ConnId, now: Ticks) -> Ticks {
        let lost = |c: &&FeedConnection| c.conn == conn && c.state == FeedState::Connecting;
        let timed_out =
            self.connections.iter().find(lost).is_some_and(|c| c.active_at + self.connect_timeout <= now);
        self.wants_patience |= timed_out;
        self.connections.retain(|c| c.conn != conn);
        self.retry_at = now + self.backoff.next_delay();
        self.retry_at
    }

    /// The feed has another address: no connection is of use any more, and the next is made without a delay.
    /// Returns the established ones.
    pub fn moved(&mut self, now: Ticks) -> Vec<ConnId> {
        self.backoff.reset();
        (self.retry_at, self.wants_patience) = (now, false);
        let connections = std::mem::take(&mut self.connections);
        let established = connections.iter().filter(|c| c.state == FeedState::Established);
        established.map(|c| c.conn).collect()
    }

    /// Whether what is known has become stale, once.
    pub fn check_freshness(&mut self, now: Ticks) -> Option<Freshness> {
        let silence = now.saturating_sub(self.heard_at);
        if self.stale || silence < STALE_AFTER {
            return None;
        }
        self.stale = true;
        Some(Freshness::Stale(silence))
    }
}
