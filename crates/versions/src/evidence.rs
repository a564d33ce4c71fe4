//! A sequential test whether fronts with a change answer a smaller share of their accesses than fronts without
//! it. It may be evaluated after every report.
//!
//! For each interval, a front's answered share minus its own baseline is compared with that of the control group in the
//! same interval, so that effects common to both cancel out. The sum over the intervals, weighted as by Cochran, Mantel
//! and Haenszel, is compared with Robbins' normal-mixture boundary; its variance is scaled by how much more fronts
//! differ from each other than by chance alone. No single front is decisive. The code is pure: counts in, a verdict
//! out. `docs/rollouts.md`, "How a trial is judged", discusses the alternatives and gives figures.

mod boundary;
mod group;

use boundary::Boundary;
use group::{Deviation, Group, Set};

/// Identifies a front throughout one comparison.
pub type FrontKey = usize;

/// Counts of accesses in a period of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub accesses: u64,
    pub answered: u64,
}

/// A front's counts for one interval, and its long-term baseline from before the trial, which stays the same
/// throughout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontSample {
    pub counts: Counts,
    /// All zero for a new front: it is then compared with the pooled baseline of the others.
    pub baseline: Counts,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestSettings {
    /// Probability that a comparison without any drop is ever judged harmful, however often it is evaluated.
    pub false_stop: f64,
    /// A smaller drop of the answered share than this is harmless.
    pub tolerated_drop: f64,
    /// With fewer fronts in the arm or in the control group there is no verdict.
    pub min_fronts: usize,
}

/// `accesses`: the arm's accesses that the verdict is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Undecided {
        accesses: u64,
    },
    /// `drop`: the estimated drop of the answered share.
    Harmful {
        drop: f64,
        accesses: u64,
    },
    /// `max_drop`: the upper bound of the drop.
    Harmless {
        max_drop: f64,
        accesses: u64,
    },
}

/// Minimum number of intervals for a verdict: transient problems while a front applies a change are over by
/// then.
const MIN_INTERVALS: u32 = 2;
/// Minimum number of accesses of the arm and of the control group for a verdict, so that the sums are
/// approximately normal.
const MIN_ACCESSES: f64 = 200.0;
/// An estimated drop must exceed this share of `tolerated_drop` to be judged harmful: a smaller one is not
/// worth a stop, and with very many accesses any difference between two groups becomes significant.
const MATERIAL_SHARE: f64 = 0.25;
/// A front weighs at most this many times the median front, whatever number of accesses it reports.
const MAX_WEIGHT: f64 = 3.0;
/// Lower bound of the variance of one access (that of a share of 0.9975): bursts of failures among nearly none
/// are not taken as precise.
const MIN_VARIANCE: f64 = 0.0025;
/// Weight, in accesses, of the pooled baseline in each front's own, so that a short baseline is not taken at
/// face value.
const BASELINE_PRIOR: f64 = 100.0;
/// Upper bound of the accesses of one period; a greater report is clamped to it.
const MAX_ACCESSES: f64 = 1e9;

/// Compares one arm with its control group.
#[derive(Clone, Debug)]
pub struct Comparison {
    settings: TestSettings,
    arm: Group,
    control: Group,
    intervals: u32,
    /// Sum of the intervals' variances of one access, weighted by their accesses.
    variance: f64,
    weight: f64,
}

/// One front's interval, clamped to finite and consistent values.
struct Reading {
    key: FrontKey,
    accesses: f64,
    share: f64,
    excess: f64,
    /// Variance of its baseline, in units of one access's variance.
    baseline_noise: f64,
}

fn clamped(c: Counts) -> (f64, f64) {
    let accesses = (c.accesses as f64).min(MAX_ACCESSES);
    let share = if c.accesses == 0 { 0.0 } else { c.answered.min(c.accesses) as f64 / c.accesses as f64 };
    (accesses, accesses * share)
}

/// Answered share of all fronts' baselines together; 1 if there are none, which then cancels out.
fn pooled_baseline<'a>(samples: impl Iterator<Item = &'a (FrontKey, FrontSample)>) -> f64 {
    let (accesses, answered) = samples
        .map(|(_, s)| clamped(s.baseline))
        .fold((0.0, 0.0), |sum, each| (sum.0 + each.0, sum.1 + each.1));
    if accesses > 0.0 { answered / accesses } else { 1.0 }
}

