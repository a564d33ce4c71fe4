//! A sum that fades: exponentially for a rate, by a steady leak for a budget; and a count averaged over time.

use crate::interface::Ticks;

#[derive(Default)]
pub struct Fading {
    pub sum: f64,
    pub at: Ticks,
}

impl Fading {
    /// What came in per tenth, averaged over about the given time.
    pub fn rate(&self, now: Ticks, over: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / over).exp() / over
    }

    pub fn count(&mut self, now: Ticks, over: f64, amount: f64) {
        *self = Fading { sum: self.rate(now, over) * over + amount, at: now };
    }

    /// What has not leaked away yet.
    pub fn left(&self, now: Ticks, leak: f64) -> f64 {
        (self.sum - now.saturating_sub(self.at) as f64 * leak).max(0.0)
    }
}

/// How many there are, and how many there were on average.
#[derive(Default)]
pub struct Level {
    pub count: f64,
    mean: f64,
    /// When it changed last.
    pub at: Ticks,
}

impl Level {
    /// The average over about the given time.
    pub fn mean(&self, now: Ticks, over: f64) -> f64 {
        let old = if over > 0.0 { (-(now.saturating_sub(self.at) as f64) / over).exp() } else { 0.0 };
        self.count + (self.mean - self.count) * old
    }

    pub fn add(&mut self, now: Ticks, over: f64, change: f64) {
        *self = Level { mean: self.mean(now, over), count: self.count + change, at: now };
    }
}
