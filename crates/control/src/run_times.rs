//! Measures how long the tasks of each service run, because declared run times are far off.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::ids::ServiceName;

/// Number of samples kept for one service.
const SAMPLES_KEPT: usize = 256;
/// Minimum number of samples before the measured times are used.
const SAMPLES_NEEDED: usize = 16;
/// Number of samples between two computations of the quantiles.
const QUANTILE_INTERVAL: usize = 16;
/// Percentile that is reported as the tail run time.
const TAIL_PERCENT: usize = 95;

/// The newest measured run times of each service.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    services: BTreeMap<ServiceName, SampleRing>,
}

/// A ring buffer of the newest samples, with their sum and the quantiles last computed.
#[derive(Clone, Debug, Default)]
struct SampleRing {
    samples: Vec<Duration>,
    next: usize,
    total: Duration,
    recorded: usize,
    median: Duration,
    tail: Duration,
}

impl SampleRing {
    fn record(&mut self, run_time: Duration) {
        self.push(run_time);
        self.recorded += 1;
        if self.recorded.is_multiple_of(QUANTILE_INTERVAL) {
            let mut sorted = self.samples.clone();
            sorted.sort_unstable();
            self.median = sorted[(sorted.len() - 1) / 2];
            self.tail = sorted[(sorted.len() - 1) * TAIL_PERCENT / 100];
        }
    }

    fn push(&mut self, run_time: Duration) {
        self.total += run_time;
        if self.samples.len() < SAMPLES_KEPT {
            self.samples.push(run_time);
            return;
        }
        self.total -= self.samples[self.next];
        self.samples[self.next] = run_time;
        self.next = (self.next + 1) % SAMPLES_KEPT;
    }
}

impl RunTimes {
    /// Records that a task of `service` ran for `run_time`.
    pub fn record(&mut self, service: &ServiceName, run_time: Duration) {
        if let Some(ring) = self.services.get_mut(service) {
            return ring.record(run_time);
        }
        self.services.entry(service.clone()).or_default().record(run_time);
    }

    /// Returns the mean run time; `None` until enough samples are recorded.
    pub fn mean(&self, service: &ServiceName) -> Option<Duration> {
        let ring = self.services.get(service)?;
        (ring.samples.len() >= SAMPLES_NEEDED).then(|| ring.total / ring.samples.len() as u32)
    }

    /// Returns the median run time; `None` until enough samples are recorded.
    pub fn median(&self, service: &ServiceName) -> Option<Duration> {
        self.services.get(service).filter(|ring| ring.recorded >= SAMPLES_NEEDED).map(|ring| ring.median)
    }

    /// Returns the run time that only one task in twenty exceeds; `None` until enough samples are recorded.
    pub fn tail(&self, service: &ServiceName) -> Option<Duration> {
        self.services.get(service).filter(|ring| ring.recorded >= SAMPLES_NEEDED).map(|ring| ring.tail)
    }
}
