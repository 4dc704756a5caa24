//! The control state of an agent: the only place where leased runs start, and the only caller of its worker.

mod holding;
mod ordering;
mod reporting;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_control::agent::EntryDialer;
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::{AgentId, Incarnation, ZoneName};
use vanillacleat_core::run_frames::{OrderFrame, RunFrame, RunOutcome};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::MonoTime;

use super::calls::{WorkerCall, WorkerReply};
use super::run_table::{RunRecord, RunState, RunTable};
use super::session_lease::SessionLease;
use super::worker_incarnation::{WorkerIncarnation, WorkerNotice};
use crate::LeaseTerms;

/// First and longest wait between two tries to reach an entry.
const REDIAL_MIN: Duration = Duration::from_millis(100);
const REDIAL_MAX: Duration = Duration::from_millis(800);
/// Tries at the first wait: entries that start at the same time as agents take a little longer.
const STEADY_TRIES: u32 = 8;
/// Step by which a refused fencing token is raised, in milliseconds of the clock that tokens come from.
const TOKEN_STEP: u64 = 60_000;

/// `RunnerOptions` are what an agent starts with.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// The agent's stable name.
    pub agent: AgentId,
    /// The agent's run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Addresses of entries to try first.
    pub entries: Vec<SmolStr>,
    /// First fencing token; later agents of the host start with higher ones.
    pub token: u64,
    /// Spans of the leases.
    pub terms: LeaseTerms,
    /// Longest time that a leaving agent waits for its runs.
    pub drain_max: Duration,
    /// Seed of every random choice.
    pub seed: u64,
}

/// A `RunnerEvent` is something that happened.
#[derive(Clone, Debug)]
pub enum RunnerEvent {
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
        frame: OrderFrame,
    },
    /// The worker announced itself.
    Announced(WorkerNotice),
    /// The worker said that it ends.
    WorkerLeft(SmolStr),
    /// A call of the worker came to its end.
    Replied {
        /// The life that was called.
        incarnation: u64,
        /// What came of the call.
        reply: WorkerReply,
    },
    /// Addresses of entries were read.
    EntriesRead(Vec<SmolStr>),
    /// The process was asked to leave.
    Drain,
    /// Time passed.
    Tick,
}

/// A `RunnerAction` is something to be done.
#[derive(Clone, Debug)]
pub enum RunnerAction {
    /// Opens a session with the entry at this address.
    Dial(SmolStr),
    /// Sends a frame to an entry.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: RunFrame,
    },
    /// Ends a session.
    Close(SessionId),
    /// Calls the worker.
    Call {
        /// Names the worker's life for the reply.
        incarnation: u64,
        /// The worker's name, which the call is meant for.
        worker: SmolStr,
        /// The agent's fencing token.
        token: u64,
        /// The call.
        call: WorkerCall,
    },
    /// Writes a log line of key=value pairs.
    Log(String),
    /// The agent has drained and may exit.
    Drained,
}

/// A `RunnerControl` is the whole control state of one agent. Feed it events; carry out the actions.
#[derive(Debug)]
pub struct RunnerControl {
    now: MonoTime,
    options: RunnerOptions,
    token: u64,
    incarnation: Option<WorkerIncarnation>,
    incarnation_number: u64,
    book: RunTable,
    sessions: BTreeMap<SessionId, SessionLease>,
    dialer: EntryDialer,
    rng: ChaCha8Rng,
    plan: SitePlan,
    hold: holding::HoldState,
    last_received_at: MonoTime,
    drain_since: Option<MonoTime>,
    actions: Vec<RunnerAction>,
}

impl RunnerControl {
    /// Returns the state of an agent that has just started.
    pub fn new(options: RunnerOptions) -> Self {
        Self {
            now: MonoTime::ZERO,
            token: options.token,
            incarnation: None,
            incarnation_number: 0,
            book: RunTable::default(),
            sessions: BTreeMap::new(),
            dialer: EntryDialer::new(options.entries.clone()).with_redial(REDIAL_MIN, REDIAL_MAX, STEADY_TRIES),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            plan: SitePlan::default(),
            hold: holding::HoldState::default(),
            last_received_at: MonoTime::ZERO,
            drain_since: None,
            actions: Vec::new(),
            options,
        }
    }

