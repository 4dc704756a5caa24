//! What an entry knows of one agent.

use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::frames::{AgentHello, LoadReport, UpstreamInfo, WorkerUsage};
use vanillacleat_core::ids::{ServiceName, WorkerKey, ZoneName};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::units::MonoTime;

use crate::SessionId;

/// Time an agent gets no work after it bounced a task for a reason of its own.
const BOUNCE_PAUSE: Duration = Duration::from_millis(100);
/// Window in which broken sessions count as flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// Broken sessions in the window from which an agent is held back.
const FLAPS_TOLERATED: u32 = 2;
/// Time an agent is held back for the first flap too many; it doubles with each further one.
const FLAP_PAUSE_MIN: Duration = Duration::from_secs(1);
/// Longest time that an agent is held back for flapping.
const FLAP_PAUSE_MAX: Duration = Duration::from_secs(30);

/// An `AgentView` is what this entry knows of one agent.
#[derive(Clone, Debug, Serialize)]
pub struct AgentView {
    /// The agent's run.
    pub worker: WorkerKey,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What the worker can hold.
    pub capacity: TaskDemand,
    /// The session, while it stands.
    pub session: Option<SessionId>,
    /// The upstreams that may receive work.
    pub upstreams: Vec<UpstreamInfo>,
    /// Tasks that other entries have there, by the last report.
    pub others: u32,
    /// Tasks of this entry sent and not yet reported.
    pub outstanding: u32,
    /// When the agent was last heard.
    #[serde(rename = "heard_at")]
    pub last_received_at: MonoTime,
    /// Since when this entry has had unreported tasks there.
    pub busy_since: Option<MonoTime>,
    /// When the session broke.
    pub lost_at: Option<MonoTime>,
    /// While the session is broken, the serial from which no ticket can have used this run.
    pub unused_from: Option<u64>,
    /// The fleet's version in which this run appeared.
    pub joined_version: u64,
    /// When this run was first seen.
    pub first_seen: MonoTime,
    paused_until: MonoTime,
    flaps: u32,
    flapped_at: MonoTime,
}

impl AgentView {
    pub(super) fn new(now: MonoTime, session: SessionId, hello: &AgentHello, joined_version: u64) -> Self {
        let mut view = Self {
            worker: hello.worker.clone(),
            zone: hello.zone.clone(),
            capacity: hello.capacity,
            session: Some(session),
            upstreams: Vec::new(),
            others: 0,
            outstanding: 0,
            last_received_at: now,
            busy_since: None,
            lost_at: None,
            unused_from: None,
            joined_version,
            first_seen: now,
            paused_until: MonoTime::ZERO,
            flaps: 0,
            flapped_at: MonoTime::ZERO,
        };
        view.record_load(&hello.load);
        view
    }

    /// Takes a load report.
    pub fn record_load(&mut self, load: &LoadReport) {
        self.upstreams.clone_from(&load.upstreams);
        self.others = (load.queued + load.running).saturating_sub(load.mine);
    }

    /// Holds work back for a moment after a bounce.
    pub fn record_rejection(&mut self, now: MonoTime) {
        self.paused_until = self.paused_until.max(now + BOUNCE_PAUSE);
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

    pub(super) fn record_return(&mut self, now: MonoTime, session: SessionId, hello: &AgentHello) {
        self.session = Some(session);
        self.last_received_at = now;
        self.lost_at = None;
        self.unused_from = None;
        self.capacity = hello.capacity;
        self.zone.clone_from(&hello.zone);
        self.record_load(&hello.load);
        let excess = self.flaps.saturating_sub(FLAPS_TOLERATED);
        if excess > 0 {
            let pause = FLAP_PAUSE_MIN * 2_u32.pow((excess - 1).min(5));
            self.paused_until = now + pause.min(FLAP_PAUSE_MAX);
        }
    }

    /// Returns the note by which other entries learn of this run.
    pub(super) fn to_note(&self) -> WorkerUsage {
        WorkerUsage { worker: self.worker.clone(), unused_from: self.unused_from }
    }

    /// Returns the slots for `service`.
    pub fn slots(&self, service: &ServiceName) -> u32 {
        self.upstreams.iter().filter(|offer| offer.service == *service).map(|offer| offer.slots).sum()
    }

    /// Returns the tasks that all entries have there, as far as is known.
    pub fn load(&self) -> u32 {
        self.outstanding + self.others
    }

    /// Returns whether the agent may be sent work now.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.session.is_some() && now >= self.paused_until
    }
}
