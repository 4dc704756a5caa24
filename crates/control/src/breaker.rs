//! Circuit breakers: a worker whose tasks of a service fail receives only single trial tasks of that service.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::ids::{AgentId, ServiceName};
use vanillacleat_core::units::MonoTime;

/// Number of recent outcomes that are considered for one worker and service.
const OUTCOME_WINDOW: u32 = 16;
/// Failures in the window at which the breaker opens.
const FAILURES_TO_OPEN: u32 = 4;
/// Consecutive successful trials after which the breaker closes.
const TRIALS_TO_CLOSE: u32 = 3;
/// Wait before the first trial; it doubles after each failed trial.
const TRIAL_WAIT_MIN: Duration = Duration::from_secs(1);
/// Maximum wait before a trial.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(30);

/// The circuit breaker for one worker and service.
#[derive(Clone, Debug, Serialize)]
pub struct CircuitBreaker {
    /// The newest outcomes, one bit each; a set bit is a failure.
    outcomes: u32,
    state: BreakerState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
enum BreakerState {
    /// Any task may be sent.
    Closed,
    /// Only trials may be sent: one at a time, and none before `trial_at`.
    Open {
        wait: Duration,
        trial_at: MonoTime,
        #[serde(rename = "trial_out")]
        trial_in_flight: bool,
        successes: u32,
    },
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { outcomes: 0, state: BreakerState::Closed }
    }
}

impl CircuitBreaker {
    /// Returns whether the breaker is closed.
    pub fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// Returns whether a task may be sent: always while closed, one trial at a time while open.
    pub fn allows(&self, now: MonoTime) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { trial_at, trial_in_flight, .. } => !trial_in_flight && now >= trial_at,
        }
    }

    /// Records that a task was sent. While the breaker is open, the task is the trial.
    pub fn record_sent(&mut self) {
        if let BreakerState::Open { trial_in_flight, .. } = &mut self.state {
            *trial_in_flight = true;
        }
    }

    /// Records that a sent task was rejected by the worker without having run.
    pub fn record_rejected(&mut self) {
        if let BreakerState::Open { trial_in_flight, .. } = &mut self.state {
            *trial_in_flight = false;
        }
    }

    /// Records the outcome of a task that ran. `may_open` is false while no further breaker of the service may open.
    pub fn record_outcome(&mut self, now: MonoTime, is_success: bool, may_open: bool) {
        self.outcomes = (self.outcomes << 1 | u32::from(!is_success)) & ((1 << OUTCOME_WINDOW) - 1);
        match &mut self.state {
            BreakerState::Closed => {
                if self.outcomes.count_ones() >= FAILURES_TO_OPEN && may_open {
                    self.state = Self::open_state(now, TRIAL_WAIT_MIN);
                }
            }
            BreakerState::Open { trial_in_flight: false, .. } => {}
            BreakerState::Open { wait, .. } if !is_success => {
                let next_wait = (*wait * 2).min(TRIAL_WAIT_MAX);
                self.state = Self::open_state(now, next_wait);
            }
            BreakerState::Open { successes, trial_in_flight, trial_at, .. } => {
                *successes += 1;
                *trial_in_flight = false;
                *trial_at = now;
                if *successes >= TRIALS_TO_CLOSE {
                    *self = Self::default();
                }
            }
        }
    }

    fn open_state(now: MonoTime, wait: Duration) -> BreakerState {
        BreakerState::Open { wait, trial_at: now + wait, trial_in_flight: false, successes: 0 }
    }
}

/// The circuit breakers of all workers and services.
///
/// The registry limits how many breakers of one service are open, so that a service whose tasks fail everywhere keeps
/// workers.
#[derive(Debug, Default)]
pub struct BreakerRegistry {
    breakers: BTreeMap<ServiceName, BTreeMap<AgentId, CircuitBreaker>>,
    open_percent_max: usize,
}

impl BreakerRegistry {
    /// Returns a registry that excludes at most `percent` of a service's workers.
    pub fn new(percent: u32) -> Self {
        Self { breakers: BTreeMap::new(), open_percent_max: percent as usize }
    }

    /// Returns whether a task of `service` may be sent to `agent`.
    pub fn allows(&self, now: MonoTime, service: &ServiceName, agent: &AgentId) -> bool {
        self.find(service, agent).is_none_or(|breaker| breaker.allows(now))
    }

    /// Records that a task of `service` was sent to `agent`.
    pub fn record_sent(&mut self, service: &ServiceName, agent: &AgentId) {
        if let Some(breaker) = self.find_mut(service, agent) {
            breaker.record_sent();
        }
    }

    /// Records that `agent` rejected a task of `service` without having run it.
    pub fn record_rejected(&mut self, service: &ServiceName, agent: &AgentId) {
        if let Some(breaker) = self.find_mut(service, agent) {
            breaker.record_rejected();
        }
    }

    /// Records the outcome of a task that ran at `agent`. `workers` is the number of workers that serve `service`.
    ///
    /// Returns whether the breaker opened or closed.
    pub fn record_outcome(&mut self, now: MonoTime, service: &ServiceName, agent: &AgentId, is_success: bool, workers: usize) -> bool {
        if is_success && self.find(service, agent).is_none() {
            return false;
        }
        let breakers = self.breakers.entry(service.clone()).or_default();
        let open_count = breakers.values().filter(|breaker| !breaker.is_closed()).count();
        let may_open = (open_count + 1) * 100 <= workers * self.open_percent_max;
        let breaker = breakers.entry(agent.clone()).or_default();
        let was_closed = breaker.is_closed();
        breaker.record_outcome(now, is_success, may_open);
        was_closed != breaker.is_closed()
    }

    /// Removes the breakers of `agent` after its process has restarted.
    pub fn remove(&mut self, agent: &AgentId) {
        for breakers in self.breakers.values_mut() {
            breakers.remove(agent);
        }
    }

    /// Returns the service and worker of each open breaker.
    pub fn open_breakers(&self) -> Vec<(ServiceName, AgentId)> {
        let pairs = self.breakers.iter().flat_map(|(service, breakers)| breakers.iter().map(move |pair| (service, pair)));
        pairs.filter(|(_, (_, breaker))| !breaker.is_closed()).map(|(service, (agent, _))| (service.clone(), agent.clone())).collect()
    }

    fn find(&self, service: &ServiceName, agent: &AgentId) -> Option<&CircuitBreaker> {
        self.breakers.get(service)?.get(agent)
    }

    fn find_mut(&mut self, service: &ServiceName, agent: &AgentId) -> Option<&mut CircuitBreaker> {
        self.breakers.get_mut(service)?.get_mut(agent)
    }
}
