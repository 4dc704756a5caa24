//! Learned run times of each route, against the callers' rough estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Weight of a new observation once enough came; about the last twenty count.
const NEW_WEIGHT: f64 = 0.05;
/// Observations that the estimate itself counts for at first, so that one odd task decides nothing.
const PRIOR_COUNT: f64 = 4.0;

/// `RouteTimes` hold, for each route, how run times relate to the estimates.
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
    /// Takes the run time of a task that is done.
    pub fn record(&mut self, route: &SmolStr, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let known = self.ratios.entry(route.clone()).or_insert(RatioMean { mean: 1.0, count: PRIOR_COUNT });
        known.count += 1.0;
        known.mean += NEW_WEIGHT.max(1.0 / known.count) * (ratio - known.mean);
    }

    /// Returns the run time to expect of a task.
    pub fn expect(&self, route: &SmolStr, estimate: Duration) -> Duration {
        estimate.mul_f64(self.ratios.get(route).map_or(1.0, |known| known.mean))
    }
}
