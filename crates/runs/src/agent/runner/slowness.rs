//! Notices that the worker has become slow, from the runs of all entries. Each entry alone sees only its own, and takes accordingly longer.

use std::time::Duration;

use super::RunnerControl;
use crate::agent::run_table::RunRecord;
use crate::run_forecast::RunForecast;

/// Factor to its usual run times from which the worker may be slow. Entries compare workers with each other.
const SLOW_FACTOR: f64 = 2.0;

impl RunnerControl {
    /// Records the run time of a run that is done.
    pub(super) fn record_run_time(&mut self, record: &RunRecord, ran: Duration) {
        if let (Some(usual), Some(owner)) = (self.usual_run_time(record), record.owners.first()) {
            self.performance.record_end(self.now, owner.run.task, ran.as_secs_f64() / usual.as_secs_f64());
        }
    }

    /// Records the run times that the progress of the listed runs lets expect.
    pub(super) fn record_run_progress(&mut self) {
        let forecasts: Vec<_> = self.runs.iter().filter_map(|(run, record)| Some((run.task, self.progress_ratio(record)?))).collect();
        forecasts.into_iter().for_each(|(task, ratio)| self.performance.record_progress(self.now, task, ratio));
        self.log_slowness();
    }

    fn log_slowness(&mut self) {
        let percent = self.slowness_percent();
        if (percent > 0) != self.is_slow {
            self.is_slow = percent > 0;
            self.log(format!("event=worker_slowness slow={} slowness_percent={percent} runs={}", self.is_slow, self.runs.len()));
        }
    }

    fn progress_ratio(&self, record: &RunRecord) -> Option<f64> {
        let (percent, elapsed) = record.progress().filter(|(_, elapsed)| *elapsed >= RunForecast::AGE_MIN)?;
        let total = RunForecast::new(elapsed, percent).total;
        Some(total.as_secs_f64() / self.usual_run_time(record)?.as_secs_f64())
    }

    /// Returns the run time that the task usually has here. Returns `None` without an estimate, while the route's usual run times are not
    /// learned, and while the worker is still slow after its start.
    fn usual_run_time(&self, record: &RunRecord) -> Option<Duration> {
        let ratio = self.speeds.typical_ratio(&record.route).filter(|_| !self.is_worker_cold())?;
        Some(record.estimate.mul_f64(ratio)).filter(|usual| !usual.is_zero())
    }

    /// Returns how much longer the latest runs take than usual, in percent; zero if the worker is not slow.
    pub(super) fn slowness_percent(&self) -> u32 {
        let slowness = self.performance.slowness(self.now).filter(|slowness| *slowness >= SLOW_FACTOR);
        let slowness = slowness.filter(|_| self.performance.has_slow_jobs(self.now, SLOW_FACTOR));
        slowness.map_or(0, |slowness| (slowness * 100.0) as u32)
    }
}
