//! Overlapping rollouts judged by evidence, in every order of a small installation: publications of which one may do harm
//! or be turned down, a rollback, fronts that die or are cut off, a service that dies and comes back with its store,
//! an older copy of it, or none. A step is a round (everything delivered, half a second of accesses reported) or
//! something that comes between two rounds. From each state in which nothing more befalls it, it is played on until it is
//! quiet, and must then be as it is to be.

mod small_trial;

use small_trial::{Fault, Left, Plant, Small, Step, World};
use stateright::{Checker, Model, Property};

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::settled(self.plant, self.left)]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.broken.is_some() {
            return;
        }
        if w.left.rounds > 0 {
            steps.push(Step::Round);
        }
        if w.next < self.publications.len() && w.service.is_some() {
            steps.push(Step::Publish);
        }
        if w.left.roll_backs > 0 && w.next > 0 && w.service.is_some() {
            steps.push(Step::RollBack);
        }
        if w.left.faults > 0 {
            steps.extend(self.faults.iter().map(|fault| Step::Befalls(*fault)));
        }
        let waiting = |n: &usize| !w.hosts[*n].to_front.is_empty();
        if w.left.deliveries > 0 {
            steps.extend((0..w.hosts.len()).filter(waiting).map(Step::Deliver));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Round => {
                w.left.rounds -= 1;
                w.round();
            }
            Step::Publish => w.publish(self.publications[w.next]),
            Step::RollBack => {
                w.left.roll_backs -= 1;
                w.roll_back();
            }
            Step::Befalls(fault) => {
                w.left.faults -= 1;
                w.befalls(fault);
            }
            Step::Deliver(n) => {
                w.left.deliveries -= 1;
                w.deliver(n);
            }
        }
        if w.broken.is_none()
            && w.left.faults == 0
            && w.next == self.publications.len()
            && w.left.roll_backs == 0
        {
            w.verdict = w.clone().plays_out();
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is broken on the way", |_, w: &World| w.broken.is_none()),
            Property::always("once quiet it is as it is to be", |_, w: &World| {
                !matches!(w.verdict, Some(Err(_)))
            }),
            Property::sometimes("it becomes quiet", |_, w: &World| matches!(w.verdict, Some(Ok(())))),
        ]
    }
}

const NONE: Left = Left { rounds: 6, faults: 0, roll_backs: 0, deliveries: 0 };

fn small(publications: &'static [&'static str], faults: &'static [Fault], left: Left) -> Small {
    Small { publications, faults, left, plant: Plant::None }
}

/// Searches all of it; how many states there were.
fn search(small: Small) -> usize {
    let checked = small.checker().threads(2).spawn_bfs().join();
    for (name, path) in checked.discoveries() {
        if name != "it becomes quiet" {
            let last = path.last_state();
            let steps = path.clone().into_actions();
            panic!("{name}: {:?} {:?} after {steps:?}; told {:?}", last.broken, last.verdict, last.told);
        }
    }
    checked.assert_properties();
    checked.unique_state_count()
}

/// Searches until what was planted is found; says what it was found by.
fn found(plant: Plant, publications: &'static [&'static str]) -> String {
    let small = Small { plant, ..small(publications, &[], NONE) };
    let checked = small.checker().threads(2).spawn_bfs().join();
    let found = checked.discoveries();
    let path = found.iter().find(|d| *d.0 != "it becomes quiet").map(|d| d.1.last_state());
    path.map_or_else(String::new, |w| format!("{:?} {:?}", w.broken, w.verdict))
}

fn states(count: usize, least: usize) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "{count} states");
    assert!(count >= least, "{count} states: the search has become small");
}

#[test]
fn two_overlapping_rollouts_one_of_them_harmful() {
    states(search(small(&["harm", "good"], &[], NONE)), 20);
    states(search(small(&["good", "harm"], &[], NONE)), 20);
}

#[test]
fn two_overlapping_rollouts_and_a_rollback() {
    states(search(small(&["good", "good"], &[], Left { roll_backs: 1, ..NONE })), 60);
}

#[test]
fn a_change_that_is_turned_down_goes_out_alone() {
    states(search(small(&["refuse", "good"], &[], NONE)), 20);
}

#[test]
fn a_front_that_dies_or_is_cut_off_at_any_step() {
    let faults = &[Fault::Kill(0), Fault::Kill(2), Fault::Cut(1), Fault::Cut(3)];
    states(search(small(&["harm", "good"], faults, Left { rounds: 4, faults: 1, ..NONE })), 60);
}

#[test]
fn a_service_that_dies_at_any_step_and_comes_back_with_its_store_or_an_older_one() {
    let faults = &[Fault::Service, Fault::ServiceOnOlderStore];
    states(search(small(&["harm", "good"], faults, Left { rounds: 4, faults: 1, ..NONE })), 60);
}

#[test]
fn a_service_that_comes_back_without_its_store() {
    let left = Left { rounds: 4, faults: 1, ..NONE };
    states(search(small(&["good", "good"], &[Fault::ServiceWithoutStore], left)), 30);
}

#[test]
fn messages_that_reach_one_front_before_the_others() {
    states(search(small(&["harm", "good"], &[], Left { rounds: 4, deliveries: 1, ..NONE })), 40);
}

#[test]
fn planted_a_front_that_hears_of_no_withdrawal_is_found() {
    let by = found(Plant::DeafAfterWithdrawal, &["harm", "good"]);
    assert!(by.contains("withdrawn"), "{by}");
}

#[test]
fn planted_a_front_that_confirms_what_it_does_not_run_is_found() {
    let by = found(Plant::ConfirmsWithoutRunning, &["good"]);
    assert!(by.contains("told in force"), "{by}");
}

#[test]
fn planted_a_front_that_goes_back_to_an_older_version_is_found() {
    let by = found(Plant::GoesBack, &["good"]);
    assert!(by.contains("lower number"), "{by}");
}

#[test]
fn planted_reports_that_hide_harm_are_found() {
    let by = found(Plant::HidesHarm, &["harm"]);
    assert!(by.contains("harmful"), "{by}");
}
