//! What is published when: a Poisson stream of changes with harmful ones at fixed places among them, drawn from the seed, and
//! a storm that hits all fronts alike.

use fastrand::Rng;

use super::content::Harm;

/// Before the first change all is at rest; after the last one, what is late shows and is undone.
const REST_S: f64 = 20.0;
const AFTER_S: f64 = 45.0;
/// Of the storm: thousandths of accesses that nobody answers meanwhile, and how long.
const STORM: u64 = 80;
const STORM_S: f64 = 8.0;

#[derive(Clone, Copy, Debug)]
pub struct Due {
    pub change: usize,
    pub at_s: f64,
    pub harm: Option<Harm>,
}

pub struct Plan {
    pub seed: u64,
    pub changes: Vec<Due>,
    pub lasts_s: f64,
    storm_from_s: f64,
}

impl Plan {
    pub fn new(seed: u64, quick: bool, each_s: f64) -> Plan {
        let count = if quick { 20 } else { 60 };
        let mut rng = Rng::with_seed(seed);
        let mut at_s = REST_S;
        let mut changes: Vec<Due> = (1..=count)
            .map(|change| {
                at_s += -each_s * (1.0 - rng.f64()).ln();
                Due { change, at_s, harm: None }
            })
            .collect();
        let place = |share: f64| (share * count as f64) as usize;
        let first_of_two = place(0.6);
        for (place, harm) in [
            (place(0.15), Harm::Drop(0.1)),
            (place(0.3), Harm::Drop(0.5)),
            (place(0.45), Harm::Unusable),
            (first_of_two + 1, Harm::Together { with: first_of_two, drop: 0.15 }),
            (place(0.75), Harm::Late { after_s: 8.0, drop: 0.2 }),
            (place(0.85), Harm::Drop(0.05)),
        ] {
            changes[place - 1].harm = Some(harm);
        }
        // While changes are on trial.
        let storm_from_s = changes[place(0.5)].at_s;
        Plan { seed, changes, lasts_s: at_s + AFTER_S, storm_from_s }
    }

    /// Thousandths of accesses that nobody answers at a time.
    pub fn storm(&self, at_s: f64) -> u64 {
        let within = (self.storm_from_s..self.storm_from_s + STORM_S).contains(&at_s);
        if within { STORM } else { 0 }
    }
}
