//! The whole control state of an agent: the start gate, the sessions with entries and the proof of freshness.

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
use vanillacleat_core::ids::{HomeKey, TaskKey, UpstreamName, WorkerKey, ZoneName};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::settings::GateSettings;
use vanillacleat_core::units::{MonoTime, Revision};

use crate::gate::{StartGate, StartOrder, UpstreamAnnouncement};
use crate::SessionId;

pub use dialer::EntryDialer;
use session_view::SessionView;

/// Time without a question from which a session is asked by a frame of its own.
pub const FRESHNESS_INTERVAL: Duration = Duration::from_secs(2);
/// The same for a session whose entry has no tasks here.
const IDLE_ASK_PERIOD: Duration = Duration::from_secs(10);
/// Age of the best proof from which it is renewed out of turn.
const PROOF_AGE_MAX: Duration = Duration::from_millis(2_300);
/// Shortest time between questions out of turn; each goes to the entry that was asked the longest ago.
const HURRIED_ASK_PERIOD: Duration = Duration::from_millis(150);
/// Time without a frame from which a session counts as broken.
const SESSION_SILENCE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between two events from which this process counts as having been stalled.
const STALL_MIN: Duration = Duration::from_millis(500);

/// `AgentOptions` are what an agent starts with.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The agent's run.
    pub worker: WorkerKey,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What the worker can hold.
    pub capacity: TaskDemand,
    /// Addresses of entries to try first.
    pub entries: Vec<SmolStr>,
    /// Bounds of the gate.
    pub gate: GateSettings,
    /// Seed of every random choice.
    pub seed: u64,
}

/// An `AgentEvent` is something that happened.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A session with the entry at `address` stands.
    SessionOpened {
        /// The session.
        session: SessionId,
        /// Where the entry listens.
        address: SmolStr,
    },
    /// A session ended, or dialing failed.
    SessionClosed {
        /// The session; absent if dialing failed.
        session: Option<SessionId>,
        /// Where the entry listens.
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
    /// An upstream said that it leaves.
    Leaving(UpstreamName),
    /// A task ended.
    Ended {
        /// The task.
        key: TaskKey,
        /// Where it ran.
        upstream: UpstreamName,
        /// Its outcome.
        outcome: TaskOutcome,
        /// How long it ran.
        run: Duration,
    },
    /// A started task never left this host: its upstream could not be reached.
    NotSent {
        /// The task.
        key: TaskKey,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The process was asked to leave.
    Drain,
    /// Time passed.
    Tick,
}

/// An `AgentAction` is something to be done.
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
    /// Ends a session.
    Close(SessionId),
    /// Starts a task at an upstream.
    Start(StartOrder),
    /// The agent has drained and may exit.
    Drained,
}

