//! The sequential test of a trial, over many seeds in virtual time.

#[path = "../../lab/src/evidence/simulated.rs"]
#[allow(dead_code)]
mod simulated;

use doorgrade_versions::evidence::{Comparison, Counts, FrontKey, FrontSample, TestSettings, Verdict};
use proptest::prelude::*;
use simulated::{CANARY, Liar, Storm, Trial, WIDE};

const SETTINGS: TestSettings = TestSettings { false_stop: 1e-4, tolerated_drop: 0.03, min_fronts: 3 };

fn harmful(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Harmful { .. })
}

fn harmless(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Harmless { .. })
}

/// Counts the seeds for which the verdict that ends the trial satisfies `is`.
fn count_first_verdicts(trial: Trial, seeds: u64, is: fn(Verdict) -> bool) -> usize {
    (0..seeds).filter(|seed| is(trial.first_verdict(SETTINGS, *seed).0)).count()
}

fn never_stopped(trial: Trial, seeds: u64) {
    let stopped: Vec<u64> = (0..seeds).filter(|seed| trial.ever_harmful(SETTINGS, *seed)).collect();
    assert!(stopped.is_empty(), "seeds {stopped:?} of {seeds} were stopped without a drop: {trial:?}");
}

#[test]
fn a_trial_without_a_drop_is_never_harmful() {
    never_stopped(CANARY, 200);
    never_stopped(Trial { control: 4, ..CANARY }, 200);
    never_stopped(WIDE, 4);
}

#[test]
fn drift_from_baselines_and_differences_between_fronts_are_no_drop() {
    for drift in [0.01, 0.03, 0.1] {
        never_stopped(Trial { drift, ..CANARY }, 100);
        never_stopped(Trial { drift, control: 4, ..CANARY }, 100);
        never_stopped(Trial { drift, ..WIDE }, 2);
    }
    never_stopped(Trial { jitter: 0.05, ..CANARY }, 100);
}

#[test]
fn a_short_or_missing_baseline_is_no_drop() {
    for baseline in [0, 30, 300] {
        never_stopped(Trial { baseline, ..CANARY }, 100);
        never_stopped(Trial { baseline, ..WIDE }, 2);
    }
}

#[test]
fn an_overload_of_both_groups_is_no_drop() {
    never_stopped(Trial { storm: Storm::Everywhere, ..CANARY }, 100);
    never_stopped(Trial { storm: Storm::Everywhere, control: 4, ..CANARY }, 100);
    never_stopped(Trial { storm: Storm::Everywhere, ..WIDE }, 4);
}

#[test]
fn an_overload_of_one_station_is_no_drop_even_without_control_fronts_there() {
    for storm in [Storm::Station, Storm::StationWithoutControl] {
        never_stopped(Trial { storm, ..CANARY }, 100);
        never_stopped(Trial { storm, control: 4, ..CANARY }, 100);
        never_stopped(Trial { storm, ..WIDE }, 4);
    }
}

#[test]
fn four_canaries_find_a_drop_of_three_hundredths_and_never_call_one_of_five_harmless() {
    let found = count_first_verdicts(Trial { drop: 0.03, ..CANARY }, 100, harmful);
    assert!(found >= 99, "{found} of 100");
    for drop in [0.05, 0.1, 0.5] {
        let trial = Trial { drop, ..CANARY };
        assert_eq!(count_first_verdicts(trial, 50, harmful), 50, "{drop}");
        assert_eq!(
            count_first_verdicts(Trial { storm: Storm::Everywhere, ..trial }, 50, harmless),
            0,
            "{drop}"
        );
    }
}

#[test]
fn a_drop_of_a_tenth_takes_two_reports() {
    for seed in 0..50 {
        let (verdict, intervals) = Trial { drop: 0.1, ..CANARY }.first_verdict(SETTINGS, seed);
        assert!(harmful(verdict) && intervals == 2, "seed {seed}: {verdict:?} after {intervals}");
    }
}

#[test]
fn a_hundred_fronts_find_a_drop_of_a_hundredth() {
    let found = count_first_verdicts(Trial { drop: 0.01, ..WIDE }, 20, harmful);
    assert!(found >= 18, "{found} of 20");
}

#[test]
fn without_a_drop_a_trial_passes_within_its_ten_seconds() {
    let passed = count_first_verdicts(CANARY, 100, harmless);
    assert!(passed >= 99, "{passed} of 100");
    assert_eq!(count_first_verdicts(WIDE, 4, harmless), 4);
}

const LIARS: [Liar; 4] = [Liar::AnswersNothing, Liar::AnswersAll, Liar::HugeNothing, Liar::HugeAll];

#[test]
fn a_front_with_false_reports_neither_stops_nor_delays_a_trial() {
    for liar in LIARS {
        let trial = Trial { liar, ..CANARY };
        never_stopped(trial, 50);
        let passed = count_first_verdicts(trial, 50, harmless);
        assert!(passed >= 48, "{liar:?}: {passed} of 50");
        never_stopped(Trial { liar, ..WIDE }, 2);
    }
}

