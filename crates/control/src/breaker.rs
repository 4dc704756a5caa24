//! Circuit breakers: a worker that fails what it starts gets no work but single trials.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::ids::{AgentId, ServiceName};
use vanillacleat_core::units::MonoTime;

/// Newest outcomes that decide, for one worker and service.
const OUTCOME_WINDOW: u32 = 16;
/// Failures in the window that open the breaker.
const FAILURES_TO_OPEN: u32 = 4;
/// Successful trials in a row that close it.
const TRIALS_TO_CLOSE: u32 = 3;
/// Wait before the first trial.
const TRIAL_WAIT_MIN: Duration = Duration::from_secs(1);
/// Longest wait between trials.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(30);

/// A `CircuitBreaker` judges one worker's tasks of one service.
#[derive(Clone, Debug, Serialize)]
pub struct CircuitBreaker {
    outcomes: u32,
    state: BreakerState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
enum BreakerState {
    Closed,
    Open { wait: Duration, trial_at: MonoTime, trial_out: bool, successes: u32 },
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

    /// Returns whether a task may be sent: any while closed, one trial at a time while open.
    pub fn allows(&self, now: MonoTime) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open { trial_at, trial_out, .. } => !trial_out && now >= trial_at,
        }
    }

    /// Notes that a task was sent; while open it is the trial.
    pub fn record_sent(&mut self) {
        if let BreakerState::Open { trial_out, .. } = &mut self.state {
            *trial_out = true;
        }
    }

    /// Notes that a sent task came back without having run.
    pub fn record_returned(&mut self) {
        if let BreakerState::Open { trial_out, .. } = &mut self.state {
            *trial_out = false;
        }
    }

    /// Notes that a task ran; `may_open` is false while too many workers of the service are taken out.
    pub fn record_outcome(&mut self, now: MonoTime, is_success: bool, may_open: bool) {
        self.outcomes = (self.outcomes << 1 | u32::from(!is_success)) & ((1 << OUTCOME_WINDOW) - 1);
        match &mut self.state {
            BreakerState::Closed => {
                if self.outcomes.count_ones() >= FAILURES_TO_OPEN && may_open {
                    self.state = Self::opened(now, TRIAL_WAIT_MIN);
                }
            }
            BreakerState::Open { trial_out: false, .. } => {}
            BreakerState::Open { wait, .. } if !is_success => {
                let longer = (*wait * 2).min(TRIAL_WAIT_MAX);
                self.state = Self::opened(now, longer);
            }
            BreakerState::Open { successes, trial_out, trial_at, .. } => {
                *successes += 1;
                *trial_out = false;
                *trial_at = now;
                if *successes >= TRIALS_TO_CLOSE {
                    *self = Self::default();
                }
            }
        }
    }

    fn opened(now: MonoTime, wait: Duration) -> BreakerState {
        BreakerState::Open { wait, trial_at: now + wait, trial_out: false, successes: 0 }
    }
}

/// A `BreakerRegistry` holds the breakers of all workers and bounds how many of a service are open.
#[derive(Debug, Default)]
pub struct BreakerRegistry {
    breakers: BTreeMap<ServiceName, BTreeMap<AgentId, CircuitBreaker>>,
    open_percent_max: usize,
}

impl BreakerRegistry {
    /// Returns a registry that takes out at most `percent` of a service's workers.
    pub fn new(percent: u32) -> Self {
        Self { breakers: BTreeMap::new(), open_percent_max: percent as usize }
    }

    /// Returns whether a task of `service` may be sent to `agent`.
    pub fn allows(&self, now: MonoTime, service: &ServiceName, agent: &AgentId) -> bool {
        self.find(service, agent).is_none_or(|breaker| breaker.allows(now))
    }

    /// Notes that a task was sent to `agent`.
    pub fn record_sent(&mut self, service: &ServiceName, agent: &AgentId) {
        if let Some(breaker) = self.find_mut(service, agent) {
            breaker.record_sent();
        }
    }

    /// Notes that a task came back from `agent` without having run.
    pub fn record_returned(&mut self, service: &ServiceName, agent: &AgentId) {
        if let Some(breaker) = self.find_mut(service, agent) {
            breaker.record_returned();
        }
    }

    /// Notes that a task ran at `agent`, which is one of `workers` that serve `service`.
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

    /// Forgets `agent`, whose process is new.
    pub fn remove(&mut self, agent: &AgentId) {
        for breakers in self.breakers.values_mut() {
            breakers.remove(agent);
        }
    }

    /// Returns the workers whose breakers are open, with their service.
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
