//! Sums of an arm's or a control group's fronts over the intervals.

use std::collections::BTreeMap;
use std::ops::Add;

use super::FrontKey;

/// More fronts are not compared; their reports are passed over.
const MOST_FRONTS: usize = 10_000;

/// One front over the intervals. Weighted by the other group's share of each interval's accesses, so that the group's mean is
/// Cochran, Mantel and Haenszel's.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FrontSum {
    asked: f64,
    weight: f64,
    excess: f64,
    /// Squared weights: the variance of `excess` in units of one access's.
    spread: f64,
    baseline_noise: f64,
}

impl FrontSum {
    pub fn mean(&self) -> f64 {
        self.excess / self.weight
    }

    /// Variance of `excess`, in units of one access's.
    fn variance(&self) -> f64 {
        self.spread + self.weight * self.weight * self.baseline_noise
    }

    /// Variance of the mean, in units of one access's.
    pub fn noise(&self) -> f64 {
        self.variance() / (self.weight * self.weight)
    }
}

/// Some of a group's fronts.
pub(super) type Set<'a> = Vec<&'a FrontSum>;

#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    fronts: BTreeMap<FrontKey, FrontSum>,
    asked: f64,
}

impl Group {
    pub fn len(&self) -> usize {
        self.fronts.len()
    }

    pub fn asked(&self) -> f64 {
        self.asked
    }

    /// One interval of one front.
    pub fn add(&mut self, key: FrontKey, asked: f64, excess: f64, scale: f64, baseline_noise: f64) {
        if self.fronts.len() >= MOST_FRONTS && !self.fronts.contains_key(&key) {
            return;
        }
        let sum = self.fronts.entry(key).or_default();
        sum.asked += asked;
        sum.weight += scale * asked;
        sum.excess += scale * asked * excess;
        sum.spread += scale * scale * asked;
        sum.baseline_noise = baseline_noise;
        self.asked += asked;
    }

    pub fn all(&self) -> Set<'_> {
        self.fronts.values().filter(|f| f.weight > 0.0).collect()
    }
}

fn weight(set: &Set) -> f64 {
    set.iter().map(|f| f.weight).sum::<f64>().max(f64::MIN_POSITIVE)
}

pub(super) fn mean(set: &Set) -> f64 {
    set.iter().map(|f| f.excess).sum::<f64>() / weight(set)
}

/// Variance of the mean, in units of one access's.
pub(super) fn noise(set: &Set) -> f64 {
    let weight = weight(set);
    set.iter().map(|f| f.variance() / weight / weight).sum()
}

/// Pearson's sum of squares of fronts round their group's mean, with its degrees of freedom.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Deviation {
    pub squares: f64,
    pub freedom: usize,
}

impl Add for Deviation {
    type Output = Deviation;

    fn add(self, other: Deviation) -> Deviation {
        Deviation { squares: self.squares + other.squares, freedom: self.freedom + other.freedom }
    }
}

/// `variance`: of one access.
pub(super) fn deviation(set: &Set, variance: f64) -> Deviation {
    let mean = mean(set);
    let square = |f: &&FrontSum| (f.excess - f.weight * mean).powi(2) / (variance * f.variance());
    Deviation { squares: set.iter().map(square).sum(), freedom: set.len().saturating_sub(1) }
}

/// The set without the front that raises (`sign` 1) or lowers (-1) its mean most.
pub(super) fn without_extreme<'a>(set: &Set<'a>, sign: f64) -> Set<'a> {
    let mean = mean(set);
    let pull = |f: &FrontSum| sign * (f.excess - f.weight * mean);
    let most = set.iter().enumerate().max_by(|a, b| pull(a.1).total_cmp(&pull(b.1))).map(|(at, _)| at);
    set.iter().enumerate().filter(|(at, _)| Some(*at) != most).map(|(_, front)| *front).collect()
}
