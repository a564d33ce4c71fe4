//! Per-front sums of an arm or a control group over the intervals.

use std::collections::BTreeMap;
use std::ops::Add;

use super::FrontKey;

/// Upper bound of the fronts in a group; reports of further fronts are ignored.
const MAX_FRONTS: usize = 10_000;

/// One front's sums over the intervals. Each interval is weighted by the other group's share of its accesses,
/// so that the group's mean is that of Cochran, Mantel and Haenszel.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FrontSum {
    accesses: f64,
    weight: f64,
    excess: f64,
    /// Sum of squared weights: the variance of `excess` in units of one access's variance.
    squared_weight: f64,
    baseline_noise: f64,
}

impl FrontSum {
    pub fn mean(&self) -> f64 {
        self.excess / self.weight
    }

    /// Variance of `excess`, in units of one access's variance.
    fn variance(&self) -> f64 {
        self.squared_weight + self.weight * self.weight * self.baseline_noise
    }

    /// Variance of the mean, in units of one access's variance.
    pub fn noise(&self) -> f64 {
        self.variance() / (self.weight * self.weight)
    }
}

/// A subset of a group's fronts.
pub(super) type Set<'a> = Vec<&'a FrontSum>;

#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    fronts: BTreeMap<FrontKey, FrontSum>,
    accesses: f64,
}

impl Group {
    pub fn len(&self) -> usize {
        self.fronts.len()
    }

    pub fn accesses(&self) -> f64 {
        self.accesses
    }

    /// Adds one interval of one front.
    pub fn add(&mut self, key: FrontKey, accesses: f64, excess: f64, scale: f64, baseline_noise: f64) {
        if self.fronts.len() >= MAX_FRONTS && !self.fronts.contains_key(&key) {
            return;
        }
        let sum = self.fronts.entry(key).or_default();
        sum.accesses += accesses;
        sum.weight += scale * accesses;
        sum.excess += scale * accesses * excess;
        sum.squared_weight += scale * scale * accesses;
        sum.baseline_noise = baseline_noise;
        self.accesses += accesses;
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

/// Variance of the mean, in units of one access's variance.
pub(super) fn noise(set: &Set) -> f64 {
    let weight = weight(set);
    set.iter().map(|f| f.variance() / weight / weight).sum()
}

/// Pearson's sum of squares of the fronts' deviations from their group's mean, with its degrees of freedom.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Deviation {
    pub squares: f64,
    pub degrees_of_freedom: usize,
}

impl Add for Deviation {
    type Output = Deviation;

    fn add(self, other: Deviation) -> Deviation {
        Deviation {
            squares: self.squares + other.squares,
            degrees_of_freedom: self.degrees_of_freedom + other.degrees_of_freedom,
        }
    }
}

/// `variance`: the variance of one access.
pub(super) fn deviation(set: &Set, variance: f64) -> Deviation {
    let mean = mean(set);
    let square = |f: &&FrontSum| (f.excess - f.weight * mean).powi(2) / (variance * f.variance());
    Deviation { squares: set.iter().map(square).sum(), degrees_of_freedom: set.len().saturating_sub(1) }
}

/// The set without the front that raises (`sign` 1) or lowers (-1) its mean most.
pub(super) fn without_extreme<'a>(set: &Set<'a>, sign: f64) -> Set<'a> {
    let mean = mean(set);
    let influence = |f: &FrontSum| sign * (f.excess - f.weight * mean);
    let extreme = set
        .iter()
        .enumerate()
        .max_by(|a, b| influence(a.1).total_cmp(&influence(b.1)))
        .map(|(index, _)| index);
    set.iter().enumerate().filter(|(index, _)| Some(*index) != extreme).map(|(_, front)| *front).collect()
}
