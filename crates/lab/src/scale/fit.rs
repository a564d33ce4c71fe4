//! A figure as a straight line over N, by ordinary least squares, with 95% intervals by Student's t; and whether it is
//! flat, linear or worse.

use nalgebra::{DMatrix, DVector};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::capacity::run::Shape;

/// Fewer sizes can't tell a curve from a line.
pub const LEAST_SIZES: usize = 4;
/// Fewer seeds can't tell chance from N.
pub const LEAST_SEEDS: usize = 3;
/// Of a two-sided 95% interval.
const QUANTILE: f64 = 0.975;
/// A rise over all sizes of less than this share of the mean is no rise that anybody plans by, however sure.
const FLAT_SHARE: f64 = 0.05;
/// A bend that moves the largest size's figure by less than this share of it is still a line.
const BEND_SHARE: f64 = 0.10;

/// One run's figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub size: usize,
    pub seed: u64,
    pub value: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub slope_interval: [f64; 2],
    pub intercept: f64,
    pub intercept_interval: [f64; 2],
    /// Standard deviation about the line.
    pub residual: f64,
    pub shape: Shape,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    #[error("{0} sizes: a slope is fitted on {LEAST_SIZES} or more that differ; give more with --sizes")]
    Sizes(usize),
    #[error("{0} seeds: a slope is fitted on {LEAST_SEEDS} or more that differ; give more with --seeds")]
    Seeds(usize),
    #[error("a figure at N = {size}, seed {seed} is no number: the run that gave it is at fault")]
    NoNumber { size: usize, seed: u64 },
    #[error("the points lie so that no line is the best one: use sizes that differ more")]
    Singular,
}

impl Fit {
    pub fn at(&self, n: f64) -> f64 {
        self.intercept + self.slope * n
    }
}

/// Coefficients of a polynomial in N with half the widths of their intervals, and the residual.
struct Curve {
    of: Vec<f64>,
    off: Vec<f64>,
    residual: f64,
}

/// N is divided by `scale`, so that its powers are of a like size.
fn curve(points: &[Point], degree: usize, scale: f64) -> Result<Curve, FitError> {
    let power = |row: usize, column: usize| (points[row].size as f64 / scale).powi(column as i32);
    let x = DMatrix::from_fn(points.len(), degree + 1, power);
    let y = DVector::from_iterator(points.len(), points.iter().map(|p| p.value));
    let inverse = (x.transpose() * &x).try_inverse().ok_or(FitError::Singular)?;
    let of = &inverse * x.transpose() * &y;
    let freedom = (points.len() - degree - 1) as f64;
    let variance = (&y - &x * &of).norm_squared() / freedom;
    let t = StudentsT::new(0.0, 1.0, freedom).map_err(|_| FitError::Singular)?.inverse_cdf(QUANTILE);
    let off = |n: usize| t * (variance * inverse[(n, n)]).max(0.0).sqrt() / scale.powi(n as i32);
    Ok(Curve {
        off: (0..=degree).map(off).collect(),
        of: (0..=degree).map(|n| of[n] / scale.powi(n as i32)).collect(),
        residual: variance.sqrt(),
    })
}

fn differing<T: Ord>(all: impl Iterator<Item = T>) -> usize {
    all.collect::<std::collections::BTreeSet<_>>().len()
}

/// The line, its intervals and its shape.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    let sizes = differing(points.iter().map(|p| p.size));
    let seeds = differing(points.iter().map(|p| p.seed));
    if sizes < LEAST_SIZES {
        return Err(FitError::Sizes(sizes));
    }
    if seeds < LEAST_SEEDS {
        return Err(FitError::Seeds(seeds));
    }
    if let Some(p) = points.iter().find(|p| !p.value.is_finite()) {
        return Err(FitError::NoNumber { size: p.size, seed: p.seed });
    }
    let most = points.iter().map(|p| p.size).max().unwrap_or(1).max(1) as f64;
    let line = curve(points, 1, most)?;
    let bent = curve(points, 2, most)?;
    let interval = |n: usize| [line.of[n] - line.off[n], line.of[n] + line.off[n]];
    Ok(Fit {
        slope: line.of[1],
        slope_interval: interval(1),
        intercept: line.of[0],
        intercept_interval: interval(0),
        residual: line.residual,
        shape: shape(points, &line, &bent),
    })
}

/// Worse, where a square of N is surely there and matters at the largest size; flat, where no slope is sure or it doesn't
/// matter.
fn shape(points: &[Point], line: &Curve, bent: &Curve) -> Shape {
    let sizes = || points.iter().map(|p| p.size as f64);
    let (least, most) = (sizes().fold(f64::MAX, f64::min), sizes().fold(0.0, f64::max));
    let mean = points.iter().map(|p| p.value.abs()).sum::<f64>() / points.len() as f64;
    let top = bent.of[0] + bent.of[1] * most + bent.of[2] * most * most;
    let bend = bent.of[2] * (most - least).powi(2);
    let surely_bent = bent.of[2] > bent.off[2] && bend > BEND_SHARE * top.abs();
    let rises = line.of[1] > line.off[1] && line.of[1] * (most - least) > FLAT_SHARE * mean;
    match (surely_bent, rises) {
        (true, _) => Shape::Worse,
        (false, true) => Shape::Linear,
        (false, false) => Shape::Flat,
    }
}