    /// Takes an event that happened at `now`; returns what is to be done, in order.
    pub fn handle(&mut self, now: MonoTime, event: RunnerEvent) -> Vec<RunnerAction> {
        self.now = self.now.max(now);
        self.watch_sessions();
        match event {
            RunnerEvent::SessionOpened { session, address } => self.open_session(session, address),
            RunnerEvent::SessionClosed { session, address } => self.lose_session(session, &address),
            RunnerEvent::Frame { session, frame } => self.take_frame(session, frame),
            RunnerEvent::Announced(notice) => self.take_notice(notice),
            RunnerEvent::WorkerLeft(worker) => self.take_leave(&worker),
            RunnerEvent::Replied { incarnation, reply } => self.take_reply(incarnation, reply),
            RunnerEvent::EntriesRead(entries) => entries.into_iter().for_each(|address| self.dialer.add_address(address)),
            RunnerEvent::Drain => self.start_drain(),
            RunnerEvent::Tick => {}
        }
        self.start_queued();
        self.retry_starts();
        self.call_stops();
        self.keep_hold();
        self.flush_reports();
        self.dial_entries();
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    /// Returns the runs at the worker.
    pub fn run_table(&self) -> &RunTable {
        &self.book
    }

    /// Returns how many sessions with entries stand.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the agent's whole state.
    pub fn dump(&self) -> Value {
        let runs = self.book.iter().map(|(run, record)| {
            json!({ "run": run.to_string(), "entry": record.entry, "state": format!("{:?}", record.state), "ordered": record.ordered_at.to_string() })
        });
        json!({
            "agent": self.options.agent,
            "now": self.now.to_string(),
            "fencing_token": self.token,
            "plan_version": self.plan.version(),
            "zones_out": self.plan.zones_out,
            "worker": self.incarnation.as_ref().map(|incarnation| format!("{:?}", incarnation.notice)),
            "is_settled": self.incarnation.as_ref().is_some_and(|incarnation| incarnation.is_settled),
            "sessions": self.sessions.values().map(|session| session.address.clone()).collect::<Vec<_>>(),
            "runs": runs.collect::<Vec<_>>(),
        })
    }

    fn take_notice(&mut self, notice: WorkerNotice) {
        match &mut self.incarnation {
            Some(incarnation) if incarnation.is_same(&notice) => incarnation.renew(notice),
            // A heartbeat of an earlier life that arrives late changes nothing.
            Some(incarnation) if notice.born < incarnation.notice.born => {}
            _ => self.begin_incarnation(notice),
        }
    }

    fn begin_incarnation(&mut self, notice: WorkerNotice) {
        self.end_incarnation("reborn");
        // Calls to an earlier life of the same name that are still on their way are refused by the new one.
        self.token += 1;
        self.log(format!("event=worker_found worker={} born={} ready={}", notice.worker, notice.born, notice.is_ready));
        self.incarnation_number += 1;
        self.incarnation = Some(WorkerIncarnation::new(notice));
        self.hold = holding::HoldState::default();
    }

    /// Forgets the worker's life: whatever it ran has ended with it.
    fn end_incarnation(&mut self, cause: &str) {
        let Some(incarnation) = self.incarnation.take() else {
            return;
        };
        self.log(format!(
            "event=worker_lost worker={} born={} cause={cause} runs={}",
            incarnation.notice.worker,
            incarnation.notice.born,
            self.book.len()
        ));
        self.incarnation_number += 1;
        let lost = self.book.select(RunRecord::is_surely_of_incarnation);
        lost.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Lost));
        // A start that was on its way may have met the next life of the same name; that one has to be asked.
        let now = self.now;
        self.book.iter_mut().for_each(|(_, record)| record.stop_again(now));
    }

    fn end_runs(&mut self, outcome: RunOutcome) {
        let runs = self.book.select(|_| true);
        runs.into_iter().for_each(|run| self.finish_run(&run, outcome));
    }

    fn take_leave(&mut self, worker: &SmolStr) {
        if self.incarnation.as_ref().is_some_and(|incarnation| incarnation.notice.worker == *worker) {
            self.end_incarnation("left");
        }
    }

    fn take_reply(&mut self, incarnation: u64, reply: WorkerReply) {
        if incarnation != self.incarnation_number || self.incarnation.is_none() {
            return;
        }
        if reply.is_answer() {
            self.last_received_at = self.now;
        } else {
            self.hold.lossy_until = self.now + holding::LOSSY_TIME;
        }
        match reply {
            WorkerReply::Start(run, reply) => self.take_start_reply(run, reply),
            WorkerReply::Stop(run, reply) => self.take_stop_reply(run, reply),
            WorkerReply::LeasePoll(number, reply) => self.take_hold_reply(number, reply),
        }
    }

    fn record_clock(&mut self, clock: u64) {
        let now = self.now;
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.clock.record(now, clock);
        }
    }

    /// An earlier agent of this host used a higher token: this one goes above it.
    fn raise_token(&mut self) {
        self.token += TOKEN_STEP;
        self.log(format!("event=fencing_token_raised token={}", self.token));
    }

    fn call(&mut self, call: WorkerCall) {
        let Some(incarnation) = &self.incarnation else {
            return;
        };
        let (worker, token) = (incarnation.notice.worker.clone(), self.token);
        self.actions.push(RunnerAction::Call { incarnation: self.incarnation_number, worker, token, call });
    }

    fn log(&mut self, line: String) {
        self.actions.push(RunnerAction::Log(line));
    }

    fn start_drain(&mut self) {
        if self.drain_since.is_some() {
            return;
        }
        self.drain_since = Some(self.now);
        self.log(format!("event=drain_started runs={}", self.book.len()));
        let queued = self.book.select(|record| record.state == RunState::Queued);
        queued.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Closed));
    }

    fn finish_drain(&mut self) {
        let Some(since) = self.drain_since else {
            return;
        };
        let is_late = self.now.since(since) >= self.options.drain_max;
        if self.book.is_empty() || is_late {
            let left = self.book.len();
            self.end_runs(RunOutcome::Lost);
            self.flush_reports();
            self.log(format!("event=drained runs_left={left}"));
            self.actions.push(RunnerAction::Drained);
        }
    }
}
