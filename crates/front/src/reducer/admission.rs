//! Admission of clients' connections, and which connections are closed to make room for others.
//!
//! Each accepted connection is read at once, also beyond the bound: what the system has accepted and nobody
//! reads can't be answered. Requests on a connection beyond the bound are declined as long as no other makes
//! room.

use doorgrade::Ticks;

use super::client::Client;
use super::client_ends::HalfCloseState;
use super::{Effect, State, trace};
use crate::bounds;
use crate::conn::ConnId;
use crate::reasons::ClientEnd;
use crate::ring_buffer::RingBuffer;

/// Slots for clients that are left free for new connections, and how many connections are accepted beyond the
/// bound.
const SPARE_SLOTS: usize = 2;
/// How long a new connection without a byte is left alone: its first request is on its way.
pub(super) const FIRST_BYTE_TIMEOUT: Ticks = 200;
/// A shortage of descriptors or memory that lasts less than this is expected to pass: no connection is closed
/// for it.
const MIN_SHORTAGE: Ticks = 200;
/// Failures further apart than this belong to different shortages.
const SHORTAGE_GAP: Ticks = 1_000;

/// The slots for clients, beside the bound of the present configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slots {
    /// How many connections were open when the bound was last lowered, as far as they are still open.
    held: usize,
    /// The connection accepted last.
    newest: ConnId,
}

/// How a connection is ended to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// It is at rest.
    AtRest,
    /// A request has begun to arrive on it.
    Partial,
}

/// A shortage of descriptors or memory for connections: when it began, and the last failure because of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shortage {
    since: Ticks,
    last: Ticks,
}

impl State {
    /// How many client connections may be open at once: more than the bound, so that the reducer sees that
    /// others come, and makes room or declines their requests.
    pub(super) fn max_accepted(&self) -> usize {
        self.slots.held.max(self.bounds.clients) + SPARE_SLOTS
    }

    /// `waiting_since`: the connection may have waited in the system's backlog since then.
    pub(super) fn accepted(&mut self, conn: ConnId, waiting_since: Option<Ticks>) {
        let over_limit = self.clients.len() >= self.bounds.clients;
        let request_since = waiting_since.or(Some(self.now));
        let client = Client { over_limit, request_since, ..Client::new(self.now) };
        self.clients.insert(conn, client);
        self.slots.newest = conn;
        // Cache connections beyond their own bound used idle client slots; they give them back as far as they
        // are idle.
        while self.cache_conns_used() > self.bounds.max_cache_conns(self.clients.len())
            && self.close_idle_cache_conn().is_some()
        {}
        self.peaks.clients = self.peaks.clients.max(self.clients.len());
        tracing::debug!(
            connection = trace::number(conn),
            clients = self.clients.len(),
            "client's connection"
        );
        self.effects.push(Effect::Read(conn, RingBuffer::new(bounds::CLIENT_IN)));
        self.free_slots();
    }

    /// The bound has changed: connections beyond it are kept until they are idle.
    pub(super) fn client_bound_changed(&mut self) {
        self.slots.held = self.clients.len();
        self.free_slots();
    }

    /// Frees slots if there are connections beyond the bound.
    pub(super) fn free_excess_slots(&mut self) {
        self.slots.held = self.slots.held.min(self.clients.len());
        if self.clients.len() > self.bounds.clients {
            self.free_slots();
        }
    }

    /// Half-closes the connections that have been idle longest, to keep some slots free, and closes those that
    /// are half-closed already if the bound is exceeded.
    pub(super) fn free_slots(&mut self) {
        while self.clients.len() > self.bounds.clients && self.close_half_closed().is_some() {}
        let excess = (self.clients.len() + SPARE_SLOTS).saturating_sub(self.bounds.clients);
        if excess == 0 {
            return;
        }
        let ending = self.clients.values().filter(|c| c.is_ending()).count();
        for _ in ending..excess {
            if self.evict_client().is_none() {
                return;
            }
        }
    }

    /// Whether a request on this connection is to be declined: the connection is beyond the bound, and no other
    /// makes room for it.
    pub(super) fn is_over_limit(&mut self, conn: ConnId) -> bool {
        let over_limit = self.clients.len() > self.bounds.clients && !self.makes_room();
        let Some(client) = self.clients.get_mut(&conn) else { return false };
        client.over_limit &= over_limit;
        client.over_limit
    }

    /// Whether a connection is ending, or may be closed to make room for others.
    fn makes_room(&self) -> bool {
        self.clients.iter().any(|(&conn, c)| c.is_ending() || self.eviction(conn, c).is_some())
    }

    /// Whether a connection may be closed to make room for others: no response is owed on it.
    fn eviction(&self, conn: ConnId, client: &Client) -> Option<Eviction> {
        if client.is_ending() || !client.is_idle() {
            return None;
        }
        let at_rest = client.is_at_rest();
        if at_rest && !client.expects_first_byte(self.now) {
            return Some(Eviction::AtRest);
        }
        let is_newest = conn + SPARE_SLOTS as ConnId > self.slots.newest;
        if is_newest || self.clients.len() <= self.bounds.clients {
            return None;
        }
        Some(if at_rest { Eviction::AtRest } else { Eviction::Partial })
    }

    /// Ends the connection that has been idle longest. Requests that have begun to arrive are declined only where
    /// nothing is at rest, and first those of clients that have never finished one.
    fn evict_client(&mut self) -> Option<()> {
        let evictable = self.clients.iter().filter_map(|(&conn, c)| {
            let eviction = self.eviction(conn, c)?;
            Some((eviction, eviction == Eviction::Partial && c.has_finished, c.idle_since(), conn))
        });
        let (eviction, _, _, conn) = evictable.min()?;
        match eviction {
            Eviction::Partial => self.decline_partial(conn, ClientEnd::Evicted),
            Eviction::AtRest => self.half_close(conn, ClientEnd::Evicted),
        }
        Some(())
    }

    /// Closes the connection that was half-closed longest ago.
    fn close_half_closed(&mut self) -> Option<()> {
        let ended = |(&conn, c): (&ConnId, &Client)| match c.half_close {
            HalfCloseState::ShutDown(since) => Some((since, conn)),
            _ => None,
        };
        let (_, conn) = self.clients.iter().filter_map(ended).min()?;
        let client = self.clients.remove(&conn);
        self.trace_client_end(conn, ClientEnd::Closed, &[]);
        self.body_bytes = self.body_bytes.saturating_sub(client.map_or(0, |c| c.held_bytes()));
        self.close(conn);
        Some(())
    }

    /// The machine has no descriptor or memory left for connections. If that lasts, closes one idle
    /// connection.
    pub(super) fn accept_failed(&mut self) {
        if self.now >= self.shortage.last + SHORTAGE_GAP {
            self.shortage.since = self.now;
        }
        self.shortage.last = self.now;
        if self.now < self.shortage.since + MIN_SHORTAGE {
            return;
        }
        self.warn_limited("this machine has no descriptor or memory left for connections");
        if self.close_half_closed().is_none() && self.evict_client().is_none() {
            let _ = self.close_idle_cache_conn();
        }
    }
}