#[test]
fn a_front_with_false_reports_does_not_hide_a_drop() {
    for liar in LIARS {
        for trial in [Trial { liar, drop: 0.1, ..CANARY }, Trial { liar, drop: 0.1, control: 4, ..CANARY }] {
            assert_eq!(count_first_verdicts(trial, 50, harmless), 0, "{liar:?}");
            let found = count_first_verdicts(trial, 50, harmful);
            assert!(found >= 48, "{liar:?}: {found} of 50 beside {}", trial.control);
        }
    }
}

/// The verdict after this many intervals, for fronts with these answered shares, 465 accesses each, and
/// baselines of 0.97.
fn verdict_after(intervals: usize, arm: &[f64], control: &[f64]) -> Verdict {
    let mut comparison = Comparison::new(SETTINGS);
    let report = |shares: &[f64]| -> Vec<(FrontKey, FrontSample)> {
        let sample = |share: &f64| FrontSample {
            counts: Counts { accesses: 465, answered: (465.0 * share) as u64 },
            baseline: Counts { accesses: 27_900, answered: 27_063 },
        };
        shares.iter().map(sample).enumerate().collect()
    };
    for _ in 0..intervals {
        comparison.observe(&report(arm), &report(control));
    }
    comparison.verdict()
}

#[test]
fn harm_that_differs_between_canaries_is_found() {
    let verdict = verdict_after(4, &[0.95, 0.87, 0.67, 0.92], &[0.97; 16]);
    assert!(harmful(verdict), "{verdict:?}");
}

#[test]
fn one_failing_canary_does_not_make_a_change_harmful() {
    for intervals in [2, 4, 20, 200] {
        for share in [0.0, 0.5, 0.9] {
            let verdict = verdict_after(intervals, &[share, 0.97, 0.97, 0.97], &[0.97; 16]);
            assert!(!harmful(verdict), "{share} over {intervals}: {verdict:?}");
            let verdict = verdict_after(intervals, &[0.97; 4], &[share, 0.97, 0.97, 0.97]);
            assert!(!harmful(verdict), "{share} in the control group over {intervals}: {verdict:?}");
        }
    }
    assert!(harmful(verdict_after(4, &[0.5, 0.5, 0.97, 0.97], &[0.97; 16])));
}

#[test]
fn an_improvement_is_harmless() {
    assert!(harmless(verdict_after(10, &[0.99; 4], &[0.97; 16])));
}

#[test]
fn too_few_fronts_intervals_or_accesses_give_no_verdict() {
    let undecided = |v: Verdict| matches!(v, Verdict::Undecided { .. });
    assert!(undecided(verdict_after(0, &[], &[])));
    assert!(undecided(verdict_after(100, &[0.1; 2], &[0.97; 16])));
    assert!(undecided(verdict_after(100, &[0.1; 4], &[0.97; 2])));
    assert!(undecided(verdict_after(100, &[0.1; 4], &[])));
    assert!(undecided(verdict_after(1, &[0.1; 4], &[0.97; 16])));
    let mut comparison = Comparison::new(SETTINGS);
    let sample =
        |accesses, answered| FrontSample { counts: Counts { accesses, answered }, ..FrontSample::default() };
    for _ in 0..30 {
        comparison.observe(&[0, 1, 2].map(|n| (n, sample(1, 0))), &[3, 4, 5].map(|n| (n, sample(1, 1))));
    }
    assert!(undecided(comparison.verdict()));
}

fn hostile_count() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(465), Just(u64::MAX), Just(u64::MAX / 2), 0..1000u64, any::<u64>()]
}

fn hostile_samples() -> impl Strategy<Value = Vec<(FrontKey, FrontSample)>> {
    let counts =
        || (hostile_count(), hostile_count()).prop_map(|(accesses, answered)| Counts { accesses, answered });
    let sample = (counts(), counts()).prop_map(|(counts, baseline)| FrontSample { counts, baseline });
    proptest::collection::vec((prop_oneof![0..6usize, Just(usize::MAX)], sample), 0..8)
}

fn hostile_setting() -> impl Strategy<Value = f64> {
    let odd = prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(0.0), Just(1.0), Just(1e300)];
    prop_oneof![odd, Just(1e-4), Just(0.03)]
}

proptest! {
    #[test]
    fn every_figure_is_finite_whatever_is_reported(
        reports in proptest::collection::vec((hostile_samples(), hostile_samples()), 0..12),
        false_stop in hostile_setting(),
        tolerated_drop in hostile_setting(),
        min_fronts in prop_oneof![0..4usize, Just(usize::MAX)],
    ) {
        let mut comparison = Comparison::new(TestSettings { false_stop, tolerated_drop, min_fronts });
        for (arm, control) in reports {
            comparison.observe(&arm, &control);
            match comparison.verdict() {
                Verdict::Undecided { .. } => {}
                Verdict::Harmful { drop, .. } => prop_assert!(drop.is_finite() && drop > 0.0 && drop <= 1.0, "{drop}"),
                Verdict::Harmless { max_drop, .. } => prop_assert!(max_drop.is_finite(), "{max_drop}"),
            }
        }
    }
}
