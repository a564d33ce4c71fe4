//! Whether fronts with a change answer a smaller share of their accesses than fronts without it, by a sequential test
//! that may be looked at after every report.
//!
//! Pure: counts in, a verdict out. `docs/rollouts.md`, "How a trial is judged", weighs the options.

use std::collections::BTreeMap;

/// Whatever names a front throughout one comparison.
pub type FrontKey = usize;

/// Accesses of one span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub answered: u64,
}

/// What one front reports for one interval, beside its own long run before the trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontSample {
    pub counts: Counts,
    pub baseline: Counts,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestSettings {
    /// Probability that a comparison without any drop is ever called harmful, however often it is looked at.
    pub false_stop: f64,
    /// A drop of the answered share below this is harmless.
    pub tolerated_drop: f64,
    /// Fewer fronts in the arm or in the control group never come to a verdict.
    pub least_fronts: usize,
}

/// `accesses`: those of the arm that the verdict rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Undecided {
        accesses: u64,
    },
    /// `drop`: of the answered share, as estimated.
    Harmful {
        drop: f64,
        accesses: u64,
    },
    /// `at_most`: the upper bound of the drop.
    Harmless {
        at_most: f64,
        accesses: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    asked: f64,
    excess: f64,
}

/// One arm against its control group.
#[derive(Clone, Debug)]
pub struct Comparison {
    settings: TestSettings,
    arm: BTreeMap<FrontKey, Sum>,
    control: BTreeMap<FrontKey, Sum>,
    weight: f64,
    drop: f64,
    variance: f64,
}

fn share(c: Counts) -> f64 {
    if c.asked == 0 { 1.0 } else { c.answered.min(c.asked) as f64 / c.asked as f64 }
}

fn pooled(samples: &[(FrontKey, FrontSample)]) -> (f64, f64, f64) {
    samples.iter().fold((0.0, 0.0, 0.0), |(n, excess, answered), (_, s)| {
        let asked = s.counts.asked as f64;
        (
            n + asked,
            excess + asked * (share(s.counts) - share(s.baseline)),
            answered + asked * share(s.counts),
        )
    })
}

impl Comparison {
    pub fn new(settings: TestSettings) -> Comparison {
        let (arm, control) = (BTreeMap::new(), BTreeMap::new());
        Comparison { settings, arm, control, weight: 0.0, drop: 0.0, variance: 0.0 }
    }

    /// What both groups report for one and the same interval.
    pub fn observe(&mut self, arm: &[(FrontKey, FrontSample)], control: &[(FrontKey, FrontSample)]) {
        let ((n1, excess1, answered1), (n0, excess0, answered0)) = (pooled(arm), pooled(control));
        if n1 == 0.0 || n0 == 0.0 {
            return;
        }
        for (sums, samples) in [(&mut self.arm, arm), (&mut self.control, control)] {
            for (key, s) in samples {
                let sum = sums.entry(*key).or_default();
                sum.asked += s.counts.asked as f64;
                sum.excess += s.counts.asked as f64 * (share(s.counts) - share(s.baseline));
            }
        }
        let weight = n1 * n0 / (n1 + n0);
        let p = (answered1 + answered0) / (n1 + n0);
        self.weight += weight;
        self.drop += weight * (excess0 / n0 - excess1 / n1);
        self.variance += weight * (p * (1.0 - p)).max(0.0025) * 2.0;
    }

    /// As things stand; may be looked at after every interval.
    pub fn verdict(&self) -> Verdict {
        let accesses = self.arm.values().map(|s| s.asked).sum::<f64>() as u64;
        let TestSettings { false_stop, tolerated_drop, least_fronts } = self.settings;
        if self.weight <= 0.0 || self.arm.len().min(self.control.len()) < least_fronts {
            return Verdict::Undecided { accesses };
        }
        let drop = self.drop / self.weight;
        let information = self.weight * self.weight / self.variance;
        let prior = 1.16 / (tolerated_drop * tolerated_drop);
        let sum = information + prior;
        let radius = (sum * (sum / prior / false_stop.powi(2)).ln()).sqrt() / information;
        if drop - radius > 0.0 && drop > tolerated_drop / 4.0 {
            Verdict::Harmful { drop, accesses }
        } else if drop + radius < tolerated_drop {
            Verdict::Harmless { at_most: drop + radius, accesses }
        } else {
            Verdict::Undecided { accesses }
        }
    }
}
