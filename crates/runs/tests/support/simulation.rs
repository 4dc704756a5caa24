//! The simulation: the control states of entries and agents, model workers and the connections between all of them, run in
//! one thread on a virtual clock. All random choices come from one seeded generator, so that the same seed and faults give
//! the same result.

mod callers_and_faults;
mod session_links;
mod worker_calls;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{ResourceAmount, RunId};
use vanillacleat_core::ids::{Incarnation, ZoneName};
use vanillacleat_core::run_frames::{OrderFrame, RunFrame};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    LeasePollReply, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, StartReply, StopReply, WorkerCall, WorkerNotice, WorkerReply,
};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchAction, DispatchControl, DispatchEvent, DispatchOptions};
use vanillacleat_runs::LeaseTerms;
use vanillacleat_standin::WorkerModel;

use super::callers::{CallerState, OpenRequests, RESUBMIT_AFTER};
use super::checks::RunHistory;
use super::faults::{SimulatedFault, TimedFault};
use super::plans::{make_options, make_plan};

/// Number of entries.
const ENTRIES: usize = 2;
/// Number of agents. Each has its own worker and its own availability zone.
const AGENTS: usize = 3;
/// Interval between two ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a call to a worker counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(80);
/// Time until an entry's process confirms that the callers' connections were read.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(3);
/// Delay between the kill of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// An event on the virtual clock. Processes, workers and sessions are given by index. An event for an agent or an entry
/// carries the incarnation of the process that it is meant for, and is dropped if that one is no longer running.
#[derive(Clone, Debug)]
enum SimulationEvent {
    /// Delivers a tick to an entry.
    TickEntry(usize),
    /// Delivers a tick to an agent.
    TickAgent(usize),
    /// Delivers a worker's heartbeat to its agent.
    SendHeartbeat(usize),
    /// Delivers an event to an agent of the given incarnation.
    DeliverToAgent(usize, u64, RunnerEvent),
    /// Delivers an event to an entry of the given incarnation.
    DeliverToEntry(usize, u64, DispatchEvent),
    /// Opens a session of an agent of the given incarnation with an entry.
    OpenSession(usize, u64, usize),
    /// Closes a session.
    CloseSession(usize),
    /// Executes a call at a worker: the agent's incarnation, the worker's incarnation, the fencing token and the call.
    CallWorker(usize, u64, u64, u64, WorkerCall),
    /// Answers a lease poll at the end of its wait: the agent's incarnation, the worker's incarnation, the fencing token,
    /// and three values of the poll. These are its number, the last end that it acknowledges, and the worker's start time
    /// when the poll arrived.
    AnswerLeasePoll(usize, u64, u64, u64, (u64, u64, u64)),
    /// Submits a caller's job.
    Submit(usize),
    /// Restarts a killed entry.
    RestartEntry(usize),
    /// Restarts a killed agent.
    RestartAgent(usize),
    /// Injects a fault.
    InjectFault(SimulatedFault),
    /// Advances the workers' models and checks which runs they are running.
    SampleWorkers,
}

/// An entry's process. Its control state sees the time since the start of the process.
struct EntryProcess {
    control: DispatchControl,
    incarnation: u64,
    started_at: MonoTime,
    paused_until: MonoTime,
    is_up: bool,
}

/// An agent's process. Its control state sees the time since the start of the process.
struct AgentProcess {
    control: RunnerControl,
    incarnation: u64,
    started_at: MonoTime,
    paused_until: MonoTime,
    is_up: bool,
}

/// A session between an agent and an entry.
struct SimulatedSession {
    agent: usize,
    entry: usize,
    /// The ids that the entry and the agent use for the session.
    ids: (SessionId, SessionId),
    is_open: bool,
}

