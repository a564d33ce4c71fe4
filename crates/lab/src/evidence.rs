//! The sequential test of a trial, simulated with many seeds in virtual time: how often it stops a harmless change, compared
//! with a fixed-sample test that is evaluated as often, and after how many accesses it detects a drop of which runs.

mod simulated;

use doorgrade_lab::cold::share_with_interval;
use doorgrade_lab::{Figures, RunArgs};
use doorgrade_versions::evidence::{FrontSample, TestSettings, Verdict};
use rayon::prelude::*;
use serde_json::json;

use simulated::{CANARY, Liar, Reports, Storm, Trial, WIDE};

/// The test settings of rollouts.
const SETTINGS: TestSettings = TestSettings { false_stop: 1e-4, tolerated_drop: 0.03, min_fronts: 3 };
/// Changes per day at the target.
const CHANGES_PER_DAY: f64 = 1_000.0;
/// A drop counts as detected if at least this share of the runs detect it.
const DETECTION_SHARE: f64 = 0.9;
/// Few, since the machine is shared.
const THREADS: usize = 2;

/// Runs of each kind of experiment.
struct RunCounts {
    false_stops: u64,
    storms: u64,
    drops: u64,
    wide: u64,
}

const FULL: RunCounts = RunCounts { false_stops: 40_000, storms: 4_000, drops: 400, wide: 400 };
const QUICK: RunCounts = RunCounts { false_stops: 2_000, storms: 400, drops: 40, wide: 20 };

pub fn run(run_args: &RunArgs) -> Figures {
    let runs = if run_args.quick { QUICK } else { FULL };
    let mut figures = Figures::default();
    let mut experiments = || {
        false_stops(run_args, &runs, &mut figures);
        drops(run_args, &runs, &mut figures);
    };
    match rayon::ThreadPoolBuilder::new().num_threads(THREADS).build() {
        Ok(pool) => pool.install(experiments),
        Err(_) => experiments(),
    }
    figures
}

fn seeds(run_args: &RunArgs, runs: u64) -> std::ops::Range<u64> {
    let first = run_args.seed.wrapping_mul(1 << 32);
    first..first.saturating_add(runs)
}

/// Puts the share of the runs for which the condition holds, with its 95% interval; returns the interval's upper end.
fn put_share(
    run_args: &RunArgs,
    figures: &mut Figures,
    name: &str,
    runs: u64,
    condition: impl Fn(u64) -> bool + Sync,
) -> f64 {
    let count = seeds(run_args, runs).into_par_iter().filter(|seed| condition(*seed)).count();
    let (share, low, high) = share_with_interval(count, runs as usize);
    figures.put(name, share);
    figures.put(&format!("{name}_interval"), json!([low, high]));
    figures.put(&format!("{name}_runs"), runs);
    high
}

fn false_stops(run_args: &RunArgs, runs: &RunCounts, figures: &mut Figures) {
    let false_stop = |trial: Trial| move |seed| trial.ever_harmful(SETTINGS, seed);
    let upper_end =
        put_share(run_args, figures, "false_stop_probability", runs.false_stops, false_stop(CANARY));
    figures.put("false_stops_a_day_at_most", upper_end * CHANGES_PER_DAY);
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
        put_share(run_args, figures, name, runs.storms, false_stop(trial));
    }
    for (name, liar) in [("hidden_by_liar", Liar::AnswersAll), ("hidden_by_huge_liar", Liar::HugeAll)] {
        let trial = Trial { liar, drop: 0.1, ..CANARY };
        let hidden = |seed| matches!(trial.first_verdict(SETTINGS, seed).0, Verdict::Harmless { .. });
        put_share(run_args, figures, name, runs.storms, hidden);
    }
    put_share(run_args, figures, "false_stop_wide", runs.wide, false_stop(WIDE));
    put_share(
        run_args,
        figures,
        "false_stop_wide_with_storm",
        runs.wide,
        false_stop(Trial { storm: Storm::Everywhere, ..WIDE }),
    );
    let fixed_sample = |trial: Trial| move |seed| fixed_sample_test_stops(trial, seed);
    put_share(run_args, figures, "one_look_test_false_stop", runs.storms, fixed_sample(CANARY));
    put_share(
        run_args,
        figures,
        "one_look_test_false_stop_with_storm",
        runs.storms,
        fixed_sample(Trial { storm: Storm::Everywhere, ..CANARY }),
    );
}

