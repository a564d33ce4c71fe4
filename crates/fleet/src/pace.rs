//! Pacing: limits for each station, backoff after failures, and a budget that all restarts of a station
//! share.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::{TICKS_PER_SECOND, Ticks};

/// How fast the instances of a station may be stopped and started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PaceRules {
    /// The share of a station's instances that orders may drain or stop at once; at least one.
    pub max_down_share: f64,
    /// Maximum number of a station's instances that may be starting or cold at once; at least one.
    pub max_cold: usize,
    /// An instance is cold from its start until it has been ready for this long.
    pub cold_time: Ticks,
    /// How many restarts a station may use at once, and the time in which one is refilled.
    pub restart_budget: f64,
    pub budget_refill_time: Ticks,
    /// Number of consecutive failed starts after which an instance is quarantined.
    pub max_failures: u32,
    /// How long a drained instance keeps running for its clients before it is stopped: they notice within
    /// some seconds that it is not ready, and finish what they have.
    pub drain_time: Ticks,
}

impl Default for PaceRules {
    fn default() -> PaceRules {
        PaceRules {
            max_down_share: 0.1,
            max_cold: 4,
            // The caches' own cold time is longer; this keeps the initial burst of requests off them.
            cold_time: 2 * TICKS_PER_SECOND,
            restart_budget: 20.0,
            budget_refill_time: 10 * TICKS_PER_SECOND,
            max_failures: 5,
            drain_time: 5 * TICKS_PER_SECOND,
        }
    }
}

/// Shortest and longest delay before an instance that died is started again: the shortest suits a random
/// crash; the longest, faults that only a person can repair.
pub const RESTART_BACKOFF: [Ticks; 2] = [TICKS_PER_SECOND / 2, 60 * TICKS_PER_SECOND];

/// The delay after this many consecutive failures: doubles with each, with a jitter between half and one and
/// a half times that, so that instances that died together don't start together.
pub fn backoff(failures: u32, rng: &mut Rng) -> Ticks {
    let doubled = RESTART_BACKOFF[0].saturating_mul(1 << failures.saturating_sub(1).min(20));
    let capped = doubled.min(RESTART_BACKOFF[1]);
    capped / 2 + rng.u64(0..=capped)
}

/// The restarts that a station has left.
#[derive(Clone, Debug)]
pub struct RestartBudget {
    tokens: f64,
    refilled_at: Ticks,
}

impl RestartBudget {
    pub fn full(now: Ticks, rules: &PaceRules) -> RestartBudget {
        RestartBudget { tokens: rules.restart_budget, refilled_at: now }
    }

    fn available(&self, now: Ticks, rules: &PaceRules) -> f64 {
        let refill = now.saturating_sub(self.refilled_at) as f64 / rules.budget_refill_time.max(1) as f64;
        (self.tokens + refill).min(rules.restart_budget)
    }

    /// Takes one restart, or returns when one will be available.
    pub fn take(&mut self, now: Ticks, rules: &PaceRules) -> Result<(), Ticks> {
        let tokens = self.available(now, rules);
        if tokens >= 1.0 {
            *self = RestartBudget { tokens: tokens - 1.0, refilled_at: now };
            return Ok(());
        }
        Err(now + ((1.0 - tokens) * rules.budget_refill_time as f64).ceil() as Ticks)
    }

    pub fn remaining(&self, now: Ticks, rules: &PaceRules) -> f64 {
        self.available(now, rules)
    }
}

/// How many of a station's instances orders may take down at once.
pub fn max_down(rules: &PaceRules, instance_count: usize) -> usize {
    ((rules.max_down_share * instance_count as f64) as usize).max(1)
}
