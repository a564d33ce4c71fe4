//! The types that pass between a caller (the bench adapter or the real front) and the decisions in `control`.

use arrayvec::ArrayVec;

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;

/// Identifies an access at its front.
pub type AccessId = u64;

/// Whether an access of an offering may be sent again after it may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// At any cache.
    Idempotent,
    /// At the caches of the group that the earlier pushes were sent to, for this long after each of them.
    Deduplicated { within: Group, window: Ticks },
    /// Never.
    Unrepeatable,
}

/// The caches that together deduplicate repeats of an access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All caches of all zones.
    All,
    /// The caches of one zone.
    Zone,
    /// The caches of one cell of a zone.
    Cell,
}

/// The state of a member in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// In service.
    Listed,
    /// About to stop: no push may name it.
    Draining,
    /// No longer there.
    Gone,
}

/// Which responses of caches report a [`CacheStatus`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusReporting {
    All,
    /// Only hits.
    Hits,
    Never,
}

/// A kind of accesses, with the settings that they share.
#[derive(Clone, Debug, PartialEq)]
pub struct Offering {
    /// The time within which an access should be answered.
    pub soft_limit: Ticks,
    /// The longest that a client waits for an access, across all of its tries; 0 where it is unknown.
    pub hard_limit: Ticks,
    /// The soft limit grows by this multiple of the time that the access's own transfer takes.
    pub transfer_factor: f64,
    /// The value of an answer, relative to other offerings. Under overload it decides what is served.
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
    /// The front's zone. A member of this zone that is neither parent nor origin is one of its caches.
    pub zone: usize,
    /// The number of fronts that serve this front's zone, including itself.
    pub zone_fronts: u32,
    /// The kind of member that is a parent, where there are parents.
    pub parent_kind: Option<usize>,
    /// The kind of member that is the origin, where there is one.
    pub origin_kind: Option<usize>,
    pub status_reporting: StatusReporting,
    pub features: Features,
    /// The most pushes of one access.
    pub max_pushes: usize,
    /// Weights of different members are in the same unit and can be compared.
    pub comparable_weights: bool,
    /// The member list is sent only on request.
    pub list_on_request: bool,
    /// The shortest time between two inputs.
    pub min_input_interval: Ticks,
    /// The rate of one transfer; 0 where it is unknown.
    pub flow_kb_per_s: f64,
    /// The limits of cold caches.
    pub cold: ColdLimits,
    /// The limits of cold parents.
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
    /// A push in flight may be cancelled.
    pub cancel_pushes: bool,
    /// Two pushes of one access may be in flight at once.
    pub hedged_pushes: bool,
}

/// The load that a cold member can take, and the span over which more than that makes it fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// The share of a warm member's load that it can take when it starts. The share rises evenly to 1.
    pub initial_share: f64,
    /// How long a member is cold.
    pub duration: Ticks,
    /// More than this multiple of that load, within `window`, makes the member fail.
    pub load_multiple: f64,
    pub window: Ticks,
}

/// One entry of the list of caches, parents and the origin.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: Box<str>,
    pub zone: usize,
    /// Tells parents and the origin from caches: see [`Settings::parent_kind`].
    pub kind: usize,
    /// The group of members, within a zone, that share deduplication and often fail together.
    pub cell: u64,
    pub status: MemberStatus,
    /// Its capacity, relative to other members.
    pub weight: f64,
    /// When its process started, where known.
    pub started_at: Option<Ticks>,
}

/// A client's request for a part of an object, or for an action at the origin.
#[derive(Clone, Copy, Debug)]
pub struct Access {
    pub id: AccessId,
    /// The index of its offering in the settings.
    pub offering: usize,
    pub object: u64,
    pub part: u32,
    /// A group of objects that are purged together.
    pub group: u64,
    /// The size of the response; 0 where it is unknown.
    pub kb: f64,
    /// When its hard limit ends.
    pub deadline: Ticks,
    /// The access carries an identifier by which caches recognise a repeat of it.
    pub has_repeat_id: bool,
}

/// How a push ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The cache served the access.
    Handled,
    /// The cache answered with an error.
    Error,
    /// The cache refused the push for lack of capacity, before it ran.
    Full,
    TimedOut,
    /// No connection to the cache could be established.
    Unreachable,
    /// The connection broke, or what came over it can't be used.
    Broken,
    /// The push was cancelled.
    Withdrawn,
    /// The push was not sent, or its cache didn't begin to run it.
    NeverSent,
    /// The cache has no copy, and didn't fetch one.
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
    /// The cache didn't report it.
    Untold,
    Hit,
    /// Filled from the source that the push names.
    Filled,
    /// Filled from the origin, through the source that the push names or directly.
    FilledByOrigin,
    /// Joined a fill in flight.
    Joined,
    /// Served a copy past its fresh time.
    Stale,
    /// The source refused the fill.
    SourceRefused,
    /// The source didn't answer the fill, or the connection to it broke.
    SourceLost,
    /// The push allowed the source to serve only a copy that it holds, and it has none.
    SourceLacks,
    /// The cache has no capacity for another fill.
    NoFillPlace,
    /// The origin failed or refused the fill.
    OriginFailed,
}

