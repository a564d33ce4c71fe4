//! The module and the guide together, in a small world of caches, two tiers of parents and an archive: what the
//! world is told, it checks the rules by, after each step.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Arguments;

use doorgrade::*;
use doorgrade_hierarchy::{Change, Guide, Rules, Told};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ORIGIN: &str = "archive";
const SPREAD: Ticks = 50_000;
const PURGE_DONE: Ticks = 60_000;

struct Out {
    cache: String,
    source: String,
    kept: bool,
    ended: bool,
    proved_unrun: bool,
}

struct Taken {
    access: Access,
    pushes: Vec<Out>,
    done: bool,
    ways: FillRoutes,
}

struct World {
    now: Ticks,
    rng: Rng,
    guide: Guide,
    list: BTreeMap<String, Member>,
    taken: BTreeMap<AccessId, Taken>,
    timers: Vec<(Ticks, u64)>,
    /// Ends of pushes to come.
    coming: Vec<(Ticks, AccessId, usize, Option<Outcome>)>,
    holds: BTreeSet<(String, u64)>,
    purges: BTreeMap<u64, Ticks>,
    /// Times at which the archive was asked.
    asked: Vec<Ticks>,
    old_homes_asked: u32,
    declined: u32,
    handled: u32,
    waited: u32,
    silent: BTreeSet<String>,
}

fn stands(member: &str, number: u64, tier: u8, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let told = Told::Stands { tier, standing: doorgrade_hierarchy::Standing::InService, fills_from };
    Change { member: member.into(), incarnation: 1, number, told }
}

fn member(id: &str, kind: usize) -> Member {
    let standing = MemberStatus::Listed;
    Member { id: id.into(), zone: 0, kind, cell: 0, status: standing, weight: 1.0, started_at: None }
}

fn settings() -> Settings {
    let offering = |effect, fresh, uncacheable| Offering {
        soft_limit: 4_000,
        transfer_factor: 0.0,
        benefit: 1.0,
        repeat_policy: effect,
        fresh_time: fresh,
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
        purge_propagation: PURGE_DONE,
    }
}

impl World {
    fn new(seed: u64, shield: bool) -> (World, Front) {
        let set = settings();
        let now = 1_000_000;
        let cold = set.parent_cold;
        let rules = Rules {
            tier: 1,
            spread: SPREAD,
            cold_from: cold.initial_share,
            cold_lasts: cold.duration,
            crew: 1,
            shield,
        };
        let mut world = World {
            now,
            rng: Rng::with_seed(seed),
            guide: Guide::new(rules, now),
            list: BTreeMap::new(),
            taken: BTreeMap::new(),
            timers: Vec::new(),
            coming: Vec::new(),
            holds: BTreeSet::new(),
            purges: BTreeMap::new(),
            asked: Vec::new(),
            old_homes_asked: 0,
            declined: 0,
            handled: 0,
            waited: 0,
            silent: BTreeSet::new(),
        };
        let mut front = Front::new(&set, seed);
        let mut all: Vec<Member> = ["c-0", "c-1", "c-2"].map(|id| member(id, 0)).into();
        all.extend(["t-0", "t-1", "t-2", "u-0", "u-1"].map(|id| member(id, 1)));
        all.push(member(ORIGIN, 2));
        world.tell(&mut front, &all);
        world.shape(&[
            stands(ORIGIN, 1, 3, &[]),
            stands("u-0", 1, 2, &[ORIGIN]),
            stands("u-1", 1, 2, &[ORIGIN]),
        ]);
        world.shape(&["t-0", "t-1", "t-2"].map(|t| stands(t, 1, 1, &["u-0", "u-1"])));
        (world, front)
    }

    fn shape(&mut self, changes: &[Change]) {
        self.guide.hear(self.now, changes);
    }

    fn tell(&mut self, front: &mut Front, members: &[Member]) {
        for m in members {
            self.list.insert(m.id.to_string(), m.clone());
            if m.started_at.is_some() || m.status == MemberStatus::Gone {
                self.holds.retain(|(holder, _)| *holder != *m.id);
            }
        }
        let parents: Vec<Member> = members.iter().filter(|m| m.kind > 0).cloned().collect();
        self.guide.listed(self.now, &parents, false);
        front.member_list_received(self.now, members, false, self);
    }

