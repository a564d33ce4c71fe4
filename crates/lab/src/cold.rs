//! The load that all fronts of a zone together send to caches and parents that have just started, compared with the allowed
//! load, in virtual time and with the real decision module. Every response takes the time of its work; some pushes fail and
//! are retried, and some miss and are filled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doorgrade::*;

/// The fronts run for this long before members start.
const WARM_UP: Ticks = 300_000;
/// The tightest limits of any deployment: twice the load, from an initial share of about a seventh.
const COLD_LIMITS: ColdLimits =
    ColdLimits { initial_share: 0.16, duration: 170_000, load_multiple: 2.0, window: 15_000 };
/// The transfer time of a mean access.
const MEAN_WORK: f64 = 2_000.0;
const MISS_SHARE: f64 = 0.25;
const ERROR_SHARE: f64 = 0.03;

/// One case of the experiment.
#[derive(Clone, Copy)]
pub struct ColdCase {
    pub fronts: usize,
    /// N: how many accesses of mean work the settings allow a cache within `COLD_LIMITS.window` when it has just started.
    pub budget: f64,
    /// Fronts get from a tenth of the mean rate to ten times of it, and so does the work of accesses.
    pub uneven: bool,
    /// All fronts start together with the cold members, and have no measurements of normal load.
    pub new_fronts: bool,
    /// A third of the caches start at once.
    pub several_caches: bool,
    /// A parent starts at the same time as the cache.
    pub cold_parent: bool,
    /// The baseline: fronts do not limit what they send to cold members.
    pub unlimited: bool,
}

impl ColdCase {
    pub const PLAIN: ColdCase = ColdCase {
        fronts: 1,
        budget: 2.0,
        uneven: false,
        new_fronts: false,
        several_caches: false,
        cold_parent: false,
        unlimited: false,
    };

    /// A cache for every six fronts, as on the platform's days of full load; at most 50, so that a run takes no minutes.
    fn caches(&self) -> usize {
        (self.fronts / 6).clamp(3, 50)
    }

    fn parents(&self) -> usize {
        2.max(self.caches() / 8)
    }

    /// How many accesses a warm cache can take within the window. Its load is exactly that, which is the worst case.
    fn warm_capacity(&self) -> f64 {
        self.budget / (COLD_LIMITS.load_multiple * COLD_LIMITS.initial_share)
    }
}

/// The result of one run.
#[derive(Clone, Copy, Default)]
pub struct ColdRun {
    /// The highest ratio of received to allowed load in any window, of a cold cache and of a cold parent.
    pub cache_ratio: f64,
    pub parent_ratio: f64,
    /// The load of the cold caches while they were cold, relative to that of warm ones.
    pub relative_use: f64,
    /// Share of the accesses after the start.
    pub declined: f64,
}

#[derive(Default)]
struct CollectedEffects {
    /// Access, index of the cache, index of the source, and `only_if_cached`.
    pushes: Vec<(AccessId, usize, usize, bool)>,
    declined: u64,
}

/// The index of a member: caches come first, then parents, then the origin.
fn member_index(id: &str) -> usize {
    id.strip_prefix("m-").and_then(|n| n.parse().ok()).unwrap_or(usize::MAX)
}

