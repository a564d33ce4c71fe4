//! A simulation in virtual time of one front, with the real decision module and simulated caches.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Arguments;

use doorgrade::*;

use super::popularity;

/// Fronts of one site, which share its caches, at the target's size.
pub const SITE_FRONTS: u32 = 23;
/// Mean size of an object: 1.7 Tbit a second over 930,000 accesses.
const OBJECT_KB: f64 = 228.0;
/// Objects are fresh for an hour.
pub const HOUR: Ticks = 36_000_000;
const SOFT_LIMIT: Ticks = 4_000;
const HARD_LIMIT: Ticks = 15_000;
/// The time within which a purge has to be done everywhere, by the target.
pub const PURGE_PROPAGATION: Ticks = 46_000;
/// The lower bits of an access's id, which hold the object's popularity rank.
const RANK_BITS: u32 = 27;

/// One push as the simulated caches see it.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedPush {
    pub access: AccessId,
    /// Index of the push among those of its access.
    pub number: usize,
    /// The rank at which the cache stores the copy; 1 if the front does not know the object's fill.
    pub rank: u8,
    pub refresh: bool,
    /// Requests only a copy that the cache has.
    pub is_lookup: bool,
}

impl SimulatedPush {
    /// The object's popularity rank.
    pub fn object(&self) -> u32 {
        (self.access & ((1 << RANK_BITS) - 1)) as u32
    }
}

/// A simulated cache's response to a push.
#[derive(Clone, Copy, Debug)]
pub struct CacheResponse {
    pub outcome: Outcome,
    pub cache_status: CacheStatus,
    /// When the copy was filled from the origin.
    pub filled_at: Option<Ticks>,
    pub latency: Ticks,
}

/// The caches and their fill sources.
pub trait CacheModel {
    fn serve(&mut self, now: Ticks, push: &SimulatedPush) -> CacheResponse;
}

/// An input of a front, recorded so that it can be applied to another front.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    Access(Access),
    PushEnded(AccessId, PushResult),
    TimerFired(u64),
}

pub fn apply(front: &mut Front, now: Ticks, input: &Input, effects: &mut dyn EffectSink) {
    match input {
        Input::Access(access) => front.access(now, access, effects),
        Input::PushEnded(access, result) => front.push_ended(now, *access, result, effects),
        Input::TimerFired(key) => front.timer_fired(now, *key, effects),
    }
}

/// Discards all effects.
pub struct NullSink;

