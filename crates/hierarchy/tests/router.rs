//! The decision module and the router together, in a simulation of three caches, two tiers of parents and an archive.
//! The simulation checks after each step what must hold of every access.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Arguments;

use doorgrade::*;
use doorgrade_hierarchy::{Change, ChangeKind, FillRouter, RouterConfig, Standing};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ORIGIN: &str = "archive";
const HANDOVER_DURATION: Ticks = 50_000;
const PURGE_PROPAGATION: Ticks = 60_000;

struct SentPush {
    cache: String,
    source: String,
    only_if_cached: bool,
    ended: bool,
    proved_unrun: bool,
}

struct OpenAccess {
    access: Access,
    pushes: Vec<SentPush>,
    done: bool,
    routes: FillRoutes,
}

struct World {
    now: Ticks,
    rng: Rng,
    router: FillRouter,
    /// All changes of the shape so far.
    shape: Vec<Change>,
    members: BTreeMap<String, Member>,
    accesses: BTreeMap<AccessId, OpenAccess>,
    timers: Vec<(Ticks, u64)>,
    /// Pushes sent: when each ends, and its outcome if it is fixed already.
    in_flight: Vec<(Ticks, AccessId, usize, Option<Outcome>)>,
    /// Which cache or parent holds which object.
    copies: BTreeSet<(String, u64)>,
    /// When each object was purged last.
    purges: BTreeMap<u64, Ticks>,
    /// When the archive was asked for a fill.
    archive_requests: Vec<Ticks>,
    old_home_pushes: u32,
    declined: u32,
    handled: u32,
    waits: u32,
    /// Members that don't respond, but are listed.
    hung: BTreeSet<String>,
}

fn present(member: &str, number: u64, tier: u8, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let kind = ChangeKind::Present { tier, standing: Standing::InService, fills_from };
    Change { member: member.into(), incarnation: 1, number, kind }
}

fn member(id: &str, kind: usize) -> Member {
    let status = MemberStatus::Listed;
    Member { id: id.into(), zone: 0, kind, cell: 0, status, weight: 1.0, started_at: None }
}

fn settings() -> Settings {
    let offering = |repeat_policy, fresh_time, uncacheable| Offering {
        soft_limit: 4_000,
        hard_limit: 20_000,
        transfer_factor: 0.0,
        benefit: 1.0,
        repeat_policy,
        fresh_time,
        uncacheable,
    };
    let cold = ColdLimits { initial_share: 0.2, duration: 100_000, load_multiple: 3.0, window: 20_000 };
    Settings {
        offerings: vec![
            offering(RepeatPolicy::Idempotent, 0, false),
            offering(RepeatPolicy::Idempotent, 80_000, false),
            offering(RepeatPolicy::Unrepeatable, 0, true),
        ],
        zone: 0,
        zone_fronts: 1,
        parent_kind: Some(1),
        origin_kind: Some(2),
        status_reporting: StatusReporting::All,
        features: Features { join_fills: true, cache_bypass: true, cancel_pushes: true, hedged_pushes: true },
        max_pushes: 6,
        comparable_weights: true,
        list_on_request: false,
        min_input_interval: 20,
        flow_kb_per_s: 0.0,
        cold,
        parent_cold: ColdLimits { initial_share: 0.1, ..cold },
        purge_propagation: PURGE_PROPAGATION,
    }
}

