//! Checks overlapping rollouts judged by evidence in every order of events of a small installation:
//! publications of which one may be harmful or rejected, a rollback, fronts that die or are disconnected, and
//! a service that dies and restarts with its store, an older copy of it, or none. A step is a round (all
//! messages are delivered, half a second of accesses is reported) or an event between two rounds. From each
//! state without further faults the world is run until it is quiet, and its final state is checked.

mod small_trial;

use small_trial::{Budget, Bug, Fault, Small, Step, World};
use stateright::{Checker, Model, Property};

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::settled(self.bug, self.budget)]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.violation.is_some() {
            return;
        }
        if w.budget.rounds > 0 {
            steps.push(Step::Round);
        }
        if w.published_count < self.publications.len() && w.service.is_some() {
            steps.push(Step::Publish);
        }
        if w.budget.roll_backs > 0 && w.published_count > 0 && w.service.is_some() {
            steps.push(Step::RollBack);
        }
        if w.budget.faults > 0 {
            steps.extend(self.faults.iter().map(|fault| Step::Fault(*fault)));
        }
        let waiting = |n: &usize| !w.hosts[*n].to_front.is_empty();
        if w.budget.deliveries > 0 {
            steps.extend((0..w.hosts.len()).filter(waiting).map(Step::Deliver));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Round => {
                w.budget.rounds -= 1;
                w.round();
            }
            Step::Publish => w.publish(self.publications[w.published_count]),
            Step::RollBack => {
                w.budget.roll_backs -= 1;
                w.roll_back();
            }
            Step::Fault(fault) => {
                w.budget.faults -= 1;
                w.inject(fault);
            }
            Step::Deliver(n) => {
                w.budget.deliveries -= 1;
                w.deliver(n);
            }
        }
        if w.violation.is_none()
            && w.budget.faults == 0
            && w.published_count == self.publications.len()
            && w.budget.roll_backs == 0
        {
            w.verdict = w.clone().run_until_quiet();
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated on the way", |_, w: &World| w.violation.is_none()),
            Property::always("the final state is as expected", |_, w: &World| {
                !matches!(w.verdict, Some(Err(_)))
            }),
            Property::sometimes("it becomes quiet", |_, w: &World| matches!(w.verdict, Some(Ok(())))),
        ]
    }
}

const NONE: Budget = Budget { rounds: 6, faults: 0, roll_backs: 0, deliveries: 0 };

fn small(publications: &'static [&'static str], faults: &'static [Fault], budget: Budget) -> Small {
    Small { publications, faults, budget, bug: Bug::None }
}

/// Searches all states and returns their number.
fn search(small: Small) -> usize {
    let checked = small.checker().threads(2).spawn_bfs().join();
    for (name, path) in checked.discoveries() {
        if name != "it becomes quiet" {
            let last = path.last_state();
            let steps = path.clone().into_actions();
            panic!(
                "{name}: {:?} {:?} after {steps:?}; reported {:?}",
                last.violation, last.verdict, last.reported
            );
        }
    }
    checked.assert_properties();
    checked.unique_state_count()
}

/// Searches until the injected bug is detected and returns the violation.
fn violation_with(bug: Bug, publications: &'static [&'static str]) -> String {
    let small = Small { bug, ..small(publications, &[], NONE) };
    let checked = small.checker().threads(2).spawn_bfs().join();
    let found = checked.discoveries();
    let path = found.iter().find(|d| *d.0 != "it becomes quiet").map(|d| d.1.last_state());
    path.map_or_else(String::new, |w| format!("{:?} {:?}", w.violation, w.verdict))
}

fn report_states(count: usize, min: usize) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "{count} states");
    assert!(count >= min, "{count} states: the search has become small");
}

#[test]
fn two_overlapping_rollouts_one_of_them_harmful() {
    report_states(search(small(&["harm", "good"], &[], NONE)), 20);
    report_states(search(small(&["good", "harm"], &[], NONE)), 20);
}

#[test]
fn two_overlapping_rollouts_and_a_rollback() {
    report_states(search(small(&["good", "good"], &[], Budget { roll_backs: 1, ..NONE })), 60);
}

#[test]
fn only_the_rejected_change_is_removed() {
    report_states(search(small(&["refuse", "good"], &[], NONE)), 20);
}

#[test]
fn a_front_that_dies_or_is_disconnected_at_any_step() {
    let faults = &[Fault::Kill(0), Fault::Kill(2), Fault::Disconnect(1), Fault::Disconnect(3)];
    report_states(search(small(&["harm", "good"], faults, Budget { rounds: 4, faults: 1, ..NONE })), 60);
}

#[test]
fn a_service_that_dies_at_any_step_and_restarts_with_its_store_or_an_older_one() {
    let faults = &[Fault::Service, Fault::ServiceOnOlderStore];
    report_states(search(small(&["harm", "good"], faults, Budget { rounds: 4, faults: 1, ..NONE })), 60);
}

#[test]
fn a_service_that_restarts_without_its_store() {
    let budget = Budget { rounds: 4, faults: 1, ..NONE };
    report_states(search(small(&["good", "good"], &[Fault::ServiceWithoutStore], budget)), 30);
}

#[test]
fn messages_that_reach_one_front_before_the_others() {
    report_states(search(small(&["harm", "good"], &[], Budget { rounds: 4, deliveries: 1, ..NONE })), 40);
}

#[test]
fn a_front_that_gets_no_offer_after_a_removal_is_detected() {
    let violation = violation_with(Bug::DropsOffersAfterRemoval, &["harm", "good"]);
    assert!(violation.contains("removed version"), "{violation}");
}

#[test]
fn a_front_that_confirms_a_version_that_it_does_not_run_is_detected() {
    let violation = violation_with(Bug::ConfirmsWithoutRunning, &["good"]);
    assert!(violation.contains("reported in force"), "{violation}");
}

#[test]
fn a_front_that_applies_an_older_version_is_detected() {
    let violation = violation_with(Bug::RunsLowerNumber, &["good"]);
    assert!(violation.contains("lower number"), "{violation}");
}

#[test]
fn reports_that_hide_harm_are_detected() {
    let violation = violation_with(Bug::HidesHarm, &["harm"]);
    assert!(violation.contains("harmful"), "{violation}");
}