/// An `AgentControl` is the whole control state of one agent. Feed it events; carry out the actions.
#[derive(Debug)]
pub struct AgentControl {
    now: MonoTime,
    resumed_at: MonoTime,
    options: AgentOptions,
    gate: StartGate,
    sessions: BTreeMap<SessionId, SessionView>,
    owners: BTreeMap<HomeKey, SessionId>,
    dialer: EntryDialer,
    rng: ChaCha8Rng,
    next_nonce: u64,
    hurried_at: MonoTime,
    started: u64,
    outbox: BTreeMap<SessionId, Vec<TaskResult>>,
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
            owners: BTreeMap::new(),
            dialer: EntryDialer::new(options.entries.clone()),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            next_nonce: 0,
            hurried_at: MonoTime::ZERO,
            started: 0,
            outbox: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Takes an event that happened at `now`; returns what is to be done, in order.
    pub fn handle(&mut self, now: MonoTime, event: AgentEvent) -> Vec<AgentAction> {
        if now.since(self.now) > STALL_MIN {
            // This process did not run: what was not heard meanwhile says nothing of the others.
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        match event {
            AgentEvent::SessionOpened { session, address } => self.open_session(session, address),
            AgentEvent::SessionClosed { session, address } => self.lose_session(session, &address),
            AgentEvent::Frame { session, frame } => self.take_frame(session, frame),
            AgentEvent::Announced(notice) => self.gate.upstreams().announce(now, notice),
            AgentEvent::Leaving(upstream) => self.gate.upstreams().leave(&upstream),
            AgentEvent::Ended { key, upstream, outcome, run } => self.end_task(&key, &upstream, outcome, run),
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

    /// Returns the agent's whole state.
    pub fn dump(&mut self) -> Value {
        let now = self.now;
        let (retained, answer_bytes) = self.gate.retained();
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
            "tasks_remembered": retained,
            "answer_bytes_kept": answer_bytes,
            "sessions": self.sessions.values().map(SessionView::dump).collect::<Vec<_>>(),
        })
    }

    fn tick(&mut self) {
        self.gate.remove_expired(self.now);
        self.close_silent_sessions();
        self.ask();
        let dials = self.dialer.due(self.now, &mut self.rng);
        self.actions.extend(dials.into_iter().map(AgentAction::Dial));
    }

    fn open_session(&mut self, session: SessionId, address: SmolStr) {
        self.dialer.record_connected(&address);
        self.sessions.insert(session, SessionView::new(self.now, address));
        let load = self.gate.load(self.now, 0);
        let AgentOptions { worker, zone, capacity, .. } = &self.options;
        let hello = AgentHello { worker: worker.clone(), zone: zone.clone(), capacity: *capacity, load };
        self.send(session, AgentFrame::Hello(hello));
    }

    fn lose_session(&mut self, session: Option<SessionId>, address: &SmolStr) {
        self.dialer.record_disconnected(address, self.now, &mut self.rng);
        if let Some(session) = session {
            self.sessions.remove(&session);
            self.owners.retain(|_, owner| *owner != session);
        }
    }

    /// Ends sessions whose entries have been silent: a host may be gone without a word.
    fn close_silent_sessions(&mut self) {
        let is_silent = |view: &SessionView| self.now.since(view.last_received_at.max(self.resumed_at)) >= SESSION_SILENCE_TIMEOUT;
        let silent = self.sessions.iter().filter(|(_, view)| is_silent(view));
        let silent: Vec<(SessionId, SmolStr)> = silent.map(|(session, view)| (*session, view.address.clone())).collect();
        for (session, address) in silent {
            self.actions.push(AgentAction::Close(session));
            self.lose_session(Some(session), &address);
        }
    }

    fn take_frame(&mut self, session: SessionId, frame: Envelope<EntryFrame>) {
        let Some(view) = self.sessions.get_mut(&session) else {
            return;
        };
        view.last_received_at = self.now;
        if !matches!(frame.body, EntryFrame::Config(_)) {
            self.hear_revision(session, frame.revision);
        }
        match frame.body {
            EntryFrame::Welcome(welcome) => self.take_welcome(session, welcome),
            EntryFrame::FreshnessReply(echo) => self.take_echo(session, frame.revision, echo),
            EntryFrame::Dispatch(dispatch) => self.take_dispatch(session, frame.revision, dispatch),
            EntryFrame::Cancel(recall) => {
                for task in &recall.tasks {
                    let result = self.gate.cancel(self.now, recall.generation, task);
                    self.report(session, result);
                }
            }
            EntryFrame::Reclaim(recall) => {
                for task in &recall.tasks {
                    self.owners.insert(task.key.home.clone(), session);
                    let result = self.gate.reclaim(self.now, recall.generation, task);
                    self.report(session, result);
                }
            }
            EntryFrame::Fence(fence) => {
                let inventory = self.gate.fence(self.now, &fence);
                if inventory.generation == fence.generation {
                    self.owners.insert(fence.home, session);
                }
                self.send(session, AgentFrame::Inventory(inventory));
            }
            EntryFrame::Seal(seal) => {
                let is_kept = self.gate.seal(self.now, &seal);
                self.send(session, AgentFrame::Sealed(SealReply { seal, is_kept }));
            }
            EntryFrame::Config(value) => {
                if self.gate.update_config(*value) {
                    // The change is in force once the entries have heard that it is held here.
                    self.sessions.values_mut().for_each(SessionView::hurry_ask);
                    self.ask();
                }
            }
        }
    }

    fn take_welcome(&mut self, session: SessionId, welcome: EntryWelcome) {
        welcome.entries.into_iter().for_each(|address| self.dialer.add_address(address));
        if let Some(view) = self.sessions.get_mut(&session) {
            view.entry = Some(welcome.home);
        }
    }

    fn hear_revision(&mut self, session: SessionId, revision: Revision) {
        self.gate.config().record_revision(revision);
        let own = self.gate.config().revision();
        let Some(view) = self.sessions.get_mut(&session) else {
            return;
        };
        let is_news = revision > own && view.wanted < Some(revision);
        if is_news {
            view.wanted = Some(revision);
            self.send(session, AgentFrame::ConfigWanted);
        }
    }

    fn take_echo(&mut self, session: SessionId, revision: Revision, echo: FreshnessReply) {
        let own = self.gate.config().revision();
        let Some(view) = self.sessions.get_mut(&session) else {
            return;
        };
        let asked_at = view.take_question(echo.nonce);
        view.echoed_nonce = view.echoed_nonce.max(echo.entry_nonce);
        // An entry with a newer configuration proves nothing for this one.
        if let (Some(asked_at), Some(age), true) = (asked_at, echo.proof_age_ms, revision <= own) {
            self.gate.freshness().record(asked_at, age.to_duration());
        }
    }

    fn take_dispatch(&mut self, session: SessionId, revision: Revision, dispatch: TaskDispatch) {
        if let Some(echo) = dispatch.freshness {
            self.take_echo(session, revision, echo);
        }
        for order in dispatch.tasks {
            let home = order.key.home.clone();
            match self.gate.admit(self.now, dispatch.generation, order) {
                Some(result) => self.report(session, result),
                None => drop(self.owners.insert(home, session)),
            }
        }
    }

    fn end_task(&mut self, key: &TaskKey, upstream: &UpstreamName, outcome: TaskOutcome, run: Duration) {
        if let Some(result) = self.gate.finish(key, upstream, outcome, run) {
            self.report_to_owner(result);
        }
    }

    fn reject_unstartable(&mut self) {
        for result in self.gate.reject_unstartable(self.now) {
            self.report_to_owner(result);
        }
    }

    fn start_ready(&mut self) {
        for start in self.gate.start_ready(self.now) {
            self.started += 1;
            self.actions.push(AgentAction::Start(start));
        }
    }

    fn report_to_owner(&mut self, result: TaskResult) {
        // Without a session the home asks with a reclaim when it is back.
        if let Some(session) = self.owners.get(&result.key.home).copied() {
            self.report(session, result);
        }
    }

    fn report(&mut self, session: SessionId, result: TaskResult) {
        self.outbox.entry(session).or_default().push(result);
    }

    fn flush(&mut self) {
        for (session, results) in std::mem::take(&mut self.outbox) {
            let load = self.gate.load(self.now, self.mine_of(session));
            let Some(ask) = self.make_ask(session, None) else {
                continue;
            };
            if let Some(view) = self.sessions.get_mut(&session) {
                view.told_load = Some(load.clone());
            }
            self.send(session, AgentFrame::Results(TaskResults { results, load, freshness: ask }));
        }
    }

    /// Asks on sessions that have carried nothing for a while, and on one more while the best proof grows old.
    fn ask(&mut self) {
        let now = self.now;
        let is_quiet = |session: &SessionId, view: &SessionView| {
            let period = if self.mine_of(*session) > 0 { FRESHNESS_INTERVAL } else { IDLE_ASK_PERIOD };
            view.is_ask_due(now, period)
        };
        let quiet = self.sessions.iter().filter(|(session, view)| is_quiet(session, view)).map(|(session, _)| *session);
        let mut due: Vec<SessionId> = quiet.collect();
        let is_ageing = self.gate.freshness().age(now).is_none_or(|age| age > PROOF_AGE_MAX);
        if is_ageing && due.is_empty() && now.since(self.hurried_at) >= HURRIED_ASK_PERIOD {
            self.hurried_at = now;
            due.extend(self.sessions.iter().min_by_key(|(_, view)| view.asked_at()).map(|(session, _)| *session));
        }
        for session in due {
            let load = self.gate.load(now, self.mine_of(session));
            let news = self.sessions.get_mut(&session).and_then(|view| view.take_load_news(load));
            if let Some(ask) = self.make_ask(session, news) {
                self.send(session, AgentFrame::FreshnessRequest(ask));
            }
        }
    }

    fn make_ask(&mut self, session: SessionId, load: Option<LoadReport>) -> Option<FreshnessRequest> {
        self.next_nonce += 1;
        let is_settled = self.gate.freshness().age(self.now).is_some();
        let view = self.sessions.get_mut(&session)?;
        Some(view.make_ask(self.now, self.next_nonce, is_settled, load))
    }

    fn mine_of(&self, session: SessionId) -> u32 {
        let homes = self.owners.iter().filter(|(_, owner)| **owner == session);
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
