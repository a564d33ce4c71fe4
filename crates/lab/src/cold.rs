//! What all fronts of a zone together send a cache that has just started, against what fells it: the very decisions,
//! in virtual time. Answers take what their work takes; nothing else goes wrong.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doorgrade::*;
use rayon::prelude::*;

use crate::{Figures, How};

/// Fronts for each cache: what one carries at once is then a few accesses. Three caches at the least.
const FRONTS_A_CACHE: usize = 6;
const WARM_FOR: Tenths = 600_000;
const COLD: Cold = Cold { from: 0.16, lasts: 170_000, multiple: 2.0, window: 15_000 };
/// Accesses a second of a front, on average: many fronts, little each.
const RATE: f64 = 3.0;
/// A mean access, in tenths of a millisecond of sending.
const WORK: f64 = 2_000.0;

struct Case {
    fronts: usize,
    /// Fronts get from a tenth to ten times the mean, and accesses too.
    uneven: bool,
    /// All fronts start together with the cache, and know nothing of what is usual.
    fresh: bool,
    /// As if nobody had a budget.
    baseline: bool,
}

#[derive(Default)]
struct Out {
    pushed: Vec<(AccessId, usize)>,
    pushes: u64,
    declined: u64,
}

impl Case {
    fn caches(&self) -> usize {
        (self.fronts / FRONTS_A_CACHE).max(3)
    }
}