/// The result of a push.
#[derive(Clone, Copy, Debug)]
pub struct PushResult {
    /// The number of the push among those of its access, from 0.
    pub push: usize,
    pub outcome: Outcome,
    /// The access has its response: no further push is needed.
    pub access_done: bool,
    /// From when the push was sent to its end.
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
    /// The retry budget is used up.
    NoSparePushes,
    /// The origin failed or refused the fill.
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
            UnservedReason::OutOfPushes => "out of pushes",
            UnservedReason::Crowded => "caches are overloaded",
            UnservedReason::NoCache => "no usable cache",
            UnservedReason::NoSource => "no source to fill from",
            UnservedReason::NoSparePushes => "retry budget used up",
            UnservedReason::OriginFailed => "the origin failed",
            UnservedReason::NotHeld => "no source holds a copy",
            UnservedReason::FailedTwice => "two caches failed",
            UnservedReason::FrontEnds => "the front is shutting down",
        })
    }
}

/// One push of an access, as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Push<'a> {
    pub access: AccessId,
    /// The id of the member that the push is sent to: a cache or, where that is bypassed, a parent or the
    /// origin.
    pub cache: &'a str,
    /// The id of the member that a miss is filled from; that of `cache` again if nothing may be filled.
    pub source: &'a str,
    /// The push times out this long after it was sent.
    pub timeout: Ticks,
    /// The push must not be sent at or after this time, however long its connection took to establish.
    pub send_deadline: Ticks,
    /// The oldest acceptable copy; 0 means that the offering's fresh time applies.
    pub max_age: Ticks,
    /// The rank at which the cache stores the copy: those of the lowest rank are evicted first.
    pub rank: u8,
    /// The push may join a fill in flight.
    pub join_fill: bool,
    /// The cache refreshes its copy in the background.
    pub refresh: bool,
    /// The source serves only a copy that it holds, and does not fetch one.
    pub only_if_cached: bool,
}

/// A source that may be named in a push now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillRoute {
    /// The hash of the source's id.
    pub key: u64,
    /// The source serves only a copy that it holds, and does not fetch one.
    pub only_if_cached: bool,
    /// Once the cache has missed, and with `cache_bypass`: the push goes directly to this parent, which fills
    /// from the source and keeps the copy.
    pub via_parent: Option<u64>,
}

/// The most fill routes of an access.
pub const MAX_FILL_ROUTES: usize = 24;

/// The sources that an access may be filled from now, in the order in which to try them, where the parents
/// form a hierarchy with a configured shape.
#[derive(Clone, Debug, Default)]
pub struct FillRoutes {
    /// If false, `order` does not apply: the parents are one flat list.
    pub hierarchical: bool,
    pub order: ArrayVec<FillRoute, MAX_FILL_ROUTES>,
    /// When to call [`EffectSink::fill_routes`] again, if none of these can be used.
    pub retry_at: Option<Ticks>,
}

/// Carries out the effects of the decisions.
pub trait EffectSink {
    /// Called before each push of an access that may be filled; `soft_limit_at` is when its soft limit ends.
    fn fill_routes(&mut self, _access: &Access, _soft_limit_at: Ticks) -> FillRoutes {
        FillRoutes::default()
    }

    /// Sends a push. Its number is the count of the earlier pushes of its access.
    fn push(&mut self, push: &Push<'_>);
    /// Cancels a push; it still ends by [`Front::push_ended`](crate::Front::push_ended).
    fn cancel_push(&mut self, access: AccessId, push: usize);
    /// Ends an access that the client may safely send again.
    fn decline(&mut self, access: AccessId, reason: UnservedReason);
    /// Ends an access that may already have run.
    fn give_up(&mut self, access: AccessId, reason: UnservedReason);
    /// Calls [`Front::timer_fired`](crate::Front::timer_fired) with `key` at `at`.
    fn set_timer(&mut self, at: Ticks, key: u64);
    /// Requests the member list; [`Front::member_list_received`](crate::Front::member_list_received) takes
    /// it.
    fn request_member_list(&mut self);
    /// Logs a message.
    fn log(&mut self, text: std::fmt::Arguments<'_>);
}
