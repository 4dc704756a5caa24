//! Limits retries of idempotent requests to a percentage of first attempts, so that retries never prolong an overload.

/// Maximum number of first attempts whose retry credit may accumulate.
const CREDITED_REQUESTS_MAX: u64 = 1_000;

/// A token bucket for retries: each first attempt adds a fraction of a retry, and each retry spends a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// Unspent credit, in hundredths of a retry.
    credit_percent: u64,
}

impl RetryBudget {
    /// Returns a budget that allows `percent` retries for each hundred first attempts and starts with one retry.
    pub fn new(percent: u32) -> Self {
        Self { percent: u64::from(percent), credit_percent: 100 }
    }

    /// Adds the credit for one first attempt.
    pub fn deposit(&mut self) {
        let credit_max = CREDITED_REQUESTS_MAX * self.percent.max(1);
        self.credit_percent = (self.credit_percent + self.percent).min(credit_max);
    }

    /// Spends the credit for one retry; returns whether there was enough.
    pub fn try_spend(&mut self) -> bool {
        if self.percent == 0 || self.credit_percent < 100 {
            return false;
        }
        self.credit_percent -= 100;
        true
    }
}