impl World {
    fn new(seed: u64, shield: bool) -> (World, Front) {
        let set = settings();
        let now = 1_000_000;
        let cold = set.parent_cold;
        let config = RouterConfig {
            tier: 1,
            handover_duration: HANDOVER_DURATION,
            cold_initial_share: cold.initial_share,
            cold_duration: cold.duration,
            zone_fronts: 1,
            shield,
        };
        let mut world = World {
            now,
            rng: Rng::with_seed(seed),
            router: FillRouter::new(config, now),
            members: BTreeMap::new(),
            accesses: BTreeMap::new(),
            timers: Vec::new(),
            in_flight: Vec::new(),
            shape: Vec::new(),
            copies: BTreeSet::new(),
            purges: BTreeMap::new(),
            archive_requests: Vec::new(),
            old_home_pushes: 0,
            declined: 0,
            handled: 0,
            waits: 0,
            hung: BTreeSet::new(),
        };
        let mut front = Front::new(&set, seed);
        let mut all: Vec<Member> = ["c-0", "c-1", "c-2"].map(|id| member(id, 0)).into();
        all.extend(["t-0", "t-1", "t-2", "u-0", "u-1"].map(|id| member(id, 1)));
        all.push(member(ORIGIN, 2));
        world.update_members(&mut front, &all);
        world.apply_changes(&[
            present(ORIGIN, 1, 3, &[]),
            present("u-0", 1, 2, &[ORIGIN]),
            present("u-1", 1, 2, &[ORIGIN]),
        ]);
        world.apply_changes(&["t-0", "t-1", "t-2"].map(|t| present(t, 1, 1, &["u-0", "u-1"])));
        (world, front)
    }

    fn apply_changes(&mut self, changes: &[Change]) {
        self.shape.extend_from_slice(changes);
        self.router.replace_shape(self.now, &self.shape);
    }

    fn update_members(&mut self, front: &mut Front, members: &[Member]) {
        for m in members {
            self.members.insert(m.id.to_string(), m.clone());
            if m.started_at.is_some() || m.status == MemberStatus::Gone {
                self.copies.retain(|(holder, _)| *holder != *m.id);
            }
        }
        let parents: Vec<Member> = members.iter().filter(|m| m.kind > 0).cloned().collect();
        self.router.update_members(self.now, &parents, false);
        front.member_list_received(self.now, members, false, self);
    }

    fn access(&mut self, front: &mut Front, id: AccessId, offering: usize, object: u64) {
        let deadline = self.now + 20_000;
        let access =
            Access { id, offering, object, part: 0, group: 0, kb: 0.0, deadline, has_repeat_id: true };
        self.accesses.insert(
            id,
            OpenAccess { access, pushes: Vec::new(), done: false, routes: FillRoutes::default() },
        );
        front.access(self.now, &access, self);
        self.remove_if_done(id);
    }

    fn remove_if_done(&mut self, id: AccessId) {
        if self.accesses.get(&id).is_some_and(|open| open.done && open.pushes.iter().all(|p| p.ended)) {
            self.accesses.remove(&id);
            self.router.access_done(self.now, id);
        }
    }

    /// Ends a push with the outcome that the state gives it. Caches and parents keep what was filled through them.
    fn resolve(&mut self, front: &mut Front, id: AccessId, push: usize) {
        let open = &self.accesses[&id];
        let (access, SentPush { cache, source, only_if_cached, .. }) = (open.access, &open.pushes[push]);
        let (cache, source, only_if_cached) = (cache.clone(), source.clone(), *only_if_cached);
        let late = self.now > access.deadline - 16_000;
        let uncacheable = access.offering == 2;
        let responds = |id: &str| self.members[id].status != MemberStatus::Gone && !self.hung.contains(id);
        let holds = |holder: &str| self.copies.contains(&(holder.to_owned(), access.object));
        let (outcome, cache_status) = if !responds(&cache) {
            (Outcome::Unreachable, CacheStatus::Untold)
        } else if holds(&cache) && !uncacheable {
            (Outcome::Handled, CacheStatus::Hit)
        } else if source == cache {
            (Outcome::Miss, CacheStatus::Untold)
        } else if !responds(&source) {
            (Outcome::Error, CacheStatus::SourceLost)
        } else if source != ORIGIN && holds(&source) {
            (Outcome::Handled, CacheStatus::Filled)
        } else if only_if_cached {
            (Outcome::Miss, CacheStatus::SourceLacks)
        } else {
            self.archive_requests.push(self.now);
            (Outcome::Handled, CacheStatus::FilledByOrigin)
        };
        if outcome == Outcome::Handled && !uncacheable {
            self.copies.insert((cache, access.object));
            if source != ORIGIN && !only_if_cached {
                self.copies.insert((source, access.object));
            }
        }
        self.end_push(front, id, push, outcome, cache_status, late);
    }