    fn access(&mut self, front: &mut Front, id: AccessId, offering: usize, object: u64) {
        let until = self.now + 20_000;
        let access =
            Access { id, offering, object, part: 0, group: 0, kb: 0.0, deadline: until, has_repeat_id: true };
        self.taken.insert(id, Taken { access, pushes: Vec::new(), done: false, ways: FillRoutes::default() });
        front.access(self.now, &access, self);
        self.over(id);
    }

    fn over(&mut self, id: AccessId) {
        if self.taken.get(&id).is_some_and(|t| t.done && t.pushes.iter().all(|p| p.ended)) {
            self.taken.remove(&id);
            self.guide.done(self.now, id);
        }
    }

    /// What a push comes to: caches and parents hold what was filled through them.
    fn resolve(&mut self, front: &mut Front, id: AccessId, push: usize) {
        let t = &self.taken[&id];
        let (access, Out { cache, source, kept, .. }) = (t.access, &t.pushes[push]);
        let (cache, source, kept) = (cache.clone(), source.clone(), *kept);
        let late = self.now > access.deadline - 16_000;
        let uncacheable = access.offering == 2;
        let lives = |id: &str| self.list[id].status != MemberStatus::Gone && !self.silent.contains(id);
        let held = |holder: &str| self.holds.contains(&(holder.to_owned(), access.object));
        let (outcome, note) = if !lives(&cache) {
            (Outcome::Unreachable, CacheStatus::Untold)
        } else if held(&cache) && !uncacheable {
            (Outcome::Handled, CacheStatus::Hit)
        } else if source == cache {
            (Outcome::Miss, CacheStatus::Untold)
        } else if !lives(&source) {
            (Outcome::Error, CacheStatus::SourceLost)
        } else if source != ORIGIN && held(&source) {
            (Outcome::Handled, CacheStatus::Filled)
        } else if kept {
            (Outcome::Miss, CacheStatus::SourceLacks)
        } else {
            self.asked.push(self.now);
            (Outcome::Handled, CacheStatus::FilledByOrigin)
        };
        if outcome == Outcome::Handled && !uncacheable {
            self.holds.insert((cache, access.object));
            if source != ORIGIN && !kept {
                self.holds.insert((source, access.object));
            }
        }
        self.end(front, id, push, outcome, note, late);
    }

    fn end(
        &mut self,
        front: &mut Front,
        id: AccessId,
        push: usize,
        outcome: Outcome,
        note: CacheStatus,
        late: bool,
    ) {
        let Some(t) = self.taken.get_mut(&id).filter(|t| !t.pushes[push].ended) else { return };
        (t.pushes[push].ended, t.pushes[push].proved_unrun) = (true, outcome.proves_unrun());
        let settled = t.done || outcome == Outcome::Handled;
        self.handled += u32::from(outcome == Outcome::Handled && !t.done);
        t.done = settled;
        let ended = PushResult {
            push,
            outcome,
            access_done: settled,
            latency: 300,
            cache_status: note,
            origin_sent_at: None,
        };
        self.guide.ended(self.now, id, &ended, late, false);
        front.push_ended(self.now, id, &ended, self);
        self.over(id);
    }

