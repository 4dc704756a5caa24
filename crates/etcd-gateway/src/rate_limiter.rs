//! A limit on the rate of calls.

use std::time::{Duration, Instant};

/// A token bucket. Each call takes one token.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Returns a limiter for `rate` calls a second. Its bucket is full and holds the tokens of one second.
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        Self { rate, burst: rate, tokens: rate, refilled_at: now }
    }

    /// Takes a token for one call. Returns `false` if there is none.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed: Duration = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