fn readings(samples: &[(FrontKey, FrontSample)], pooled: f64, max_accesses: f64) -> Vec<Reading> {
    let reporting = samples.iter().filter(|(_, s)| s.counts.accesses > 0);
    reporting
        .map(|(key, s)| {
            let (accesses, answered) = clamped(s.counts);
            let (baseline_accesses, baseline_answered) = clamped(s.baseline);
            let share = answered / accesses;
            let own = (baseline_answered + BASELINE_PRIOR * pooled) / (baseline_accesses + BASELINE_PRIOR);
            Reading {
                key: *key,
                accesses: accesses.min(max_accesses),
                share,
                excess: share - own,
                baseline_noise: 1.0 / (baseline_accesses + BASELINE_PRIOR),
            }
        })
        .collect()
}

fn max_front_accesses(arm: &[(FrontKey, FrontSample)], control: &[(FrontKey, FrontSample)]) -> f64 {
    let both = arm.iter().chain(control);
    let mut accesses: Vec<f64> = both.map(|(_, s)| clamped(s.counts).0).filter(|n| *n > 0.0).collect();
    accesses.sort_by(f64::total_cmp);
    accesses.get(accesses.len() / 2).map_or(0.0, |median| MAX_WEIGHT * median)
}

impl Comparison {
    pub fn new(settings: TestSettings) -> Comparison {
        let (arm, control) = (Group::default(), Group::default());
        Comparison { settings, arm, control, intervals: 0, variance: 0.0, weight: 0.0 }
    }

    /// Adds what both groups report for the same interval. Skips an interval without accesses in either group.
    pub fn observe(&mut self, arm: &[(FrontKey, FrontSample)], control: &[(FrontKey, FrontSample)]) {
        let pooled = pooled_baseline(arm.iter().chain(control));
        let max_accesses = max_front_accesses(arm, control);
        let (arm, control) = (readings(arm, pooled, max_accesses), readings(control, pooled, max_accesses));
        let accesses = |of: &[Reading]| of.iter().map(|r| r.accesses).sum::<f64>();
        let (arm_accesses, control_accesses) = (accesses(&arm), accesses(&control));
        if arm_accesses <= 0.0 || control_accesses <= 0.0 {
            return;
        }
        let total = arm_accesses + control_accesses;
        let shock = control.iter().map(|r| r.accesses * r.excess).sum::<f64>() / control_accesses;
        let answered: f64 = arm.iter().chain(&control).map(|r| r.accesses * r.share).sum();
        let share = answered / total;
        self.intervals = self.intervals.saturating_add(1);
        self.variance += total * (share * (1.0 - share)).max(MIN_VARIANCE);
        self.weight += total;
        for (group, readings, scale) in [
            (&mut self.arm, &arm, control_accesses / total),
            (&mut self.control, &control, arm_accesses / total),
        ] {
            for r in readings {
                group.add(r.key, r.accesses, r.excess - shock, scale, r.baseline_noise);
            }
        }
    }

    /// The current verdict; may be evaluated after every interval. A verdict that is not acted on may change
    /// with the next interval.
    pub fn verdict(&self) -> Verdict {
        let accesses = self.arm.accesses() as u64;
        let undecided = Verdict::Undecided { accesses };
        let min_fronts = self.settings.min_fronts.max(1);
        if self.intervals < MIN_INTERVALS
            || self.arm.len().min(self.control.len()) < min_fronts
            || self.arm.accesses().min(self.control.accesses()) < MIN_ACCESSES
        {
            return undecided;
        }
        let judge = Judge {
            variance: self.variance / self.weight,
            // Harm is tested in two ways, each with half of the error probability.
            boundary: Boundary::new(self.settings.false_stop / 2.0, self.settings.tolerated_drop),
        };
        let (arm, control) = judge.without_outliers(self.arm.all(), self.control.all());
        if let Some(drop) = judge.harm(&arm, &control, self.settings.tolerated_drop * MATERIAL_SHARE) {
            return Verdict::Harmful { drop, accesses };
        }
        match judge.max_drop(&arm, &control) {
            Some(max_drop) if max_drop < self.settings.tolerated_drop => {
                Verdict::Harmless { max_drop, accesses }
            }
            _ => undecided,
        }
    }
}

/// One evaluation of both groups.
struct Judge {
    /// Variance of one access.
    variance: f64,
    boundary: Boundary,
}

/// A front that deviates from the others by more than this many standard deviations, scaled by their
/// dispersion, is excluded from the comparison.
const OUTLIER_LIMIT: f64 = 6.0;
/// One in this many fronts of a group may be excluded, and at least one.
const OUTLIER_FRACTION: usize = 20;

