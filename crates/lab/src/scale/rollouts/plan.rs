//! The schedule of a run, drawn from its seed: changes as a Poisson process, with harmful ones at fixed places among them, and
//! a period in which a share of accesses fails at all fronts alike, whatever they run.

use fastrand::Rng;

use super::content::Harm;

/// Time without changes before the first one, and after the last one, in which late harm shows and is undone.
const INITIAL_REST_S: f64 = 20.0;
const FINAL_WAIT_S: f64 = 45.0;
/// Thousandths of accesses that fail at all fronts during the overload, and its duration.
const OVERLOAD_PERMILLE: u64 = 80;
const OVERLOAD_S: f64 = 8.0;

/// A change, and when it is published, from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct PlannedChange {
    pub change: usize,
    pub at_s: f64,
    pub harm: Option<Harm>,
}

pub struct Plan {
    pub seed: u64,
    pub changes: Vec<PlannedChange>,
    pub duration_s: f64,
    overload_from_s: f64,
}

impl Plan {
    pub fn new(seed: u64, quick: bool, mean_interval_s: f64) -> Plan {
        let count = if quick { 20 } else { 60 };
        let mut rng = Rng::with_seed(seed);
        let mut at_s = INITIAL_REST_S;
        let mut changes: Vec<PlannedChange> = (1..=count)
            .map(|change| {
                at_s += -mean_interval_s * (1.0 - rng.f64()).ln();
                PlannedChange { change, at_s, harm: None }
            })
            .collect();
        let index = |share: f64| (share * count as f64) as usize;
        let first_of_two = index(0.6);
        for (number, harm) in [
            (index(0.15), Harm::Drop(0.1)),
            (index(0.3), Harm::Drop(0.5)),
            (index(0.45), Harm::Unusable),
            (first_of_two + 1, Harm::Together { with: first_of_two, drop: 0.15 }),
            (index(0.75), Harm::Late { after_s: 8.0, drop: 0.2 }),
            (index(0.85), Harm::Drop(0.05)),
        ] {
            changes[number - 1].harm = Some(harm);
        }
        // At a time when changes are on trial.
        let overload_from_s = changes[index(0.5)].at_s;
        Plan { seed, changes, duration_s: at_s + FINAL_WAIT_S, overload_from_s }
    }

    /// Thousandths of accesses that fail at all fronts at this time.
    pub fn overload_permille(&self, at_s: f64) -> u64 {
        let within = (self.overload_from_s..self.overload_from_s + OVERLOAD_S).contains(&at_s);
        if within { OVERLOAD_PERMILLE } else { 0 }
    }
}