    fn pass(&mut self, front: &mut Front, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            self.now += 20;
            let now = self.now;
            let due: Vec<_> = self.coming.extract_if(.., |c| c.0 <= now).collect();
            for (_, id, push, outcome) in due {
                match outcome.filter(|_| self.taken.contains_key(&id)) {
                    Some(outcome) => self.end(front, id, push, outcome, CacheStatus::Untold, true),
                    None if self.taken.contains_key(&id) => self.resolve(front, id, push),
                    None => {}
                }
            }
            let due: Vec<_> = self.timers.extract_if(.., |t| t.0 <= now).collect();
            due.into_iter().for_each(|(_, key)| front.timer_fired(now, key, self));
            let ids: Vec<_> = self.taken.keys().copied().collect();
            ids.into_iter().for_each(|id| self.over(id));
            assert!(
                self.taken.values().all(|t| t.done || now <= t.access.deadline),
                "rule 1: no final answer"
            );
            assert!(self.guide.open() <= self.taken.len(), "something is kept of accesses that are over");
        }
    }

    fn finish(&mut self, id: AccessId, declined: bool) {
        let t = self.taken.get_mut(&id).expect("an access that was taken");
        assert!(!t.done, "rule 1: a second final answer");
        let unrun = t.pushes.iter().all(|p| p.ended && p.proved_unrun);
        assert!(t.access.offering != 2 || unrun || !declined, "rule 2: declined though it may have run");
        t.done = true;
        self.declined += u32::from(declined);
    }

    /// The archive's busiest second since a time, over the mean of the seconds between two times.
    fn peak(&self, from: Ticks, to: Ticks) -> f64 {
        let of = |at: Ticks| self.asked.iter().filter(|&&a| (at..at + 10_000).contains(&a)).count();
        (from..to).step_by(2_500).map(of).max().unwrap_or(0) as f64
    }

    fn mean(&self, from: Ticks, to: Ticks) -> f64 {
        let count = self.asked.iter().filter(|&&a| (from..to).contains(&a)).count();
        count as f64 * 10_000.0 / (to - from) as f64
    }
}

impl EffectSink for World {
    fn fill_routes(&mut self, access: &Access, until: Ticks) -> FillRoutes {
        let ways = self.guide.ways(self.now, access, until);
        let t = self.taken.get_mut(&access.id).expect("an access that was taken");
        assert!(!t.done && until < access.deadline, "never until the hard limit");
        self.waited += u32::from(ways.retry_at.is_some());
        assert!(ways.retry_at.is_none_or(|at| at > self.now && at < until), "no longer than the soft limit");
        t.ways = ways.clone();
        ways
    }

    fn push(&mut self, p: &Push<'_>) {
        let t = self.taken.get_mut(&p.access).expect("an access that was taken");
        assert!(!t.done, "rule 1: a push after the final answer");
        for id in [p.cache, p.source] {
            assert_eq!(self.list[id].status, MemberStatus::Listed, "rule 3: {id}");
        }
        let unrun = t.pushes.iter().all(|p| p.ended && p.proved_unrun);
        assert!(t.access.offering != 2 || unrun, "rule 2: pushed again");
        if let Some(&at) = self.purges.get(&t.access.object).filter(|_| t.access.offering != 2) {
            let bound =
                self.now > at + PURGE_DONE || p.max_age > 0 && self.now - p.max_age >= at.min(self.now - 1);
            assert!(bound, "rule 5: older than a purge, from {}", p.source);
        }
        let straight = p.cache.starts_with('t') || p.cache.starts_with('u');
        let named = hash::text(if straight { p.cache } else { p.source });
        let through = Some(named).filter(|_| straight && p.only_if_cached);
        let key = if through.is_some() { hash::text(p.source) } else { named };
        let way = FillRoute { key, only_if_cached: p.only_if_cached, via_parent: through };
        let allowed = t.access.offering == 2 || p.source == p.cache || t.ways.order.contains(&way);
        assert!(allowed, "{} named, which is none of {:?}", p.source, t.ways);
        self.old_homes_asked += u32::from(p.only_if_cached);
        let number = t.pushes.len();
        let (cache, source) = (p.cache.to_owned(), p.source.to_owned());
        t.pushes.push(Out { cache, source, kept: p.only_if_cached, ended: false, proved_unrun: false });
        let lag = if self.silent.contains(p.cache) { 30_000 } else { 100 + self.rng.u64(0..400) };
        let outcome = Some(Outcome::TimedOut).filter(|_| lag >= p.timeout);
        self.coming.push((self.now + lag.min(p.timeout), p.access, number, outcome));
        let keys = [p.cache, p.source].map(hash::text);
        self.guide.pushed(self.now, p.access, number, keys[0], keys[1], p.only_if_cached);
    }

