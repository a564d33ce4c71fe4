//! The sequential test of a trial, played over many seeds in virtual time: how often it stops a change that does nothing,
//! beside a test for one look that is looked at as often, and after how many accesses it finds which drop.

mod simulated;

use doorgrade_lab::cold::share;
use doorgrade_lab::{Figures, RunArgs};
use doorgrade_versions::evidence::{FrontSample, TestSettings, Verdict};
use rayon::prelude::*;
use serde_json::json;

use simulated::{CANARY, Liar, Reports, Storm, Trial, WIDE};

/// As the rollout has them.
const SETTINGS: TestSettings = TestSettings { false_stop: 1e-4, tolerated_drop: 0.03, least_fronts: 3 };
/// Changes a day at the target.
const CHANGES: f64 = 1_000.0;
/// Share of the runs in which a drop counts as found.
const FOUND: f64 = 0.9;
/// Threads; the machine has others' work.
const THREADS: usize = 2;

struct Size {
    false_stops: u64,
    storms: u64,
    drops: u64,
    wide: u64,
}

const FULL: Size = Size { false_stops: 40_000, storms: 4_000, drops: 400, wide: 400 };
const QUICK: Size = Size { false_stops: 2_000, storms: 400, drops: 40, wide: 20 };

pub fn run(how: &RunArgs) -> Figures {
    let size = if how.quick { QUICK } else { FULL };
    let mut figures = Figures::default();
    let mut all = || {
        false_stops(how, &size, &mut figures);
        drops(how, &size, &mut figures);
    };
    match rayon::ThreadPoolBuilder::new().num_threads(THREADS).build() {
        Ok(pool) => pool.install(all),
        Err(_) => all(),
    }
    figures
}

fn seeds(how: &RunArgs, runs: u64) -> std::ops::Range<u64> {
    let first = how.seed.wrapping_mul(1 << 32);
    first..first.saturating_add(runs)
}

/// Share of the runs in which it comes to that, with its interval of 95%.
fn put_share(
    how: &RunArgs,
    figures: &mut Figures,
    name: &str,
    runs: u64,
    of: impl Fn(u64) -> bool + Sync,
) -> f64 {
    let so = seeds(how, runs).into_par_iter().filter(|seed| of(*seed)).count();
    let (middle, low, high) = share(so, runs as usize);
    figures.put(name, middle);
    figures.put(&format!("{name}_interval"), json!([low, high]));
    figures.put(&format!("{name}_runs"), runs);
    high
}

fn false_stops(how: &RunArgs, size: &Size, figures: &mut Figures) {
    let ever = |trial: Trial| move |seed| trial.ever_harmful(SETTINGS, seed);
    let most = put_share(how, figures, "false_stop_probability", size.false_stops, ever(CANARY));
    figures.put("false_stops_a_day_at_most", most * CHANGES);
    let cases = [
        ("false_stop_beside_4", Trial { control: 4, ..CANARY }),
        ("false_stop_with_storm", Trial { storm: Storm::Everywhere, ..CANARY }),
        ("false_stop_with_storm_at_a_station", Trial { storm: Storm::StationWithoutControl, ..CANARY }),
        ("false_stop_with_storm_at_a_shared_station", Trial { storm: Storm::Station, ..CANARY }),
        ("false_stop_with_drift", Trial { drift: 0.03, ..CANARY }),
        ("false_stop_with_short_baseline", Trial { baseline: 300, ..CANARY }),
        ("false_stop_with_liar", Trial { liar: Liar::HugeNothing, ..CANARY }),
        ("false_stop_with_liar_of_nothing", Trial { liar: Liar::AnswersNothing, ..CANARY }),
    ];
    for (name, trial) in cases {
        put_share(how, figures, name, size.storms, ever(trial));
    }
    for (name, liar) in [("hidden_by_liar", Liar::AnswersAll), ("hidden_by_huge_liar", Liar::HugeAll)] {
        let trial = Trial { liar, drop: 0.1, ..CANARY };
        let hidden = |seed| matches!(trial.first_verdict(SETTINGS, seed).0, Verdict::Harmless { .. });
        put_share(how, figures, name, size.storms, hidden);
    }
    put_share(how, figures, "false_stop_wide", size.wide, ever(WIDE));
    put_share(
        how,
        figures,
        "false_stop_wide_with_storm",
        size.wide,
        ever(Trial { storm: Storm::Everywhere, ..WIDE }),
    );
    let naive = |trial: Trial| move |seed| looked_at_often(trial, seed);
    put_share(how, figures, "one_look_test_false_stop", size.storms, naive(CANARY));
    put_share(
        how,
        figures,
        "one_look_test_false_stop_with_storm",
        size.storms,
        naive(Trial { storm: Storm::Everywhere, ..CANARY }),
    );
}

