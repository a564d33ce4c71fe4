//! Whether fronts with a change answer a smaller share of their accesses than fronts without it, by a sequential test
//! that may be looked at after every report.
//!
//! In each interval a front's answered share less its own baseline stands against the control group's in that same
//! interval: what befalls both is nobody's fault. The sum over the intervals, weighted as by Cochran, Mantel and Haenszel,
//! is held against Robbins' normal-mixture boundary; its variance grows by how much more fronts differ from each
//! other than chance alone would have them. No front decides alone. Pure: counts in, a verdict out.
//! `docs/rollouts.md`, "How a trial is judged", weighs the options and has the measured figures.

mod boundary;
mod group;

use boundary::Boundary;
use group::{Deviation, Group, Set};

/// Whatever names a front throughout one comparison.
pub type FrontKey = usize;

/// Accesses of one span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub answered: u64,
}

/// What one front reports for one interval, beside its own long run before the trial, which stays the same throughout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontSample {
    pub counts: Counts,
    /// All zero for a front that is new: it is then held against the others' baseline.
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

/// A verdict rests on this many intervals at least: what a front stumbles over while it takes a change in is over by then.
const LEAST_INTERVALS: u32 = 2;
/// And on this many accesses of the arm and of the control group, so that the sums are near enough to normal.
const LEAST_ACCESSES: f64 = 200.0;
/// Share of `tolerated_drop` that an estimated drop is over before it is called harmful: less is not worth a stop,
/// and with very many accesses any difference between two groups becomes significant.
const MATERIAL: f64 = 0.25;
/// A front weighs at most as much as so many fronts at the median, whatever it claims to have been asked.
const MOST_WEIGHT: f64 = 3.0;
/// Variance of one access is taken for this at least (a share of 0.9975): failures that come in bursts among
/// nearly none are not read as precise.
const LEAST_VARIANCE: f64 = 0.0025;
/// A front's baseline counts beside so many accesses at everyone's, so that a short one is not taken at its word.
const BASELINE_PRIOR: f64 = 100.0;
/// Beyond what a span can bring; a claim over it is taken for this.
const MOST_ASKED: f64 = 1e9;

/// One arm against its control group.
#[derive(Clone, Debug)]
pub struct Comparison {
    settings: TestSettings,
    arm: Group,
    control: Group,
    intervals: u32,
    /// Of the intervals, weighted: one access's variance.
    variance: f64,
    weight: f64,
}

/// One front's interval, made finite and consistent.
struct Reading {
    key: FrontKey,
    asked: f64,
    share: f64,
    excess: f64,
    /// Variance of its baseline, in units of one access's.
    baseline_noise: f64,
}

fn counted(c: Counts) -> (f64, f64) {
    let asked = (c.asked as f64).min(MOST_ASKED);
    let share = if c.asked == 0 { 0.0 } else { c.answered.min(c.asked) as f64 / c.asked as f64 };
    (asked, asked * share)
}

/// Pooled share of everyone's baseline; 1 if nobody has one, which then cancels out.
fn pooled_baseline<'a>(samples: impl Iterator<Item = &'a (FrontKey, FrontSample)>) -> f64 {
    let (asked, answered) = samples
        .map(|(_, s)| counted(s.baseline))
        .fold((0.0, 0.0), |sum, each| (sum.0 + each.0, sum.1 + each.1));
    if asked > 0.0 { answered / asked } else { 1.0 }
}

fn readings(samples: &[(FrontKey, FrontSample)], everyones: f64, most: f64) -> Vec<Reading> {
    let heard = samples.iter().filter(|(_, s)| s.counts.asked > 0);
    heard
        .map(|(key, s)| {
            let (asked, answered) = counted(s.counts);
            let (before, answered_before) = counted(s.baseline);
            let share = answered / asked;
            let own = (answered_before + BASELINE_PRIOR * everyones) / (before + BASELINE_PRIOR);
            Reading {
                key: *key,
                asked: asked.min(most),
                share,
                excess: share - own,
                baseline_noise: 1.0 / (before + BASELINE_PRIOR),
            }
        })
        .collect()
}

