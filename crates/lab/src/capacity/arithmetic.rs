//! Calculates the page's cells from figures at a tenth, at all and at ten times of the target's size; the ratio of
//! each requirement; and the size at which a budget is exhausted.

use super::data::{Budget, Data, Figure, Provenance, Requirement, Term, Unit};
use super::error::PageError;

/// The page's columns, as multiples of the target's size.
pub const SCALES: [f64; 3] = [0.1, 1.0, 10.0];
/// The multiples of the target's size between which the end of a budget is searched for.
const SEARCHED_SCALES: [f64; 2] = [0.01, 1_000.0];

impl Figure {
    /// The value at a size, in units of the quantity that the figure is a function of.
    pub fn value(&self, size: f64) -> f64 {
        self.base + self.coefficient * size.powf(self.exponent)
    }

    pub fn is_measured(&self) -> bool {
        matches!(self.provenance, Provenance::Measured(_))
    }
}

/// The value of a cell at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellValue {
    pub value: f64,
    pub unit: Unit,
    /// Whether all figures of the cell were measured.
    pub measured: bool,
}

impl Data {
    /// The value of a quantity for a fleet of `scale` times the target's size.
    pub fn quantity_at(&self, entry: &str, name: &str, scale: f64) -> Result<f64, PageError> {
        let quantity = self.quantity(entry, name)?;
        Ok(if quantity.scales_with_fleet { quantity.value * scale } else { quantity.value })
    }

    /// The value of a figure for a fleet of `scale` times the target's size.
    pub fn figure_at(&self, entry: &str, figure: &Figure, scale: f64) -> Result<f64, PageError> {
        Ok(figure.value(self.quantity_at(entry, &figure.variable, scale)?))
    }

    pub fn cell(&self, entry: &str, terms: &[Term], scale: f64) -> Result<CellValue, PageError> {
        let mut sum = CellValue { value: 0.0, unit: Unit::Count, measured: true };
        for (n, term) in terms.iter().enumerate() {
            let figure = self.figure(entry, &term.figure)?;
            let mut value = self.figure_at(entry, figure, scale)? * term.factor;
            for quantity in &term.multipliers {
                value *= self.quantity_at(entry, quantity, scale)?;
            }
            sum.value += value;
            sum.measured &= figure.is_measured();
            if n == 0 {
                sum.unit = multiplied_unit(figure.unit, &term.multipliers);
            }
        }
        Ok(sum)
    }

    pub fn budget(&self, entry: &str, budget: &Budget, scale: f64) -> Result<f64, PageError> {
        let value = match (&budget.quantity, &budget.figure) {
            (Some(name), _) => self.quantity_at(entry, name, scale)?,
            (None, Some(name)) => self.figure_at(entry, self.figure(entry, name)?, scale)?,
            (None, None) => 0.0,
        };
        Ok(value * budget.factor)
    }

    /// The factor by which the current value misses a requirement; it is met at 1 and below. Infinite where a minimum is
    /// required and the current value is zero; none where one of the two has no figure.
    pub fn ratio(&self, requirement: &Requirement) -> Result<Option<f64>, PageError> {
        let entry = &requirement.description;
        let Some(allowed) = &requirement.allowed else { return Ok(None) };
        if requirement.current.is_empty() {
            return Ok(None);
        }
        let current = self.cell(entry, &requirement.current, 1.0)?.value;
        let allowed = self.budget(entry, allowed, 1.0)?;
        let (numerator, denominator) =
            if requirement.is_minimum { (allowed, current) } else { (current, allowed) };
        Ok(Some(if denominator > 0.0 { numerator / denominator } else { f64::INFINITY }))
    }

    /// The multiple of the target's size at which a budget is exhausted, if it is within `SEARCHED_SCALES`.
    pub fn exhausted_at(
        &self,
        entry: &str,
        terms: &[Term],
        budget: &Budget,
    ) -> Result<Option<f64>, PageError> {
        let exceeded = |scale| -> Result<bool, PageError> {
            Ok(self.cell(entry, terms, scale)?.value > self.budget(entry, budget, scale)?)
        };
        let [mut low, mut high] = SEARCHED_SCALES;
        if !exceeded(high)? || exceeded(low)? {
            return Ok(exceeded(low)?.then_some(low));
        }
        // Bisects on a logarithmic scale, to a precision of one percent.
        while high / low > 1.01 {
            let middle = (low * high).sqrt();
            if exceeded(middle)? { high = middle } else { low = middle }
        }
        Ok(Some((low * high).sqrt()))
    }
}

/// The unit of a figure that is multiplied by quantities: by a rate, bytes become bytes a second, and seconds cores.
pub(super) fn multiplied_unit(unit: Unit, multipliers: &[String]) -> Unit {
    let rate = multipliers.iter().any(|m| m.ends_with("_per_s") || m.ends_with("_per_s_front"));
    match unit {
        Unit::Bytes if rate => Unit::BytesPerS,
        Unit::Seconds if rate => Unit::Core,
        Unit::Count if rate => Unit::PerS,
        unit => unit,
    }
}
