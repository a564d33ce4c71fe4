//! How clients' connections end: in order, once each request that was taken or has begun to arrive is answered.
//!
//! The reducer never closes an idle connection at once, because data read from it may still be queued as an
//! input. It requests a half-close from the connection's coroutine, which carries it out only if no data has
//! arrived; the connection is closed after that.

use doorgrade::Ticks;

use super::client::Client;
use super::{Effect, HALF_CLOSE_TIMEOUT, State, Timer, trace};
use crate::answer::Reply;
use crate::conn::ConnId;
use crate::reasons::{ClientEnd, Rejection};

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

impl State {
    /// Half-closes a connection that was to be closed after its open requests, once none is open.
    pub(super) fn half_close_if_done(&mut self, conn: ConnId) {
        let is_done = |c: &Client| c.intake.open() == 0 && c.outbox.is_empty() && c.writing.is_none();
        if let Some(reason) = self.clients.get(&conn).filter(|c| is_done(c)).and_then(|c| c.ending) {
            self.half_close(conn, reason);
        }
    }

    /// Ends a connection on which no response is owed.
    pub(super) fn end_idle_client(&mut self, conn: ConnId, reason: ClientEnd) {
        if self.clients.get(&conn).is_some_and(Client::is_at_rest) {
            self.half_close(conn, reason);
        } else {
            self.decline_partial(conn, reason);
        }
    }

    /// Declines all requests that have not arrived completely.
    pub(super) fn decline_all_partial(&mut self, reason: ClientEnd) {
        let partial = self.clients.iter().filter(|(_, c)| c.intake.has_partial());
        let partial: Vec<_> = partial.map(|(&conn, _)| conn).collect();
        partial.into_iter().for_each(|conn| self.decline_partial(conn, reason));
    }

    /// Declines the requests that have begun to arrive on a connection, and closes it once all its responses are
    /// written. Nothing of them was pushed, so the client may safely retry.
    pub(super) fn decline_partial(&mut self, conn: ConnId, reason: ClientEnd) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let held = client.intake.held_bytes();
        client.ending.get_or_insert(reason);
        for id in client.intake.cut_off() {
            self.trace_rejection("", 503, Rejection::Incomplete);
            self.reply(conn, id, Reply::empty(503));
        }
        self.body_bytes = self.body_bytes.saturating_sub(held);
        self.half_close_if_done(conn);
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
            self.free_slots();
        }
    }
}