fn most_weight(arm: &[(FrontKey, FrontSample)], control: &[(FrontKey, FrontSample)]) -> f64 {
    let both = arm.iter().chain(control);
    let mut asked: Vec<f64> = both.map(|(_, s)| counted(s.counts).0).filter(|n| *n > 0.0).collect();
    asked.sort_by(f64::total_cmp);
    asked.get(asked.len() / 2).map_or(0.0, |median| MOST_WEIGHT * median)
}

impl Comparison {
    pub fn new(settings: TestSettings) -> Comparison {
        let (arm, control) = (Group::default(), Group::default());
        Comparison { settings, arm, control, intervals: 0, variance: 0.0, weight: 0.0 }
    }

    /// What both groups report for one and the same interval. One in which either group was asked nothing is passed over.
    pub fn observe(&mut self, arm: &[(FrontKey, FrontSample)], control: &[(FrontKey, FrontSample)]) {
        let everyones = pooled_baseline(arm.iter().chain(control));
        let most = most_weight(arm, control);
        let (arm, control) = (readings(arm, everyones, most), readings(control, everyones, most));
        let asked = |of: &[Reading]| of.iter().map(|r| r.asked).sum::<f64>();
        let (arm_asked, control_asked) = (asked(&arm), asked(&control));
        if arm_asked <= 0.0 || control_asked <= 0.0 {
            return;
        }
        let all = arm_asked + control_asked;
        let shock = control.iter().map(|r| r.asked * r.excess).sum::<f64>() / control_asked;
        let answered: f64 = arm.iter().chain(&control).map(|r| r.asked * r.share).sum();
        let share = answered / all;
        self.intervals = self.intervals.saturating_add(1);
        self.variance += all * (share * (1.0 - share)).max(LEAST_VARIANCE);
        self.weight += all;
        for (group, readings, scale) in
            [(&mut self.arm, &arm, control_asked / all), (&mut self.control, &control, arm_asked / all)]
        {
            for r in readings {
                group.add(r.key, r.asked, r.excess - shock, scale, r.baseline_noise);
            }
        }
    }

    /// As things stand; may be looked at after every interval. A verdict that is not acted on may change with the next.
    pub fn verdict(&self) -> Verdict {
        let accesses = self.arm.asked() as u64;
        let undecided = Verdict::Undecided { accesses };
        let least = self.settings.least_fronts.max(1);
        if self.intervals < LEAST_INTERVALS
            || self.arm.len().min(self.control.len()) < least
            || self.arm.asked().min(self.control.asked()) < LEAST_ACCESSES
        {
            return undecided;
        }
        let judge = Judge {
            variance: self.variance / self.weight,
            // Harm is looked for in two ways, each of which may be wrong half as often.
            boundary: Boundary::new(self.settings.false_stop / 2.0, self.settings.tolerated_drop),
        };
        let (arm, control) = judge.without_outliers(self.arm.all(), self.control.all());
        if let Some(drop) = judge.harm(&arm, &control, self.settings.tolerated_drop * MATERIAL) {
            return Verdict::Harmful { drop, accesses };
        }
        match judge.at_most(&arm, &control) {
            Some(at_most) if at_most < self.settings.tolerated_drop => {
                Verdict::Harmless { at_most, accesses }
            }
            _ => undecided,
        }
    }
}

/// One look at both groups.
struct Judge {
    /// Of one access.
    variance: f64,
    boundary: Boundary,
}

/// A front this many standard deviations from the others, by their dispersion, is left out of the comparison.
const OUTLIER: f64 = 6.0;
/// So many may be left out of a group: one, or a twentieth.
const OUTLIERS: usize = 20;

