//! Learned run times of each route, against the callers' rough estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// Weight of a new observation; about the last twenty count.
const NEW_WEIGHT: f64 = 0.05;
/// Deviations above the mean ratio that a run is expected to need at most.
const DEVIATIONS: f64 = 2.0;

/// `RouteTimes` hold, for each route, how run times relate to the estimates.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    ratios: BTreeMap<SmolStr, RatioStats>,
}

#[derive(Clone, Copy, Debug)]
struct RatioStats {
    mean: f64,
    variance: f64,
}

impl RouteTimes {
    /// Takes the run time of a task that is done.
    pub fn note(&mut self, route: &SmolStr, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let stats = self.ratios.entry(route.clone()).or_insert(RatioStats { mean: ratio, variance: 0.0 });
        let gap = ratio - stats.mean;
        stats.mean += NEW_WEIGHT * gap;
        stats.variance = (1.0 - NEW_WEIGHT) * (stats.variance + NEW_WEIGHT * gap * gap);
    }

    /// Returns the run time to expect of a task.
    pub fn expect(&self, route: &SmolStr, estimate: Duration) -> Duration {
        estimate.mul_f64(self.ratios.get(route).map_or(1.0, |stats| stats.mean))
    }

    /// Returns a run time that few tasks exceed.
    pub fn expect_most(&self, route: &SmolStr, estimate: Duration) -> Duration {
        let ratio = self.ratios.get(route).map_or(2.0, |stats| stats.mean + DEVIATIONS * stats.variance.sqrt());
        estimate.mul_f64(ratio)
    }
}