    fn end_push(
        &mut self,
        front: &mut Front,
        id: AccessId,
        push: usize,
        outcome: Outcome,
        cache_status: CacheStatus,
        late: bool,
    ) {
        let Some(open) = self.accesses.get_mut(&id).filter(|open| !open.pushes[push].ended) else { return };
        (open.pushes[push].ended, open.pushes[push].proved_unrun) = (true, outcome.proves_unrun());
        let access_done = open.done || outcome == Outcome::Handled;
        self.handled += u32::from(outcome == Outcome::Handled && !open.done);
        open.done = access_done;
        let result =
            PushResult { push, outcome, access_done, latency: 300, cache_status, origin_sent_at: None };
        self.router.push_ended(self.now, id, &result, late, false);
        front.push_ended(self.now, id, &result, self);
        self.remove_if_done(id);
    }

    fn advance(&mut self, front: &mut Front, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            self.now += 20;
            let now = self.now;
            let due: Vec<_> = self.in_flight.extract_if(.., |c| c.0 <= now).collect();
            for (_, id, push, outcome) in due {
                match outcome.filter(|_| self.accesses.contains_key(&id)) {
                    Some(outcome) => self.end_push(front, id, push, outcome, CacheStatus::Untold, true),
                    None if self.accesses.contains_key(&id) => self.resolve(front, id, push),
                    None => {}
                }
            }
            let due: Vec<_> = self.timers.extract_if(.., |t| t.0 <= now).collect();
            due.into_iter().for_each(|(_, key)| front.timer_fired(now, key, self));
            let ids: Vec<_> = self.accesses.keys().copied().collect();
            ids.into_iter().for_each(|id| self.remove_if_done(id));
            assert!(
                self.accesses.values().all(|open| open.done || now <= open.access.deadline),
                "no final answer by the hard limit"
            );
            assert!(
                self.router.open_accesses() <= self.accesses.len(),
                "the router keeps state of accesses that are done"
            );
        }
    }

    fn finish(&mut self, id: AccessId, declined: bool) {
        let open = self.accesses.get_mut(&id).expect("an open access");
        assert!(!open.done, "a second final answer");
        let unrun = open.pushes.iter().all(|p| p.ended && p.proved_unrun);
        assert!(
            open.access.offering != 2 || unrun || !declined,
            "an unrepeatable access was declined though it may have run"
        );
        open.done = true;
        self.declined += u32::from(declined);
    }

    /// Requests to the archive in its busiest second between two times.
    fn peak(&self, from: Ticks, to: Ticks) -> f64 {
        let requests_in_second =
            |at: Ticks| self.archive_requests.iter().filter(|&&a| (at..at + 10_000).contains(&a)).count();
        (from..to).step_by(2_500).map(requests_in_second).max().unwrap_or(0) as f64
    }

    /// Mean requests to the archive per second between two times.
    fn mean(&self, from: Ticks, to: Ticks) -> f64 {
        let count = self.archive_requests.iter().filter(|&&a| (from..to).contains(&a)).count();
        count as f64 * 10_000.0 / (to - from) as f64
    }
}

impl EffectSink for World {
    fn fill_routes(&mut self, access: &Access, soft_limit_at: Ticks) -> FillRoutes {
        let routes = self.router.fill_routes(self.now, access, soft_limit_at);
        let open = self.accesses.get_mut(&access.id).expect("an open access");
        assert!(
            !open.done && soft_limit_at < access.deadline,
            "an access that is done, or a soft limit that is not before the hard limit"
        );
        self.waits += u32::from(routes.retry_at.is_some());
        assert!(
            routes.retry_at.is_none_or(|at| at > self.now && at < soft_limit_at),
            "a wait beyond the soft limit"
        );
        open.routes = routes.clone();
        routes
    }

