//! What all fronts of a zone together send caches and parents that have just started, against what acceptance allows: the
//! very decisions, in virtual time. Answers take what their work takes; some fail and are tried again, some miss and are
//! filled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doorgrade::*;

const WARM_FOR: Ticks = 300_000;
/// The tightest that a deployment has: a multiple of 2, from a seventh or so.
const COLD: ColdLimits =
    ColdLimits { initial_share: 0.16, duration: 170_000, load_multiple: 2.0, window: 15_000 };
/// A mean access, in tenths of a millisecond of sending.
const WORK: f64 = 2_000.0;
/// Of the accesses this share misses, and of the answers this share is an error.
const MISSES: f64 = 0.25;
const ERRORS: f64 = 0.03;

/// One case of the experiment.
#[derive(Clone, Copy)]
pub struct Case {
    pub fronts: usize,
    /// What the settings allow a cache that has just started in their time, in accesses of mean work.
    pub n: f64,
    /// Fronts get from a tenth to ten times the mean, and accesses bring from a tenth to ten times its work.
    pub uneven: bool,
    /// All fronts start together with the cold ones, and know nothing of what is usual.
    pub fresh: bool,
    /// A third of the caches start at once.
    pub several: bool,
    /// A parent starts at once with the cache.
    pub parent: bool,
    /// As if nobody had a budget.
    pub baseline: bool,
}

impl Case {
    pub const PLAIN: Case = Case {
        fronts: 1,
        n: 2.0,
        uneven: false,
        fresh: false,
        several: false,
        parent: false,
        baseline: false,
    };

    /// Six fronts a cache, as on the platform's full days; not so many that a run takes minutes.
    fn caches(&self) -> usize {
        (self.fronts / 6).clamp(3, 50)
    }

    fn parents(&self) -> usize {
        2.max(self.caches() / 8)
    }

    /// What a warm cache carries in the settings' time, in accesses: it is taken to do no more, which is the worst case.
    fn each(&self) -> f64 {
        self.n / (COLD.load_multiple * COLD.initial_share)
    }
}

/// What came of a run.
#[derive(Clone, Copy, Default)]
pub struct Run {
    /// The highest share of what is allowed that came to a cold cache in one window; to a cold parent.
    pub cache: f64,
    pub parent: f64,
    /// What the cold caches got in their cold time against what warm ones did.
    pub used: f64,
    /// Of what came after the start.
    pub declined: f64,
}

#[derive(Default)]
struct Out {
    pushed: Vec<(AccessId, usize, usize, bool)>,
    declined: u64,
}

/// Members by their places: caches, then parents, then the origin.
fn place(id: &str) -> usize {
    id.strip_prefix("m-").and_then(|n| n.parse().ok()).unwrap_or(usize::MAX)
}

