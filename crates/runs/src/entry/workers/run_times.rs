//! Expected run times per route, learned by comparing observed run times with the callers' rough estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::RatioSketch;

/// Weight of the caller's estimate, as a number of observations. It limits the effect of early outliers.
const PRIOR_COUNT: u32 = 4;
/// Number of observations after which the median is computed again. Early on it is computed after each.
const UPDATE_INTERVAL: u64 = 8;

/// Holds the median ratio of observed to estimated run time for each route.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    ratios: BTreeMap<SmolStr, RouteRatio>,
}

#[derive(Clone, Debug)]
struct RouteRatio {
    sketch: RatioSketch,
    median: f64,
}

impl Default for RouteRatio {
    fn default() -> Self {
        let mut sketch = RatioSketch::default();
        sketch.record_many(1.0, PRIOR_COUNT);
        Self { sketch, median: 1.0 }
    }
}

impl RouteTimes {
    /// Records the run time of a task that is done. A task without an estimate is ignored.
    pub fn record(&mut self, route: &SmolStr, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = self.ratios.entry(route.clone()).or_default();
        ratio.sketch.record(ran.as_secs_f64() / estimate.as_secs_f64());
        let count = ratio.sketch.count();
        if count < UPDATE_INTERVAL * 4 || count.is_multiple_of(UPDATE_INTERVAL) {
            ratio.median = ratio.sketch.median().unwrap_or(1.0);
        }
    }

    /// Returns the median ratio of a route; one if none of its tasks is done.
    pub fn ratio(&self, route: &SmolStr) -> f64 {
        self.ratios.get(route).map_or(1.0, |ratio| ratio.median)
    }

    /// Returns the expected run time of a task with this estimate.
    pub fn expected_run_time(&self, route: &SmolStr, estimate: Duration) -> Duration {
        estimate.mul_f64(self.ratio(route))
    }
}
