//! Which workers count as slow, and which of their runs are stopped to start again elsewhere.
//!
//! Pattern: a few workers turn several times slower while the others do not. A run there is worth moving when the rest
//! of its work would take longer than all of it on a sound worker. Where all workers are equally loaded, none is slow.

use std::time::Duration;

/// Multiple of the median slowness from which a worker is slow.
const SLOW_FACTOR: f64 = 2.0;
/// Margin by which a restart must be the faster way, for the stop and the second start.
const RESTART_MARGIN: Duration = Duration::from_millis(30);

/// Returns the slowness from which a worker is slow, given that of all workers; unknown ones count as sound. It is a
/// multiple of the median, so that fewer than half of the workers are ever slow.
pub fn slowness_threshold(slownesses: impl Iterator<Item = Option<f64>>) -> f64 {
    let mut known: Vec<f64> = slownesses.map(|slowness| slowness.unwrap_or(1.0)).collect();
    known.sort_by(f64::total_cmp);
    let median = known.get(known.len() / 2).copied().unwrap_or(1.0);
    median.max(1.0) * SLOW_FACTOR
}

/// A `RunForecast` is what the progress of a run tells of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunForecast {
    /// Run time in all, at the worker's pace.
    pub total: Duration,
    /// Run time that is left, at the worker's pace.
    pub left: Duration,
}

impl RunForecast {
    /// Returns the forecast for a run that has done `percent` of its work in `elapsed`.
    pub fn new(elapsed: Duration, percent: u8) -> Self {
        // The percentage is rounded down; half a point more is its mean.
        let done = (f64::from(percent) + 0.5).min(100.0) / 100.0;
        let total = elapsed.div_f64(done);
        Self { total, left: total.saturating_sub(elapsed) }
    }

    /// Returns whether a sound worker would end the run sooner, started there from the beginning. `slowness` is that of
    /// the worker at which it runs.
    pub fn is_worth_moving(&self, slowness: f64) -> bool {
        let elsewhere = self.total.div_f64(slowness.max(1.0));
        self.left > elsewhere + RESTART_MARGIN
    }
}