impl EffectSink for CollectedEffects {
    fn push(&mut self, p: &Push<'_>) {
        self.pushes.push((p.access, member_index(p.cache), member_index(p.source), p.only_if_cached));
    }
    fn cancel_push(&mut self, _: AccessId, _: usize) {}
    fn decline(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    fn give_up(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    /// No timer fires, since every response comes in time.
    fn set_timer(&mut self, _: Ticks, _: u64) {}
    fn request_member_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

fn settings(case: &ColdCase) -> Settings {
    let duration = if case.unlimited { 0 } else { COLD_LIMITS.duration };
    let cold = ColdLimits { duration, ..COLD_LIMITS };
    let (repeat_policy, fresh_time, uncacheable) = (RepeatPolicy::Idempotent, 0, false);
    Settings {
        offerings: vec![Offering {
            soft_limit: 10_000,
            hard_limit: 0,
            transfer_factor: 4.0,
            benefit: 1.0,
            repeat_policy,
            fresh_time,
            uncacheable,
        }],
        zone: 0,
        zone_fronts: case.fronts as u32,
        parent_kind: Some(1),
        origin_kind: Some(2),
        status_reporting: StatusReporting::All,
        features: Features {
            join_fills: true,
            cache_bypass: false,
            cancel_pushes: true,
            hedged_pushes: true,
        },
        max_pushes: 4,
        comparable_weights: true,
        list_on_request: false,
        min_input_interval: 20,
        flow_kb_per_s: 1_000.0,
        cold,
        parent_cold: cold,
        purge_propagation: 0,
    }
}

fn member(case: &ColdCase, n: usize, started_at: Option<Ticks>) -> Member {
    let (caches, parents) = (case.caches(), case.parents());
    let kind = usize::from(n >= caches) + usize::from(n >= caches + parents);
    let id = format!("m-{n}").into();
    Member { id, zone: 0, kind, cell: 0, status: MemberStatus::Listed, weight: 1.0, started_at }
}

/// The highest ratio of received to allowed pushes in any window. With a budget of N at the start of the window,
/// N + 2 sqrt(N) + 2 pushes are allowed.
fn max_ratio(received: &[Ticks], start: Ticks, warm_capacity: f64) -> f64 {
    let allowed = |at: Ticks| {
        let share = COLD_LIMITS.initial_share
            + (1.0 - COLD_LIMITS.initial_share) * (at - start) as f64 / COLD_LIMITS.duration as f64;
        let n = COLD_LIMITS.load_multiple * share.min(1.0) * warm_capacity;
        n + 2.0 * n.sqrt() + 2.0
    };
    let (mut first, mut max) = (0, 0f64);
    for (last, &at) in received.iter().enumerate() {
        while received[first] + COLD_LIMITS.window <= at {
            first += 1;
        }
        max = max.max((last + 1 - first) as f64 / allowed(received[first]));
    }
    max
}

/// Time, front and kind of an event: the next access at the front (none), or the end of a push with its access, number and
/// outcome.
type Event = (Ticks, usize, Option<(AccessId, usize, u8)>);

/// Runs one case in virtual time.
pub fn simulate(case: &ColdCase, seed: u64) -> ColdRun {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut random_weight =
        |uneven: bool| if uneven { 10f64.powf(2.0 * rng.f64() - 1.0) / 2.15 } else { 1.0 };
    let (settings, caches, parents) = (settings(case), case.caches(), case.parents());
    let mean_rate =
        case.warm_capacity() * caches as f64 / case.fronts as f64 / (COLD_LIMITS.window as f64 / 10_000.0);
    // The rates always add up to the capacity of all caches.
    let weights: Vec<f64> = (0..case.fronts).map(|_| random_weight(case.uneven)).collect();
    let rate_per_weight = mean_rate * case.fronts as f64 / weights.iter().sum::<f64>();
    let rates: Vec<f64> = weights.iter().map(|weight| weight * rate_per_weight).collect();
    let mut fronts: Vec<Front> =
        (0..case.fronts as u64).map(|n| Front::new(&settings, seed << 20 | n)).collect();
    let (mut effects, mut events) = (CollectedEffects::default(), BinaryHeap::<Reverse<Event>>::new());
    let members: Vec<Member> = (0..=caches + parents).map(|n| member(case, n, None)).collect();
    let start = if case.new_fronts { 1 } else { WARM_UP };
    fronts.iter_mut().for_each(|f| f.member_list_received(0, &members, true, &mut effects));
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let random_interval =
        |rng: &mut fastrand::Rng, rate: f64| (-(1.0 - rng.f64()).ln() / rate * 10_000.0) as Ticks + 1;
    for (n, rate) in rates.iter().enumerate() {
        events.push(Reverse((random_interval(&mut rng, *rate), n, None)));
    }
    // The start of the cold members is an event of no front.
    events.push(Reverse((start, usize::MAX, None)));
    let cold_caches = if case.several_caches { (caches / 3).max(2) } else { 1 };
    let cold_parent = caches;
    let end = start + COLD_LIMITS.duration;
    let mut received = vec![Vec::new(); caches + parents + 1];
    let (mut id, mut declined_before, mut accesses_before) = (0, 0, 0);
    while let Some(Reverse((now, n, push_end))) = events.pop() {
        if now >= end {
            break;
        }
        if n == usize::MAX {
            let parent = Some(cold_parent).filter(|_| case.cold_parent);
            let started: Vec<_> =
                (0..cold_caches).chain(parent).map(|n| member(case, n, Some(now))).collect();
            fronts.iter_mut().for_each(|f| f.member_list_received(now, &started, false, &mut effects));
            (declined_before, accesses_before) = (effects.declined, id);
            continue;
        }
        match push_end {
            None => {
                id += 1;
                let work =
                    MEAN_WORK * if case.uneven { 10f64.powf(2.0 * rng.f64() - 1.0) / 2.15 } else { 1.0 };
                let (object, deadline) = (rng.u64(..1 << 40), now + 60_000);
                let (offering, part, group, has_repeat_id) = (0, 0, 0, true);
                let access =
                    Access { id, offering, object, part, group, kb: work / 10.0, deadline, has_repeat_id };
                events.push(Reverse((now + random_interval(&mut rng, rates[n]), n, None)));
                fronts[n].access(now, &access, &mut effects);
            }
            Some((access, push, outcome)) => {
                let (outcome, cache_status, access_done) = match outcome {
                    0 => (Outcome::Handled, CacheStatus::Hit, true),
                    1 => (Outcome::Handled, CacheStatus::Filled, true),
                    2 => (Outcome::Miss, CacheStatus::SourceLacks, false),
                    _ => (Outcome::Error, CacheStatus::Untold, false),
                };
                let result =
                    PushResult { push, outcome, access_done, latency: 0, cache_status, origin_sent_at: None };
                fronts[n].push_ended(now, access, &result, &mut effects);
            }
        }
        // New pushes of an access are numbered after the one that has ended.
        let first_number = push_end.map_or(0, |(_, push, _)| push + 1);
        for (at, (access, cache, source, only_if_cached)) in effects.pushes.drain(..).enumerate() {
            let (missed, failed) = (rng.f64() < MISS_SHARE, rng.f64() < ERROR_SHARE);
            if now >= start {
                received[cache].push(now);
                if missed && source != cache && source < received.len() {
                    received[source].push(now);
                }
            }
            let outcome = match (failed, missed) {
                (true, _) => 3,
                // The push named no source, or one that answers only with what it holds.
                (_, true) if source == cache || only_if_cached => 2,
                (_, missed) => u8::from(missed),
            };
            let latency = if outcome == 2 { 10 } else { MEAN_WORK as Ticks };
            events.push(Reverse((now + latency, n, Some((access, first_number + at, outcome)))));
        }
    }
    let worst = |members: std::ops::Range<usize>, warm_capacity| {
        members.map(|m| max_ratio(&received[m], start, warm_capacity)).fold(0.0, f64::max)
    };
    let mean_received = |members: std::ops::Range<usize>| {
        members.clone().map(|m| received[m].len()).sum::<usize>() as f64 / members.len() as f64
    };
    // A warm parent's load is its part of the misses.
    let warm_parent_capacity = case.warm_capacity() * caches as f64 * MISS_SHARE / parents as f64;
    ColdRun {
        cache_ratio: worst(0..cold_caches, case.warm_capacity()),
        parent_ratio: if case.cold_parent {
            worst(cold_parent..cold_parent + 1, warm_parent_capacity)
        } else {
            0.0
        },
        relative_use: mean_received(0..cold_caches) / mean_received(cold_caches..caches).max(1.0),
        declined: (effects.declined - declined_before) as f64 / (id - accesses_before).max(1) as f64,
    }
}

/// A share with its 95% interval, by Wilson's method, which is also valid for none and for all.
pub fn share_with_interval(count: usize, total: usize) -> (f64, f64, f64) {
    let (n, z) = (total.max(1) as f64, 1.96f64);
    let p = count as f64 / n;
    let middle = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
    let half_width = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
    (p, (middle - half_width).max(0.0), (middle + half_width).min(1.0))
}

/// All cases with their names, for a number of fronts and a budget.
pub fn cases(fronts: usize, budget: f64) -> [(&'static str, ColdCase); 7] {
    let case = ColdCase { fronts, budget, ..ColdCase::PLAIN };
    [
        ("even", case),
        ("uneven", ColdCase { uneven: true, ..case }),
        ("fresh", ColdCase { uneven: true, new_fronts: true, ..case }),
        ("several", ColdCase { uneven: true, several_caches: true, ..case }),
        ("parent", ColdCase { cold_parent: true, ..case }),
        ("all", ColdCase { uneven: true, new_fronts: true, several_caches: true, cold_parent: true, ..case }),
        ("baseline", ColdCase { uneven: true, unlimited: true, ..case }),
    ]
}
