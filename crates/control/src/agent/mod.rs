//! The control state of an agent: the start gate, the sessions with entries and the proof of freshness.

mod dialer;
mod session_view;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_core::frames::{
    AgentFrame, AgentHello, EntryFrame, EntryWelcome, Envelope, FreshnessReply, FreshnessRequest, LoadReport, SealReply, TaskDispatch,
    TaskResult, TaskResults,
};
use vanillacleat_core::ids::{HomeKey, ProcessStart, TaskKey, UpstreamName, WorkerKey, ZoneName};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::run_frames::SessionOrder;
use vanillacleat_core::settings::GateSettings;
use vanillacleat_core::units::{MonoTime, Revision};

use crate::gate::{StartGate, StartOrder, UpstreamAnnouncement};
use crate::SessionId;

pub use dialer::EntryDialer;
use session_view::SessionView;

/// Time without a freshness request or a received frame after which a session gets a request in a frame of its own.
pub const FRESHNESS_INTERVAL: Duration = Duration::from_secs(2);
/// The same interval for a session whose entry has no tasks at this agent.
const IDLE_FRESHNESS_INTERVAL: Duration = Duration::from_secs(10);
/// Age of the newest proof of freshness from which it is renewed ahead of the regular interval.
const PROOF_RENEWAL_AGE: Duration = Duration::from_millis(2_300);
/// Minimum time between two early requests. Each is sent on the session whose last request is the oldest.
const PROOF_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a received frame after which a session is considered lost.
const SESSION_SILENCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between two events above which this process is considered to have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// Holds the settings with which an agent starts.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The agent and its incarnation.
    pub worker: WorkerKey,
    /// The start of the agent's process, which orders its sessions after those of earlier processes.
    pub process_start: ProcessStart,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// The worker's capacity.
    pub capacity: TaskDemand,
    /// The addresses of the entries to dial first.
    pub entries: Vec<SmolStr>,
    /// The limits of the start gate.
    pub gate: GateSettings,
    /// The seed of every random choice.
    pub seed: u64,
}

/// An event that the agent's control state handles.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A session with the entry at `address` was opened.
    SessionOpened {
        /// The session.
        session: SessionId,
        /// The entry's address.
        address: SmolStr,
    },
    /// A session ended, or dialing failed.
    SessionClosed {
        /// The session; absent if dialing failed.
        session: Option<SessionId>,
        /// The entry's address.
        address: SmolStr,
    },
    /// An entry sent a frame.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Envelope<EntryFrame>,
    },
    /// An upstream announced itself.
    Announced(UpstreamAnnouncement),
    /// An upstream withdrew itself because it is shutting down.
    Withdrawn(UpstreamName),
    /// A task ended.
    Ended {
        /// The task.
        key: TaskKey,
        /// The upstream that ran it.
        upstream: UpstreamName,
        /// The task's outcome.
        outcome: TaskOutcome,
        /// How long the task ran.
        run_time: Duration,
    },
    /// A started task was never sent from this host, because its upstream could not be reached.
    NotSent {
        /// The task.
        key: TaskKey,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The process was asked to drain.
    Drain,
    /// The periodic timer fired.
    Tick,
}

/// An action that the agent's control state requests from its embedder.
#[derive(Clone, Debug)]
pub enum AgentAction {
    /// Opens a session with the entry at this address.
    Dial(SmolStr),
    /// Sends a frame to an entry.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        envelope: Envelope<AgentFrame>,
    },
    /// Closes a session.
    Close(SessionId),
    /// Starts a task at an upstream.
    Start(StartOrder),
    /// The agent has drained and may exit.
    Drained,
}

/// Holds the control state of one agent. The embedder passes it events and executes the actions it returns.
#[derive(Debug)]
pub struct AgentControl {
    now: MonoTime,
    /// When this process last resumed after a stall. Silence timeouts are counted from here at the earliest.
    resumed_at: MonoTime,
    options: AgentOptions,
    gate: StartGate,
    sessions: BTreeMap<SessionId, SessionView>,
    /// The number of sessions that this process has opened.
    sessions_opened: u64,
    /// The session with the entry that owns each home, which receives the results of the home's tasks.
    owner_sessions: BTreeMap<HomeKey, SessionId>,
    dialer: EntryDialer,
    rng: ChaCha8Rng,
    next_nonce: u64,
    /// When the last early freshness request was sent.
    renewal_requested_at: MonoTime,
    started: u64,
    /// The results to send at the end of the current event, by session.
    pending_results: BTreeMap<SessionId, Vec<TaskResult>>,
    actions: Vec<AgentAction>,
}