/// A simulated site: entries, agents with their workers, and callers.
pub struct Simulation {
    now: MonoTime,
    rng: ChaCha8Rng,
    /// Times and ids of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    last_event_id: u64,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    workers: Vec<WorkerModel>,
    /// Heartbeats sent by each worker since its last start.
    heartbeat_counts: Vec<u64>,
    /// Whether each worker is draining.
    is_draining: Vec<bool>,
    /// When calls to each worker stop being lost.
    calls_lost_until: Vec<MonoTime>,
    /// When each worker returns to its normal speed.
    slow_until: Vec<MonoTime>,
    /// When the interruption of the link between an agent and an entry ends.
    cut_until: BTreeMap<(usize, usize), MonoTime>,
    sessions: Vec<SimulatedSession>,
    plan: SitePlan,
    /// The callers and the answers that they received.
    pub callers: Vec<CallerState>,
    open_requests: OpenRequests,
    /// The runs at all workers.
    pub history: RunHistory,
    /// The log lines of all processes and the injected faults, in order.
    pub log_lines: Vec<String>,
}

impl Simulation {
    /// Returns a simulation in which all processes start at time zero and `faults` are injected at their times.
    pub fn new(seed: u64, faults: &[TimedFault]) -> Self {
        let mut simulation = Self {
            now: MonoTime::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            entries: (0..ENTRIES).map(|entry| make_entry(MonoTime::ZERO, entry, 1)).collect(),
            agents: (0..AGENTS).map(|agent| make_agent(MonoTime::ZERO, agent, 1)).collect(),
            workers: (0..AGENTS).map(|worker| make_worker(MonoTime::ZERO, worker, 1)).collect(),
            heartbeat_counts: vec![0; AGENTS],
            is_draining: vec![false; AGENTS],
            calls_lost_until: vec![MonoTime::ZERO; AGENTS],
            slow_until: vec![MonoTime::ZERO; AGENTS],
            cut_until: BTreeMap::new(),
            sessions: Vec::new(),
            plan: make_plan(2),
            callers: Vec::new(),
            open_requests: OpenRequests::new(),
            history: RunHistory::default(),
            log_lines: Vec::new(),
        };
        for entry in 0..ENTRIES {
            simulation.schedule(Duration::ZERO, SimulationEvent::TickEntry(entry));
            let plan_read = DispatchEvent::PlanRead(simulation.plan.clone());
            simulation.schedule(Duration::from_millis(5), SimulationEvent::DeliverToEntry(entry, 1, plan_read));
        }
        for agent in 0..AGENTS {
            simulation.schedule(Duration::ZERO, SimulationEvent::TickAgent(agent));
            simulation.schedule(Duration::from_millis(3), SimulationEvent::SendHeartbeat(agent));
        }
        simulation.schedule(Duration::ZERO, SimulationEvent::SampleWorkers);
        for (at, fault) in faults {
            simulation.schedule(Duration::from_millis(*at), SimulationEvent::InjectFault(*fault));
        }
        simulation
    }

    /// Adds `count` callers, which submit their jobs at random times from `from` to `to`, in milliseconds.
    pub fn add_callers(&mut self, count: u64, from: u64, to: u64) {
        for number in 0..count {
            let (width, estimate) = (self.rng.random_range(1..6), self.rng.random_range(30..400));
            self.callers.push(CallerState::new(number, width, estimate));
            let at = self.rng.random_range(from..to);
            self.schedule(Duration::from_millis(at), SimulationEvent::Submit(number as usize));
        }
    }