/// The baseline: a test of two pooled shares for a fixed sample, at the same significance, but evaluated at each report.
fn fixed_sample_test_stops(trial: Trial, seed: u64) -> bool {
    /// In standard deviations, for a probability of `SETTINGS.false_stop` on one side.
    const LIMIT: f64 = 3.719;
    let sums = |reports: &Reports| {
        let each = reports
            .iter()
            .map(|(_, FrontSample { counts, .. })| (counts.accesses as f64, counts.answered as f64));
        each.fold((0.0, 0.0), |sum, each| (sum.0 + each.0, sum.1 + each.1))
    };
    let (mut arm_sums, mut control_sums) = ((0.0, 0.0), (0.0, 0.0));
    let mut stopped = false;
    trial.reports(seed, |_, arm, control| {
        for (total, reports) in [(&mut arm_sums, arm), (&mut control_sums, control)] {
            let (accesses, answered) = sums(reports);
            *total = (total.0 + accesses, total.1 + answered);
        }
        let pooled = (arm_sums.1 + control_sums.1) / (arm_sums.0 + control_sums.0);
        let deviation = (pooled * (1.0 - pooled) * (1.0 / arm_sums.0 + 1.0 / control_sums.0)).sqrt();
        stopped = control_sums.1 / control_sums.0 - arm_sums.1 / arm_sums.0 > LIMIT * deviation;
        stopped
    });
    stopped
}

fn drops(run_args: &RunArgs, runs: &RunCounts, figures: &mut Figures) {
    let eight_canaries = Trial { arm: 8, ..CANARY };
    for (name, trial, runs) in [
        ("canary", CANARY, runs.drops),
        ("eight", eight_canaries, runs.drops),
        ("wide", WIDE, runs.wide.min(runs.drops) / 4),
    ] {
        figures.put(&format!("smallest_drop_found_{name}"), smallest_detected_drop(run_args, trial, runs));
        for drop in [0.0, 0.01, 0.03, 0.1, 0.5] {
            put_decisions(run_args, figures, &format!("{name}_drop_{drop}"), Trial { drop, ..trial }, runs);
        }
    }
}

/// The smallest drop, in steps of 1/400, that `DETECTION_SHARE` of the runs detect within the trial's ten seconds.
fn smallest_detected_drop(run_args: &RunArgs, trial: Trial, runs: u64) -> Option<f64> {
    (1..=40).map(|step| f64::from(step) / 400.0).find(|drop| {
        let trial = Trial { drop: *drop, ..trial };
        let harmful = |seed: &u64| matches!(trial.first_verdict(SETTINGS, *seed).0, Verdict::Harmful { .. });
        seeds(run_args, runs).into_par_iter().filter(harmful).count() as f64 >= DETECTION_SHARE * runs as f64
    })
}

fn put_decisions(run_args: &RunArgs, figures: &mut Figures, name: &str, trial: Trial, runs: u64) {
    let decisions: Vec<_> =
        seeds(run_args, runs).into_par_iter().map(|seed| trial.first_verdict(SETTINGS, seed)).collect();
    let share = |condition: fn(&Verdict) -> bool| {
        decisions.iter().filter(|d| condition(&d.0)).count() as f64 / runs as f64
    };
    figures.put_rounded(&format!("{name}_harmful"), share(|v| matches!(v, Verdict::Harmful { .. })));
    figures.put_rounded(&format!("{name}_harmless"), share(|v| matches!(v, Verdict::Harmless { .. })));
    let mut accesses: Vec<u64> = decisions.iter().map(|d| accesses(d.0)).collect();
    let mut seconds: Vec<f64> = decisions.iter().map(|d| d.1 as f64 / 2.0).collect();
    accesses.sort_unstable();
    seconds.sort_by(f64::total_cmp);
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let index = ((runs - 1) as f64 * quantile).round() as usize;
        figures.put(&format!("accesses_to_decide_{label}_{name}"), accesses[index]);
        figures.put(&format!("seconds_to_decide_{label}_{name}"), seconds[index]);
    }
}

fn accesses(verdict: Verdict) -> u64 {
    match verdict {
        Verdict::Undecided { accesses }
        | Verdict::Harmful { accesses, .. }
        | Verdict::Harmless { accesses, .. } => accesses,
    }
}