impl Judge {
    /// Both groups without the fronts that stand evidently apart from all others: one that lies, one with a fault
    /// of its own, one whose station has a storm.
    fn without_outliers<'a>(&self, arm: Set<'a>, control: Set<'a>) -> (Set<'a>, Set<'a>) {
        let (arm_rest, arm_suspects) = self.suspects(&arm);
        let (control_rest, control_suspects) = self.suspects(&control);
        let others = self.deviation(&arm_rest) + self.deviation(&control_rest);
        let Some(dispersion) = self.boundary.dispersion(others) else { return (arm, control) };
        let limit = OUTLIER * dispersion.sqrt();
        let keep = |mut rest: Set<'a>, suspects: Vec<(f64, &'a group::FrontSum)>| {
            rest.extend(suspects.into_iter().filter(|(apart, _)| *apart <= limit).map(|(_, front)| front));
            rest
        };
        (keep(arm_rest, arm_suspects), keep(control_rest, control_suspects))
    }

    /// The fronts that stand furthest from their group's median, each with how many standard deviations by chance
    /// alone; and the others.
    fn suspects<'a>(&self, set: &Set<'a>) -> (Set<'a>, Vec<(f64, &'a group::FrontSum)>) {
        let count = if set.len() < 3 { 0 } else { (set.len() / OUTLIERS).max(1) };
        let mut means: Vec<f64> = set.iter().map(|f| f.mean()).collect();
        means.sort_by(f64::total_cmp);
        let median = means.get(means.len() / 2).copied().unwrap_or(0.0);
        let apart = |f: &group::FrontSum| (f.mean() - median).abs() / (self.variance * f.noise()).sqrt();
        let mut all: Vec<_> = set.iter().map(|f| (apart(f), *f)).collect();
        all.sort_by(|a, b| b.0.total_cmp(&a.0));
        let rest = all.split_off(count);
        (rest.into_iter().map(|(_, front)| front).collect(), all)
    }

    fn deviation(&self, set: &Set) -> Deviation {
        group::deviation(set, self.variance)
    }

    /// Estimated drop, and the information on it: one over its variance.
    fn drop(&self, arm: &Set, control: &Set, dispersion: f64) -> (f64, f64) {
        let drop = group::mean(control) - group::mean(arm);
        let noise = self.variance * dispersion * (group::noise(arm) + group::noise(control));
        (drop, 1.0 / noise.max(f64::MIN_POSITIVE))
    }

    /// The estimated drop, if it is harm: the lower bound is over zero, whichever single front is left out, with the
    /// dispersion of the control group, as it is without harm, or with that of both (more fronts, but a
    /// change may harm one front more than another).
    fn harm(&self, arm: &Set, control: &Set, material: f64) -> Option<f64> {
        let drop = group::mean(control) - group::mean(arm);
        let sure = |way: fn(&Judge, &Set, &Set) -> Deviation| {
            variants(arm, control, 1.0).iter().all(|(arm, control)| {
                let dispersion = self.boundary.dispersion(way(self, arm, control));
                dispersion.is_some_and(|dispersion| {
                    let (drop, information) = self.drop(arm, control, dispersion);
                    drop - self.boundary.radius(information) > 0.0
                })
            })
        };
        let by_control = |judge: &Judge, _: &Set, control: &Set| judge.deviation(control);
        let by_both =
            |judge: &Judge, arm: &Set, control: &Set| judge.deviation(arm) + judge.deviation(control);
        // Baselines that contradict each other come to more than 1.
        (drop > material && (sure(by_control) || sure(by_both))).then_some(drop.min(1.0))
    }

    /// The upper bound of the drop, whichever single front is left out.
    fn at_most(&self, arm: &Set, control: &Set) -> Option<f64> {
        let bound = |(arm, control): &(Set, Set)| {
            let dispersion = self.boundary.dispersion(self.deviation(arm) + self.deviation(control))?;
            let (drop, information) = self.drop(arm, control, dispersion);
            Some(drop + self.boundary.radius(information))
        };
        variants(arm, control, -1.0).iter().map(bound).try_fold(f64::MIN, |most, each| Some(most.max(each?)))
    }
}

/// Both groups, and again without the one front of either that speaks most for a drop (`sign` 1) or against it (-1).
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
