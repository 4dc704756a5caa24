//! Learns how long tasks of a service run, since declared times are far off.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::ids::ServiceName;

/// Samples kept for one service.
const SAMPLES_KEPT: usize = 256;
/// Samples needed before a learnt time is used.
const SAMPLES_NEEDED: usize = 16;
/// Samples between two computations of the quantiles.
const QUANTILE_PERIOD: usize = 16;
/// Percentile that counts as the tail.
const TAIL_PERCENT: usize = 95;

/// A `RunTimes` keeps the newest run times of each service.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    services: BTreeMap<ServiceName, SampleRing>,
}

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
    fn record(&mut self, span: Duration) {
        self.keep(span);
        self.recorded += 1;
        if self.recorded.is_multiple_of(QUANTILE_PERIOD) {
            let mut sorted = self.samples.clone();
            sorted.sort_unstable();
            self.median = sorted[(sorted.len() - 1) / 2];
            self.tail = sorted[(sorted.len() - 1) * TAIL_PERCENT / 100];
        }
    }

    fn keep(&mut self, span: Duration) {
        self.total += span;
        if self.samples.len() < SAMPLES_KEPT {
            self.samples.push(span);
            return;
        }
        self.total -= self.samples[self.next];
        self.samples[self.next] = span;
        self.next = (self.next + 1) % SAMPLES_KEPT;
    }
}

impl RunTimes {
    /// Records a run of `span`.
    pub fn record(&mut self, service: &ServiceName, span: Duration) {
        if let Some(ring) = self.services.get_mut(service) {
            return ring.record(span);
        }
        self.services.entry(service.clone()).or_default().record(span);
    }

    /// Returns the mean run time, once enough runs were seen.
    pub fn mean(&self, service: &ServiceName) -> Option<Duration> {
        let ring = self.services.get(service)?;
        (ring.samples.len() >= SAMPLES_NEEDED).then(|| ring.total / ring.samples.len() as u32)
    }

    /// Returns the median run time, once enough runs were seen.
    pub fn median(&self, service: &ServiceName) -> Option<Duration> {
        self.services.get(service).filter(|ring| ring.recorded >= SAMPLES_NEEDED).map(|ring| ring.median)
    }

    /// Returns the run time that only one task in twenty exceeds, once enough runs were seen.
    pub fn tail(&self, service: &ServiceName) -> Option<Duration> {
        self.services.get(service).filter(|ring| ring.recorded >= SAMPLES_NEEDED).map(|ring| ring.tail)
    }
}
