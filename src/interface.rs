//! The types that pass between a caller (the bench adapter or the real front) and the decisions in `control`.

use arrayvec::ArrayVec;

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;
pub type AccessId = u64;

/// Whether an access of an offering may be sent again after it may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    Idempotent,
    Deduplicated { within: Group, window: Ticks },
    Unrepeatable,
}

/// The caches that together deduplicate repeats of an access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// The state of a member in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    Listed,
    Draining,
    Gone,
}

/// Which responses carry a [`CacheStatus`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusReporting {
    All,
    Hits,
    Never,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Offering {
    pub soft_limit: Ticks,
    /// The soft limit grows by this multiple of the time that the access's own transfer takes.
    pub transfer_factor: f64,
    pub benefit: f64,
    pub repeat_policy: RepeatPolicy,
    /// 0: a copy stays fresh until it is purged.
    pub fresh_time: Ticks,
    /// Every access runs at the origin, and no cache keeps a copy.
    pub uncacheable: bool,
}

/// The settings that a front receives once, when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub offerings: Vec<Offering>,
    pub zone: usize,
    /// The number of fronts that serve this front's zone, including itself.
    pub zone_fronts: u32,
    pub parent_kind: Option<usize>,
    pub origin_kind: Option<usize>,
    pub status_reporting: StatusReporting,
    pub features: Features,
    pub max_pushes: usize,
    /// Weights of different members are in the same unit and can be compared.
    pub comparable_weights: bool,
    /// The member list is sent only on request.
    pub list_on_request: bool,
    /// The shortest time between two inputs.
    pub min_input_interval: Ticks,
    pub flow_kb_per_s: f64,
    pub cold: ColdLimits,
    pub parent_cold: ColdLimits,
    /// The time after which a purge has reached every cache.
    pub purge_propagation: Ticks,
}

/// Optional behaviour that the settings enable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Features {
    /// An access may join a fill that is already in flight.
    pub join_fills: bool,
    /// An access may be sent directly to a parent or the origin.
    pub cache_bypass: bool,
    pub cancel_pushes: bool,
    /// Two pushes of one access may be in flight at once.
    pub hedged_pushes: bool,
}

/// The load that a cold member can take, and the span over which more than that makes it fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    pub initial_share: f64,
    pub duration: Ticks,
    pub load_multiple: f64,
    pub window: Ticks,
}

/// One entry of the list of caches, parents and the origin.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: Box<str>,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    pub status: MemberStatus,
    pub weight: f64,
    pub started_at: Option<Ticks>,
}

#[derive(Clone, Copy, Debug)]
pub struct Access {
    pub id: AccessId,
    pub offering: usize,
    pub object: u64,
    pub part: u32,
    pub group: u64,
    /// The size of the response; 0 where it is unknown.
    pub kb: f64,
    /// Its hard limit.
    pub deadline: Ticks,
    /// The access carries an identifier by which caches recognise a repeat of it.
    pub has_repeat_id: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Handled,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    NeverSent,
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the push did not run.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent | Outcome::Miss)
    }
}

/// How a cache produced its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    Untold,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// The result of a push.
#[derive(Clone, Copy, Debug)]
pub struct PushResult {
    pub push: usize,
    pub outcome: Outcome,
    /// The access has its answer: no further push is needed.
    pub access_done: bool,
    pub latency: Ticks,
    pub cache_status: CacheStatus,
    /// When the origin sent the copy in the response, where known. By the clock of another machine.
    pub origin_sent_at: Option<Ticks>,
}

/// Why an access ends without a response from a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnservedReason {
    /// The hard limit leaves no time for another push.
    OutOfTime,
    /// The access has used all the pushes that the settings allow.
    OutOfPushes,
    /// The healthy caches already have as many pushes in flight as they can answer in time.
    Crowded,
    /// No permitted cache is healthy, warm enough, and in the group that deduplicates a repeat.
    NoCache,
    /// No source for a fill is healthy and has capacity left.
    NoSource,
    /// The retry budget is spent.
    NoSparePushes,
    OriginFailed,
    /// No source holds a copy, and while the origin refuses requests nothing is fetched from it.
    NotHeld,
    /// Two caches answered with an error.
    FailedTwice,
    /// The front is shutting down.
    FrontEnds,
}

impl std::fmt::Display for UnservedReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            UnservedReason::OutOfTime => "out of time",
            UnservedReason::OutOfPushes => "out of attempts",
            UnservedReason::Crowded => "caches are crowded",
            UnservedReason::NoCache => "no cache may be asked",
            UnservedReason::NoSource => "no source to fill from",
            UnservedReason::NoSparePushes => "no retries to spare",
            UnservedReason::OriginFailed => "the origin failed",
            UnservedReason::NotHeld => "nobody holds it",
            UnservedReason::FailedTwice => "failed twice",
            UnservedReason::FrontEnds => "the front ends",
        })
    }
}

/// One push of an access, as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Push<'a> {
    pub access: AccessId,
    pub cache: &'a str,
    pub source: &'a str,
    pub timeout: Ticks,
    /// The push must not be sent at or after this time, however long its connection took to establish.
    pub send_deadline: Ticks,
    /// The oldest acceptable copy; 0 means that the offering's fresh time applies.
    pub max_age: Ticks,
    pub rank: u8,
    pub join_fill: bool,
    /// The cache refreshes its copy in the background.
    pub refresh: bool,
    /// The source answers only with what it holds, and does not fetch it.
    pub only_if_cached: bool,
}

/// A source that may be named in a push now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillRoute {
    /// The hash of the source's id.
    pub key: u64,
    /// The source is asked only for what it holds.
    pub only_if_cached: bool,
    /// Once the cache has missed, and with `cache_bypass`: the push goes directly to this parent, which fills from the
    /// source and keeps the copy.
    pub via_parent: Option<u64>,
}

pub const MAX_FILL_ROUTES: usize = 24;

/// The sources that an access may be filled from now, in the order in which to try them, where the parents form a
/// hierarchy with a configured shape.
#[derive(Clone, Debug, Default)]
pub struct FillRoutes {
    /// If false, `order` does not apply: the parents are one flat list.
    pub hierarchical: bool,
    pub order: ArrayVec<FillRoute, MAX_FILL_ROUTES>,
    /// When to ask for routes again, if none of these can be used.
    pub retry_at: Option<Ticks>,
}

/// Carries out the effects of the decisions.
pub trait EffectSink {
    /// Called before each push of an access that may be filled; `soft_limit_at` is when its soft limit ends.
    fn fill_routes(&mut self, _access: &Access, _soft_limit_at: Ticks) -> FillRoutes {
        FillRoutes::default()
    }

    fn push(&mut self, push: &Push<'_>);
    fn cancel_push(&mut self, access: AccessId, push: usize);
    /// Ends an access that the client may safely send again.
    fn decline(&mut self, access: AccessId, reason: UnservedReason);
    /// Ends an access that may already have run.
    fn give_up(&mut self, access: AccessId, reason: UnservedReason);
    /// Calls [`Front::timer_fired`](crate::Front::timer_fired) with `key` at `at`.
    fn set_timer(&mut self, at: Ticks, key: u64);
    fn request_member_list(&mut self);
    fn log(&mut self, text: std::fmt::Arguments<'_>);
}
