//! How fast and how reliably a worker runs tasks, from the progress and the ends that its agent reports.

use std::collections::VecDeque;
use std::time::Duration;

use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::units::MonoTime;

/// Jobs from which a pace is believed. Tasks of one job share the error of its estimate, so they count once.
const JOBS_MIN: usize = 3;
/// Jobs that are remembered.
const JOBS_MAX: usize = 6;
/// Age from which a ratio says nothing any more, so that a slow worker gets a trial.
const PACE_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Weight of one job's failure or success.
const FAULT_WEIGHT: f64 = 0.35;
/// Share of failing jobs from which a worker is left alone for a while.
const FAULT_SHARE_MAX: f64 = 0.5;
/// First and longest time for which a failing worker is left alone.
const FAULT_PAUSE_MIN: Duration = Duration::from_millis(500);
const FAULT_PAUSE_MAX: Duration = Duration::from_secs(4);

/// A `WorkerPerformance` is what runs at one worker tell of it. A ratio is a run time over the run time to expect.
#[derive(Clone, Debug, Default)]
pub struct WorkerPerformance {
    ratios: VecDeque<JobRatio>,
    fault_share: f64,
    pauses: u32,
    paused_until: MonoTime,
}

/// The newest ratio of a job's runs there.
#[derive(Clone, Copy, Debug)]
struct JobRatio {
    job: CallerJobId,
    ratio: f64,
    at: MonoTime,
}

impl WorkerPerformance {
    /// Takes the ratio of a run that is done.
    pub fn record_end(&mut self, now: MonoTime, job: CallerJobId, ratio: f64) {
        self.record_progress(now, job, ratio);
        self.fault_share *= 1.0 - FAULT_WEIGHT;
        self.pauses = 0;
    }

    /// Takes the ratio that a run at work will have, as far as its progress tells.
    pub fn record_progress(&mut self, now: MonoTime, job: CallerJobId, ratio: f64) {
        self.ratios.retain(|other| other.job != job);
        self.ratios.push_back(JobRatio { job, ratio, at: now });
        if self.ratios.len() > JOBS_MAX {
            self.ratios.pop_front();
        }
    }

    /// Notes that a job failed there that may be sound.
    pub fn record_fault(&mut self, now: MonoTime) {
        self.fault_share += FAULT_WEIGHT * (1.0 - self.fault_share);
        if self.fault_share >= FAULT_SHARE_MAX && now >= self.paused_until {
            let pause = (FAULT_PAUSE_MIN * 2_u32.pow(self.pauses.min(5))).min(FAULT_PAUSE_MAX);
            self.pauses += 1;
            self.paused_until = now + pause;
        }
    }

    /// Returns how many times as long as expected runs take there, or nothing while that is not known.
    pub fn slowness(&self, now: MonoTime) -> Option<f64> {
        let fresh = self.ratios.iter().filter(|ratio| now.since(ratio.at) < PACE_AGE_MAX);
        let mut fresh: Vec<f64> = fresh.map(|ratio| ratio.ratio).collect();
        fresh.sort_by(f64::total_cmp);
        // The lower of the two middle ones: a worker is slow only if more than half of its jobs say so.
        (fresh.len() >= JOBS_MIN).then(|| fresh[(fresh.len() - 1) / 2])
    }

    /// Returns whether the worker is left alone since jobs fail there.
    pub fn is_failing(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }
}
