//! An entry's view of one agent.

use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::frames::{AgentHello, LoadReport, UpstreamInfo, WorkerUsage};
use vanillacleat_core::ids::{ProcessStart, ServiceName, WorkerKey, ZoneName};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::run_frames::SessionOrder;
use vanillacleat_core::units::MonoTime;

use crate::SessionId;

/// Time for which an agent is backed off after it rejected a task because of its own state.
const REJECTION_BACKOFF: Duration = Duration::from_millis(100);
/// Time without a lost session after which the count of lost sessions restarts from zero.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// Number of lost sessions that are tolerated without backing the agent off.
const FLAPS_TOLERATED: u32 = 2;
/// Backoff after the first lost session beyond the tolerated ones; it doubles with each further one.
const FLAP_BACKOFF_MIN: Duration = Duration::from_secs(1);
/// Maximum backoff after lost sessions.
const FLAP_BACKOFF_MAX: Duration = Duration::from_secs(30);

/// What an entry knows of one agent.
#[derive(Clone, Debug, Serialize)]
pub struct AgentView {
    /// The agent and its incarnation.
    pub worker: WorkerKey,
    /// The place of the agent's last session among all that it has opened.
    #[serde(skip)]
    pub session_order: SessionOrder,
    /// The latest start of the agent's processes. A wall clock that was set back makes it later than that of the last session.
    #[serde(skip)]
    pub latest_start: ProcessStart,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The total capacity of the worker.
    pub capacity: TaskDemand,
    /// The session with the agent; absent while it is lost.
    pub session: Option<SessionId>,
    /// The upstreams that may receive work.
    pub upstreams: Vec<UpstreamInfo>,
    /// Tasks of other entries at the agent, according to its last load report.
    #[serde(rename = "others")]
    pub other_load: u32,
    /// Tasks of this entry that were sent and whose results are not yet reported.
    pub outstanding: u32,
    /// When the last frame of the agent was received.
    #[serde(rename = "heard_at")]
    pub last_received_at: MonoTime,
    /// Since when this entry has had unreported tasks at the agent; absent if it has none.
    pub busy_since: Option<MonoTime>,
    /// When the session was lost; absent while it is open.
    pub lost_at: Option<MonoTime>,
    /// While the session is lost, no ticket with this serial or a higher one can have used this incarnation; absent while
    /// the session is open.
    pub unused_from: Option<u64>,
    /// The [`FleetView`](super::FleetView) version at which this incarnation joined or last reconnected.
    pub joined_version: u64,
    /// When this incarnation was first seen.
    pub first_seen: MonoTime,
    #[serde(rename = "paused_until")]
    backoff_until: MonoTime,
    flaps: u32,
    flapped_at: MonoTime,
}

impl AgentView {
    pub(super) fn new(now: MonoTime, session: SessionId, hello: &AgentHello, joined_version: u64) -> Self {
        let mut view = Self {
            worker: hello.worker.clone(),
            session_order: hello.order,
            latest_start: hello.order.process_start,
            zone: hello.zone.clone(),
            capacity: hello.capacity,
            session: Some(session),
            upstreams: Vec::new(),
            other_load: 0,
            outstanding: 0,
            last_received_at: now,
            busy_since: None,
            lost_at: None,
            unused_from: None,
            joined_version,
            first_seen: now,
            backoff_until: MonoTime::ZERO,
            flaps: 0,
            flapped_at: MonoTime::ZERO,
        };
        view.record_load(&hello.load);
        view
    }

    /// Returns whether a hello on `session` is that of a later session than the last one, or repeats that of the open one. The
    /// starts of two processes don't show their order if the wall clock was set back between them. A process that seems to be the
    /// earlier one is therefore accepted once no task of this entry can be at the agent.
    pub(super) fn precedes(&self, session: SessionId, hello: &AgentHello) -> bool {
        if hello.worker == self.worker {
            return hello.order.number > self.session_order.number || self.session == Some(session);
        }
        hello.order.process_start > self.latest_start || (self.session.is_none() && self.outstanding == 0)
    }

    /// Records a load report of the agent.
    pub fn record_load(&mut self, load: &LoadReport) {
        self.upstreams.clone_from(&load.upstreams);
        self.other_load = (load.queued + load.running).saturating_sub(load.mine);
    }

    /// Backs the agent off for a moment after it rejected a task.
    pub fn record_rejection(&mut self, now: MonoTime) {
        self.backoff_until = self.backoff_until.max(now + REJECTION_BACKOFF);
    }

    pub(super) fn record_lost(&mut self, now: MonoTime, unused_from: u64) {
        self.session = None;
        self.unused_from = Some(unused_from);
        self.lost_at = Some(now);
        if now.since(self.flapped_at) > FLAP_WINDOW {
            self.flaps = 0;
        }
        self.flaps += 1;
        self.flapped_at = now;
    }

    pub(super) fn record_reconnected(&mut self, now: MonoTime, session: SessionId, hello: &AgentHello) {
        self.session = Some(session);
        self.session_order = hello.order;
        self.last_received_at = now;
        self.lost_at = None;
        self.unused_from = None;
        self.capacity = hello.capacity;
        self.zone.clone_from(&hello.zone);
        self.record_load(&hello.load);
        let excess = self.flaps.saturating_sub(FLAPS_TOLERATED);
        if excess > 0 {
            let backoff = FLAP_BACKOFF_MIN * 2_u32.pow((excess - 1).min(5));
            self.backoff_until = now + backoff.min(FLAP_BACKOFF_MAX);
        }
    }

    /// Returns the record that reports to other entries that this entry uses, or has used, this incarnation.
    pub(super) fn to_usage(&self) -> WorkerUsage {
        WorkerUsage { worker: self.worker.clone(), unused_from: self.unused_from }
    }

    /// Returns how many slots the agent's upstreams have for `service`.
    pub fn slots(&self, service: &ServiceName) -> u32 {
        self.upstreams.iter().filter(|upstream| upstream.service == *service).map(|upstream| upstream.slots).sum()
    }

    /// Returns how many tasks all entries together have at the agent, as far as is known.
    pub fn load(&self) -> u32 {
        self.outstanding + self.other_load
    }

    /// Returns whether the agent is connected and not backed off.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.session.is_some() && now >= self.backoff_until
    }
}
