//! What a member is, what is to go wrong with it, and what it counts.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

/// Its place in the hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    Trunk,
    Archive,
}

/// How a member is set up.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    /// On which address; port 0 for any.
    pub at: String,
    pub role: Role,
    /// Objects that it keeps, the one used longest ago goes first.
    pub keeps: usize,
    /// How long a copy is fresh, in milliseconds by the name of its class; until purged where it has none.
    pub fresh_ms: HashMap<String, u64>,
    /// What an answer takes, and what it takes besides for each KB of the object.
    pub lag: Duration,
    pub per_kb: Duration,
    pub cold: Option<Cold>,
    /// Requests that it works on at once; more are refused as full.
    pub at_once: usize,
    /// Answers say in `Made-At` how old their copy is.
    pub tells_made: bool,
}

impl Spec {
    /// Quick, warm and with room for all.
    pub fn new(id: &str, at: &str, role: Role) -> Spec {
        let (keeps, lag, fresh_ms, cold) = (100_000, Duration::ZERO, HashMap::new(), None);
        let (at_once, tells_made) = (usize::MAX, true);
        let per_kb = Duration::ZERO;
        Spec { id: id.into(), at: at.into(), role, keeps, fresh_ms, lag, per_kb, cold, at_once, tells_made }
    }
}

/// How a member that has just started grows warm, and what makes it fall.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Requests a second that it can do when warm.
    pub warm: f64,
    pub from: f64,
    pub lasts: Duration,
    /// Sent more than this multiple of what it can do, for as long as the window, it falls.
    pub multiple: f64,
    pub window: Duration,
}

/// What is to go wrong; silence is the gate's matter.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// What an answer takes besides.
    pub slow: Duration,
    /// Refuses all as full.
    pub full: bool,
    /// Ends each connection in place of an answer.
    pub reset: bool,
    /// Fails each with 500.
    pub fails: bool,
}

/// What was asked, and what came of it.
#[derive(Default)]
pub struct Counts {
    pub asked: AtomicUsize,
    pub hits: AtomicUsize,
    /// Requests that asked for a renewal behind the answer, and renewals made.
    pub renewal_asked: AtomicUsize,
    pub renewed: AtomicUsize,
    pub fills: AtomicUsize,
    pub failed: AtomicUsize,
    /// Fills cut because they had come round.
    pub rings: AtomicUsize,
    /// Fills that came round a second time all the same.
    pub turned_twice: AtomicUsize,
    /// Cold, it was sent more than it stands.
    pub fell: AtomicUsize,
    /// Answers from a copy older than a purge or than was asked for.
    pub too_old: AtomicUsize,
}

/// One request to a cache or trunk cache that it could answer, or had to fill first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Milliseconds of the Unix clock.
    pub at_ms: u64,
    /// From what it held; else whoever asked had to wait for a fill.
    pub hit: bool,
    pub renewal_asked: bool,
    /// A renewal was begun behind it.
    pub renewed: bool,
}
