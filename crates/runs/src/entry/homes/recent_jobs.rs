//! A bounded record of the jobs of the last minutes.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::units::MonoTime;

/// Maximum number of jobs that are remembered.
const JOBS_MAX: usize = 16_384;
/// Time for which a job is remembered, longer than callers wait for an answer.
const JOB_AGE_MAX: Duration = Duration::from_secs(120);

/// Holds the ids of jobs in the order in which they were recorded.
#[derive(Debug, Default)]
pub(in crate::entry) struct RecentJobs {
    jobs: BTreeSet<CallerJobId>,
    order: VecDeque<(MonoTime, CallerJobId)>,
}

impl RecentJobs {
    /// Records a job. Forgets the oldest jobs beyond the limits.
    pub fn record(&mut self, now: MonoTime, job: CallerJobId) {
        if self.jobs.insert(job) {
            self.order.push_back((now, job));
        }
        while let Some((at, oldest)) = self.order.front().copied() {
            if self.order.len() <= JOBS_MAX && now.since(at) < JOB_AGE_MAX {
                return;
            }
            self.order.pop_front();
            self.jobs.remove(&oldest);
        }
    }

    /// Returns whether a job was recorded.
    pub fn contains(&self, job: &CallerJobId) -> bool {
        self.jobs.contains(job)
    }
}
