//! A token bucket for datagrams: a number per second, with bursts of up to one second's worth. One limits the
//! datagrams that a member sends; responses to commands on the same socket have a separate one.

use doorgrade::Ticks;

/// Limits events to a number per second.
pub struct RateLimiter {
    rate_per_second: f64,
    tokens: f64,
    refilled_at: Ticks,
    pub allowed: u64,
    /// Not sent, since the rate was exceeded.
    pub dropped: u64,
}

impl RateLimiter {
    pub fn new(rate_per_second: u32, now: Ticks) -> RateLimiter {
        let rate_per_second = f64::from(rate_per_second);
        RateLimiter { rate_per_second, tokens: rate_per_second, refilled_at: now, allowed: 0, dropped: 0 }
    }

    /// Takes a token; false if there is none.
    pub fn try_acquire(&mut self, now: Ticks) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 10_000.0;
        (self.tokens, self.refilled_at) = (
            (self.tokens + elapsed_s * self.rate_per_second).min(self.rate_per_second),
            now.max(self.refilled_at),
        );
        let allowed = self.tokens >= 1.0;
        if allowed {
            (self.tokens, self.allowed) = (self.tokens - 1.0, self.allowed + 1);
        } else {
            self.dropped += 1;
        }
        allowed
    }
}
