//! The capacity of one worker as its agent reports it to an entry.

use std::time::Duration;

use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport, WorkerInfo};
use vanillacleat_core::units::MonoTime;

use super::worker_performance::WorkerPerformance;

/// Time for which no task is placed on a worker after its agent rejected a start.
const REJECTION_BACKOFF: Duration = Duration::from_millis(30);

/// Part of a worker's processor capacity that is left to the entries of its own zone, in percent.
const LOCAL_ZONE_PERCENT: u64 = 20;

/// Holds the state of one worker and the capacity that it has for this entry.
#[derive(Clone, Debug)]
pub struct WorkerCapacity {
    /// The name of the agent beside the worker.
    pub agent: AgentId,
    /// The incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The worker's availability zone.
    pub zone: ZoneName,
    /// The open session, if there is one.
    pub session: Option<SessionId>,
    /// The worker's description as last reported. Absent until the agent has reported it.
    pub info: Option<WorkerInfo>,
    /// Whether the agent rejects starts.
    pub is_closed: bool,
    /// The resources that runs of other entries occupy, as last reported.
    pub used_by_others: ResourceAmount,
    /// The resources of this entry's runs that were sent to the agent and whose ends have not been reported.
    pub reserved: ResourceAmount,
    /// When the last report, or the hello, was received.
    pub last_received_at: MonoTime,
    /// The nonce of the last report, or zero before the first.
    pub last_nonce: u64,
    /// When the session was lost. Absent while one is open.
    pub lost_at: Option<MonoTime>,
    /// Whether its runs were recorded as lost since the last report.
    pub is_expired: bool,
    /// The observed speed and failures.
    pub performance: WorkerPerformance,
    backoff_until: MonoTime,
}

impl WorkerCapacity {
    pub(super) fn new(now: MonoTime, session: SessionId, hello: &RunHello) -> Self {
        Self {
            agent: hello.agent.clone(),
            incarnation: hello.incarnation,
            zone: hello.zone.clone(),
            session: Some(session),
            info: None,
            is_closed: true,
            used_by_others: ResourceAmount::default(),
            reserved: ResourceAmount::default(),
            last_received_at: now,
            last_nonce: 0,
            lost_at: None,
            is_expired: false,
            performance: WorkerPerformance::default(),
            backoff_until: MonoTime::ZERO,
        }
    }

    /// Updates the state from a report.
    pub(super) fn record_report(&mut self, now: MonoTime, report: &RunReport) {
        self.last_received_at = now;
        self.is_expired = false;
        self.last_nonce = report.nonce;
        self.is_closed = report.is_closed;
        self.used_by_others = report.used.saturating_sub(&report.used_by_entry);
        if report.worker.is_some() {
            self.info.clone_from(&report.worker);
        }
    }

    /// Backs off from the worker after its agent rejected a start.
    pub(super) fn record_rejection(&mut self, now: MonoTime) {
        self.backoff_until = now + REJECTION_BACKOFF;
    }

    /// Returns the free capacity, as far as this entry knows. It is zero until the agent has reported its worker.
    pub fn free_capacity(&self) -> ResourceAmount {
        let capacity = self.info.as_ref().map(|info| info.capacity).unwrap_or_default();
        capacity.saturating_sub(&(self.used_by_others + self.reserved))
    }

    /// Returns the part of the free capacity that entries of other zones may use without contention. The rest is left
    /// to the entries of the worker's own zone.
    pub fn capacity_for_other_zones(&self) -> ResourceAmount {
        let millicores = self.info.as_ref().map_or(0, |info| info.capacity.millicores * LOCAL_ZONE_PERCENT / 100);
        self.free_capacity().saturating_sub(&ResourceAmount { millicores, ..ResourceAmount::default() })
    }

    /// Returns whether starts may be sent to the agent at `now`.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        let is_ready = self.info.as_ref().is_some_and(|info| info.is_ready);
        self.session.is_some() && is_ready && !self.is_closed && now >= self.backoff_until
    }
}