    /// Executes the scheduled events in the order of their times, up to `end`.
    pub fn run_until(&mut self, end: MonoTime) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
    }

    /// Schedules an event at `delay` from now.
    fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.last_event_id += 1;
        self.queue.push(Reverse((self.now + delay, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::TickEntry(entry) => {
                self.deliver_to_entry(entry, self.entries[entry].incarnation, DispatchEvent::Tick);
                self.schedule(TICK_INTERVAL, SimulationEvent::TickEntry(entry));
            }
            SimulationEvent::TickAgent(agent) => {
                self.deliver_to_agent(agent, self.agents[agent].incarnation, RunnerEvent::Tick);
                self.schedule(TICK_INTERVAL, SimulationEvent::TickAgent(agent));
            }
            SimulationEvent::SendHeartbeat(worker) => self.send_heartbeat(worker),
            SimulationEvent::DeliverToAgent(agent, incarnation, event) => self.deliver_to_agent(agent, incarnation, event),
            SimulationEvent::DeliverToEntry(entry, incarnation, event) => self.deliver_to_entry(entry, incarnation, event),
            SimulationEvent::OpenSession(agent, incarnation, entry) => self.open_session(agent, incarnation, entry),
            SimulationEvent::CloseSession(session) => self.close_session(session),
            SimulationEvent::CallWorker(worker, agent_incarnation, worker_incarnation, token, call) => {
                self.call_worker(worker, agent_incarnation, worker_incarnation, token, call);
            }
            SimulationEvent::AnswerLeasePoll(worker, agent_incarnation, worker_incarnation, token, poll) => {
                self.answer_lease_poll(worker, agent_incarnation, worker_incarnation, token, poll);
            }
            SimulationEvent::Submit(caller) => self.submit(caller),
            SimulationEvent::RestartEntry(entry) => self.restart_entry(entry),
            SimulationEvent::RestartAgent(agent) => self.restart_agent(agent),
            SimulationEvent::InjectFault(fault) => self.inject_fault(fault),
            SimulationEvent::SampleWorkers => {
                self.sample_workers();
                self.schedule(Duration::from_millis(1), SimulationEvent::SampleWorkers);
            }
        }
    }

    /// Advances the models of all workers to the present.
    fn sample_workers(&mut self) {
        for worker in 0..AGENTS {
            if self.now >= self.slow_until[worker] {
                self.workers[worker].slowness = 1;
            }
            self.workers[worker].advance(self.now);
            self.record_running(worker);
        }
    }

    /// Records which runs are running at a worker.
    fn record_running(&mut self, worker: usize) {
        let running: Vec<RunId> = self.workers[worker].running().copied().collect();
        self.history.record_running(self.now, worker, &running);
    }

    /// Returns the random delay of one message.
    fn random_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..2_000))
    }

    /// Delivers an event to an entry and executes the resulting actions. A paused entry receives the event when it
    /// resumes; ticks that it missed are dropped.
    fn deliver_to_entry(&mut self, entry: usize, incarnation: u64, event: DispatchEvent) {
        let process = &mut self.entries[entry];
        if process.incarnation != incarnation || !process.is_up {
            return;
        }
        if self.now < process.paused_until {
            if !matches!(event, DispatchEvent::Tick) {
                let delay = process.paused_until - self.now;
                self.schedule(delay, SimulationEvent::DeliverToEntry(entry, incarnation, event));
            }
            return;
        }
        let at = MonoTime::from_elapsed(self.now - process.started_at);
        for action in process.control.handle(at, event) {
            self.execute_entry_action(entry, action);
        }
    }

    fn execute_entry_action(&mut self, entry: usize, action: DispatchAction) {
        match action {
            DispatchAction::Reply { reply, answer } => self.deliver_answer(entry, reply, answer),
            DispatchAction::Send { session, frame } => {
                if let Some(index) = self.find_open_session(|open| open.entry == entry && open.ids.0 == session) {
                    self.send_to_agent(index, frame);
                }
            }
            DispatchAction::Close(session) => {
                if let Some(index) = self.find_open_session(|open| open.entry == entry && open.ids.0 == session) {
                    let delay = self.random_delay();
                    self.schedule(delay, SimulationEvent::CloseSession(index));
                }
            }
            DispatchAction::Log(line) => self.log_lines.push(format!("{} entry-{entry} {line}", self.now)),
            DispatchAction::ConfirmCallers(number) => {
                let incarnation = self.entries[entry].incarnation;
                let confirmed = DispatchEvent::CallersConfirmed(number);
                self.schedule(CONFIRMATION_DELAY, SimulationEvent::DeliverToEntry(entry, incarnation, confirmed));
            }
            DispatchAction::Peer(_) | DispatchAction::Measured(_) | DispatchAction::Drained => {}
        }
    }

    /// Delivers an event to an agent in the same way as [`Self::deliver_to_entry`] does to an entry.
    fn deliver_to_agent(&mut self, agent: usize, incarnation: u64, event: RunnerEvent) {
        let process = &mut self.agents[agent];
        if process.incarnation != incarnation || !process.is_up {
            return;
        }
        if self.now < process.paused_until {
            if !matches!(event, RunnerEvent::Tick) {
                let delay = process.paused_until - self.now;
                self.schedule(delay, SimulationEvent::DeliverToAgent(agent, incarnation, event));
            }
            return;
        }
        let at = MonoTime::from_elapsed(self.now - process.started_at);
        for action in process.control.handle(at, event) {
            self.execute_agent_action(agent, action);
        }
    }

    fn execute_agent_action(&mut self, agent: usize, action: RunnerAction) {
        let agent_incarnation = self.agents[agent].incarnation;
        match action {
            RunnerAction::Dial(address) => {
                let entry: usize = address.trim_start_matches("entry-").parse().expect("an address made by `entry_address`");
                let delay = self.random_delay();
                self.schedule(delay, SimulationEvent::OpenSession(agent, agent_incarnation, entry));
            }
            RunnerAction::Send { session, frame } => {
                if let Some(index) = self.find_open_session(|open| open.agent == agent && open.ids.1 == session) {
                    self.send_to_entry(index, frame);
                }
            }
            RunnerAction::Close(session) => {
                if let Some(index) = self.find_open_session(|open| open.agent == agent && open.ids.1 == session) {
                    self.close_session(index);
                }
            }
            RunnerAction::Call { incarnation_number, fencing_token, call, .. } => {
                let delay = Duration::from_micros(self.rng.random_range(100..900));
                self.schedule(delay, SimulationEvent::CallWorker(agent, agent_incarnation, incarnation_number, fencing_token, call));
            }
            RunnerAction::Log(line) => self.log_lines.push(format!("{} agent-{agent} {line}", self.now)),
            RunnerAction::EndRecorded { .. } | RunnerAction::Drained => {}
        }
    }

    /// Returns the number of callers that received at least one answer.
    pub fn answered_callers(&self) -> usize {
        self.callers.iter().filter(|caller| !caller.answers.is_empty()).count()
    }
}

