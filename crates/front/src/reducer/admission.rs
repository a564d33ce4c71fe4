//! Admission of clients' connections, and which connections are closed to make room for others.
//!
//! The reducer never closes an idle connection at once, because data read from it may still be queued as an
//! input. It requests a half-close from the connection's coroutine, which carries it out only if no data has
//! arrived; the connection is closed after that.

use doorgrade::Ticks;

use super::clients::Client;
use super::{Effect, HALF_CLOSE_TIMEOUT, State, Timer, trace};
use crate::bounds;
use crate::conn::ConnId;
use crate::reasons::ClientEnd;
use crate::ring_buffer::RingBuffer;

/// Slots for clients that are left free for new connections.
const SPARE_SLOTS: usize = 2;
/// A shortage of descriptors or memory that lasts less than this is expected to pass: no connection is closed
/// for it.
const MIN_SHORTAGE: Ticks = 200;
/// Failures further apart than this belong to different shortages.
const SHORTAGE_GAP: Ticks = 1_000;

/// The progress of the half-close of a client's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HalfCloseState {
    #[default]
    Open,
    /// The half-close was requested from the coroutine, which carries it out unless data has arrived.
    Requested(ClientEnd),
    /// The sending side was shut down at this time; further data is discarded.
    ShutDown(Ticks),
}

/// A shortage of descriptors or memory for connections: when it began, and the last failure because of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shortage {
    since: Ticks,
    last: Ticks,
}

impl State {
    pub(super) fn accepted(&mut self, conn: ConnId) {
        self.waiting_clients.push_back(conn);
        self.admit();
    }

    /// Admits waiting connections in order while slots are free, and frees further slots. Nothing is read
    /// from a connection that still waits.
    pub(super) fn admit(&mut self) {
        while !self.waiting_clients.is_empty() {
            if self.clients.len() >= self.bounds.clients && self.close_half_closed().is_none() {
                break;
            }
            let Some(conn) = self.waiting_clients.pop_front() else { break };
            self.admit_one(conn);
        }
        self.free_slots();
    }

    /// Half-closes the connections that have been idle longest, to free slots for those that wait and some to
    /// spare.
    fn free_slots(&mut self) {
        let free = self.bounds.clients.saturating_sub(self.clients.len());
        let needed = self.waiting_clients.len() + SPARE_SLOTS;
        if free >= needed {
            return;
        }
        let half_closing = self.clients.values().filter(|c| c.half_close != HalfCloseState::Open).count();
        for _ in free + half_closing..needed {
            if self.half_close_idlest().is_none() {
                return;
            }
        }
    }

    fn admit_one(&mut self, conn: ConnId) {
        self.clients.insert(conn, Client::new(self.now));
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
    }

    /// Half-closes the connection that has been idle longest, if no response is owed on it.
    fn half_close_idlest(&mut self) -> Option<()> {
        let idle = self.clients.iter().filter(|(_, c)| c.is_idle() && c.half_close == HalfCloseState::Open);
        let conn = idle.min_by_key(|&(&conn, c)| (c.idle_since(), conn)).map(|(&conn, _)| conn)?;
        self.half_close(conn, ClientEnd::Evicted);
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
        self.body_bytes = self.body_bytes.saturating_sub(client.map_or(0, |c| c.intake.held_bytes()));
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
        if self.close_half_closed().is_none() && self.half_close_idlest().is_none() {
            let _ = self.close_idle_cache_conn();
        }
    }

    /// Half-closes a client's connection. It is closed when the client has closed it, too, or after a
    /// timeout.
    pub(super) fn half_close(&mut self, conn: ConnId, reason: ClientEnd) {
        if let Some(client) = self.clients.get_mut(&conn).filter(|c| c.half_close == HalfCloseState::Open) {
            client.half_close = HalfCloseState::Requested(reason);
            tracing::debug!(connection = trace::number(conn), "a client's connection is to end: {reason}");
            self.effects.push(Effect::HalfClose(conn, client.intake.discarding));
        }
    }

    pub(super) fn half_closed(&mut self, conn: ConnId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.half_close = HalfCloseState::ShutDown(self.now);
            self.timers.set(self.now + HALF_CLOSE_TIMEOUT, Timer::HalfCloseTimeout(conn));
            self.admit();
        }
    }
}
