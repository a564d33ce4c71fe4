//! How fast: limits a station has for itself, pauses after failures, and a budget that all of a station's restarts share.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::{TICKS_PER_SECOND, Ticks};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Of a station's instances that are wanted running, so many may be taken down or drained at once by orders: a share
    /// of them, one at least.
    pub down: f64,
    /// So many may be starting or cold at once; one at least.
    pub cold: usize,
    /// An instance is cold from its start until it has been ready for so long.
    pub cold_for: Ticks,
    /// Restarts that a station may spend at once, and how long one takes to come back.
    pub budget: f64,
    pub budget_each: Ticks,
    /// Starts in a row that come to nothing before an instance is set aside.
    pub most_failures: u32,
    /// How long a drained instance is left to its clients before it is told to stop: they notice within some seconds that
    /// it says not ready, and end what they have.
    pub drain_for: Ticks,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            down: 0.1,
            cold: 4,
            // The caches' own cold time is longer; what is kept from them here is the first rush.
            cold_for: 2 * TICKS_PER_SECOND,
            budget: 20.0,
            budget_each: 10 * TICKS_PER_SECOND,
            most_failures: 5,
            drain_for: 5 * TICKS_PER_SECOND,
        }
    }
}

/// Pauses before an instance that died is started again: the first is that of a chance death, the last some minutes'
/// patience with what only a person can mend.
pub const PAUSES: [Ticks; 2] = [TICKS_PER_SECOND / 2, 60 * TICKS_PER_SECOND];

/// The pause after so many failures in a row: doubling, and drawn between half and one and a half of itself, so that
/// instances that died together don't come back together.
pub fn pause(failures: u32, rng: &mut Rng) -> Ticks {
    let doubled = PAUSES[0].saturating_mul(1 << failures.saturating_sub(1).min(20));
    let whole = doubled.min(PAUSES[1]);
    whole / 2 + rng.u64(0..=whole)
}

/// What a station has left of its restarts.
#[derive(Clone, Debug)]
pub struct Budget {
    left: f64,
    at: Ticks,
}

impl Budget {
    pub fn full(now: Ticks, rules: &Rules) -> Budget {
        Budget { left: rules.budget, at: now }
    }

    fn now(&self, now: Ticks, rules: &Rules) -> f64 {
        let back = now.saturating_sub(self.at) as f64 / rules.budget_each.max(1) as f64;
        (self.left + back).min(rules.budget)
    }

    /// Takes one; or says when there will be one.
    pub fn take(&mut self, now: Ticks, rules: &Rules) -> Result<(), Ticks> {
        let left = self.now(now, rules);
        if left >= 1.0 {
            *self = Budget { left: left - 1.0, at: now };
            return Ok(());
        }
        Err(now + ((1.0 - left) * rules.budget_each as f64).ceil() as Ticks)
    }

    pub fn left(&self, now: Ticks, rules: &Rules) -> f64 {
        self.now(now, rules)
    }
}

/// How many of a station's instances may be down by orders at once.
pub fn most_down(rules: &Rules, wanted: usize) -> usize {
    ((rules.down * wanted as f64) as usize).max(1)
}
