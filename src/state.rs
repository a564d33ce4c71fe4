//! The state that the decisions in `control` keep about accesses, offerings and members.

use arrayvec::ArrayVec;

use crate::control::Front;
use crate::decay::{AveragedCount, DecayingSum};
use crate::interface::*;

/// How many pushes of one access are recorded, and so sent at most: a ninth would seldom be in time.
pub const MAX_PUSHES_PER_ACCESS: usize = 8;

/// The index of a member in `Front::members`.
pub type MemberIndex = usize;

/// The index of an access in `Front::accesses`.
pub type AccessIndex = usize;

/// The cache that a push is sent to and the source that a miss is filled from. The same member twice means
/// that nothing is filled: the push is a lookup, which a cache without a copy answers with a miss.
pub type PushTarget = (MemberIndex, MemberIndex);

/// Continues an access when one of its pushes has ended and the access isn't done.
pub type PushEndHandler = fn(&mut Front, Ticks, AccessIndex, &PushResult, &mut dyn EffectSink);

/// A source to fill from; whether it may serve only a copy that it holds; and the parent, if any, that the
/// push is sent to in place of a cache and that fills from the source.
pub type SourceChoice = (MemberIndex, bool, Option<MemberIndex>);

/// A push that was sent.
pub struct SentPush {
    pub target: PushTarget,
    pub sent_at: Ticks,
    /// None while the push is in flight.
    pub outcome: Option<Outcome>,
    /// Its overdue timer fired before it ended.
    pub overdue: bool,
    /// Expected to need a fill over the zone's inbound link.
    pub needs_fill: bool,
    /// Counted in `Front::fills_in_flight` and its members' `in_flight`.
    pub counted: bool,
    /// It failed, or is taken to fail, at its source and not at its cache.
    pub source_failed: bool,
    /// The source may serve only a copy that it holds.
    pub only_if_cached: bool,
    /// Called when it has ended, unless its access is done.
    pub on_end: PushEndHandler,
}

/// An access that isn't done, or of which a push is still in flight.
pub struct AccessState {
    pub access: Access,
    /// The expected time of its transfer, in ticks.
    pub transfer_time: f64,
    /// When its soft limit ends.
    pub soft_limit_at: Ticks,
    /// The share of an in-flight limit up to which it may still be pushed, from 0.5 to 1.5: the higher, the
    /// more benefit it brings for its transfer time.
    pub limit_share: f64,
    /// A random number from 0 to 1, which decides whether it is among the part of the accesses that may be
    /// sent to a cold cache.
    pub sample: f64,
    /// The zone's caches most likely have no copy.
    pub likely_miss: bool,
    /// The rank at which a cache stores the copy: see [`Push::rank`].
    pub rank: u8,
    /// The cache is to refresh its copy in the background.
    pub refresh: bool,
    pub pushes: ArrayVec<SentPush, MAX_PUSHES_PER_ACCESS>,
    /// The access was already looked up at its cache alone, or need not be since the cache has just started.
    pub looked_up: bool,
    /// The origin refuses requests, so a parent may serve only a copy that it holds.
    pub avoid_origin: bool,
    /// The source of the fill route may serve only a copy that it holds: it is a former home of the object.
    pub route_only_if_cached: bool,
    /// It has been answered, declined or given up, or its client has left.
    pub done: bool,
}

/// The newest known fill of a part of an object.
pub struct FillRecord {
    /// When the origin sent the copy, or the best estimate of it.
    pub filled_at: Ticks,
    pub last_access_at: Ticks,
}

/// An offering and what is learned about it.
pub struct OfferingState {
    pub settings: Offering,
    /// The mean time of a transfer, in ticks.
    pub mean_transfer_time: f64,
    /// Scales the time after which a push is overdue, so that one push in twenty is overdue in normal
    /// operation.
    pub overdue_factor: f64,
}

/// The role of a member for this front. The names are logged.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

/// A cache, a parent or the origin, and what is learned about it.
#[derive(Default)]
pub struct MemberState {
    pub id: Box<str>,
    pub id_hash: u64,
    pub role: Role,
    pub zone: usize,
    pub cell: u64,
    pub weight: f64,
    /// Draining, or gone from the member list.
    pub unlisted: bool,
    /// When it started, where known; from then on it is cold until its slow start is over.
    pub started_at: Option<Ticks>,
    /// The moving average of the share of pushes naming it that failed or became overdue.
    pub failure_rate: f64,
    /// Until then it is ejected: a push names it only if no healthy member can be used.
    pub ejected_until: Ticks,
    /// How long its next ejection lasts.
    pub next_ejection: Ticks,
    /// Successful answers that it still owes after an ejection; until then it gets one push at a time.
    pub probation: u32,
    /// The pushes in flight that name it.
    pub in_flight: AveragedCount,
    /// When it last answered a push, or a fill from it arrived.
    pub answered_at: Ticks,
    /// Pushes that became overdue since its last answer; `u32::MAX` if a connection to it failed since.
    pub unanswered_pushes: u32,
    /// The mean number of pushes in flight that this front may have at it.
    pub limit: f64,
    /// The work of its answers, in accesses of mean work. It is updated at every answer to a push that names
    /// the member.
    pub throughput: DecayingSum,
    /// The work of the pushes that were sent to it, in accesses of mean work; leaks at the pace of its cold budget.
    pub cold_spent: DecayingSum,
}
