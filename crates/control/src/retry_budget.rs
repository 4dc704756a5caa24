//! Bounds retries of idempotent requests to a share of first tries, so that retries never carry an overload on.

/// First tries' worth of retries that may be saved up.
const SAVED_TRIES_MAX: u64 = 1_000;

/// A `RetryBudget` earns a share of a retry with each first try and spends a whole one for each retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    saved_percent: u64,
}

impl RetryBudget {
    /// Returns a budget that allows `percent` retries for each hundred first tries.
    pub fn new(percent: u32) -> Self {
        Self { percent: u64::from(percent), saved_percent: 100 }
    }

    /// Earns the share of one first try.
    pub fn deposit(&mut self) {
        let most = SAVED_TRIES_MAX * self.percent.max(1);
        self.saved_percent = (self.saved_percent + self.percent).min(most);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn try_spend(&mut self) -> bool {
        if self.percent == 0 || self.saved_percent < 100 {
            return false;
        }
        self.saved_percent -= 100;
        true
    }
}