fn entry_address(entry: usize) -> SmolStr {
    SmolStr::new(format!("entry-{entry}"))
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").parse().expect("a valid name")
}

fn make_entry(now: MonoTime, entry: usize, incarnation: u64) -> EntryProcess {
    let options = DispatchOptions { incarnation: Incarnation(incarnation * 100 + entry as u64), ..make_options(entry) };
    EntryProcess { control: DispatchControl::new(options), incarnation, started_at: now, paused_until: MonoTime::ZERO, is_up: true }
}

fn make_agent(now: MonoTime, agent: usize, incarnation: u64) -> AgentProcess {
    let options = RunnerOptions {
        agent: format!("agent-{agent}").parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
        zone: zone_name(agent),
        entries: (0..ENTRIES).map(entry_address).collect(),
        fencing_token: incarnation,
        lease_terms: LeaseTerms::default(),
        drain_timeout: Duration::from_secs(5),
        seed: incarnation,
    };
    AgentProcess { control: RunnerControl::new(options), incarnation, started_at: now, paused_until: MonoTime::ZERO, is_up: true }
}

/// Returns a worker that has just started. The workers' clocks run at 98 to 100 percent of the true rate.
fn make_worker(now: MonoTime, worker: usize, born: u64) -> WorkerModel {
    let capacity = ResourceAmount { millicores: 32_000, memory: Megabytes(128_000), accelerators: 0 };
    let mut model = WorkerModel::new(now, &format!("worker-{worker}"), born, capacity);
    model.clock_percent = 98 + (worker as u32 % 3);
    model
}
