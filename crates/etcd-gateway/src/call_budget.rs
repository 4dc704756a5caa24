//! A bound on calls a second.

use std::time::{Duration, Instant};

/// A `CallBudget` grants calls at a steady rate with a small reserve.
#[derive(Debug)]
pub(crate) struct CallBudget {
    rate: f64,
    reserve: f64,
    saved: f64,
    counted_at: Instant,
}

impl CallBudget {
    /// Returns a budget of `rate` calls a second that saves up to one second's worth.
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        Self { rate, reserve: rate, saved: rate, counted_at: now }
    }

    /// Spends one call; returns whether the budget allowed it.
    pub(crate) fn try_spend(&mut self, now: Instant) -> bool {
        let passed: Duration = now.saturating_duration_since(self.counted_at);
        self.counted_at = now;
        self.saved = (self.saved + passed.as_secs_f64() * self.rate).min(self.reserve);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
