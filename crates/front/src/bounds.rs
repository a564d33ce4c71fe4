//! How much the front may hold, derived from the limits it is told.

use crate::config::Limits;
use crate::http;

/// Rings: a client sends little and is sent much; a cache the other way round.
pub const CLIENT_IN: usize = 8 * 1024;
pub const CLIENT_OUT: usize = 32 * 1024;
pub const LINE_IN: usize = 32 * 1024;
pub const LINE_OUT: usize = 4 * 1024;
pub const FEED_IN: usize = 16 * 1024;

/// Connections to caches that a front has at least, however few descriptors it may use.
const LEAST_LINES: usize = 4;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Clients' connections.
    pub clients: usize,
    /// Connections to caches, parents and the origin.
    pub lines: usize,
    /// Bytes of bodies, of answers and writes.
    pub bodies: usize,
}

impl Bounds {
    pub fn new(limits: &Limits) -> Self {
        // Standard streams, epoll and its event, signals, listener, feed: eleven; some on their way to be
        // closed.
        let other = 14 + limits.sockets / 100;
        // The program itself with the module's tables (12 MB were seen); what a connection's coroutine and
        // bookkeeping take (some 37 KB were seen for an idle client with its rings).
        const PROGRAM: usize = 20 << 20;
        const COROUTINE: usize = 16 * 1024;
        const CLIENT: usize = CLIENT_IN + CLIENT_OUT + COROUTINE;
        const LINE: usize = LINE_IN + LINE_OUT + COROUTINE;
        // Clients hold a third of the descriptors at most, the caches' side has what is left.
        let clients = (limits.sockets / 3 + 4).min(limits.sockets.saturating_sub(other + LEAST_LINES));
        let lines = limits.sockets.saturating_sub(clients + other);
        // An eighth stays for what the allocator can't use; connections take half of the rest at most.
        let room = ((limits.memory_mb << 20) * 7 / 8).saturating_sub(PROGRAM);
        let wanted = clients * CLIENT + lines * LINE;
        let part = |count: usize| (count * (room / 2).min(wanted) / wanted).max(LEAST_LINES);
        let (clients, lines) = (part(clients), part(lines));
        let bodies = room.saturating_sub(clients * CLIENT + lines * LINE).max(4 * http::MOST_BODY);
        Bounds { clients, lines, bodies }
    }

    /// How many clients' connections may hold a descriptor at once: newcomers show the reducer that one has to go.
    pub fn accepted(&self) -> usize {
        self.clients + 2
    }

    /// How many connections to caches there may be while clients have so many. Half of what clients do not
    /// use is lent: at tight limits it is worth more to accesses in hand than to clients that seldom come.
    pub fn lines_with(&self, clients: usize) -> usize {
        self.lines + self.clients.saturating_sub(clients) / 2
    }
}