impl EffectSink for Out {
    fn push(&mut self, p: &Push<'_>) {
        self.pushed.push((p.access, place(p.cache), place(p.source), p.only_if_cached));
    }
    fn cancel_push(&mut self, _: AccessId, _: usize) {}
    fn decline(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    fn give_up(&mut self, _: AccessId, _: UnservedReason) {
        self.declined += 1;
    }
    /// Every answer is in time here, so none is overdue.
    fn set_timer(&mut self, _: Ticks, _: u64) {}
    fn request_member_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

fn settings(case: &Case) -> Settings {
    let lasts = if case.baseline { 0 } else { COLD.duration };
    let cold = ColdLimits { duration: lasts, ..COLD };
    let (effect, fresh, uncacheable) = (RepeatPolicy::Idempotent, 0, false);
    Settings {
        offerings: vec![Offering {
            soft_limit: 10_000,
            transfer_factor: 4.0,
            benefit: 1.0,
            repeat_policy: effect,
            fresh_time: fresh,
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

fn member(case: &Case, n: usize, started: Option<Ticks>) -> Member {
    let (caches, parents) = (case.caches(), case.parents());
    let kind = usize::from(n >= caches) + usize::from(n >= caches + parents);
    let id = format!("m-{n}").into();
    Member { id, zone: 0, kind, cell: 0, status: MemberStatus::Listed, weight: 1.0, started_at: started }
}

/// The highest share of what acceptance allows (N + 2 root N + 2) that came in one window, by what was allowed when the
/// window began.
fn highest(came: &[Ticks], start: Ticks, each: f64) -> f64 {
    let allowed = |at: Ticks| {
        let share =
            COLD.initial_share + (1.0 - COLD.initial_share) * (at - start) as f64 / COLD.duration as f64;
        let n = COLD.load_multiple * share.min(1.0) * each;
        n + 2.0 * n.sqrt() + 2.0
    };
    let (mut first, mut worst) = (0, 0f64);
    for (at, &t) in came.iter().enumerate() {
        while came[first] + COLD.window <= t {
            first += 1;
        }
        worst = worst.max((at + 1 - first) as f64 / allowed(came[first]));
    }
    worst
}

/// What happens next: to a front, an access that comes (none) or the end of a push of one.
type Next = (Ticks, usize, Option<(AccessId, usize, u8)>);

pub fn play(case: &Case, seed: u64) -> Run {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut draw = |spread: bool| if spread { 10f64.powf(2.0 * rng.f64() - 1.0) / 2.15 } else { 1.0 };
    let (set, caches, parents) = (settings(case), case.caches(), case.parents());
    let rate = case.each() * caches as f64 / case.fronts as f64 / (COLD.window as f64 / 10_000.0);
    // However they are spread, all fronts together send what the caches carry.
    let drawn: Vec<f64> = (0..case.fronts).map(|_| draw(case.uneven)).collect();
    let part = rate * case.fronts as f64 / drawn.iter().sum::<f64>();
    let rates: Vec<f64> = drawn.iter().map(|of| of * part).collect();
    let mut fronts: Vec<Front> = (0..case.fronts as u64).map(|n| Front::new(&set, seed << 20 | n)).collect();
    let (mut out, mut heap) = (Out::default(), BinaryHeap::<Reverse<Next>>::new());
    let all: Vec<Member> = (0..=caches + parents).map(|n| member(case, n, None)).collect();
    let start = if case.fresh { 1 } else { WARM_FOR };
    fronts.iter_mut().for_each(|f| f.member_list_received(0, &all, true, &mut out));
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let wait = |rng: &mut fastrand::Rng, rate: f64| (-(1.0 - rng.f64()).ln() / rate * 10_000.0) as Ticks + 1;
    for (n, rate) in rates.iter().enumerate() {
        heap.push(Reverse((wait(&mut rng, *rate), n, None)));
    }
    heap.push(Reverse((start, usize::MAX, None)));
    let cold = if case.several { (caches / 3).max(2) } else { 1 };
    let cold_parent = caches;
    let end = start + COLD.duration;
    let mut came = vec![Vec::new(); caches + parents + 1];
    let (mut id, mut declined, mut asked) = (0, 0, 0);
    while let Some(Reverse((now, n, what))) = heap.pop() {
        if now >= end {
            break;
        }
        if n == usize::MAX {
            let also = Some(cold_parent).filter(|_| case.parent);
            let list: Vec<_> = (0..cold).chain(also).map(|n| member(case, n, Some(now))).collect();
            fronts.iter_mut().for_each(|f| f.member_list_received(now, &list, false, &mut out));
            (declined, asked) = (out.declined, id);
            continue;
        }
        match what {
            None => {
                id += 1;
                let work = WORK * if case.uneven { 10f64.powf(2.0 * rng.f64() - 1.0) / 2.15 } else { 1.0 };
                let (object, until) = (rng.u64(..1 << 40), now + 60_000);
                let (offering, part, group, marked) = (0, 0, 0, true);
                let access = Access {
                    id,
                    offering,
                    object,
                    part,
                    group,
                    kb: work / 10.0,
                    deadline: until,
                    has_repeat_id: marked,
                };
                heap.push(Reverse((now + wait(&mut rng, rates[n]), n, None)));
                fronts[n].access(now, &access, &mut out);
            }
            Some((access, push, outcome)) => {
                let (outcome, note, settled) = match outcome {
                    0 => (Outcome::Handled, CacheStatus::Hit, true),
                    1 => (Outcome::Handled, CacheStatus::Filled, true),
                    2 => (Outcome::Miss, CacheStatus::SourceLacks, false),
                    _ => (Outcome::Error, CacheStatus::Untold, false),
                };
                let ended = PushResult {
                    push,
                    outcome,
                    access_done: settled,
                    latency: 0,
                    cache_status: note,
                    origin_sent_at: None,
                };
                fronts[n].push_ended(now, access, &ended, &mut out);
            }
        }
        // Further pushes of one access come after its first.
        let first = what.map_or(0, |(_, push, _)| push + 1);
        for (at, (access, cache, source, kept)) in out.pushed.drain(..).enumerate() {
            let (missed, failed) = (rng.f64() < MISSES, rng.f64() < ERRORS);
            if now >= start {
                came[cache].push(now);
                if missed && source != cache && source < came.len() {
                    came[source].push(now);
                }
            }
            let outcome = match (failed, missed) {
                (true, _) => 3,
                // A look, or a source that holds nothing.
                (_, true) if source == cache || kept => 2,
                (_, missed) => u8::from(missed),
            };
            let takes = if outcome == 2 { 10 } else { WORK as Ticks };
            heap.push(Reverse((now + takes, n, Some((access, first + at, outcome)))));
        }
    }
    let worst =
        |cold: std::ops::Range<usize>, each| cold.map(|c| highest(&came[c], start, each)).fold(0.0, f64::max);
    let got = |of: std::ops::Range<usize>| {
        of.clone().map(|c| came[c].len()).sum::<usize>() as f64 / of.len() as f64
    };
    // A warm parent does no more than its part of what misses.
    let filled = case.each() * caches as f64 * MISSES / parents as f64;
    Run {
        cache: worst(0..cold, case.each()),
        parent: if case.parent { worst(cold_parent..cold_parent + 1, filled) } else { 0.0 },
        used: got(0..cold) / got(cold..caches).max(1.0),
        declined: (out.declined - declined) as f64 / (id - asked).max(1) as f64,
    }
}

/// The share, and the 95% interval around it (Wilson's, which holds at none and at all).
pub fn share(over: usize, of: usize) -> (f64, f64, f64) {
    let (n, z) = (of.max(1) as f64, 1.96f64);
    let p = over as f64 / n;
    let middle = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
    let half = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
    (p, (middle - half).max(0.0), (middle + half).min(1.0))
}

/// The cases by name, for so many fronts and so large a budget.
pub fn cases(fronts: usize, n: f64) -> [(&'static str, Case); 7] {
    let case = Case { fronts, n, ..Case::PLAIN };
    [
        ("even", case),
        ("uneven", Case { uneven: true, ..case }),
        ("fresh", Case { uneven: true, fresh: true, ..case }),
        ("several", Case { uneven: true, several: true, ..case }),
        ("parent", Case { parent: true, ..case }),
        ("all", Case { uneven: true, fresh: true, several: true, parent: true, ..case }),
        ("baseline", Case { uneven: true, baseline: true, ..case }),
    ]
}
