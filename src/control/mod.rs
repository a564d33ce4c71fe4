//! Every decision of a front. To use it, make a [`Front`] from the settings and hand it each input as it
//! comes, with the time now: `member_list_received`, `access`, `push_ended`, `timer_fired`, `client_left`,
//! `purge_received`, ... It responds through the [`EffectSink`]. The types are in `interface.rs`. A front
//! knows only what it was handed: it shares no state with other fronts.
//!
//! The normal path (docs/design.md): the object hashes to a cache of the zone, and a miss is filled from the
//! parent that the object hashes to among all listed parents. A copy serves if it is at least
//! `FRESHNESS_MARGIN` younger than the fresh time. Once less than `REFRESH_THRESHOLD` of the fresh time is
//! left since the last known fill, the cache serves its copy and refreshes it in the background.

mod access;
mod cold;
mod estimates;
mod fills;
mod health;
mod member_list;
mod push;
mod selection;

use arrayvec::ArrayVec;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::decay::{AveragedCount, DecayingSum};
use crate::evicting_map::EvictingMap;
use crate::hash;
use crate::interface::*;
use crate::state::*;

/// The timer key for requests of the member list. Every other key is an access id and the number of a push in
/// its lowest 4 bits.
const MEMBER_LIST_TIMER: u64 = u64::MAX;

/// One front: its settings, its open accesses, and what it has learned about members, offerings and copies.
pub struct Front {
    offerings: Vec<OfferingState>,
    zone: usize,
    /// The kinds of member that are parents and the origin.
    upstream_kinds: [Option<usize>; 2],
    status_reporting: StatusReporting,
    features: Features,
    max_pushes: usize,
    comparable_weights: bool,
    /// The member list must be requested, and has not been yet.
    must_request_list: bool,
    /// The time before an access's deadline by which its last push must have ended.
    answer_margin: Ticks,
    /// The rate of one transfer; 0 if it is unknown.
    kb_per_tick: f64,
    /// The limits of cold caches and of cold parents.
    cold_limits: [ColdLimits; 2],
    purge_propagation: Ticks,
    rng: Rng,
    /// All members that are listed, and former ones until their slots are reused.
    members: Vec<MemberState>,
    index_by_id: FxHashMap<Box<str>, MemberIndex>,
    /// The listed caches of the zone.
    caches: Vec<MemberIndex>,
    /// The listed parents.
    parents: Vec<MemberIndex>,
    /// The listed origin.
    origin: Option<MemberIndex>,
    /// The accesses that are open.
    accesses: Slab<AccessState>,
    index_by_access: FxHashMap<AccessId, AccessIndex>,
    /// The newest known fill of each part of an object.
    fills: EvictingMap<(u64, u32), FillRecord>,
    /// The latest purge of an object (key true) or of a group (key false).
    purges: EvictingMap<(bool, u64), Ticks>,
    /// The work per tick, in accesses of mean work, that a warm cache, and a warm parent, of weight 1 does for
    /// this front.
    warm_throughput: [f64; 2],
    /// The mean transfer time of an access, in ticks, over all offerings as they are mixed.
    mean_transfer_time: f64,
    /// The mean benefit of an access per tick of its transfer time, and how many accesses it is over, as far as
    /// that matters.
    mean_benefit_rate: f64,
    benefit_rate_samples: f64,
    /// How many retries may be sent now. Each access adds a fifth of one; a retry after a push that provably
    /// did not run costs a quarter.
    retry_budget: f64,
    /// The moving average of the share of pushes that timed out without an answer.
    lost_rate: f64,
    /// The moving average of the share of answered pushes that took longer than the soft limit.
    late_rate: f64,
    /// The in-flight limit of a new member.
    initial_limit: f64,
    /// The mean number of fills over the zone's inbound link that this front may have in flight.
    fill_limit: f64,
    /// When the origin last refused a request.
    origin_refused_at: Ticks,
    /// While the origin refuses: when a fill may next find out whether it still does.
    origin_probe_at: Ticks,
    fills_in_flight: AveragedCount,
    /// The time constant, in ticks, over which in-flight counts are averaged.
    averaging_time: f64,
    /// The number of fronts that serve the zone.
    zone_fronts: f64,
    /// The front shuts down: no access may be open after this.
    shutdown_deadline: Ticks,
}

/// The members that a push names: its cache and, if that is another, its source.
fn members_of((cache, source): PushTarget) -> impl Iterator<Item = MemberIndex> {
    std::iter::once(cache).chain(Some(source).filter(move |&s| s != cache))
}

impl Front {
    pub fn new(settings: &Settings, seed: u64) -> Self {
        // Until answers tell the transfer time, it is taken for half the soft limit: an estimate on the long
        // side.
        let offering = |o: &Offering| OfferingState {
            settings: o.clone(),
            mean_transfer_time: o.soft_limit as f64 / 2.0,
            overdue_factor: 1.0,
        };
        // 20 pushes in flight at one cache, from all fronts of the zone together. Answers soon correct it.
        let initial_limit = 20.0 / f64::from(settings.zone_fronts);
        let offerings: Vec<_> = settings.offerings.iter().map(offering).collect();
        let initial_times: f64 = offerings.iter().map(|o| o.mean_transfer_time).sum();
        Front {
            mean_transfer_time: initial_times / offerings.len().max(1) as f64,
            offerings,
            zone: settings.zone,
            upstream_kinds: [settings.parent_kind, settings.origin_kind],
            status_reporting: settings.status_reporting,
            features: settings.features,
            max_pushes: settings.max_pushes.min(MAX_PUSHES_PER_ACCESS),
            comparable_weights: settings.comparable_weights,
            must_request_list: settings.list_on_request,
            // One input to learn that a push timed out, one more to answer the client, and 1 ms.
            answer_margin: 2 * settings.min_input_interval + 10,
            kb_per_tick: settings.flow_kb_per_s / 10_000.0,
            cold_limits: [settings.cold, settings.parent_cold],
            purge_propagation: settings.purge_propagation,
            rng: Rng::with_seed(seed),
            members: Vec::new(),
            index_by_id: FxHashMap::default(),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            accesses: Slab::new(),
            index_by_access: FxHashMap::default(),
            fills: EvictingMap::new(|f| f.filled_at),
            purges: EvictingMap::new(|&at| at),
            warm_throughput: [0.0; 2],
            mean_benefit_rate: 0.0,
            benefit_rate_samples: 0.0,
            retry_budget: 10.0,
            lost_rate: 0.0,
            late_rate: 0.0,
            initial_limit,
            fill_limit: 2.0 * initial_limit,
            origin_refused_at: 0,
            origin_probe_at: 0,
            fills_in_flight: AveragedCount::default(),
            // 50 ms for each further front: each has few accesses in flight, so that its count at one moment
            // is chance, while an average is not.
            averaging_time: 500.0 * (f64::from(settings.zone_fronts) - 1.0),
            zone_fronts: f64::from(settings.zone_fronts),
            shutdown_deadline: Ticks::MAX,
        }
    }
}