    fn push(&mut self, p: &Push<'_>) {
        let open = self.accesses.get_mut(&p.access).expect("an open access");
        assert!(!open.done, "a push after the final answer");
        for id in [p.cache, p.source] {
            assert_eq!(
                self.members[id].status,
                MemberStatus::Listed,
                "a push that names {id}, which is not listed"
            );
        }
        let unrun = open.pushes.iter().all(|p| p.ended && p.proved_unrun);
        assert!(
            open.access.offering != 2 || unrun,
            "an unrepeatable access was pushed again though it may have run"
        );
        if let Some(&at) = self.purges.get(&open.access.object).filter(|_| open.access.offering != 2) {
            let fresh_enough = self.now > at + PURGE_PROPAGATION
                || p.max_age > 0 && self.now - p.max_age >= at.min(self.now - 1);
            assert!(fresh_enough, "a push that accepts copies from before a purge, from {}", p.source);
        }
        let directly_to_parent = p.cache.starts_with('t') || p.cache.starts_with('u');
        let named = hash::text(if directly_to_parent { p.cache } else { p.source });
        let via_parent = Some(named).filter(|_| directly_to_parent && p.only_if_cached);
        let key = if via_parent.is_some() { hash::text(p.source) } else { named };
        let route = FillRoute { key, only_if_cached: p.only_if_cached, via_parent };
        let allowed = open.access.offering == 2 || p.source == p.cache || open.routes.order.contains(&route);
        assert!(allowed, "the source {} is not among {:?}", p.source, open.routes);
        self.old_home_pushes += u32::from(p.only_if_cached);
        let number = open.pushes.len();
        let (cache, source) = (p.cache.to_owned(), p.source.to_owned());
        open.pushes.push(SentPush {
            cache,
            source,
            only_if_cached: p.only_if_cached,
            ended: false,
            proved_unrun: false,
        });
        let latency = if self.hung.contains(p.cache) { 30_000 } else { 100 + self.rng.u64(0..400) };
        let outcome = Some(Outcome::TimedOut).filter(|_| latency >= p.timeout);
        self.in_flight.push((self.now + latency.min(p.timeout), p.access, number, outcome));
        let keys = [p.cache, p.source].map(hash::text);
        self.router.push_sent(self.now, p.access, number, keys[0], keys[1], p.only_if_cached);
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        let at = self.now + 1;
        self.in_flight.retain(|c| (c.1, c.2) != (access, push));
        self.in_flight.push((at, access, push, Some(Outcome::Withdrawn)));
    }

    fn decline(&mut self, access: AccessId, _: UnservedReason) {
        self.finish(access, true);
    }

    fn give_up(&mut self, access: AccessId, _: UnservedReason) {
        self.finish(access, false);
    }

    fn set_timer(&mut self, at: Ticks, key: u64) {
        self.timers.push((at.max(self.now + 1), key));
    }

    fn request_member_list(&mut self) {}

