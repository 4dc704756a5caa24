//! One entry with agents and their model workers. A test decides which frames wait on their way, and in which order the entry handles
//! what has arrived while it was paused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, RunId, TaskId};
use vanillacleat_core::run_frames::{OrderFrame, RunFrame};
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::RunnerEvent;
use vanillacleat_runs::entry::{CallerAnswer, DispatchAction, DispatchControl, DispatchEvent};

use super::agent_bench::AgentBench;
use super::callers::CallerState;
use super::plans::{make_options, make_plan};

/// Sessions of an agent from this number on are with another entry.
pub const OTHER_ENTRY: u64 = 50;
/// Minimum time until the entry's host confirms that the callers' connections were read, in milliseconds.
const CONFIRMATION_DELAY_MS: u64 = 2;

/// The direction of a frame on a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the agent.
    ToEntry,
    /// To the agent.
    ToAgent,
}

/// A start that the entry ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedStart {
    /// When it was ordered, in milliseconds.
    pub at: u64,
    /// The session that the order was sent on.
    pub session: SessionId,
    /// The run.
    pub run: RunId,
}

/// Two runs of a task that workers ran at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubleRun {
    /// The runs.
    pub runs: Vec<RunId>,
    /// When they were first seen together, in milliseconds.
    pub from: u64,
    /// When they were last seen together, in milliseconds.
    pub to: u64,
}

/// One entry with its agents, which are numbered from zero. A frame takes a millisecond.
pub struct SiteBench {
    /// The entry.
    pub entry: DispatchControl,
    /// The agents.
    pub agents: Vec<AgentBench>,
    /// Directions of sessions on which frames wait.
    pub held: BTreeSet<(SessionId, Direction)>,
    /// Whether the entry's process is paused.
    pub is_paused: bool,
    /// Number of tasks of the callers' jobs.
    pub width: u16,
    /// Estimated run time of these tasks, in milliseconds.
    pub estimate: u64,
    /// Callers whose disconnects are in the sockets of the entry's host and have not been delivered.
    pub unread_disconnects: BTreeSet<ReplyId>,
    /// The starts that the entry ordered.
    pub starts: Vec<OrderedStart>,
    /// The entry's log lines, with their times.
    pub entry_log: Vec<(u64, String)>,
    /// The answers to callers, with their times.
    pub answers: Vec<(u64, ReplyId, CallerAnswer)>,
    now: u64,
    /// The confirmation that the entry has asked for, and when its host can give it at the earliest.
    confirmation: Option<(u64, u64)>,
    to_entry: Vec<(SessionId, Option<RunFrame>)>,
    to_agents: Vec<(SessionId, OrderFrame)>,
    double_runs: BTreeMap<TaskId, DoubleRun>,
}

impl SiteBench {
    /// Returns an entry and `count` agents without sessions, at 10 ms.
    pub fn new(count: u64) -> Self {
        let mut agents: Vec<AgentBench> = (1..=count).map(AgentBench::settled).collect();
        agents.iter_mut().for_each(|agent| agent.answering.clear());
        let mut entry = DispatchControl::new(make_options(0));
        entry.handle(MonoTime::from_millis(1), DispatchEvent::PlanRead(make_plan(2)));
        Self {
            entry,
            agents,
            held: BTreeSet::new(),
            is_paused: false,
            width: 1,
            estimate: 100,
            unread_disconnects: BTreeSet::new(),
            starts: Vec::new(),
            entry_log: Vec::new(),
            answers: Vec::new(),
            now: 10,
            confirmation: None,
            to_entry: Vec::new(),
            to_agents: Vec::new(),
            double_runs: BTreeMap::new(),
        }
    }

    /// Returns the session of this number of an agent.
    pub fn session(agent: usize, number: u64) -> SessionId {
        SessionId(agent as u64 * 100 + number)
    }

    /// Returns the time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Opens the session of this number of an agent with the entry.
    pub fn open_session(&mut self, agent: usize, number: u64) {
        let opened = RunnerEvent::SessionOpened { session: Self::session(agent, number), address: "entry-1".into() };
        self.agents[agent].deliver(opened);
    }

    /// Delivers the request of the caller of this number.
    pub fn request(&mut self, caller: u64, reply: u64) {
        let request = self.make_request(caller, reply);
        self.deliver_batch(Duration::ZERO, vec![request]);
    }

    /// Returns the request of the caller of this number.
    pub fn make_request(&self, caller: u64, reply: u64) -> DispatchEvent {
        let request = CallerState::new(caller, self.width, self.estimate).request();
        DispatchEvent::Requested { reply: ReplyId(reply), request }
    }

    /// Returns the id of the job of the caller of this number.
    pub fn job(caller: u64) -> CallerJobId {
        CallerState::new(caller, 1, 100).id
    }

