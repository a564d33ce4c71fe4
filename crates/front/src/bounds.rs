//! How many connections and body bytes the front may hold, derived from its configured limits.

use crate::config::Limits;
use crate::http;

/// Buffer sizes, in bytes. A client sends little and receives much; a cache the other way round.
pub const CLIENT_IN: usize = 8 * 1024;
pub const CLIENT_OUT: usize = 32 * 1024;
pub const CACHE_IN: usize = 32 * 1024;
pub const CACHE_OUT: usize = 4 * 1024;
pub const FEED_IN: usize = 16 * 1024;

/// The fewest connections to caches, however few descriptors are available.
const MIN_CACHE_CONNS: usize = 4;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to caches, parents and the origin. The log prints the field under this name.
    pub lines: usize,
    /// Bytes of bodies, of requests and responses.
    pub bodies: usize,
}

impl Bounds {
    pub fn new(limits: &Limits) -> Self {
        // Standard streams, epoll and its event, signals, listener, feed: eleven. Some more are being closed.
        let reserved = 14 + limits.sockets / 100;
        // Bytes for the program with the decision module's tables (which take 12 MB), and for a connection's
        // coroutine and bookkeeping (an idle client with its buffers takes some 37 KB).
        const PROGRAM: usize = 20 << 20;
        const COROUTINE: usize = 16 * 1024;
        const CLIENT: usize = CLIENT_IN + CLIENT_OUT + COROUTINE;
        const CACHE_CONN: usize = CACHE_IN + CACHE_OUT + COROUTINE;
        // Clients get at most a third of the descriptors, the caches' side gets the rest.
        let clients = (limits.sockets / 3 + 4).min(limits.sockets.saturating_sub(reserved + MIN_CACHE_CONNS));
        let lines = limits.sockets.saturating_sub(clients + reserved);
        // An eighth is left for memory that the allocator can't use; connections take at most half of the
        // rest.
        let memory = ((limits.memory_mb << 20) * 7 / 8).saturating_sub(PROGRAM);
        let wanted = clients * CLIENT + lines * CACHE_CONN;
        let share = |count: usize| (count * (memory / 2).min(wanted) / wanted).max(MIN_CACHE_CONNS);
        let (clients, lines) = (share(clients), share(lines));
        let bodies = memory.saturating_sub(clients * CLIENT + lines * CACHE_CONN).max(4 * http::MAX_BODY);
        Bounds { clients, lines, bodies }
    }

    /// How many client connections may hold a descriptor at once. Two more than are admitted, so that the
    /// reducer sees that others wait, and closes idle ones.
    pub fn max_accepted(&self) -> usize {
        self.clients + 2
    }

    /// How many connections to caches are allowed while this many clients are connected. Caches' connections
    /// may use half of the slots that clients leave free: at tight limits these are worth more to open accesses
    /// than to clients that rarely connect.
    pub fn max_cache_conns(&self, clients: usize) -> usize {
        self.lines + self.clients.saturating_sub(clients) / 2
    }
}