/// The baseline: two pooled shares, compared at each look as if it were the only one, at the same probability.
fn looked_at_often(trial: Trial, seed: u64) -> bool {
    /// Standard deviations for `false_stop` on one side.
    const LIMIT: f64 = 3.719;
    let sums = |reports: &Reports| {
        let each = reports
            .iter()
            .map(|(_, FrontSample { counts, .. })| (counts.asked as f64, counts.answered as f64));
        each.fold((0.0, 0.0), |sum, each| (sum.0 + each.0, sum.1 + each.1))
    };
    let (mut with, mut without) = ((0.0, 0.0), (0.0, 0.0));
    let mut stopped = false;
    trial.reports(seed, |_, arm, control| {
        for (all, reports) in [(&mut with, arm), (&mut without, control)] {
            let (asked, answered) = sums(reports);
            *all = (all.0 + asked, all.1 + answered);
        }
        let pooled = (with.1 + without.1) / (with.0 + without.0);
        let noise = (pooled * (1.0 - pooled) * (1.0 / with.0 + 1.0 / without.0)).sqrt();
        stopped = without.1 / without.0 - with.1 / with.0 > LIMIT * noise;
        stopped
    });
    stopped
}

fn drops(how: &RunArgs, size: &Size, figures: &mut Figures) {
    let eight = Trial { arm: 8, ..CANARY };
    for (name, trial, runs) in [
        ("canary", CANARY, size.drops),
        ("eight", eight, size.drops),
        ("wide", WIDE, size.wide.min(size.drops) / 4),
    ] {
        figures.put(&format!("smallest_drop_found_{name}"), smallest(how, trial, runs));
        for drop in [0.0, 0.01, 0.03, 0.1, 0.5] {
            decided(how, figures, &format!("{name}_drop_{drop}"), Trial { drop, ..trial }, runs);
        }
    }
}

/// The smallest drop, in steps of a four-hundredth, that `FOUND` of the runs find within the trial's ten seconds.
fn smallest(how: &RunArgs, trial: Trial, runs: u64) -> Option<f64> {
    (1..=40).map(|step| f64::from(step) / 400.0).find(|drop| {
        let trial = Trial { drop: *drop, ..trial };
        let harmful = |seed: &u64| matches!(trial.first_verdict(SETTINGS, *seed).0, Verdict::Harmful { .. });
        seeds(how, runs).into_par_iter().filter(harmful).count() as f64 >= FOUND * runs as f64
    })
}

fn decided(how: &RunArgs, figures: &mut Figures, name: &str, trial: Trial, runs: u64) {
    let ends: Vec<_> =
        seeds(how, runs).into_par_iter().map(|seed| trial.first_verdict(SETTINGS, seed)).collect();
    let of = |so: fn(&Verdict) -> bool| ends.iter().filter(|e| so(&e.0)).count() as f64 / runs as f64;
    figures.put_rounded(&format!("{name}_harmful"), of(|v| matches!(v, Verdict::Harmful { .. })));
    figures.put_rounded(&format!("{name}_harmless"), of(|v| matches!(v, Verdict::Harmless { .. })));
    let mut accesses: Vec<u64> = ends.iter().map(|e| accesses(e.0)).collect();
    let mut seconds: Vec<f64> = ends.iter().map(|e| e.1 as f64 / 2.0).collect();
    accesses.sort_unstable();
    seconds.sort_by(f64::total_cmp);
    for (quantile, share) in [("p50", 0.5), ("p99", 0.99)] {
        let at = ((runs - 1) as f64 * share).round() as usize;
        figures.put(&format!("accesses_to_decide_{quantile}_{name}"), accesses[at]);
        figures.put(&format!("seconds_to_decide_{quantile}_{name}"), seconds[at]);
    }
}

fn accesses(verdict: Verdict) -> u64 {
    match verdict {
        Verdict::Undecided { accesses }
        | Verdict::Harmful { accesses, .. }
        | Verdict::Harmless { accesses, .. } => accesses,
    }
}