    /// Delivers events to the entry in one batch, of which the oldest has waited for `lag`.
    pub fn deliver_batch(&mut self, lag: Duration, events: Vec<DispatchEvent>) {
        for event in &events {
            if let DispatchEvent::CallerDisconnected(reply) = event {
                self.unread_disconnects.remove(reply);
            }
        }
        for action in self.entry.handle_batch(MonoTime::from_millis(self.now), lag, events) {
            match action {
                DispatchAction::Send { session, frame } => {
                    if let OrderFrame::Orders(orders) = &frame {
                        let starts = orders.starts.iter().map(|start| OrderedStart { at: self.now, session, run: start.run });
                        self.starts.extend(starts);
                    }
                    self.to_agents.push((session, frame));
                }
                DispatchAction::Log(line) => self.entry_log.push((self.now, line)),
                DispatchAction::Reply { reply, answer } => self.answers.push((self.now, reply, answer)),
                DispatchAction::ConfirmCallers(number) => self.confirmation = Some((number, self.now + CONFIRMATION_DELAY_MS)),
                _ => {}
            }
        }
    }

    /// Advances the time to `end`.
    pub fn advance(&mut self, end: u64) {
        while self.now < end {
            self.now += 1;
            self.deliver_to_agents();
            for agent in &mut self.agents {
                agent.advance(self.now);
                let sent = agent.sent_frames.drain(..).map(|(session, frame)| (session, Some(frame)));
                self.to_entry.extend(sent.filter(|(session, _)| session.0 % 100 < OTHER_ENTRY));
                self.to_entry.extend(agent.closed_sessions.drain(..).map(|session| (session, None)));
            }
            self.record_double_runs();
            if self.is_paused {
                continue;
            }
            for event in self.take_arrived() {
                self.deliver_batch(Duration::ZERO, vec![event]);
            }
            self.confirm_callers();
            if self.now.is_multiple_of(10) {
                self.deliver_batch(Duration::ZERO, vec![DispatchEvent::Tick]);
            }
        }
    }

    /// Takes the frames and the ends of sessions that have arrived at the entry.
    pub fn take_arrived(&mut self) -> Vec<DispatchEvent> {
        let held = &self.held;
        let frames = std::mem::take(&mut self.to_entry);
        let (waiting, arrived): (Vec<_>, Vec<_>) =
            frames.into_iter().partition(|(session, _)| held.contains(&(*session, Direction::ToEntry)));
        self.to_entry = waiting;
        let events = arrived.into_iter().map(|(session, frame)| match frame {
            Some(frame) => DispatchEvent::Frame { session, frame },
            None => DispatchEvent::SessionClosed(session),
        });
        events.collect()
    }

    /// Holds the frames of a session in both directions.
    pub fn cut(&mut self, session: SessionId) {
        self.held.extend([(session, Direction::ToEntry), (session, Direction::ToAgent)]);
    }

    /// Lets the frames of a session pass again, those that wait included.
    pub fn restore(&mut self, session: SessionId) {
        self.held.retain(|(held, _)| *held != session);
    }

    /// Returns the tasks of which workers ran two runs at the same time.
    pub fn double_runs(&self) -> Vec<DoubleRun> {
        self.double_runs.values().cloned().collect()
    }

    /// Confirms that the callers' connections were read, once their disconnects have been delivered.
    fn confirm_callers(&mut self) {
        let due = self.confirmation.filter(|(_, due_at)| self.now >= *due_at && self.unread_disconnects.is_empty());
        if let Some((number, _)) = due {
            self.confirmation = None;
            self.deliver_batch(Duration::ZERO, vec![DispatchEvent::CallersConfirmed(number)]);
        }
    }

    fn deliver_to_agents(&mut self) {
        let held = &self.held;
        let frames = std::mem::take(&mut self.to_agents);
        let (waiting, arrived): (Vec<_>, Vec<_>) =
            frames.into_iter().partition(|(session, _)| held.contains(&(*session, Direction::ToAgent)));
        self.to_agents = waiting;
        for (session, frame) in arrived {
            self.agents[session.0 as usize / 100].deliver(RunnerEvent::Frame { session, frame });
        }
    }

    fn record_double_runs(&mut self) {
        let mut running: BTreeMap<TaskId, Vec<RunId>> = BTreeMap::new();
        for run in self.agents.iter().flat_map(|agent| agent.worker.running()) {
            running.entry(run.task).or_default().push(*run);
        }
        for (task, runs) in running.into_iter().filter(|(_, runs)| runs.len() > 1) {
            let double_run = DoubleRun { runs, from: self.now, to: self.now };
            self.double_runs.entry(task).or_insert(double_run).to = self.now;
        }
    }
}
