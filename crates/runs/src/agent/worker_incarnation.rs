//! One life of the worker beside an agent, and its clock.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::ServiceName;
use vanillacleat_core::run_frames::WorkerInfo;
use vanillacleat_core::units::{Millis, MonoTime};

/// Rate at which a worker's clock is sure to advance, in percent; workers promise to lose at most 2%.
const CLOCK_RATE_PERCENT: u32 = 98;

/// A `WorkerNotice` is a heartbeat of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerNotice {
    /// The worker's name, which a later life may take again.
    pub worker: SmolStr,
    /// The start of this life, in Unix milliseconds; zero where it does not say.
    pub born: u64,
    /// Counts the heartbeats of this life.
    pub sequence: u64,
    /// The service it serves.
    pub service: ServiceName,
    /// What it holds.
    pub capacity: ResourceAmount,
    /// Its kind and rack.
    pub labels: Vec<SmolStr>,
    /// Whether it takes starts.
    pub is_ready: bool,
    /// How much longer it is slow after its start.
    pub cold: Millis,
}

/// A `WorkerClock` is a lower bound of a worker's clock, from its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerClock {
    reading: Option<(MonoTime, u64)>,
}

impl WorkerClock {
    /// Takes a reading that arrived at `now`. The clock showed at least this much then.
    pub fn record(&mut self, now: MonoTime, clock: u64) {
        if self.at(now).is_none_or(|known| clock > known) {
            self.reading = Some((now, clock));
        }
    }

    /// Returns a value that the clock has surely reached at `now`, or nothing before the first reading.
    pub fn at(&self, now: MonoTime) -> Option<u64> {
        let (at, clock) = self.reading?;
        let passed = now.since(at) * CLOCK_RATE_PERCENT / 100;
        Some(clock + passed.as_millis() as u64)
    }

    /// Returns the end of a lease of `span` that begins at `now`; without a reading, of one that has ended.
    pub fn lease_end(&self, now: MonoTime, span: Duration) -> u64 {
        self.at(now).map_or(0, |clock| clock + span.as_millis() as u64)
    }
}

/// A `WorkerIncarnation` is one life of the worker: from its start to its crash or end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation {
    /// What it last said of itself.
    pub notice: WorkerNotice,
    /// Its clock.
    pub clock: WorkerClock,
    /// Number of the last end that was taken.
    pub observed: u64,
    /// Number that the last answered hold reported as taken.
    pub acknowledged: u64,
    /// Whether everything that earlier agents left at work there has ended.
    pub is_settled: bool,
}

impl WorkerIncarnation {
    /// Returns a life of which only the heartbeat is known.
    pub fn new(notice: WorkerNotice) -> Self {
        Self { notice, clock: WorkerClock::default(), observed: 0, acknowledged: 0, is_settled: false }
    }

    /// Returns whether a heartbeat is of this life.
    pub fn is_same(&self, notice: &WorkerNotice) -> bool {
        self.notice.worker == notice.worker && self.notice.born == notice.born
    }

    /// Takes a later heartbeat of the same life; one that was overtaken changes nothing.
    pub fn renew(&mut self, notice: WorkerNotice) {
        if notice.sequence >= self.notice.sequence {
            // A worker that leaves never returns within the same life.
            let is_ready = notice.is_ready && self.notice.is_ready;
            self.notice = WorkerNotice { is_ready, ..notice };
        }
    }

    /// Returns what entries are told of the worker.
    pub fn to_offer(&self) -> WorkerInfo {
        let WorkerNotice { worker, service, capacity, labels, is_ready, cold, .. } = self.notice.clone();
        WorkerInfo { worker, service, capacity, labels, is_ready: is_ready && self.is_settled, cold }
    }
}
