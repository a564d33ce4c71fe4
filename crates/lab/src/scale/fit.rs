//! Fits a figure as a straight line over N by ordinary least squares, with 95% intervals by Student's t, and classifies
//! its growth as flat, linear or superlinear.

use nalgebra::{DMatrix, DVector};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::capacity::run::Growth;

/// With fewer sizes a curve can't be told from a line.
pub const MIN_SIZES: usize = 4;
/// With fewer seeds chance can't be told from the effect of N.
pub const MIN_SEEDS: usize = 3;
/// Quantile at the upper end of a two-sided 95% interval.
const QUANTILE: f64 = 0.975;
/// A rise over all sizes of less than this share of the mean counts as flat, however significant: it is too small to
/// matter for planning.
const FLAT_SHARE: f64 = 0.05;
/// A quadratic term that changes the figure at the largest size by less than this share of it still counts as linear.
const CURVATURE_SHARE: f64 = 0.10;

/// The figure of one run.
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
    /// Standard deviation of the points from the line.
    pub residual: f64,
    pub growth: Growth,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    #[error("{0} sizes: a slope is fitted on {MIN_SIZES} or more that differ; give more with --sizes")]
    Sizes(usize),
    #[error("{0} seeds: a slope is fitted on {MIN_SEEDS} or more that differ; give more with --seeds")]
    Seeds(usize),
    #[error("the figure at N = {size}, seed {seed} is not a finite number: the experiment is at fault")]
    NotFinite { size: usize, seed: u64 },
    #[error("no line fits the points best: use sizes that differ more")]
    Singular,
}

impl Fit {
    pub fn at(&self, n: f64) -> f64 {
        self.intercept + self.slope * n
    }
}

/// A polynomial in N: its coefficients, half the widths of their intervals, and the residual.
struct Polynomial {
    coefficients: Vec<f64>,
    half_widths: Vec<f64>,
    residual: f64,
}

/// N is divided by `scale` while fitting, so that its powers are of similar magnitude.
fn fit_polynomial(points: &[Point], degree: usize, scale: f64) -> Result<Polynomial, FitError> {
    let power = |row: usize, column: usize| (points[row].size as f64 / scale).powi(column as i32);
    let x = DMatrix::from_fn(points.len(), degree + 1, power);
    let y = DVector::from_iterator(points.len(), points.iter().map(|p| p.value));
    let inverse = (x.transpose() * &x).try_inverse().ok_or(FitError::Singular)?;
    let coefficients = &inverse * x.transpose() * &y;
    let degrees_of_freedom = (points.len() - degree - 1) as f64;
    let variance = (&y - &x * &coefficients).norm_squared() / degrees_of_freedom;
    let t =
        StudentsT::new(0.0, 1.0, degrees_of_freedom).map_err(|_| FitError::Singular)?.inverse_cdf(QUANTILE);
    let half_width = |n: usize| t * (variance * inverse[(n, n)]).max(0.0).sqrt() / scale.powi(n as i32);
    Ok(Polynomial {
        half_widths: (0..=degree).map(half_width).collect(),
        coefficients: (0..=degree).map(|n| coefficients[n] / scale.powi(n as i32)).collect(),
        residual: variance.sqrt(),
    })
}

fn count_distinct<T: Ord>(values: impl Iterator<Item = T>) -> usize {
    values.collect::<std::collections::BTreeSet<_>>().len()
}

/// Fits the line with its intervals, and classifies the growth.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    let sizes = count_distinct(points.iter().map(|p| p.size));
    let seeds = count_distinct(points.iter().map(|p| p.seed));
    if sizes < MIN_SIZES {
        return Err(FitError::Sizes(sizes));
    }
    if seeds < MIN_SEEDS {
        return Err(FitError::Seeds(seeds));
    }
    if let Some(p) = points.iter().find(|p| !p.value.is_finite()) {
        return Err(FitError::NotFinite { size: p.size, seed: p.seed });
    }
    let max_size = points.iter().map(|p| p.size).max().unwrap_or(1).max(1) as f64;
    let line = fit_polynomial(points, 1, max_size)?;
    let quadratic = fit_polynomial(points, 2, max_size)?;
    let interval =
        |n: usize| [line.coefficients[n] - line.half_widths[n], line.coefficients[n] + line.half_widths[n]];
    Ok(Fit {
        slope: line.coefficients[1],
        slope_interval: interval(1),
        intercept: line.coefficients[0],
        intercept_interval: interval(0),
        residual: line.residual,
        growth: growth(points, &line, &quadratic),
    })
}

/// Superlinear where the quadratic term is significant and matters at the largest size; flat where no slope is
/// significant, or it doesn't matter.
fn growth(points: &[Point], line: &Polynomial, quadratic: &Polynomial) -> Growth {
    let sizes = || points.iter().map(|p| p.size as f64);
    let (min, max) = (sizes().fold(f64::MAX, f64::min), sizes().fold(0.0, f64::max));
    let mean = points.iter().map(|p| p.value.abs()).sum::<f64>() / points.len() as f64;
    let value_at_max =
        quadratic.coefficients[0] + quadratic.coefficients[1] * max + quadratic.coefficients[2] * max * max;
    let curvature = quadratic.coefficients[2] * (max - min).powi(2);
    let curved = quadratic.coefficients[2] > quadratic.half_widths[2]
        && curvature > CURVATURE_SHARE * value_at_max.abs();
    let rises =
        line.coefficients[1] > line.half_widths[1] && line.coefficients[1] * (max - min) > FLAT_SHARE * mean;
    match (curved, rises) {
        (true, _) => Growth::Superlinear,
        (false, true) => Growth::Linear,
        (false, false) => Growth::Flat,
    }
}