impl Judge {
    /// Both groups without clear outliers: a front with false reports, with a local fault, or at an overloaded station.
    fn without_outliers<'a>(&self, arm: Set<'a>, control: Set<'a>) -> (Set<'a>, Set<'a>) {
        let (arm_rest, arm_suspects) = self.suspects(&arm);
        let (control_rest, control_suspects) = self.suspects(&control);
        let others = self.deviation(&arm_rest) + self.deviation(&control_rest);
        let Some(dispersion) = self.boundary.dispersion(others) else { return (arm, control) };
        let limit = OUTLIER_LIMIT * dispersion.sqrt();
        let keep = |mut rest: Set<'a>, suspects: Vec<(f64, &'a group::FrontSum)>| {
            rest.extend(
                suspects.into_iter().filter(|(distance, _)| *distance <= limit).map(|(_, front)| front),
            );
            rest
        };
        (keep(arm_rest, arm_suspects), keep(control_rest, control_suspects))
    }

    /// Splits off the fronts furthest from their group's median: returns the remaining fronts, then these, each with
    /// its distance in the standard deviations that chance alone would give.
    fn suspects<'a>(&self, set: &Set<'a>) -> (Set<'a>, Vec<(f64, &'a group::FrontSum)>) {
        let count = if set.len() < 3 { 0 } else { (set.len() / OUTLIER_FRACTION).max(1) };
        let mut means: Vec<f64> = set.iter().map(|f| f.mean()).collect();
        means.sort_by(f64::total_cmp);
        let median = means.get(means.len() / 2).copied().unwrap_or(0.0);
        let distance = |f: &group::FrontSum| (f.mean() - median).abs() / (self.variance * f.noise()).sqrt();
        let mut all: Vec<_> = set.iter().map(|f| (distance(f), *f)).collect();
        all.sort_by(|a, b| b.0.total_cmp(&a.0));
        let rest = all.split_off(count);
        (rest.into_iter().map(|(_, front)| front).collect(), all)
    }

    fn deviation(&self, set: &Set) -> Deviation {
        group::deviation(set, self.variance)
    }

    /// The estimated drop and its information (one over its variance).
    fn drop(&self, arm: &Set, control: &Set, dispersion: f64) -> (f64, f64) {
        let drop = group::mean(control) - group::mean(arm);
        let noise = self.variance * dispersion * (group::noise(arm) + group::noise(control));
        (drop, 1.0 / noise.max(f64::MIN_POSITIVE))
    }

    /// The estimated drop, if it is harmful: its lower bound is above zero, whichever single front is left out.
    /// The dispersion is taken from the control group, which shows it without harm, or from both groups: more
    /// fronts, but a change may harm some fronts more than others.
    fn harm(&self, arm: &Set, control: &Set, material: f64) -> Option<f64> {
        let drop = group::mean(control) - group::mean(arm);
        let significant = |pooling: fn(&Judge, &Set, &Set) -> Deviation| {
            variants(arm, control, 1.0).iter().all(|(arm, control)| {
                let dispersion = self.boundary.dispersion(pooling(self, arm, control));
                dispersion.is_some_and(|dispersion| {
                    let (drop, information) = self.drop(arm, control, dispersion);
                    drop - self.boundary.radius(information) > 0.0
                })
            })
        };
        let by_control = |judge: &Judge, _: &Set, control: &Set| judge.deviation(control);
        let by_both =
            |judge: &Judge, arm: &Set, control: &Set| judge.deviation(arm) + judge.deviation(control);
        // Inconsistent baselines can give more than 1.
        (drop > material && (significant(by_control) || significant(by_both))).then_some(drop.min(1.0))
    }

    /// The upper bound of the drop, whichever single front is left out.
    fn max_drop(&self, arm: &Set, control: &Set) -> Option<f64> {
        let bound = |(arm, control): &(Set, Set)| {
            let dispersion = self.boundary.dispersion(self.deviation(arm) + self.deviation(control))?;
            let (drop, information) = self.drop(arm, control, dispersion);
            Some(drop + self.boundary.radius(information))
        };
        variants(arm, control, -1.0).iter().map(bound).try_fold(f64::MIN, |max, each| Some(max.max(each?)))
    }
}

/// Both groups, and each of them again without the one front that is the strongest evidence for a drop (`sign`
/// 1) or against it (-1).
fn variants<'a>(arm: &Set<'a>, control: &Set<'a>, sign: f64) -> Vec<(Set<'a>, Set<'a>)> {
    let mut all = vec![(arm.clone(), control.clone())];
    if arm.len() >= 3 {
        all.push((group::without_extreme(arm, -sign), control.clone()));
    }
    if control.len() >= 3 {
        all.push((arm.clone(), group::without_extreme(control, sign)));
    }
    all
}
