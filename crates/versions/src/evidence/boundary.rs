//! How far an estimate may stray by chance, at whatever time it is looked at.

use statrs::distribution::{ContinuousCDF, Normal, StudentsT};

use super::group::Deviation;

/// Settings outside are taken for the nearest of these.
const PROBABILITIES: (f64, f64) = (1e-12, 0.5);
const DROPS: (f64, f64) = (1e-4, 1.0);

/// Robbins' normal-mixture boundary: under no drop, an estimate with information `i` (one over its variance) leaves
/// `radius(i)` with probability `alpha` at most in all times together.
pub(super) struct Boundary {
    alpha: f64,
    /// Information at which the boundary is narrowest beside one for a single look.
    prior: f64,
}

impl Boundary {
    /// Narrowest where a drop of `tolerated` comes to be told from none.
    pub fn new(alpha: f64, tolerated: f64) -> Boundary {
        let alpha =
            if alpha.is_finite() { alpha.clamp(PROBABILITIES.0, PROBABILITIES.1) } else { PROBABILITIES.0 };
        let tolerated = if tolerated.is_finite() { tolerated.clamp(DROPS.0, DROPS.1) } else { DROPS.1 };
        // Howard, Ramdas and others 2021, section 3.5: the prior for which the boundary at information `v` is least is
        // v / (2 ln(1/alpha) + ln(1 + 2 ln(1/alpha))); `v` where the boundary itself is at `tolerated` is near
        // that same divisor over tolerated squared. So:
        Boundary { alpha, prior: 1.0 / (tolerated * tolerated) }
    }

    pub fn radius(&self, information: f64) -> f64 {
        let sum = information + self.prior;
        (sum * (sum / self.prior / (self.alpha * self.alpha)).ln()).sqrt() / information
    }

    /// Factor by which fronts vary more than by chance alone; none if there are too few to tell. As large as
    /// it may be by chance: as much as Student's quantile is over the normal one, squared.
    pub fn dispersion(&self, of: Deviation) -> Option<f64> {
        if of.freedom == 0 {
            return None;
        }
        let student = StudentsT::new(0.0, 1.0, of.freedom as f64).ok()?.inverse_cdf(1.0 - self.alpha);
        let normal = Normal::standard().inverse_cdf(1.0 - self.alpha);
        Some((of.squares / of.freedom as f64 * (student / normal).powi(2)).max(1.0)).filter(|d| d.is_finite())
    }
}
