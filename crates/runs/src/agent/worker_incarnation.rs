//! One incarnation of the worker beside an agent, and its clock.

use smol_str::SmolStr;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::ServiceName;
use vanillacleat_core::run_frames::WorkerInfo;
use vanillacleat_core::units::Millis;

use crate::remote_clock::RemoteClock;

/// A heartbeat of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerNotice {
    /// The worker's name; a later incarnation may use the same one.
    pub worker: SmolStr,
    /// Start of the worker's incarnation, in Unix milliseconds; zero if the worker does not report it.
    pub born: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// The service whose tasks the worker runs.
    pub service: ServiceName,
    /// The worker's total capacity.
    pub capacity: ResourceAmount,
    /// The worker's kind and its rack.
    pub labels: Vec<SmolStr>,
    /// Whether the worker accepts starts.
    pub is_ready: bool,
    /// Remaining time for which the worker is slow because it started recently.
    pub cold: Millis,
    /// Minimum time until the worker leaves; absent unless it has given notice.
    pub leaves_in: Option<Millis>,
}

/// One incarnation of the worker: from a start of the process until it exits or crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation {
    /// The latest heartbeat.
    pub notice: WorkerNotice,
    /// Lower bound of the worker's clock.
    pub clock: RemoteClock,
    /// Number of the last ended run that the agent has processed.
    pub observed: u64,
    /// Number of the last ended run that an answered lease poll has acknowledged to the worker.
    pub acknowledged: u64,
    /// Whether a list of runs has shown that the worker is running nothing that this agent doesn't know, such as runs of
    /// an earlier agent. No run starts before that.
    pub is_settled: bool,
    /// Whether a heartbeat was received. Until then only a list has shown the incarnation.
    pub is_announced: bool,
    /// Whether the worker has deregistered and sent no heartbeat since.
    pub is_leaving: bool,
    /// Processor capacity in millicores that the worker has shown to have at most, since the latest heartbeat.
    millicores_max: u64,
}

impl WorkerIncarnation {
    /// Returns an incarnation of which only a heartbeat is known.
    pub fn new(notice: WorkerNotice) -> Self {
        Self {
            notice,
            clock: RemoteClock::default(),
            observed: 0,
            acknowledged: 0,
            is_settled: false,
            is_announced: true,
            is_leaving: false,
            millicores_max: u64::MAX,
        }
    }

    /// Returns whether a heartbeat comes from this incarnation.
    pub fn matches(&self, notice: &WorkerNotice) -> bool {
        self.notice.worker == notice.worker && self.notice.born == notice.born
    }

    /// Applies a heartbeat of this incarnation. One that arrives after a later heartbeat is ignored.
    pub fn update(&mut self, notice: WorkerNotice) {
        if notice.sequence < self.notice.sequence {
            return;
        }
        self.is_leaving &= notice.sequence == self.notice.sequence;
        // A worker that is draining never becomes ready again within the same incarnation.
        let is_ready = notice.is_ready && (self.notice.is_ready || !self.is_announced);
        self.is_announced = true;
        self.millicores_max = u64::MAX;
        self.notice = WorkerNotice { is_ready, ..notice };
    }

    /// Records that the worker has rejected a start for lack of room with which its runs would occupy `total`. Its capacity has shrunk
    /// since the latest heartbeat.
    pub fn record_rejection(&mut self, total: ResourceAmount) {
        self.millicores_max = self.millicores_max.min(total.millicores.saturating_sub(1));
    }

    /// Returns the worker's total capacity, as its latest heartbeat and its rejections show it.
    pub fn capacity(&self) -> ResourceAmount {
        let capacity = self.notice.capacity;
        ResourceAmount { millicores: capacity.millicores.min(self.millicores_max), ..capacity }
    }

    /// Returns whether the worker has announced that it leaves.
    pub fn has_given_notice(&self) -> bool {
        self.is_leaving || (self.is_announced && !self.notice.is_ready)
    }

    /// Returns whether the worker accepts starts and is known to run nothing that the agent does not know.
    pub fn accepts_starts(&self) -> bool {
        self.is_settled && self.notice.is_ready && !self.is_leaving
    }

    /// Returns the worker's information for reports to entries. The worker is reported as ready only once it is settled.
    pub fn worker_info(&self) -> WorkerInfo {
        let WorkerNotice { worker, service, labels, cold, leaves_in, .. } = self.notice.clone();
        WorkerInfo { worker, service, capacity: self.capacity(), labels, is_ready: self.accepts_starts(), cold, leaves_in }
    }
}
