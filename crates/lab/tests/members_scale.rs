//! Membership played in virtual time: the same seed is the same run, troubles cost what they cost, a run over its budget
//! ends.

use doorgrade_lab::scale::members::play::{Trouble, play};
use doorgrade_lab::scale::members::world::{S, World, region};
use doorgrade_lab::scale::{Budget, BudgetError};

fn budget() -> Budget {
    Budget::new(300, 12.0)
}

#[test]
fn the_same_seed_is_the_same_run_and_all_know_in_the_end() {
    let costs = |seed| play(seed, 24, &budget()).expect("played").costs;
    let (one, again, other) = (costs(5), costs(5), costs(6));
    assert_eq!(one.len(), Trouble::ALL.len());
    for ((trouble, a), (_, b)) in one.iter().zip(&again) {
        assert_eq!((a.sent, a.received, a.worst, a.know_s), (b.sent, b.received, b.worst, b.know_s));
        assert!(a.sent > 0.0 && a.received > 0.0 && a.worst >= a.sent, "{trouble:?}: {a:?}");
        assert!(a.know_s < 120.0, "{trouble:?}: not known by all: {a:?}");
        // Datagrams are lost, never made.
        assert!(a.received <= a.sent * 1.01, "{trouble:?}: {a:?}");
    }
    assert!(one.iter().zip(&other).any(|(a, b)| a.1.sent != b.1.sent), "the seed makes no difference");
}

#[test]
fn a_region_that_is_cut_off_is_missed_and_met_again() {
    let mut world = World::new(3, 36);
    (0..36).for_each(|n| world.start(n));
    world.pass(60 * S);
    assert!(world.known() > 0.99, "{}", world.known());
    world.cut = 1;
    // Those across are still believed in.
    let at_once = world.known();
    world.pass(120 * S);
    let later = world.known();
    assert!(at_once < 0.9 && later > 0.99, "{at_once}, {later}");
    world.cut = 0;
    let across = (0..36).filter(|&n| region(n) < 1).count();
    assert!((1..18).contains(&across), "{across}");
    assert!(world.known() < 0.95);
    world.pass(60 * S);
    assert!(world.known() > 0.99, "{}", world.known());
}

#[test]
fn a_run_that_is_refused_ends() {
    let budget = budget();
    budget.stop(BudgetError::Interrupted);
    assert_eq!(play(1, 24, &budget).err(), Some(BudgetError::Interrupted));
}
