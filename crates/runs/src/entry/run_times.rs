//! Expected run times per route, learned by comparing observed run times with the callers' rough estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Minimum weight of a new observation. Once it applies, the mean covers about the last twenty observations.
const WEIGHT_MIN: f64 = 0.05;
/// Initial weight of the caller's estimate, as a number of observations. It limits the effect of an early outlier.
const PRIOR_COUNT: f64 = 4.0;

/// Holds the mean ratio of observed to estimated run time for each route.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    ratios: BTreeMap<SmolStr, RatioMean>,
}

#[derive(Clone, Copy, Debug)]
struct RatioMean {
    mean: f64,
    count: f64,
}

impl RouteTimes {
    /// Records the run time of a task that is done. A task without an estimate is ignored.
    pub fn record(&mut self, route: &SmolStr, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let ratio_mean = self.ratios.entry(route.clone()).or_insert(RatioMean { mean: 1.0, count: PRIOR_COUNT });
        ratio_mean.count += 1.0;
        ratio_mean.mean += WEIGHT_MIN.max(1.0 / ratio_mean.count) * (ratio - ratio_mean.mean);
    }

    /// Returns the expected run time of a task with this estimate.
    pub fn expected_run_time(&self, route: &SmolStr, estimate: Duration) -> Duration {
        estimate.mul_f64(self.ratios.get(route).map_or(1.0, |ratio_mean| ratio_mean.mean))
    }
}
