//! Cells worked out from figures: at the target, a tenth and ten times of it; ratios; at which size a budget is spent.

use super::data::{Budget, Data, Figure, Requirement, Source, Term, Unit};
use super::trouble::Trouble;

/// The page's columns: shares of the target's size.
pub const SCALES: [f64; 3] = [0.1, 1.0, 10.0];
/// Where a budget's end is looked for: from a hundredth of the target to a thousand times.
const LOOKED_FOR: [f64; 2] = [0.01, 1_000.0];

impl Figure {
    /// For so many of what it is a function of.
    pub fn value(&self, size: f64) -> f64 {
        self.base + self.per_front * size.powf(self.power)
    }

    pub fn measured(&self) -> bool {
        matches!(self.source, Source::Measured(_))
    }
}

/// What a cell is, at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Value {
    pub value: f64,
    pub unit: Unit,
    /// Whether each part of it was measured.
    pub measured: bool,
}

impl Data {
    /// A quantity of the target, for a fleet of that share of its size.
    pub fn amount(&self, at: &str, name: &str, scale: f64) -> Result<f64, Trouble> {
        let quantity = self.quantity(at, name)?;
        Ok(if quantity.grows { quantity.value * scale } else { quantity.value })
    }

    /// A figure, for a fleet of that share of the target's size.
    pub fn value(&self, at: &str, figure: &Figure, scale: f64) -> Result<f64, Trouble> {
        Ok(figure.value(self.amount(at, &figure.over, scale)?))
    }

    pub fn cell(&self, at: &str, terms: &[Term], scale: f64) -> Result<Value, Trouble> {
        let mut sum = Value { value: 0.0, unit: Unit::Count, measured: true };
        for (n, term) in terms.iter().enumerate() {
            let figure = self.figure(at, &term.figure)?;
            let mut value = self.value(at, figure, scale)? * term.factor;
            for quantity in &term.times {
                value *= self.amount(at, quantity, scale)?;
            }
            sum.value += value;
            sum.measured &= figure.measured();
            if n == 0 {
                sum.unit = unit_of(figure.unit, &term.times);
            }
        }
        Ok(sum)
    }

    pub fn budget(&self, at: &str, budget: &Budget, scale: f64) -> Result<f64, Trouble> {
        let of = match (&budget.quantity, &budget.figure) {
            (Some(name), _) => self.amount(at, name, scale)?,
            (None, Some(name)) => self.value(at, self.figure(at, name)?, scale)?,
            (None, None) => 0.0,
        };
        Ok(of * budget.factor)
    }

    /// By which factor today misses a requirement; at 1 and under it is met. Infinite where what must be there is not;
    /// none where one of the two has no figure.
    pub fn ratio(&self, requirement: &Requirement) -> Result<Option<f64>, Trouble> {
        let at = &requirement.what;
        let Some(allowed) = &requirement.allowed else { return Ok(None) };
        if requirement.today.is_empty() {
            return Ok(None);
        }
        let today = self.cell(at, &requirement.today, 1.0)?.value;
        let allowed = self.budget(at, allowed, 1.0)?;
        let (over, under) = if requirement.at_least { (allowed, today) } else { (today, allowed) };
        Ok(Some(if under > 0.0 { over / under } else { f64::INFINITY }))
    }

    /// At which multiple of the target's size a budget is spent, if that is anywhere within what is looked for.
    pub fn spent_at(&self, at: &str, terms: &[Term], budget: &Budget) -> Result<Option<f64>, Trouble> {
        let over = |scale| -> Result<bool, Trouble> {
            Ok(self.cell(at, terms, scale)?.value > self.budget(at, budget, scale)?)
        };
        let [mut low, mut high] = LOOKED_FOR;
        if !over(high)? || over(low)? {
            return Ok(over(low)?.then_some(low));
        }
        // Halved by logarithm until it is known to under a hundredth.
        while high / low > 1.01 {
            let middle = (low * high).sqrt();
            if over(middle)? { high = middle } else { low = middle }
        }
        Ok(Some((low * high).sqrt()))
    }
}

/// A time, or bytes, multiplied by how often in a second.
pub(super) fn unit_of(unit: Unit, times: &[String]) -> Unit {
    let rate = times.iter().any(|t| t.ends_with("_per_s") || t.ends_with("_per_s_front"));
    match unit {
        Unit::Bytes if rate => Unit::BytesPerS,
        Unit::Seconds if rate => Unit::Core,
        Unit::Count if rate => Unit::PerS,
        unit => unit,
    }
}