impl Outlet for Out {
    fn push(&mut self, p: &Push<'_>) {
        let cache = p.cache.strip_prefix("cache-").and_then(|n| n.parse().ok());
        self.pushed.push((p.access, cache.unwrap_or(usize::MAX)));
        self.pushes += 1;
    }
    fn withdraw(&mut self, _: AccessId, _: usize) {}
    fn decline(&mut self, _: AccessId) {
        self.declined += 1;
    }
    fn give_up(&mut self, _: AccessId) {
        self.declined += 1;
    }
    /// Every answer is in time here, so none is overdue.
    fn wake(&mut self, _: Tenths, _: u64) {}
    fn follow_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

fn settings(case: &Case) -> Settings {
    let lasts = if case.baseline { 0 } else { COLD.lasts };
    let cold = Cold { lasts, ..COLD };
    let (effect, fresh, uncacheable) = (Effect::Idempotent, 0, false);
    Settings {
        offerings: vec![Offering { soft: 10_000, stretch: 4.0, benefit: 1.0, effect, fresh, uncacheable }],
        zone: 0,
        crew: case.fronts as u32,
        parent_kind: None,
        origin_kind: Some(2),
        notes: Notes::All,
        may: Powers { joins: true, straight: true, cancels: true, second_copies: true },
        max_pushes: 4,
        weights: true,
        list_on_request: false,
        quantum: 20,
        flow_kb_per_s: 1_000.0,
        cold,
        parent_cold: cold,
        purge_done: 0,
    }
}

fn member(n: usize, origin: bool, started: Option<Tenths>) -> Member {
    let (id, kind) = if !origin { (format!("cache-{n}"), 0) } else { ("origin".to_owned(), 2) };
    let (standing, weight) = (Standing::Listed, 1.0);
    Member { id: id.into(), zone: 0, kind, cell: 0, standing, weight, started }
}

/// The highest share of what fells the cold cache that came in one window, what it got in its cold time against what
/// a warm one carries, and the share declined after the start.
fn play(case: &Case, seed: u64) -> (f64, f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut draw = |spread: bool| if spread { 10f64.powf(2.0 * rng.f64() - 1.0) / 2.15 } else { 1.0 };
    let rates: Vec<f64> = (0..case.fronts).map(|_| RATE * draw(case.uneven)).collect();
    let (set, caches) = (settings(case), case.caches());
    let mut fronts: Vec<Front> = (0..case.fronts as u64).map(|n| Front::new(&set, seed << 20 | n)).collect();
    let (mut out, mut heap) = (Out::default(), BinaryHeap::new());
    let all: Vec<Member> = (0..=caches).map(|n| member(n, n == caches, None)).collect();
    let start = if case.fresh { 1 } else { WARM_FOR };
    fronts.iter_mut().for_each(|f| f.listed(0, &all, true, &mut out));
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let wait = |rng: &mut fastrand::Rng, rate: f64| (-(1.0 - rng.f64()).ln() / rate * 10_000.0) as Tenths + 1;
    for (n, rate) in rates.iter().enumerate() {
        heap.push(Reverse((wait(&mut rng, *rate), n, u64::MAX, 0)));
    }
    heap.push(Reverse((start, usize::MAX, 0, 0)));
    let end = start + COLD.lasts;
    let (mut id, mut came, mut warm, mut declined, mut asked) = (0, Vec::new(), 0u64, 0, 0);
    while let Some(Reverse((now, n, access, push))) = heap.pop() {
        if now >= end {
            break;
        }
        if n == usize::MAX {
            fronts.iter_mut().for_each(|f| f.listed(now, &[member(0, false, Some(now))], false, &mut out));
            (declined, asked) = (out.declined, id);
            continue;
        }
        if access == u64::MAX {
            id += 1;
            let work = WORK * if case.uneven { 10f64.powf(2.0 * rng.f64() - 1.0) / 2.15 } else { 1.0 };
            let (object, until) = (rng.u64(..1 << 40), now + 60_000);
            let (offering, part, group, marked) = (0, 0, 0, true);
            let access = Access { id, offering, object, part, group, kb: work / 10.0, until, marked };
            heap.push(Reverse((now + wait(&mut rng, rates[n]), n, u64::MAX, 0)));
            fronts[n].access(now, &access, &mut out);
            // How long each push takes goes with its access.
            for (at, (access, cache)) in out.pushed.drain(..).enumerate() {
                if cache == 0 && now >= start {
                    came.push(now);
                }
                warm += u64::from(cache != 0 && cache < caches && now >= start);
                heap.push(Reverse((now + work as Tenths, n, access, at)));
            }
            continue;
        }
        let note = Note::Hit;
        let ended = Ended { push, outcome: Outcome::Handled, settled: true, lag: 0, note, made: None };
        fronts[n].ended(now, access, &ended, &mut out);
        out.pushed.clear();
    }
    // What a warm one carries at once, by what all accesses need; it could do no more, which is the worst case.
    let each = rates.iter().sum::<f64>() / caches as f64 * COLD.window as f64 / 10_000.0;
    let allowed = |at: Tenths| {
        let share = COLD.from + (1.0 - COLD.from) * (at - start) as f64 / COLD.lasts as f64;
        let n = COLD.multiple * share.min(1.0) * each;
        n + 3.0 * n.sqrt() + 3.0
    };
    let mut first = 0;
    let mut worst = 0f64;
    for (at, &t) in came.iter().enumerate() {
        while came[first] + COLD.window <= t {
            first += 1;
        }
        // By what was allowed when the window began.
        worst = worst.max((at + 1 - first) as f64 / allowed(came[first]));
    }
    let used = came.len() as f64 * (caches - 1) as f64 / warm.max(1) as f64;
    (worst, used, (out.declined - declined) as f64 / (id - asked).max(1) as f64)
}

pub fn run(how: &How) -> Figures {
    let sizes: &[usize] = if how.quick { &[1, 30, 300] } else { &[1, 6, 30, 300, 3_000] };
    let mut figures = Figures::default();
    for &fronts in sizes {
        let seeds = if how.quick || fronts > 300 { 4 } else { 10 };
        for (name, uneven, fresh, baseline) in [
            ("even", false, false, false),
            ("uneven", true, false, false),
            ("fresh", true, true, false),
            ("baseline", true, false, true),
        ] {
            let case = Case { fronts, uneven, fresh, baseline };
            let all: Vec<_> =
                (0..seeds).into_par_iter().map(|n| play(&case, how.seed.wrapping_mul(1_000) + n)).collect();
            let worst = all.iter().map(|a| a.0).fold(0.0, f64::max);
            let mean = |of: fn(&(f64, f64, f64)) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
            figures.ratio(&format!("cold_worst_{name}_{fronts}"), worst);
            figures.ratio(&format!("cold_used_{name}_{fronts}"), mean(|a| a.1));
            figures.ratio(&format!("declined_{name}_{fronts}"), mean(|a| a.2));
        }
    }
    figures
}

#[cfg(test)]
mod tests {
    use super::*;

    /// However traffic is spread over few fronts or many, what they send together does not fell a cold cache; without
    /// budgets it would.
    #[test]
    fn fronts_do_not_fell_a_cold_cache_together() {
        for fronts in [1, 30] {
            for (uneven, fresh) in [(false, false), (true, false), (true, true)] {
                let (worst, used, _) = play(&Case { fronts, uneven, fresh, baseline: false }, 7);
                assert!(
                    worst < 1.0 && used > 0.05,
                    "{fronts}, {uneven}, {fresh}: {worst} of what fells it, used {used}"
                );
            }
        }
        let (worst, ..) = play(&Case { fronts: 30, uneven: true, fresh: false, baseline: true }, 7);
        assert!(worst > 1.0, "{worst}: the rig shows a fall where nobody has a budget");
    }
}
