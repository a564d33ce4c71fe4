//! How many connections and body bytes the front may hold, derived from its configured limits.

use crate::config::Limits;
use crate::http;

/// Buffer sizes, in bytes. A client sends little and receives much; a cache the other way round.
pub const CLIENT_IN: usize = 8 * 1024;
pub const CLIENT_OUT: usize = 32 * 1024;
pub const CACHE_IN: usize = 32 * 1024;
pub const CACHE_OUT: usize = 4 * 1024;
pub const FEED_IN: usize = 16 * 1024;

/// Memory of an open access besides its body, in bytes: the request, its pushes, and the decision module's state.
pub const OPEN_ACCESS: usize = 2 * 1024;

/// The fewest connections of each kind, however little memory there is or however few descriptors.
const MIN_CONNS: usize = 4;
/// Descriptors of neither clients nor caches. Standard streams, epoll and its event, signals, and the listener
/// take ten, the feed five at the most; some more are being closed.
const RESERVED_SOCKETS: usize = 18;
/// Places for clients beyond the third of the descriptors that they may hold by the protocol: connections that
/// are ending still have a place.
const EXTRA_CLIENTS: usize = 4;
/// Bytes of the program with the decision module's tables, which take 12 MB.
const PROGRAM: usize = 20 << 20;
/// Bytes of a client's connection without a request: the used part of its coroutine's stack, its bookkeeping,
/// and the smallest buffer for writing. Requests and larger buffers are counted with the bodies.
const CLIENT: usize = 12 * 1024;
/// Bytes of a connection to a cache with its coroutine and full buffers.
const CACHE_CONN: usize = CACHE_IN + CACHE_OUT + 16 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to caches, parents and the origin. The log prints the field under this name.
    pub lines: usize,
    /// Bytes of bodies, of requests and responses, with open accesses and buffers for writing to clients.
    pub bodies: usize,
    /// Further connections to caches, on descriptors that clients do not use.
    pub lent: usize,
}

impl Bounds {
    pub fn new(limits: &Limits) -> Self {
        let reserved = RESERVED_SOCKETS + limits.sockets / 100;
        // An eighth is left for memory that the allocator can't use.
        let memory = ((limits.memory_mb << 20) * 7 / 8).saturating_sub(PROGRAM);
        let clients = (limits.sockets / 3 + EXTRA_CLIENTS)
            .min(limits.sockets.saturating_sub(reserved + MIN_CONNS))
            .min(memory * 3 / 4 / CLIENT)
            .max(MIN_CONNS);
        // Caches' connections and bodies share what clients leave.
        let cache_conns = (memory.saturating_sub(clients * CLIENT) / 2 / CACHE_CONN).max(MIN_CONNS);
        let lines = limits.sockets.saturating_sub(clients + reserved).min(cache_conns).max(MIN_CONNS);
        // Caches' connections may use half of the slots that clients leave free: at tight limits these are
        // worth more to open accesses than to clients that rarely connect.
        let lent = (clients / 2).min(cache_conns - lines);
        let bodies =
            memory.saturating_sub(clients * CLIENT + (lines + lent) * CACHE_CONN).max(4 * http::MAX_BODY);
        Bounds { clients, lines, bodies, lent }
    }

    /// How many connections to caches are allowed while this many clients are connected.
    pub fn max_cache_conns(&self, clients: usize) -> usize {
        self.lines + self.lent.min(self.clients.saturating_sub(clients) / 2)
    }
}
