//! One worker as an entry sees it through its agent.

use std::time::Duration;

use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport, WorkerInfo};
use vanillacleat_core::units::MonoTime;

use super::worker_performance::WorkerPerformance;

/// Pause in placing after the worker's agent refused a start.
const REFUSAL_PAUSE: Duration = Duration::from_millis(30);

/// Part of a worker that is left to the entries of its own zone, in percent.
const RESERVED_PERCENT: u64 = 20;

/// A `WorkerCapacity` is a worker with the room that it has for this entry.
#[derive(Clone, Debug)]
pub struct WorkerCapacity {
    /// The agent.
    pub agent: AgentId,
    /// The agent's run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The session; absent while it is broken.
    pub session: Option<SessionId>,
    /// The worker; absent while it is unknown.
    pub worker: Option<WorkerInfo>,
    /// Whether the agent takes starts.
    pub is_closed: bool,
    /// What the worker has taken for other entries, as last reported.
    pub others: ResourceAmount,
    /// What this entry has sent there and not heard the end of.
    pub own: ResourceAmount,
    /// When the last report came.
    pub last_received_at: MonoTime,
    /// Nonce of the last report.
    pub nonce: u64,
    /// When the session broke.
    pub lost_at: Option<MonoTime>,
    /// Whether its runs were taken back since it was last heard.
    pub is_abandoned: bool,
    /// How fast and how reliably it runs tasks.
    pub performance: WorkerPerformance,
    paused_until: MonoTime,
}

impl WorkerCapacity {
    pub(super) fn new(now: MonoTime, session: SessionId, hello: &RunHello) -> Self {
        Self {
            agent: hello.agent.clone(),
            incarnation: hello.incarnation,
            zone: hello.zone.clone(),
            session: Some(session),
            worker: None,
            is_closed: true,
            others: ResourceAmount::default(),
            own: ResourceAmount::default(),
            last_received_at: now,
            nonce: 0,
            lost_at: None,
            is_abandoned: false,
            performance: WorkerPerformance::default(),
            paused_until: MonoTime::ZERO,
        }
    }

    /// Takes what a report says of the worker.
    pub(super) fn record_report(&mut self, now: MonoTime, report: &RunReport) {
        self.last_received_at = now;
        self.is_abandoned = false;
        self.nonce = report.nonce;
        self.is_closed = report.is_closed;
        self.others = report.used.saturating_sub(&report.used_by_entry);
        if report.worker.is_some() {
            self.worker.clone_from(&report.worker);
        }
    }

    /// Holds starts back for a moment after a refusal.
    pub(super) fn record_refusal(&mut self, now: MonoTime) {
        self.paused_until = now + REFUSAL_PAUSE;
    }

    /// Returns the room for this entry, as far as is known.
    pub fn free_capacity(&self) -> ResourceAmount {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity).unwrap_or_default();
        capacity.saturating_sub(&(self.others + self.own))
    }

    /// Returns the room of which entries of other zones make use without contending for the last of it.
    pub fn shared_room(&self) -> ResourceAmount {
        let millicores = self.worker.as_ref().map_or(0, |worker| worker.capacity.millicores * RESERVED_PERCENT / 100);
        self.free_capacity().saturating_sub(&ResourceAmount { millicores, ..ResourceAmount::default() })
    }

    /// Returns whether starts may be sent there at `now`.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        let is_ready = self.worker.as_ref().is_some_and(|worker| worker.is_ready);
        self.session.is_some() && is_ready && !self.is_closed && now >= self.paused_until
    }
}
