//! The order in which waiting jobs are placed, and the rule by which jobs are refused under overload.
//!
//! For some seconds after an outage or during a burst, the workers have too little capacity for all jobs. Jobs that can
//! still meet their target time are placed before jobs that are already late. A job that can no longer end early enough
//! to be useful to its caller is refused at once.

use std::time::Duration;

use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::units::MonoTime;

/// Multiple of a job's latency target up to which a late answer is still useful to the caller.
const LATE_FACTOR: u32 = 3;

/// Maximum wait that is estimated. Callers disconnect long before.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Minimum delay after which a refused caller should retry, and the step by which the delays of jobs differ. It is the
/// resolution of the answer's `retry-after` header.
const RESUBMIT_STEP: Duration = Duration::from_secs(1);

/// The times that decide the rank of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTimes {
    /// When the caller first submitted the job, as far as is known.
    pub submitted_at: MonoTime,
    /// When the answer is due.
    pub target_at: MonoTime,
    /// When the caller stops waiting.
    pub abandon_at: MonoTime,
    /// The expected run time of the job.
    pub expected: Duration,
}

/// The sort key of waiting jobs; the lowest is placed first. It consists of the route's priority, whether the job is
/// late, and its target time.
pub type JobRank = (u32, bool, MonoTime);

impl JobTimes {
    /// Returns the job's rank at `now`. The lowest is placed first.
    pub fn rank(&self, now: MonoTime, priority: u32) -> JobRank {
        (priority, self.is_late(now), self.target_at)
    }

    /// Returns whether the job can no longer end by its target time.
    pub fn is_late(&self, now: MonoTime) -> bool {
        now + self.expected > self.target_at
    }

    /// Returns whether the job would end too late to be useful if it started after `wait`.
    pub fn is_too_late(&self, now: MonoTime, wait: Duration) -> bool {
        now + wait + self.expected > self.latest_end()
    }

    fn latest_end(&self) -> MonoTime {
        let useful = self.submitted_at + self.target_at.since(self.submitted_at) * LATE_FACTOR;
        useful.min(self.abandon_at)
    }
}

/// Returns how long ago a caller must have first submitted a job if it waits for `caller_timeout` now. A caller's first
/// request waits at least for the route's timeout. A request that waits for less is therefore a resubmission, and was
/// sent no earlier than `resubmit_after` after the first one.
pub fn job_age(caller_timeout: Duration, route_timeout: Duration, resubmit_after: Duration) -> Duration {
    if caller_timeout >= route_timeout {
        return Duration::ZERO;
    }
    (route_timeout - caller_timeout).max(resubmit_after)
}

/// Returns the number of cores that one of several entries can expect to use. This is an equal share of `cores`, or the
/// number that its runs have `reserved` if that is higher, as it is when the entry receives more jobs than the others.
pub fn core_share(cores: f64, entries: usize, reserved: f64) -> f64 {
    (cores / entries.max(1) as f64).max(reserved)
}

/// Returns the time until `queued` work, in core-seconds, has been started on `cores`, up to a maximum. Returns `None`
/// if work is queued and there is no core.
pub fn queue_wait(queued: f64, cores: f64) -> Option<Duration> {
    if queued > 0.0 && cores <= 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64((queued / cores.max(f64::MIN_POSITIVE)).min(WAIT_MAX.as_secs_f64())))
}

/// Returns the delay after which a refused caller should retry: the wait until the work queued before its job has
/// started, plus one or two seconds. The job's id selects one or two, so that not all callers retry at once.
pub fn resubmit_delay(wait: Option<Duration>, job: CallerJobId) -> Duration {
    RESUBMIT_STEP * (1 + (job.0 % 2) as u32) + wait.unwrap_or_default()
}
