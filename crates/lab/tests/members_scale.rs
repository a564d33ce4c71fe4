//! The membership simulation: a seed determines the run, the members detect a partition and its end, and a run whose
//! budget is stopped ends.

use doorgrade_lab::scale::members::phases::{Phase, run_phases};
use doorgrade_lab::scale::members::simulation::{SECOND, Simulation, region};
use doorgrade_lab::scale::{Budget, BudgetError};

fn budget() -> Budget {
    Budget::new(300, 12.0)
}

#[test]
fn a_seed_determines_the_run_and_all_members_know_each_other_after_each_phase() {
    let costs = |seed| run_phases(seed, 24, &budget()).expect("the run ends").costs;
    let (one, repeated, other) = (costs(5), costs(5), costs(6));
    assert_eq!(one.len(), Phase::ALL.len());
    for ((phase, a), (_, b)) in one.iter().zip(&repeated) {
        assert_eq!(
            (a.sent_per_s, a.received_per_s, a.max_per_s, a.known_after_s),
            (b.sent_per_s, b.received_per_s, b.max_per_s, b.known_after_s)
        );
        assert!(
            a.sent_per_s > 0.0 && a.received_per_s > 0.0 && a.max_per_s >= a.sent_per_s,
            "{phase:?}: {a:?}"
        );
        assert!(a.known_after_s < 120.0, "{phase:?}: not known by all: {a:?}");
        // Datagrams may be lost, but none are created on the way.
        assert!(a.received_per_s <= a.sent_per_s * 1.01, "{phase:?}: {a:?}");
    }
    assert!(
        one.iter().zip(&other).any(|(a, b)| a.1.sent_per_s != b.1.sent_per_s),
        "the seed makes no difference"
    );
}

#[test]
fn members_detect_a_partitioned_region_and_its_return() {
    let mut simulation = Simulation::new(3, 36);
    (0..36).for_each(|n| simulation.start(n));
    simulation.advance(60 * SECOND);
    assert!(simulation.known_share() > 0.99, "{}", simulation.known_share());
    simulation.isolated_regions = 1;
    // Members on the other side are still listed as alive.
    let before_detection = simulation.known_share();
    simulation.advance(120 * SECOND);
    let after_detection = simulation.known_share();
    assert!(before_detection < 0.9 && after_detection > 0.99, "{before_detection}, {after_detection}");
    simulation.isolated_regions = 0;
    let isolated = (0..36).filter(|&n| region(n) < 1).count();
    assert!((1..18).contains(&isolated), "{isolated}");
    assert!(simulation.known_share() < 0.95);
    simulation.advance(60 * SECOND);
    assert!(simulation.known_share() > 0.99, "{}", simulation.known_share());
}

#[test]
fn a_run_ends_when_its_budget_is_stopped() {
    let budget = budget();
    budget.stop(BudgetError::Interrupted);
    assert_eq!(run_phases(1, 24, &budget).err(), Some(BudgetError::Interrupted));
}
