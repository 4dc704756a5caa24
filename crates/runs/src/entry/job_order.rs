//! Which waiting job is placed next, and which is refused at once.
//!
//! Pattern: more work than room, for seconds after an outage or in a burst. What can still be answered within its wanted
//! time goes before what is late already; a job that can't end in its caller's time any more is refused at once.

use std::time::Duration;

use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::units::MonoTime;

/// Multiple of the wanted time within which a late answer is still worth something to its caller.
const LATE_FACTOR: u32 = 3;

/// Longest wait that is forecast; callers have gone long before.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Shortest time after which a refused caller should come back; the answer's header has whole seconds.
const RETURN_STEP: Duration = Duration::from_secs(1);

/// `JobTimes` are the moments that decide a waiting job's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobTimes {
    /// When its caller first asked, as far as is known.
    pub asked_at: MonoTime,
    /// When its answer is wanted.
    pub target_at: MonoTime,
    /// When nobody waits for it any more.
    pub abandon_at: MonoTime,
    /// Its run time.
    pub expected: Duration,
}

/// The order of waiting jobs: the route's priority, then those that can be in time, then the one that is wanted first.
pub type JobRank = (u32, bool, MonoTime);

impl JobTimes {
    /// Returns the job's place among the waiting ones at `now`; lower goes first.
    pub fn rank(&self, now: MonoTime, priority: u32) -> JobRank {
        (priority, self.is_late(now), self.target_at)
    }

    /// Returns whether the answer can't come within its wanted time any more.
    pub fn is_late(&self, now: MonoTime) -> bool {
        now + self.expected > self.target_at
    }

    /// Returns whether a job that starts `wait` from now would end too late to be of use.
    pub fn is_too_late(&self, now: MonoTime, wait: Duration) -> bool {
        now + wait + self.expected > self.latest_end()
    }

    fn latest_end(&self) -> MonoTime {
        let useful = self.asked_at + self.target_at.since(self.asked_at) * LATE_FACTOR;
        useful.min(self.abandon_at)
    }
}

/// Returns how long ago a caller must have asked first that waits for `patience` now. Callers wait for the route's
/// timeout at least when they first ask, and come back `resubmit_after` later at the earliest.
pub fn job_age(patience: Duration, timeout: Duration, resubmit_after: Duration) -> Duration {
    if patience >= timeout {
        return Duration::ZERO;
    }
    (timeout - patience).max(resubmit_after)
}

/// Returns the cores that one of several entries counts on: an equal share of all, or what its jobs have `taken` already
/// where more callers come to it than to the others.
pub fn core_share(cores: f64, entries: usize, taken: f64) -> f64 {
    (cores / entries.max(1) as f64).max(taken)
}

/// Returns the time until `queued` work, in core-seconds, has been taken by `cores` that this entry can count on; nothing
/// while there is work and no core is known.
pub fn queue_wait(queued: f64, cores: f64) -> Option<Duration> {
    if queued > 0.0 && cores <= 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64((queued / cores.max(f64::MIN_POSITIVE)).min(WAIT_MAX.as_secs_f64())))
}

/// Returns when a refused caller should come back: once what waits before it is taken, and a second or two later by its
/// job's name, so that not all return at once.
pub fn resubmit_delay(wait: Option<Duration>, job: CallerJobId) -> Duration {
    RETURN_STEP * (1 + (job.0 % 2) as u32) + wait.unwrap_or_default()
}
