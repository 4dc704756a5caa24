//! The speed and reliability of a worker, observed from the progress and the ends of runs that its agent reports.

use std::collections::VecDeque;
use std::time::Duration;

use vanillacleat_core::caller_job::{CallerJobId, TaskId};
use vanillacleat_core::units::MonoTime;

/// Minimum number of jobs from which slowness is computed. The tasks of one job share the error of the job's run time
/// estimate, so they count once.
const JOBS_MIN: usize = 3;
/// Maximum number of jobs whose ratios are kept.
const JOBS_MAX: usize = 6;
/// Maximum age of a ratio that counts. A slow worker gets no tasks, so its ratios expire and it is tried again.
const RATIO_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Evidence from which a worker may count as slow. One slow job counts as one: its estimate may have been wrong, or its only run one of
/// the few percent that take several times as long anywhere.
const EVIDENCE_MIN: usize = 6;
/// Multiple of the slowness threshold that no wrong estimate explains. Each run of a job beyond it counts.
const CERTAIN_FACTOR: f64 = 2.0;
/// Maximum number of runs of one job that count.
const EVIDENCE_PER_JOB: usize = 2;
/// Maximum number of runs of one job whose ratios are kept.
const RUNS_PER_JOB_MAX: usize = 4;
/// Maximum age of a job that counts as evidence.
const EVIDENCE_AGE_MAX: Duration = Duration::from_secs(10);
/// Weight of one failure or success in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.35;
/// Share of failures at which a worker is excluded for a backoff time.
const FAILURE_SHARE_MAX: f64 = 0.5;
/// Minimum time for which a failing worker is excluded. It doubles each time until a run succeeds.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Maximum time for which a failing worker is excluded.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Holds the observed speed and failures of one worker. A ratio is an observed run time divided by the expected one.
#[derive(Clone, Debug, Default)]
pub struct WorkerPerformance {
    ratios: VecDeque<JobRatio>,
    failure_share: f64,
    backoffs: u32,
    excluded_until: MonoTime,
}

/// The ratios of one job's runs on the worker.
#[derive(Clone, Debug)]
struct JobRatio {
    job: CallerJobId,
    /// The latest ratio of any of the runs.
    ratio: f64,
    recorded_at: MonoTime,
    /// The latest ratios of the runs, by task.
    runs: Vec<(TaskId, f64)>,
}

impl WorkerPerformance {
    /// Records the ratio of a run that is done. Counts as a success.
    pub fn record_end(&mut self, now: MonoTime, task: TaskId, ratio: f64) {
        self.record_progress(now, task, ratio);
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.backoffs = 0;
    }

    /// Records the ratio that a run in progress is expected to have at its end.
    pub fn record_progress(&mut self, now: MonoTime, task: TaskId, ratio: f64) {
        let former = self.ratios.iter().position(|other| other.job == task.job).and_then(|index| self.ratios.remove(index));
        let mut runs = former.map(|former| former.runs).unwrap_or_default();
        match runs.iter().position(|(other, _)| *other == task) {
            Some(index) => runs[index].1 = ratio,
            None if runs.len() < RUNS_PER_JOB_MAX => runs.push((task, ratio)),
            None => {}
        }
        self.ratios.push_back(JobRatio { job: task.job, ratio, recorded_at: now, runs });
        if self.ratios.len() > JOBS_MAX {
            self.ratios.pop_front();
        }
    }

    /// Records the failure of a run that the worker may have caused.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share >= FAILURE_SHARE_MAX && now >= self.excluded_until {
            let backoff = (BACKOFF_MIN * 2_u32.pow(self.backoffs.min(5))).min(BACKOFF_MAX);
            self.backoffs += 1;
            self.excluded_until = now + backoff;
        }
    }

    /// Returns the factor by which runs on the worker take longer than expected, or `None` while too few ratios are
    /// known.
    pub fn slowness(&self, now: MonoTime) -> Option<f64> {
        let fresh = self.ratios.iter().filter(|ratio| now.since(ratio.recorded_at) < RATIO_AGE_MAX);
        let (mut sorted, mut count) = ([0.0; JOBS_MAX], 0);
        for ratio in fresh {
            (sorted[count], count) = (ratio.ratio, count + 1);
        }
        let fresh = &mut sorted[..count];
        fresh.sort_unstable_by(f64::total_cmp);
        // The lower median: a worker is slow only if more than half of its jobs are slow.
        (fresh.len() >= JOBS_MIN).then(|| fresh[(fresh.len() - 1) / 2])
    }

    /// Returns whether enough jobs were slow, which means that the ratios of all their runs here reached `threshold`. A job of which
    /// another run was not slow shows that the worker is not the cause.
    pub fn has_slow_jobs(&self, now: MonoTime, threshold: f64) -> bool {
        let recent = self.ratios.iter().filter(|job| now.since(job.recorded_at) < EVIDENCE_AGE_MAX);
        let evidence = recent.map(|job| {
            let lowest = job.runs.iter().map(|(_, ratio)| *ratio).fold(f64::MAX, f64::min);
            match lowest {
                lowest if lowest < threshold => 0,
                lowest if lowest < threshold * CERTAIN_FACTOR => 1,
                _ => job.runs.len().min(EVIDENCE_PER_JOB),
            }
        });
        evidence.sum::<usize>() >= EVIDENCE_MIN
    }

    /// Returns whether the worker is excluded because of failures.
    pub fn is_failing(&self, now: MonoTime) -> bool {
        now < self.excluded_until
    }
}
