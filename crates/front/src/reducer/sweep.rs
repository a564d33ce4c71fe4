//! The periodic check for connections that are idle, unread or unfinished, and for a silent feed.

use super::Reducer;
use super::client::Client;
use super::types::{
    CLIENT_IDLE_TIMEOUT, COUNTS_LOG_INTERVAL, REQUEST_TIMEOUT, SWEEP_INTERVAL, Timer, UNREAD_TIMEOUT,
};
use crate::push::{CacheConn, ConnState};
use crate::reasons::{CacheEnd, ClientEnd};

impl Reducer {
    pub(super) fn sweep(&mut self) {
        let state = &mut self.state;
        let now = state.now;
        state.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        state.check_feed();
        let idle = state.idle_timeout * 3 / 4;
        let is_old = |c: &CacheConn| c.state == ConnState::Idle && c.since + idle < now;
        let old: Vec<_> =
            state.cache_conns.iter().filter(|(_, c)| is_old(c)).map(|(&conn, c)| (conn, c.cache)).collect();
        for (conn, cache) in old {
            state.pools.remove(cache, conn);
            state.close_cache_conn(conn, CacheEnd::Idle);
        }
        let is_unread = |c: &Client| c.writing.is_some() && c.last_write + UNREAD_TIMEOUT < now;
        let is_late = |c: &Client| {
            c.idle_since() + CLIENT_IDLE_TIMEOUT < now
                || c.request_since.is_some_and(|at| at + REQUEST_TIMEOUT < now)
        };
        let unresponsive = state.clients.iter().filter(|(_, c)| is_unread(c) || c.is_idle() && is_late(c));
        for conn in unresponsive.map(|(&conn, _)| conn).collect::<Vec<_>>() {
            self.state.warn_limited(
                "closing the connection of a client that is idle, does not read, or does not complete its request",
            );
            let Some(client) = self.state.clients.get(&conn) else { continue };
            if is_unread(client) {
                self.drop_client(conn, ClientEnd::NotReading);
            } else {
                let idle = client.idle_since() + CLIENT_IDLE_TIMEOUT < now;
                let reason = if idle { ClientEnd::Idle } else { ClientEnd::Unfinished };
                self.state.end_idle_client(conn, reason);
            }
        }
        self.state.resume_parked();
        if now >= self.state.counts_logged_at + COUNTS_LOG_INTERVAL {
            self.state.counts_logged_at = now;
            self.state.trace_counts();
        }
    }
}
