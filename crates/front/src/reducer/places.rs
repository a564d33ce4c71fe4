//! Clients' connections: who is let in, and whose connection ends so that others find a place.
//!
//! A connection at rest is never closed from here on the reducer's word alone: what was read on it may wait in the
//! queue. Its coroutine ends it in order if nothing has come, and says so; only then is it closed.

use doorgrade::Ticks;

use super::clients::Client;
use super::{Effect, LINGER, Timer, Work, trace};
use crate::bounds;
use crate::conn::ConnId;
use crate::reasons::ClientEnd;
use crate::ring::Ring;

/// So many of the places that clients may have are kept free for newcomers.
const SPARE: usize = 2;
/// Want of descriptors or memory that lasts for less passes by itself: nobody has to go for it.
const WANT: Ticks = 200;
/// Two wants of descriptors that are further apart are two.
const WANTS_APART: Ticks = 1_000;

/// How far the end of a client's connection has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Ending {
    #[default]
    No,
    /// Its coroutine is to end it, unless something has come before.
    Asked(ClientEnd),
    /// The end of writing was sent; nothing that still comes is read. Since when.
    Sent(Ticks),
}

/// Want of descriptors or memory for connections: since when, and when it was met last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Want {
    since: Ticks,
    last: Ticks,
}

impl Work {
    pub(super) fn accepted(&mut self, conn: ConnId) {
        self.arrivals.push_back(conn);
        self.admit();
    }

    /// Lets in those that wait, in order, as far as there are places, and makes further ones. Nothing is read of those
    /// that still wait: their requests stay where they are.
    pub(super) fn admit(&mut self) {
        while !self.arrivals.is_empty() {
            if self.clients.len() >= self.bounds.clients && self.close_ended().is_none() {
                break;
            }
            let Some(conn) = self.arrivals.pop_front() else { break };
            self.let_in(conn);
        }
        self.make_places();
    }

    /// Ends, in order, connections that rest longest, so that those that wait find a place and some stay free.
    fn make_places(&mut self) {
        let free = self.bounds.clients.saturating_sub(self.clients.len());
        let wanted = self.arrivals.len() + SPARE;
        if free >= wanted {
            return;
        }
        let ending = self.clients.values().filter(|c| c.ending != Ending::No).count();
        for _ in free + ending..wanted {
            if self.end_idlest().is_none() {
                return;
            }
        }
    }

    fn let_in(&mut self, conn: ConnId) {
        self.clients.insert(conn, Client::new(self.now));
        // What was lent is taken back, as far as it is not in use.
        while self.lines_used() > self.bounds.lines_with(self.clients.len()) && self.close_idle().is_some() {}
        self.most.clients = self.most.clients.max(self.clients.len());
        tracing::debug!(
            connection = trace::number(conn),
            clients = self.clients.len(),
            "client's connection"
        );
        self.effects.push(Effect::Read(conn, Ring::new(bounds::CLIENT_IN)));
    }

    /// Ends the connection that has rested longest, if nothing is owed to it.
    fn end_idlest(&mut self) -> Option<()> {
        let idle = self.clients.iter().filter(|(_, c)| c.owed_nothing() && c.ending == Ending::No);
        let conn = idle.min_by_key(|&(&conn, c)| (c.idle_since(), conn)).map(|(&conn, _)| conn)?;
        self.half_close(conn, ClientEnd::Evicted);
        Some(())
    }

    /// Closes the connection that was ended longest ago.
    fn close_ended(&mut self) -> Option<()> {
        let ended = |(&conn, c): (&ConnId, &Client)| match c.ending {
            Ending::Sent(since) => Some((since, conn)),
            _ => None,
        };
        let (_, conn) = self.clients.iter().filter_map(ended).min()?;
        let gone = self.clients.remove(&conn);
        self.trace_client_end(conn, ClientEnd::Closed, &[]);
        self.bodies = self.bodies.saturating_sub(gone.map_or(0, |c| c.intake.held()));
        self.close(conn);
        Some(())
    }

    /// The machine has no descriptor or memory left for connections: after a moment, who holds one without using it
    /// gives it back.
    pub(super) fn make_room(&mut self) {
        if self.now >= self.want.last + WANTS_APART {
            self.want.since = self.now;
        }
        self.want.last = self.now;
        if self.now < self.want.since + WANT {
            return;
        }
        self.complain("this machine has no descriptor or memory left for connections");
        if self.close_ended().is_none() && self.end_idlest().is_none() {
            let _ = self.close_idle();
        }
    }

    /// Ends a client's connection in order: it is closed when the other side has ended it, too, or takes too long.
    pub(super) fn half_close(&mut self, conn: ConnId, why: ClientEnd) {
        if let Some(client) = self.clients.get_mut(&conn).filter(|c| c.ending == Ending::No) {
            client.ending = Ending::Asked(why);
            tracing::debug!(connection = trace::number(conn), "a client's connection is to end: {why}");
            self.effects.push(Effect::HalfClose(conn, client.intake.deaf));
        }
    }

    pub(super) fn half_closed(&mut self, conn: ConnId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.ending = Ending::Sent(self.now);
            self.timers.set(self.now + LINGER, Timer::Lingered(conn));
            self.admit();
        }
    }
}