impl AgentControl {
    /// Returns the state of an agent that has just started.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            now: MonoTime::ZERO,
            resumed_at: MonoTime::ZERO,
            gate: StartGate::new(options.zone.clone(), options.gate.clone()),
            sessions: BTreeMap::new(),
            sessions_opened: 0,
            owner_sessions: BTreeMap::new(),
            dialer: EntryDialer::new(options.entries.clone()),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            next_nonce: 0,
            renewal_requested_at: MonoTime::ZERO,
            started: 0,
            pending_results: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Handles an event that occurred at `now`. Returns the actions to execute, in order.
    pub fn handle(&mut self, now: MonoTime, event: AgentEvent) -> Vec<AgentAction> {
        if now.since(self.now) > STALL_THRESHOLD {
            // This process did not run in the meantime, so missing frames do not show that an entry was silent.
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        match event {
            AgentEvent::SessionOpened { session, address } => self.open_session(session, address),
            AgentEvent::SessionClosed { session, address } => self.remove_session(session, &address),
            AgentEvent::Frame { session, frame } => self.handle_frame(session, frame),
            AgentEvent::Announced(announcement) => self.gate.upstreams().record_announcement(now, announcement),
            AgentEvent::Withdrawn(upstream) => self.gate.upstreams().record_withdrawal(&upstream),
            AgentEvent::Ended { key, upstream, outcome, run_time } => self.end_task(&key, &upstream, outcome, run_time),
            AgentEvent::NotSent { key, upstream } => {
                let result = self.gate.revert_start(now, &key, &upstream);
                self.report_to_owner(result);
            }
            AgentEvent::Drain => self.gate.drain(),
            AgentEvent::Tick => self.tick(),
        }
        self.reject_unstartable();
        self.start_ready();
        self.flush();
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    /// Returns the start gate.
    pub fn gate(&self) -> &StartGate {
        &self.gate
    }

    /// Returns how many tasks have started.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Returns the agent's state as JSON, for operators.
    pub fn dump(&mut self) -> Value {
        let now = self.now;
        let (record_count, answer_bytes) = self.gate.retention_stats();
        let config = self.gate.config().value().clone();
        json!({
            "worker": self.options.worker.to_string(),
            "zone": self.options.zone,
            "now": now.to_string(),
            "draining": self.gate.is_draining(),
            "fresh": self.gate.freshness().is_fresh(now),
            "proof_age_ms": self.gate.freshness().age(now).map(|age| age.as_millis() as u64),
            "config": config,
            "upstreams": self.gate.upstreams().dump(),
            "queued": self.gate.queued(),
            "running": self.gate.running(),
            "started": self.started,
            "tasks_remembered": record_count,
            "answer_bytes_kept": answer_bytes,
            "sessions": self.sessions.values().map(SessionView::dump).collect::<Vec<_>>(),
        })
    }

    fn tick(&mut self) {
        self.gate.remove_expired(self.now);
        self.close_silent_sessions();
        self.send_freshness_requests();
        let dials = self.dialer.due_addresses(self.now, &mut self.rng);
        self.actions.extend(dials.into_iter().map(AgentAction::Dial));
    }

    fn open_session(&mut self, session: SessionId, address: SmolStr) {
        self.dialer.record_connected(&address);
        self.sessions.insert(session, SessionView::new(self.now, address));
        let load = self.gate.load(self.now, 0);
        self.sessions_opened += 1;
        let AgentOptions { worker, process_start, zone, capacity, .. } = &self.options;
        let order = SessionOrder { process_start: *process_start, number: self.sessions_opened };
        let hello = AgentHello { worker: worker.clone(), order, zone: zone.clone(), capacity: *capacity, load };
        self.send(session, AgentFrame::Hello(hello));
    }

    fn remove_session(&mut self, session: Option<SessionId>, address: &SmolStr) {
        self.dialer.record_disconnected(address, self.now, &mut self.rng);
        if let Some(session) = session {
            self.sessions.remove(&session);
            self.owner_sessions.retain(|_, owner| *owner != session);
        }
    }

    /// Closes the sessions whose entries have been silent, because a lost host does not close its connections.
    fn close_silent_sessions(&mut self) {
        let is_silent = |view: &SessionView| self.now.since(view.last_received_at.max(self.resumed_at)) >= SESSION_SILENCE_TIMEOUT;
        let silent = self.sessions.iter().filter(|(_, view)| is_silent(view));
        let silent: Vec<(SessionId, SmolStr)> = silent.map(|(session, view)| (*session, view.address.clone())).collect();
        for (session, address) in silent {
            self.actions.push(AgentAction::Close(session));
            self.remove_session(Some(session), &address);
        }
    }

    fn handle_frame(&mut self, session: SessionId, frame: Envelope<EntryFrame>) {
        let Some(view) = self.sessions.get_mut(&session) else {
            return;
        };
        view.last_received_at = self.now;
        if !matches!(frame.body, EntryFrame::Config(_)) {
            self.record_revision(session, frame.revision);
        }
        match frame.body {
            EntryFrame::Welcome(welcome) => self.handle_welcome(session, welcome),
            EntryFrame::FreshnessReply(reply) => self.handle_freshness_reply(session, frame.revision, reply),
            EntryFrame::Dispatch(dispatch) => self.handle_dispatch(session, frame.revision, dispatch),
            EntryFrame::Cancel(revocation) => {
                for task in &revocation.tasks {
                    let result = self.gate.cancel(self.now, revocation.generation, task);
                    self.report(session, result);
                }
            }
            EntryFrame::Reclaim(revocation) => {
                for task in &revocation.tasks {
                    self.owner_sessions.insert(task.key.home.clone(), session);
                    let result = self.gate.reclaim(self.now, revocation.generation, task);
                    self.report(session, result);
                }
            }
            EntryFrame::Fence(fence) => {
                let inventory = self.gate.fence(self.now, &fence);
                if inventory.generation == fence.generation {
                    self.owner_sessions.insert(fence.home, session);
                }
                self.send(session, AgentFrame::Inventory(inventory));
            }
            EntryFrame::Seal(seal) => {
                let is_recorded = self.gate.seal(self.now, &seal);
                self.send(session, AgentFrame::Sealed(SealReply { seal, is_recorded }));
            }
            EntryFrame::Config(value) => {
                if self.gate.update_config(*value) {
                    // A change is in force once a majority of the zones holds it: report to every entry at once that it
                    // is held here.
                    self.sessions.values_mut().for_each(SessionView::expedite_request);
                    self.send_freshness_requests();
                }
            }
        }
    }

    fn handle_welcome(&mut self, session: SessionId, welcome: EntryWelcome) {
        welcome.entries.into_iter().for_each(|address| self.dialer.add_address(address));
        if let Some(view) = self.sessions.get_mut(&session) {
            view.entry = Some(welcome.home);
        }
    }

    /// Records that an entry holds `revision`. Requests the configuration if it is newer than the one held here, once for
    /// each session and revision.
    fn record_revision(&mut self, session: SessionId, revision: Revision) {
        self.gate.config().record_revision(revision);
        let own = self.gate.config().revision();
        let Some(view) = self.sessions.get_mut(&session) else {
            return;
        };
        let should_request = revision > own && view.requested_revision < Some(revision);
        if should_request {
            view.requested_revision = Some(revision);
            self.send(session, AgentFrame::ConfigRequest);
        }
    }

    fn handle_freshness_reply(&mut self, session: SessionId, revision: Revision, reply: FreshnessReply) {
        let own = self.gate.config().revision();
        let Some(view) = self.sessions.get_mut(&session) else {
            return;
        };
        let requested_at = view.complete_request(reply.nonce);
        view.echoed_nonce = view.echoed_nonce.max(reply.entry_nonce);
        // An entry with a newer configuration proves that its own is the newest, not the one held here.
        if let (Some(requested_at), Some(age), true) = (requested_at, reply.proof_age_ms, revision <= own) {
            self.gate.freshness().record(requested_at, age.to_duration());
        }
    }

    fn handle_dispatch(&mut self, session: SessionId, revision: Revision, dispatch: TaskDispatch) {
        if let Some(reply) = dispatch.freshness {
            self.handle_freshness_reply(session, revision, reply);
        }
        for order in dispatch.tasks {
            let home = order.key.home.clone();
            match self.gate.admit(self.now, dispatch.generation, order) {
                Some(result) => self.report(session, result),
                None => drop(self.owner_sessions.insert(home, session)),
            }
        }
    }

    fn end_task(&mut self, key: &TaskKey, upstream: &UpstreamName, outcome: TaskOutcome, run_time: Duration) {
        if let Some(result) = self.gate.finish(key, upstream, outcome, run_time) {
            self.report_to_owner(result);
        }
    }

    fn reject_unstartable(&mut self) {
        for result in self.gate.reject_unstartable(self.now) {
            self.report_to_owner(result);
        }
    }

    fn start_ready(&mut self) {
        for order in self.gate.start_ready(self.now) {
            self.started += 1;
            self.actions.push(AgentAction::Start(order));
        }
    }

    fn report_to_owner(&mut self, result: TaskResult) {
        // Without a session the result is not sent: the owner requests it with a reclaim when it reconnects.
        if let Some(session) = self.owner_sessions.get(&result.key.home).copied() {
            self.report(session, result);
        }
    }

    /// Adds a result to those that are sent on `session` at the end of the current event.
    fn report(&mut self, session: SessionId, result: TaskResult) {
        self.pending_results.entry(session).or_default().push(result);
    }

    /// Sends the pending results, each session's in one frame with the load and a freshness request.
    fn flush(&mut self) {
        for (session, results) in std::mem::take(&mut self.pending_results) {
            let load = self.gate.load(self.now, self.held_count_of(session));
            let Some(request) = self.next_freshness_request(session, None) else {
                continue;
            };
            if let Some(view) = self.sessions.get_mut(&session) {
                view.reported_load = Some(load.clone());
            }
            self.send(session, AgentFrame::Results(TaskResults { results, load, freshness: request }));
        }
    }

    /// Sends freshness requests on the sessions where one is due. If none is due and the newest proof is ageing, sends one
    /// early, on the session whose last request is the oldest.
    fn send_freshness_requests(&mut self) {
        let now = self.now;
        let is_due = |session: &SessionId, view: &SessionView| {
            let interval = if self.held_count_of(*session) > 0 { FRESHNESS_INTERVAL } else { IDLE_FRESHNESS_INTERVAL };
            view.is_request_due(now, interval)
        };
        let due = self.sessions.iter().filter(|(session, view)| is_due(session, view)).map(|(session, _)| *session);
        let mut due: Vec<SessionId> = due.collect();
        let is_ageing = self.gate.freshness().age(now).is_none_or(|age| age > PROOF_RENEWAL_AGE);
        if is_ageing && due.is_empty() && now.since(self.renewal_requested_at) >= PROOF_RENEWAL_INTERVAL {
            self.renewal_requested_at = now;
            due.extend(self.sessions.iter().min_by_key(|(_, view)| view.last_request_at()).map(|(session, _)| *session));
        }
        for session in due {
            let load = self.gate.load(now, self.held_count_of(session));
            let changed_load = self.sessions.get_mut(&session).and_then(|view| view.update_reported_load(load));
            if let Some(request) = self.next_freshness_request(session, changed_load) {
                self.send(session, AgentFrame::FreshnessRequest(request));
            }
        }
    }

    fn next_freshness_request(&mut self, session: SessionId, load: Option<LoadReport>) -> Option<FreshnessRequest> {
        self.next_nonce += 1;
        let is_settled = self.gate.freshness().age(self.now).is_some();
        let view = self.sessions.get_mut(&session)?;
        Some(view.next_freshness_request(self.now, self.next_nonce, is_settled, load))
    }

    /// Returns how many tasks of the homes owned by the entry on `session` are queued or running here.
    fn held_count_of(&self, session: SessionId) -> u32 {
        let homes = self.owner_sessions.iter().filter(|(_, owner)| **owner == session);
        homes.map(|(home, _)| self.gate.held_count(home)).sum()
    }

    fn send(&mut self, session: SessionId, body: AgentFrame) {
        let envelope = Envelope { revision: self.gate.config().revision(), body };
        self.actions.push(AgentAction::Send { session, envelope });
    }

    fn finish_drain(&mut self) {
        if self.gate.is_draining() && self.gate.running() == 0 && self.gate.queued() == 0 {
            self.actions.push(AgentAction::Drained);
        }
    }
}
