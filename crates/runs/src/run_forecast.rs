//! When a run in progress ends, and whether another worker would end it sooner.

use std::time::Duration;

/// Minimum time that a restart must save, to make up for the stop and the second start.
const RESTART_MARGIN: Duration = Duration::from_millis(30);

/// The run time that is extrapolated from a run's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunForecast {
    /// The total run time at the worker's speed.
    pub total: Duration,
    /// The remaining run time at the worker's speed.
    pub remaining: Duration,
}

impl RunForecast {
    /// Minimum time that a run must have taken so far for its progress to give a reliable forecast.
    pub const AGE_MIN: Duration = Duration::from_millis(40);

    /// Returns the forecast for a run that has done `percent` of its work in `elapsed`.
    pub fn new(elapsed: Duration, percent: u8) -> Self {
        // The percentage is rounded down, so the expected value is half a point higher.
        let done = (f64::from(percent) + 0.5).min(100.0) / 100.0;
        let total = elapsed.div_f64(done);
        Self { total, remaining: total.saturating_sub(elapsed) }
    }

    /// Returns whether the run ends more than `RESTART_MARGIN` after a worker that leaves in `left` has left. Such a run has to start
    /// again elsewhere in any case, and sooner if it is stopped now.
    pub fn ends_after(&self, left: Duration) -> bool {
        self.remaining > left + RESTART_MARGIN
    }

    /// Returns whether a healthy worker would end the run sooner, by more than `RESTART_MARGIN`, if it started the run
    /// from the beginning. `slowness` is the slowness of the worker that runs it now.
    pub fn should_relocate(&self, slowness: f64) -> bool {
        let elsewhere = self.total.div_f64(slowness.max(1.0));
        self.remaining > elsewhere + RESTART_MARGIN
    }
}
