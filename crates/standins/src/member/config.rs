//! How a member is configured, the faults that it can inject, and what it counts.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

/// The position in the cache hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    /// A parent: caches fill from it.
    Parent,
    /// The origin of all objects.
    Archive,
}

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub id: String,
    /// The address to listen on; port 0 for any.
    pub listen: String,
    pub role: Role,
    /// How many copies are stored; the least recently used one is evicted.
    pub max_copies: usize,
    /// How long a copy is fresh, by the name of its class. Copies of a class without an entry are fresh until they are
    /// purged.
    pub max_age_ms: HashMap<String, u64>,
    /// The time that each response takes.
    pub latency: Duration,
    /// Added to the latency for each KB of the object.
    pub latency_per_kb: Duration,
    pub cold: Option<Cold>,
    /// Requests that are handled at the same time; more are rejected as overload.
    pub max_in_flight: usize,
    /// Whether responses state the time of their copy in `Made-At`.
    pub sends_made_at: bool,
}

impl MemberConfig {
    /// A fast, warm member without limits.
    pub fn new(id: &str, listen: &str, role: Role) -> MemberConfig {
        let (max_copies, latency, max_age_ms, cold) = (100_000, Duration::ZERO, HashMap::new(), None);
        let (max_in_flight, sends_made_at) = (usize::MAX, true);
        let latency_per_kb = Duration::ZERO;
        MemberConfig {
            id: id.into(),
            listen: listen.into(),
            role,
            max_copies,
            max_age_ms,
            latency,
            latency_per_kb,
            cold,
            max_in_flight,
            sends_made_at,
        }
    }
}

/// A member in slow start: its capacity grows linearly from `initial_share` of `warm_per_s` to all of it. It crashes
/// when more than `crash_factor` times its current capacity arrives within `window`.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Requests per second that the member can handle once it is warm.
    pub warm_per_s: f64,
    pub initial_share: f64,
    /// How long the slow start takes.
    pub duration: Duration,
    pub crash_factor: f64,
    pub window: Duration,
}

/// Faults that a member injects. To make it silent, close its gate.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Added to the latency of each response.
    pub extra_latency: Duration,
    /// Rejects each request with 503.
    pub full: bool,
    /// Closes the connection in place of each response.
    pub close_connections: bool,
    /// Fails each request with 500.
    pub fail: bool,
}

/// Counters since the start.
#[derive(Default)]
pub struct Counts {
    pub requests: AtomicUsize,
    pub hits: AtomicUsize,
    /// Hits whose request included a refresh in the background.
    pub refreshes_requested: AtomicUsize,
    /// Refreshes that were started.
    pub refreshes: AtomicUsize,
    pub fills: AtomicUsize,
    pub failed: AtomicUsize,
    /// Fills that were rejected as a forwarding loop, see `LoopError`.
    pub loops_rejected: AtomicUsize,
    /// Fills that came back to this member twice, which loop detection should have prevented.
    pub loops_missed: AtomicUsize,
    /// Crashes from overload during slow start.
    pub crashes: AtomicUsize,
    /// Responses whose copy was older than the request allowed, be it for a max age or a purge.
    pub too_old: AtomicUsize,
}

/// One request to a cache or parent cache that was a hit, or a miss that it had to fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Milliseconds of the Unix clock.
    pub at_ms: u64,
    /// Answered from the store; otherwise the requester had to wait for a fill.
    pub hit: bool,
    pub refresh_requested: bool,
    /// Whether this lookup started a refresh in the background.
    pub refresh_started: bool,
}