impl EffectSink for NullSink {
    fn push(&mut self, p: &Push<'_>) {
        std::hint::black_box(p);
    }
    fn cancel_push(&mut self, _: AccessId, _: usize) {}
    fn decline(&mut self, _: AccessId, _: UnservedReason) {}
    fn give_up(&mut self, _: AccessId, _: UnservedReason) {}
    fn set_timer(&mut self, at: Ticks, _: u64) {
        std::hint::black_box(at);
    }
    fn request_member_list(&mut self) {}
    fn log(&mut self, _: Arguments<'_>) {}
}

#[derive(Default)]
struct CollectedEffects {
    pushes: Vec<SimulatedPush>,
    timers: Vec<(Ticks, u64)>,
    cancelled: Vec<(AccessId, usize)>,
    declined: u64,
}

impl EffectSink for CollectedEffects {
    fn push(&mut self, p: &Push<'_>) {
        let is_lookup = p.source == p.cache || p.only_if_cached;
        self.pushes.push(SimulatedPush {
            access: p.access,
            number: 0,
            rank: p.rank,
            refresh: p.refresh,
            is_lookup,
        });
    }
    fn cancel_push(&mut self, access: AccessId, push: usize) {
        self.cancelled.push((access, push));
    }
    fn decline(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    fn give_up(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    fn set_timer(&mut self, at: Ticks, key: u64) {
        self.timers.push((at, key));
    }
    fn request_member_list(&mut self) {}
    fn log(&mut self, _: Arguments<'_>) {}
}

/// Numbers of members: caches of the front's zone, caches of other zones, and parents. There is always one origin.
#[derive(Clone, Copy, Debug)]
pub struct MemberCounts {
    pub own_zone: usize,
    pub other_zones: usize,
    pub parents: usize,
}

impl MemberCounts {
    pub fn list(&self) -> Vec<Member> {
        let member = |n: usize, zone: usize, kind: usize| Member {
            id: format!("s-{n:08x}").into(),
            zone,
            kind,
            cell: 0,
            status: MemberStatus::Listed,
            weight: 1.0,
            started_at: None,
        };
        let zone_and_kind = |n: usize| match n {
            n if n < self.own_zone => (0, 0),
            n if n < self.own_zone + self.other_zones => (1 + n % 43, 0),
            n if n < self.own_zone + self.other_zones + self.parents => (1, 1),
            _ => (1, 2),
        };
        let count = self.own_zone + self.other_zones + self.parents + 1;
        (0..count).map(|n| member(n, zone_and_kind(n).0, zone_and_kind(n).1)).collect()
    }
}

pub fn settings() -> Settings {
    let cold = ColdLimits { initial_share: 0.16, duration: 170_000, load_multiple: 2.0, window: 15_000 };
    let offering = Offering {
        soft_limit: SOFT_LIMIT,
        hard_limit: 0,
        transfer_factor: 4.0,
        benefit: 1.0,
        repeat_policy: RepeatPolicy::Idempotent,
        fresh_time: HOUR,
        uncacheable: false,
    };
    Settings {
        offerings: vec![offering],
        zone: 0,
        zone_fronts: SITE_FRONTS,
        parent_kind: Some(1),
        origin_kind: Some(2),
        status_reporting: StatusReporting::All,
        features: Features { join_fills: true, cache_bypass: true, cancel_pushes: true, hedged_pushes: true },
        max_pushes: 4,
        comparable_weights: true,
        list_on_request: false,
        min_input_interval: 20,
        flow_kb_per_s: 20_000.0,
        cold,
        parent_cold: cold,
        purge_propagation: PURGE_PROPAGATION,
    }
}

/// A new front that has received its member list.
pub fn front(members: MemberCounts, seed: u64, now: Ticks) -> Front {
    let mut front = Front::new(&settings(), seed);
    front.member_list_received(now, &members.list(), true, &mut NullSink);
    front
}

#[derive(Clone, Copy, Debug)]
enum Event {
    PushEnded(AccessId, PushResult),
    TimerFired(u64),
}

/// A front with its scheduled events.
pub struct Simulation {
    front: Front,
    effects: CollectedEffects,
    /// Time, sequence number and key of each event.
    schedule: BinaryHeap<Reverse<(Ticks, u64, usize)>>,
    events: slab::Slab<Event>,
    scheduled: u64,
    accesses: u64,
    /// All inputs of the front, if they are to be recorded.
    pub record: Option<Vec<(Ticks, Input)>>,
    pub pushes: u64,
    pub lookups: u64,
}

/// The front's first decision about an access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstDecision {
    Declined,
    /// Pushed; the front does not know the object's fill.
    PushedUnknown,
    /// Pushed; the front knows the object's fill.
    PushedKnown,
}

impl Simulation {
    pub fn new(members: MemberCounts, seed: u64, now: Ticks) -> Simulation {
        Simulation {
            front: front(members, seed, now),
            effects: CollectedEffects::default(),
            schedule: BinaryHeap::new(),
            events: slab::Slab::new(),
            scheduled: 0,
            accesses: 0,
            record: None,
            pushes: 0,
            lookups: 0,
        }
    }

    pub fn declined(&self) -> u64 {
        self.effects.declined
    }

    /// Runs all events up to `now`, then an access of the object with that popularity rank.
    pub fn access(&mut self, now: Ticks, rank: u32, caches: &mut impl CacheModel) -> FirstDecision {
        self.advance(now, caches);
        self.accesses += 1;
        let access = Access {
            id: self.accesses << RANK_BITS | u64::from(rank),
            offering: 0,
            object: popularity::object(rank),
            part: 0,
            group: 0,
            kb: OBJECT_KB,
            deadline: now + HARD_LIMIT,
            has_repeat_id: false,
        };
        self.apply(now, Input::Access(access));
        let decision = match self.effects.pushes.first() {
            None => FirstDecision::Declined,
            Some(p) if p.rank > 1 => FirstDecision::PushedKnown,
            Some(_) => FirstDecision::PushedUnknown,
        };
        self.carry_out_effects(now, caches);
        decision
    }

    fn apply(&mut self, now: Ticks, input: Input) {
        apply(&mut self.front, now, &input, &mut self.effects);
        self.record.iter_mut().for_each(|record| record.push((now, input)));
    }

    fn advance(&mut self, now: Ticks, caches: &mut impl CacheModel) {
        while let Some(&Reverse((at, _, event))) = self.schedule.peek().filter(|e| e.0.0 <= now) {
            self.schedule.pop();
            match self.events.remove(event) {
                Event::PushEnded(access, result) => self.apply(at, Input::PushEnded(access, result)),
                Event::TimerFired(key) => self.apply(at, Input::TimerFired(key)),
            }
            self.carry_out_effects(at, caches);
        }
    }

    fn schedule(&mut self, at: Ticks, event: Event) {
        self.scheduled += 1;
        self.schedule.push(Reverse((at, self.scheduled, self.events.insert(event))));
    }

    /// Carries out the front's effects, and those that follow from them.
    fn carry_out_effects(&mut self, now: Ticks, caches: &mut impl CacheModel) {
        while !(self.effects.pushes.is_empty()
            && self.effects.timers.is_empty()
            && self.effects.cancelled.is_empty())
        {
            // A push does not carry its number, but the front sets a timer for each push before it, and the lower four
            // bits of the timer's key are the number.
            let timers = std::mem::take(&mut self.effects.timers);
            let mut numbers = timers.iter().map(|t| (t.1 >> 4, (t.1 & 15) as usize));
            for mut push in std::mem::take(&mut self.effects.pushes) {
                push.number = numbers.find(|n| n.0 == push.access).map_or(0, |n| n.1);
                self.serve(now, &push, caches);
            }
            for (at, key) in timers {
                self.schedule(at, Event::TimerFired(key));
            }
            for (access, push) in std::mem::take(&mut self.effects.cancelled) {
                let (outcome, cache_status) = (Outcome::Withdrawn, CacheStatus::Untold);
                let result = PushResult {
                    push,
                    outcome,
                    access_done: false,
                    latency: 0,
                    cache_status,
                    origin_sent_at: None,
                };
                self.apply(now, Input::PushEnded(access, result));
            }
        }
    }

    fn serve(&mut self, now: Ticks, push: &SimulatedPush, caches: &mut impl CacheModel) {
        self.pushes += 1;
        self.lookups += u64::from(push.is_lookup);
        let CacheResponse { outcome, cache_status, filled_at, latency } = caches.serve(now, push);
        let access_done = outcome == Outcome::Handled;
        let result = PushResult {
            push: push.number,
            outcome,
            access_done,
            latency,
            cache_status,
            origin_sent_at: filled_at,
        };
        self.schedule(now + latency, Event::PushEnded(push.access, result));
    }
}
