//! The chain of leases that ends a run before anybody may start it again.

use std::time::Duration;

/// Slowest rate of a worker's clock against the agent's, in percent; workers promise to lose at most 2%.
const WORKER_CLOCK_PERCENT: u32 = 98;
/// Longest lease of a worker that is asked for; renewals come several times as often.
const WORKER_LEASE_MAX: Duration = Duration::from_millis(400);
/// Longest lease of a session; reports come several times as often.
const SESSION_LEASE_MAX: Duration = Duration::from_millis(400);
/// Shortest lease that renewals can keep up with on a small share of a core.
const LEASE_MIN: Duration = Duration::from_millis(200);
/// Allowance for late timers between the end of a lease and the next step.
const TIMER_SLACK: Duration = Duration::from_millis(100);

/// `LeaseTerms` are the spans that bound how long a run outlives its entry and its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a worker goes on without a renewal by its agent, on the worker's clock.
    pub worker_lease: Duration,
    /// How long an agent lets runs go on without a word of their entry.
    pub session_lease: Duration,
    /// Longest time that a worker takes to stop a run.
    pub stop_timeout: Duration,
}

impl LeaseTerms {
    /// Returns terms under which runs of a lost entry are over before a caller asks again, `resubmit_after` later, if
    /// workers keep a lease for `hold_max` at most and stop a run within `stop_timeout`. The two leases share the time
    /// between them; terms that are too short to be kept up are for [`Self::can_be_renewed`] to tell.
    pub fn new(resubmit_after: Duration, hold_max: Duration, stop_timeout: Duration) -> Self {
        let budget = resubmit_after.saturating_sub(stop_timeout + TIMER_SLACK);
        let worker_lease = WORKER_LEASE_MAX.min(hold_max * 4 / 5).min(budget / 2 * WORKER_CLOCK_PERCENT / 100);
        let session_lease = SESSION_LEASE_MAX.min(budget.saturating_sub(slowest(worker_lease)));
        Self { worker_lease, session_lease, stop_timeout }
    }

    /// Returns whether renewals can keep up with the leases.
    pub fn can_be_renewed(&self) -> bool {
        self.worker_lease.min(self.session_lease) >= LEASE_MIN
    }

    /// Returns the time from an agent's last heard report to the moment from which none of its runs is at work,
    /// whatever became of the agent.
    pub fn agent_loss_timeout(&self) -> Duration {
        self.session_lease + slowest(self.worker_lease) + self.stop_timeout + TIMER_SLACK
    }
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self::new(Duration::from_millis(1_300), Duration::from_millis(1_000), Duration::from_millis(50))
    }
}

fn slowest(lease: Duration) -> Duration {
    lease * 100 / WORKER_CLOCK_PERCENT
}