    fn cancel_push(&mut self, access: AccessId, push: usize) {
        let at = self.now + 1;
        self.coming.retain(|c| (c.1, c.2) != (access, push));
        self.coming.push((at, access, push, Some(Outcome::Withdrawn)));
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
    let tier = ["t-0", "t-1", "t-2", "t-3", "u-0", "u-1"];
    let mut number = 10;
    for id in 0..600 {
        let offering = [0, 0, 1, 1, 2][rng.usize(0..5)];
        let most = rng.u64(1..200);
        w.access(&mut front, id, offering, rng.u64(0..most));
        number += 1;
        match rng.u8(0..60) {
            0 | 1 => {
                // A parent drains, goes, comes back cold; also in the middle of whatever goes on.
                let id = tier[rng.usize(0..tier.len())];
                let standing =
                    [MemberStatus::Draining, MemberStatus::Gone, MemberStatus::Listed][rng.usize(0..3)];
                let started = Some(w.now).filter(|_| standing == MemberStatus::Listed);
                w.tell(&mut front, &[Member { status: standing, started_at: started, ..member(id, 1) }]);
            }
            2..=4 => {
                // Hung elsewhere, also under one another: loops are offered.
                let (a, b) = (tier[rng.usize(0..4)], tier[rng.usize(0..tier.len())]);
                w.shape(&[stands(a, number, 1, &[b])]);
            }
            5 => {
                let object = rng.u64(0..50);
                w.purges.insert(object, w.now);
                w.holds.retain(|h| h.1 != object);
                front.purge_received(w.now, Some(object), 0, 0);
            }
            6 => {
                let id = ["c-0", "t-0", "u-1"][rng.usize(0..3)].to_owned();
                if !w.silent.remove(&id) {
                    w.silent.insert(id);
                }
            }
            7 => w.shape(&[Change { member: "t-1".into(), incarnation: 1, number: 0, told: Told::Gone }]),
            _ => {}
        }
        w.pass(&mut front, rng.u64(0..800));
    }
    w.pass(&mut front, 40_000);
    assert_eq!((w.taken.len(), w.guide.open()), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_rules_hold_while_the_shape_changes(seed in any::<u64>()) {
        random_run(seed);
    }
}

/// Stations ask for 300 objects again and again; one in eight is new to all; their caches are small.
fn traffic(w: &mut World, front: &mut Front, rng: &mut Rng, id: &mut u64, time: Ticks) {
    let end = w.now + time;
    while w.now < end {
        *id += 1;
        let fresh = rng.u8(0..8) == 0;
        w.access(front, *id, 0, if fresh { 1_000_000 + *id } else { rng.u64(0..300) });
        if rng.u8(0..4) == 0 {
            let cache = ["c-0", "c-1", "c-2"][rng.usize(0..3)].to_owned();
            w.holds.remove(&(cache, rng.u64(0..300)));
        }
        w.pass(front, 100);
    }
}

/// A reshuffle that moves a third of the objects, all of them held by their old homes, in steady traffic.
fn reshuffle(shield: bool, kill: bool) -> (World, f64, f64) {
    let (mut w, mut front) = World::new(3, shield);
    let (mut rng, mut id) = (Rng::with_seed(4), 0);
    traffic(&mut w, &mut front, &mut rng, &mut id, 600_000);
    let start = w.now;
    let before = w.mean(start - 300_000, start);
    if kill {
        w.tell(&mut front, &[Member { status: MemberStatus::Gone, ..member("t-0", 1) }]);
        for object in 0..300 {
            for cache in ["c-0", "c-1", "c-2"] {
                w.holds.remove(&(cache.to_owned(), object));
            }
        }
    } else {
        w.tell(&mut front, &[Member { started_at: Some(w.now), ..member("t-3", 1) }]);
        w.shape(&[stands("t-3", 1, 1, &["u-0", "u-1"])]);
    }
    w.declined = 0;
    traffic(&mut w, &mut front, &mut rng, &mut id, 250_000);
    let peak = w.peak(start, start + 250_000) / before;
    (w, peak, before)
}

#[test]
fn a_cold_newcomer_is_handed_its_objects_without_a_burst() {
    let (w, peak, before) = reshuffle(true, false);
    assert!(w.old_homes_asked > 50, "{}", w.old_homes_asked);
    assert!(before > 5.0 && peak < 2.0, "the archive's busiest second {peak:.2} of {before:.1}");
    let moved = w.holds.iter().filter(|h| h.0 == "t-3").count();
    assert!(moved > 20, "{moved} objects have come to their new home");
}

#[test]
fn the_shield_bounds_what_a_lost_parent_costs_the_archive() {
    let (_, bare, _) = reshuffle(false, true);
    let (w, shielded, _) = reshuffle(true, true);
    assert!(
        shielded < 0.7 * bare,
        "the archive's busiest second {shielded:.2} of the usual, {bare:.2} without"
    );
    assert!(w.waited > 0 && w.declined < 200, "{} waited, {} declined", w.waited, w.declined);
}

/// The newcomer dies and comes back cold in the middle of its hand-over, and again before it is warm.
#[test]
fn a_cold_return_in_the_middle_and_again_costs_the_archive_no_burst() {
    let (mut w, mut front) = World::new(5, true);
    let (mut rng, mut id) = (Rng::with_seed(6), 0);
    traffic(&mut w, &mut front, &mut rng, &mut id, 600_000);
    let (start, before) = (w.now, w.mean(w.now - 300_000, w.now));
    w.tell(&mut front, &[Member { started_at: Some(w.now), ..member("t-3", 1) }]);
    w.shape(&[stands("t-3", 1, 1, &["u-0", "u-1"])]);
    for listed in [true, false] {
        traffic(&mut w, &mut front, &mut rng, &mut id, 60_000);
        if listed {
            w.tell(&mut front, &[Member { status: MemberStatus::Gone, ..member("t-3", 1) }]);
            traffic(&mut w, &mut front, &mut rng, &mut id, 5_000);
        }
        // The second time the list never said that it was gone: only that it has started anew.
        w.tell(&mut front, &[Member { started_at: Some(w.now), ..member("t-3", 1) }]);
    }
    let handed = w.old_homes_asked;
    traffic(&mut w, &mut front, &mut rng, &mut id, 250_000);
    let peak = w.peak(start, w.now) / before;
    assert!(peak < 2.0, "the archive's busiest second {peak:.2} of {before:.1}");
    assert!(w.old_homes_asked > handed, "what it had taken over it has lost, and takes over again");
}

/// All of the tier leave at once, then the archive; they come back together, empty.
#[test]
fn a_tier_that_leaves_and_comes_back_empty_is_let_in_by_the_account() {
    let mut peaks = Vec::new();
    for shield in [false, true] {
        let (mut w, mut front) = World::new(7, shield);
        let (mut rng, mut id) = (Rng::with_seed(8), 0);
        traffic(&mut w, &mut front, &mut rng, &mut id, 600_000);
        let (start, before) = (w.now, w.mean(w.now - 300_000, w.now));
        let all = ["t-0", "t-1", "t-2", ORIGIN];
        let tell = |w: &mut World, front: &mut Front, ids: &[&str], standing, started| {
            let kind = |id: &str| 1 + usize::from(id == ORIGIN);
            let members: Vec<_> = ids
                .iter()
                .map(|id| Member { status: standing, started_at: started, ..member(id, kind(id)) })
                .collect();
            w.tell(front, &members);
        };
        tell(&mut w, &mut front, &all[..3], MemberStatus::Gone, None);
        traffic(&mut w, &mut front, &mut rng, &mut id, 50_000);
        let without = w.asked.len();
        tell(&mut w, &mut front, &all[3..], MemberStatus::Gone, None);
        let (declined, handled) = (w.declined, w.handled);
        traffic(&mut w, &mut front, &mut rng, &mut id, 20_000);
        assert_eq!(w.asked.len(), without, "nobody is left to ask");
        assert!(
            w.declined > declined && w.handled > handled,
            "what caches hold is served, the rest is declined"
        );
        let now = Some(w.now);
        tell(&mut w, &mut front, &all, MemberStatus::Listed, now);
        traffic(&mut w, &mut front, &mut rng, &mut id, 250_000);
        peaks.push(w.peak(start, w.now) / before);
        let (declined, handled) = (w.declined, w.handled);
        traffic(&mut w, &mut front, &mut rng, &mut id, 50_000);
        assert!(w.handled - handled > 20 * (w.declined - declined), "it serves again");
    }
    assert!(
        peaks[1] < 0.8 * peaks[0],
        "the archive's busiest second {:.2}, {:.2} without",
        peaks[1],
        peaks[0]
    );
}
