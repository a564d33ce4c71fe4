//! Bounds how far an estimate may deviate by chance at any number of evaluations.

use statrs::distribution::{ContinuousCDF, Normal, StudentsT};

use super::group::Deviation;

/// Settings are clamped to these ranges.
const ALPHA_RANGE: (f64, f64) = (1e-12, 0.5);
const TOLERATED_RANGE: (f64, f64) = (1e-4, 1.0);

/// Robbins' normal-mixture boundary: if there is no drop, an estimate with information `i` (one over its
/// variance) ever exceeds `radius(i)` with probability `alpha` at most.
pub(super) struct Boundary {
    alpha: f64,
    /// Information at which the boundary is closest to the one for a single evaluation.
    prior: f64,
}

impl Boundary {
    /// Tightest where a drop of `tolerated` becomes distinguishable from none.
    pub fn new(alpha: f64, tolerated: f64) -> Boundary {
        let alpha = if alpha.is_finite() { alpha.clamp(ALPHA_RANGE.0, ALPHA_RANGE.1) } else { ALPHA_RANGE.0 };
        let tolerated = if tolerated.is_finite() {
            tolerated.clamp(TOLERATED_RANGE.0, TOLERATED_RANGE.1)
        } else {
            TOLERATED_RANGE.1
        };
        // Howard, Ramdas and others 2021, section 3.5: the prior that minimizes the boundary at information `v`
        // is v / (2 ln(1/alpha) + ln(1 + 2 ln(1/alpha))). The `v` at which the boundary equals `tolerated` is
        // close to that same divisor over `tolerated` squared, so the divisor cancels.
        Boundary { alpha, prior: 1.0 / (tolerated * tolerated) }
    }

    pub fn radius(&self, information: f64) -> f64 {
        let sum = information + self.prior;
        (sum * (sum / self.prior / (self.alpha * self.alpha)).ln()).sqrt() / information
    }

    /// Factor by which fronts vary more than by chance alone, or `None` if there are too few fronts. It is an
    /// upper estimate: scaled by the squared ratio of Student's quantile to the normal one.
    pub fn dispersion(&self, deviation: Deviation) -> Option<f64> {
        if deviation.degrees_of_freedom == 0 {
            return None;
        }
        let student =
            StudentsT::new(0.0, 1.0, deviation.degrees_of_freedom as f64).ok()?.inverse_cdf(1.0 - self.alpha);
        let normal = Normal::standard().inverse_cdf(1.0 - self.alpha);
        Some((deviation.squares / deviation.degrees_of_freedom as f64 * (student / normal).powi(2)).max(1.0))
            .filter(|d| d.is_finite())
    }
}