    fn log(&mut self, _: Arguments<'_>) {}
}

fn random_run(seed: u64) {
    let (mut w, mut front) = World::new(seed, seed.is_multiple_of(2));
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    let parents = ["t-0", "t-1", "t-2", "t-3", "u-0", "u-1"];
    let mut number = 10;
    for id in 0..600 {
        let offering = [0, 0, 1, 1, 2][rng.usize(0..5)];
        let object_count = rng.u64(1..200);
        w.access(&mut front, id, offering, rng.u64(0..object_count));
        number += 1;
        match rng.u8(0..60) {
            0 | 1 => {
                // A parent drains, goes or comes back cold, also during other changes.
                let id = parents[rng.usize(0..parents.len())];
                let status =
                    [MemberStatus::Draining, MemberStatus::Gone, MemberStatus::Listed][rng.usize(0..3)];
                let started_at = Some(w.now).filter(|_| status == MemberStatus::Listed);
                w.update_members(&mut front, &[Member { status, started_at, ..member(id, 1) }]);
            }
            2..=4 => {
                // A parent gets another source, also one that fills from it: some changes would close a cycle.
                let (a, b) = (parents[rng.usize(0..4)], parents[rng.usize(0..parents.len())]);
                w.apply_changes(&[present(a, number, 1, &[b])]);
            }
            5 => {
                let object = rng.u64(0..50);
                w.purges.insert(object, w.now);
                w.copies.retain(|h| h.1 != object);
                front.purge_received(w.now, Some(object), 0, 0);
            }
            6 => {
                let id = ["c-0", "t-0", "u-1"][rng.usize(0..3)].to_owned();
                if !w.hung.remove(&id) {
                    w.hung.insert(id);
                }
            }
            7 => w.apply_changes(&[Change {
                member: "t-1".into(),
                incarnation: 1,
                number: 0,
                kind: ChangeKind::Gone,
            }]),
            _ => {}
        }
        w.advance(&mut front, rng.u64(0..800));
    }
    w.advance(&mut front, 40_000);
    assert_eq!((w.accesses.len(), w.router.open_accesses()), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn accesses_are_served_correctly_while_the_shape_changes(seed in any::<u64>()) {
        random_run(seed);
    }
}

/// Repeated accesses to 300 objects, with one access in eight to a new object; the caches are small and drop objects.
fn traffic(w: &mut World, front: &mut Front, rng: &mut Rng, id: &mut u64, time: Ticks) {
    let end = w.now + time;
    while w.now < end {
        *id += 1;
        let is_new = rng.u8(0..8) == 0;
        w.access(front, *id, 0, if is_new { 1_000_000 + *id } else { rng.u64(0..300) });
        if rng.u8(0..4) == 0 {
            let cache = ["c-0", "c-1", "c-2"][rng.usize(0..3)].to_owned();
            w.copies.remove(&(cache, rng.u64(0..300)));
        }
        w.advance(front, 100);
    }
}

/// Steady traffic, then a parent is added or removed, so that a part of the objects move to other homes. Gives the
/// archive's busiest second from then on as a multiple of its mean before, and that mean.
fn reshuffle(shield: bool, remove_parent: bool) -> (World, f64, f64) {
    let (mut w, mut front) = World::new(3, shield);
    let (mut rng, mut id) = (Rng::with_seed(4), 0);
    traffic(&mut w, &mut front, &mut rng, &mut id, 600_000);
    let start = w.now;
    let before = w.mean(start - 300_000, start);
    if remove_parent {
        w.update_members(&mut front, &[Member { status: MemberStatus::Gone, ..member("t-0", 1) }]);
        for object in 0..300 {
            for cache in ["c-0", "c-1", "c-2"] {
                w.copies.remove(&(cache.to_owned(), object));
            }
        }
    } else {
        w.update_members(&mut front, &[Member { started_at: Some(w.now), ..member("t-3", 1) }]);
        w.apply_changes(&[present("t-3", 1, 1, &["u-0", "u-1"])]);
    }
    w.declined = 0;
    traffic(&mut w, &mut front, &mut rng, &mut id, 250_000);
    let peak = w.peak(start, start + 250_000) / before;
    (w, peak, before)
}

#[test]
fn a_new_cold_parent_takes_over_its_objects_without_a_burst() {
    let (w, peak, before) = reshuffle(true, false);
    assert!(w.old_home_pushes > 50, "{}", w.old_home_pushes);
    assert!(before > 5.0 && peak < 2.0, "the archive's busiest second {peak:.2} of {before:.1}");
    let moved = w.copies.iter().filter(|h| h.0 == "t-3").count();
    assert!(moved > 20, "{moved} objects have come to their new home");
}

#[test]
fn the_shield_limits_the_archive_load_when_a_parent_is_lost() {
    let (_, unlimited, _) = reshuffle(false, true);
    let (w, shielded, _) = reshuffle(true, true);
    assert!(
        shielded < 0.7 * unlimited,
        "the archive's busiest second {shielded:.2} of the mean, {unlimited:.2} without the shield"
    );
    assert!(w.waits > 0 && w.declined < 200, "{} waits, {} declined", w.waits, w.declined);
}

/// A new parent restarts empty in the middle of its handover, and again before it is warm.
#[test]
fn a_parent_that_restarts_in_its_handover_costs_the_archive_no_burst() {
    let (mut w, mut front) = World::new(5, true);
    let (mut rng, mut id) = (Rng::with_seed(6), 0);
    traffic(&mut w, &mut front, &mut rng, &mut id, 600_000);
    let (start, before) = (w.now, w.mean(w.now - 300_000, w.now));
    w.update_members(&mut front, &[Member { started_at: Some(w.now), ..member("t-3", 1) }]);
    w.apply_changes(&[present("t-3", 1, 1, &["u-0", "u-1"])]);
    for listed in [true, false] {
        traffic(&mut w, &mut front, &mut rng, &mut id, 60_000);
        if listed {
            w.update_members(&mut front, &[Member { status: MemberStatus::Gone, ..member("t-3", 1) }]);
            traffic(&mut w, &mut front, &mut rng, &mut id, 5_000);
        }
        // The second time the member list shows only the new start, and not that it was gone in between.
        w.update_members(&mut front, &[Member { started_at: Some(w.now), ..member("t-3", 1) }]);
    }
    let pushes_before = w.old_home_pushes;
    traffic(&mut w, &mut front, &mut rng, &mut id, 250_000);
    let peak = w.peak(start, w.now) / before;
    assert!(peak < 2.0, "the archive's busiest second {peak:.2} of {before:.1}");
    assert!(w.old_home_pushes > pushes_before, "it restarted empty, so its objects are handed over again");
}

/// All parents of the lower tier leave at once, then the archive, and all come back together, the parents empty.
#[test]
fn a_tier_that_comes_back_empty_is_filled_within_the_rate_limit() {
    let mut peaks = Vec::new();
    for shield in [false, true] {
        let (mut w, mut front) = World::new(7, shield);
        let (mut rng, mut id) = (Rng::with_seed(8), 0);
        traffic(&mut w, &mut front, &mut rng, &mut id, 600_000);
        let (start, before) = (w.now, w.mean(w.now - 300_000, w.now));
        let all = ["t-0", "t-1", "t-2", ORIGIN];
        let update = |w: &mut World, front: &mut Front, ids: &[&str], status, started_at| {
            let kind = |id: &str| 1 + usize::from(id == ORIGIN);
            let members: Vec<_> =
                ids.iter().map(|id| Member { status, started_at, ..member(id, kind(id)) }).collect();
            w.update_members(front, &members);
        };
        update(&mut w, &mut front, &all[..3], MemberStatus::Gone, None);
        traffic(&mut w, &mut front, &mut rng, &mut id, 50_000);
        let requests_before = w.archive_requests.len();
        update(&mut w, &mut front, &all[3..], MemberStatus::Gone, None);
        let (declined, handled) = (w.declined, w.handled);
        traffic(&mut w, &mut front, &mut rng, &mut id, 20_000);
        assert_eq!(w.archive_requests.len(), requests_before, "nobody is left to ask for a fill");
        assert!(
            w.declined > declined && w.handled > handled,
            "copies in caches are served, the rest is declined"
        );
        let now = Some(w.now);
        update(&mut w, &mut front, &all, MemberStatus::Listed, now);
        traffic(&mut w, &mut front, &mut rng, &mut id, 250_000);
        peaks.push(w.peak(start, w.now) / before);
        let (declined, handled) = (w.declined, w.handled);
        traffic(&mut w, &mut front, &mut rng, &mut id, 50_000);
        assert!(w.handled - handled > 20 * (w.declined - declined), "it serves again");
    }
    assert!(
        peaks[1] < 0.8 * peaks[0],
        "the archive's busiest second {:.2}, {:.2} without the shield",
        peaks[1],
        peaks[0]
    );
}
