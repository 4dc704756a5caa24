//! Durations of the leases that end the runs of a lost entry or agent.
//!
//! An entry renews the session lease of each of its agents, and an agent renews the lease of its worker. When an entry or
//! an agent is lost, the leases that depend on it end, and its runs are stopped before any of them may start again.

use std::time::Duration;

/// Minimum rate of a worker's clock relative to the agent's, in percent. Workers guarantee that their clocks are at most 2% slow.
const CLOCK_RATE_PERCENT_MIN: u32 = 98;
/// Maximum lease requested from a worker. The agent renews it several times within that time.
const WORKER_LEASE_MAX: Duration = Duration::from_millis(400);
/// Maximum lease of a session. The agent sends several reports within that time, and the answer to each
/// one renews the lease.
const SESSION_LEASE_MAX: Duration = Duration::from_millis(400);
/// Minimum lease that can be renewed in time by a process that gets only a small share of a core.
const LEASE_MIN: Duration = Duration::from_millis(200);
/// Default of the time within which a call to a worker that was not answered is executed, if at all.
const START_TRANSIT_MAX: Duration = Duration::from_millis(2_000);
/// Allowance for timers that fire late between the end of a lease and the next step.
const TIMER_SLACK: Duration = Duration::from_millis(100);

/// The durations that bound how long a run outlives its entry and its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a worker continues its runs without a renewal by its agent, on the worker's clock.
    pub worker_lease: Duration,
    /// How long an agent lets the runs of an entry continue without a renewal by that entry.
    pub session_lease: Duration,
    /// Maximum time that a worker takes to stop a run.
    pub stop_timeout: Duration,
    /// Maximum lease that a worker grants, whatever is asked for.
    pub worker_lease_max: Duration,
    /// Time after the end of a silent worker's lease for which an unanswered start may still be executed by a later incarnation. The
    /// run counts as ended after that.
    pub start_transit_max: Duration,
}

impl LeaseTerms {
    /// Returns terms under which all runs of a lost entry have ended before a caller resubmits the job.
    ///
    /// Callers resubmit after `resubmit_after` at the earliest. Workers grant leases of at most `worker_lease_max` and
    /// stop a run within `stop_timeout`. The two leases share the time that is left. They may come out too short to be
    /// renewed in time; [`Self::can_be_renewed`] checks that.
    pub fn new(resubmit_after: Duration, worker_lease_max: Duration, stop_timeout: Duration) -> Self {
        let budget = resubmit_after.saturating_sub(stop_timeout + TIMER_SLACK);
        let worker_lease = WORKER_LEASE_MAX.min(worker_lease_max * 4 / 5).min(budget / 2 * CLOCK_RATE_PERCENT_MIN / 100);
        let session_lease = SESSION_LEASE_MAX.min(budget.saturating_sub(max_elapsed(worker_lease)));
        Self { worker_lease, session_lease, stop_timeout, worker_lease_max, start_transit_max: START_TRANSIT_MAX }
    }

    /// Returns whether both leases are long enough to be renewed in time.
    pub fn can_be_renewed(&self) -> bool {
        self.worker_lease.min(self.session_lease) >= LEASE_MIN
    }

    /// Returns the time after which all runs of a lost agent have ended, counted from its last received report. It holds
    /// whether the agent has crashed, is paused or is only unreachable.
    pub fn agent_loss_timeout(&self) -> Duration {
        self.session_lease + max_elapsed(self.worker_lease) + self.stop_timeout + TIMER_SLACK
    }
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self::new(Duration::from_millis(1_300), Duration::from_millis(1_000), Duration::from_millis(50))
    }
}

/// Returns the maximum time on the agent's clock until a lease that is measured on the worker's clock has ended.
fn max_elapsed(worker_lease: Duration) -> Duration {
    worker_lease * 100 / CLOCK_RATE_PERCENT_MIN
}
