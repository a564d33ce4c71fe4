//! Sums and counts that forget the past: a decaying sum and a count with a moving average.

use crate::interface::Ticks;

/// A sum that decays: exponentially when it is read as a rate, by a steady leak when it is read as a budget.
#[derive(Default)]
pub struct DecayingSum {
    /// The sum as of `updated_at`.
    pub sum: f64,
    pub updated_at: Ticks,
}

impl DecayingSum {
    /// The amount added per tick, as an exponential moving average with this time constant in ticks.
    pub fn rate(&self, now: Ticks, time_constant: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / time_constant).exp() / time_constant
    }

    /// Adds an amount to a sum that is read by [`rate`](Self::rate), with the same time constant.
    pub fn add(&mut self, now: Ticks, time_constant: f64, amount: f64) {
        *self = DecayingSum { sum: self.rate(now, time_constant) * time_constant + amount, updated_at: now };
    }

    /// The rest of the sum after it has leaked by `leak_rate` per tick.
    pub fn remaining(&self, now: Ticks, leak_rate: f64) -> f64 {
        (self.sum - now.saturating_sub(self.updated_at) as f64 * leak_rate).max(0.0)
    }
}

/// A count and its exponential moving average.
#[derive(Default)]
pub struct AveragedCount {
    pub count: f64,
    /// The average as of `changed_at`.
    mean: f64,
    pub changed_at: Ticks,
}

impl AveragedCount {
    /// The average with this time constant in ticks; with 0, the count itself.
    pub fn mean(&self, now: Ticks, time_constant: f64) -> f64 {
        let old_share = if time_constant > 0.0 {
            (-(now.saturating_sub(self.changed_at) as f64) / time_constant).exp()
        } else {
            0.0
        };
        self.count + (self.mean - self.count) * old_share
    }

    /// Adds to the count; the time constant is that of [`mean`](Self::mean).
    pub fn add(&mut self, now: Ticks, time_constant: f64, change: f64) {
        *self = AveragedCount {
            mean: self.mean(now, time_constant),
            count: self.count + change,
            changed_at: now,
        };
    }
}
