//! A discrete-event simulation of a deployment in one thread, with one clock.
//!
//! Entries and agents run their real control state. The network, the store, the upstreams, the callers and the operators are
//! simulated. All random choices derive from one seed, so that a failure can be reproduced.

mod callers;
mod fault_injection;
mod network;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_control::agent::{AgentControl, AgentEvent, AgentOptions};
use vanillacleat_control::entry::{EntryControl, EntryEvent, EntryOptions};
use vanillacleat_control::gate::UpstreamAnnouncement;
use vanillacleat_control::{CallId, ReplyId, SessionId};
use vanillacleat_core::config::ConfigEdit;
use vanillacleat_core::ids::{Incarnation, ProcessStart, TaskKey, WorkerKey, ZoneName};
use vanillacleat_core::job::{JobSpec, TaskDemand, TaskSpec};
use vanillacleat_core::outcome::{JobAnswer, RefusalCode};
use vanillacleat_core::settings::{GateSettings, PolicySettings};
use vanillacleat_core::ticket::{Ticket, TicketSecret};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};

use super::fake_store::FakeStore;
use super::faults::{FaultKind, TimedFault};

/// Interval between two timer ticks of each process.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two announcements of an upstream.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before a caller resubmits a job.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The reply id of calls whose replies are returned directly and not matched with a waiter.
const UNTRACKED_REPLY: ReplyId = ReplyId(0);

/// The size and the settings of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with one upstream.
    pub agents: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Number of jobs. Every second one is submitted twice.
    pub jobs: usize,
    /// Tasks of each job.
    pub tasks: usize,
    /// Whether frames on open sessions may be lost, duplicated and reordered. Sessions run over TCP, which never does this, but
    /// the guarantees must not depend on it.
    pub is_unreliable: bool,
    pub policy: PolicySettings,
    pub gate: GateSettings,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        let (policy, gate) = (PolicySettings::default(), GateSettings::default());
        Self { entries: 3, agents: 4, slots: 2, jobs: 8, tasks: 4, is_unreliable: false, policy, gate }
    }
}

/// The start of a task at an upstream.
#[derive(Clone, Debug)]
pub struct ObservedStart {
    pub key: TaskKey,
    pub agent: String,
    pub zone: ZoneName,
    pub at: MonoTime,
}

/// An answer that a caller received.
#[derive(Clone, Debug)]
pub struct ObservedAnswer {
    pub at: MonoTime,
    /// The entry that sent the answer.
    pub entry: usize,
    pub answer: JobAnswer,
}

/// A period in which an availability zone is out of service.
#[derive(Clone, Debug)]
pub struct ZoneOutPeriod {
    pub zone: ZoneName,
    /// When the change that took the zone out was accepted.
    pub accepted_at: MonoTime,
    /// When an operator first requested to put the zone back into service; tasks may start again from then on.
    pub zone_in_requested_at: Option<MonoTime>,
}

/// A job and the state of its caller.
#[derive(Clone, Debug)]
pub struct CallerJob {
    pub spec: JobSpec,
    /// Absent until the caller has requested a ticket.
    pub ticket: Option<Ticket>,
    /// The codes of all refusals that the caller received.
    pub refusals: Vec<RefusalCode>,
    /// Whether the caller has received an answer or a refusal after which it does not retry.
    pub is_settled: bool,
}

/// An entry's or an agent's process.
struct ProcessNode<T> {
    /// The control state; absent while the process is stopped.
    control: Option<T>,
    /// Changes whenever the process starts or stops. Events that were scheduled for another incarnation are dropped.
    incarnation: u64,
    started_at: MonoTime,
    paused_until: MonoTime,
}

/// A session's connection between an agent and an entry.
struct SimulatedConnection {
    agent: usize,
    entry: usize,
    /// The incarnation of the agent that opened the session.
    agent_incarnation: u64,
    /// The incarnation of the entry that accepted it.
    entry_incarnation: u64,
    is_open: bool,
    /// The latest arrival time of a frame at the entry. Later frames arrive no earlier, so that frames stay in order.
    last_entry_delivery_at: MonoTime,
    /// The same for frames to the agent.
    last_agent_delivery_at: MonoTime,
}

/// An event in the simulation's queue.
enum SimulationEvent {
    /// An event for the control state of an entry.
    Entry {
        index: usize,
        incarnation: u64,
        event: EntryEvent,
    },
    /// An event for the control state of an agent.
    Agent {
        index: usize,
        incarnation: u64,
        event: AgentEvent,
    },
    /// The periodic timer of all processes fires.
    TickAll,
    /// An agent connects to an entry.
    Dial {
        agent: usize,
        incarnation: u64,
        address: SmolStr,
    },
    Fault(FaultKind),
    /// An upstream announces itself to its agent.
    Announce {
        agent: usize,
        incarnation: u64,
    },
    StartEntry(usize),
    StartAgent(usize),
    /// The caller of a job submits it.
    Submit(usize),
    /// An entry's call arrives at the store.
    StoreCall {
        entry: usize,
        incarnation: u64,
        call: CallId,
        op: vanillacleat_control::entry::PlatformOp,
    },
}

/// The sender of a call to an entry, who waits for the reply.
enum ReplyWaiter {
    /// The caller of a job.
    Job(usize),
    /// The operator who requested a change at the given time.
    Change(ConfigEdit, MonoTime),
    /// Another entry.
    Peer { entry: usize, incarnation: u64, call: CallId },
}

/// A simulated deployment, with a record of what its upstreams and callers have seen.
pub struct DeploymentSimulation {
    pub now: MonoTime,
    pub starts: Vec<ObservedStart>,
    pub answers: BTreeMap<Ticket, Vec<ObservedAnswer>>,
    pub zone_out_periods: Vec<ZoneOutPeriod>,
    pub jobs: Vec<CallerJob>,
    pub store: FakeStore,
    /// The log lines of the entries.
    pub logs: Vec<String>,
    /// The frames, calls and replies that the golden files show.
    pub trace: Vec<String>,
    options: SimulationOptions,
    rng: ChaCha8Rng,
    entries: Vec<ProcessNode<EntryControl>>,
    agents: Vec<ProcessNode<AgentControl>>,
    connections: BTreeMap<SessionId, SimulatedConnection>,
    /// The scheduled events by time; the second part of the key keeps events of equal times in the order of scheduling.
    queue: BTreeMap<(MonoTime, u64), SimulationEvent>,
    /// The waiters by entry, the entry's incarnation and reply id.
    waiters: BTreeMap<(usize, u64, ReplyId), ReplyWaiter>,
    peers_partitioned_until: MonoTime,
    /// When an operator last requested to put each zone back into service.
    zone_in_requests: BTreeMap<ZoneName, MonoTime>,
    /// The last number used for events, sessions, replies and changes.
    last_id: u64,
}

/// Returns the availability zone of the entry or agent `index`.
pub fn zone_name(index: usize) -> ZoneName {
    ["serra-norte", "planalto-centro", "alentejo-sul"][index % 3].parse().unwrap()
}

fn entry_address(index: usize) -> SmolStr {
    SmolStr::new(format!("entry-{index}"))
}

impl DeploymentSimulation {
    /// Returns a simulation at time zero with all processes started and all jobs scheduled.
    pub fn new(seed: u64, options: SimulationOptions) -> Self {
        let mut simulation = Self {
            now: MonoTime::ZERO,
            starts: Vec::new(),
            answers: BTreeMap::new(),
            zone_out_periods: Vec::new(),
            jobs: Vec::new(),
            store: FakeStore::default(),
            logs: Vec::new(),
            trace: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            connections: BTreeMap::new(),
            queue: BTreeMap::new(),
            waiters: BTreeMap::new(),
            peers_partitioned_until: MonoTime::ZERO,
            zone_in_requests: BTreeMap::new(),
            last_id: 0,
            options,
        };
        for index in 0..simulation.options.entries {
            simulation.entries.push(ProcessNode {
                control: None,
                incarnation: 0,
                started_at: MonoTime::ZERO,
                paused_until: MonoTime::ZERO,
            });
            simulation.start_entry(index);
        }
        for index in 0..simulation.options.agents {
            simulation.agents.push(ProcessNode { control: None, incarnation: 0, started_at: MonoTime::ZERO, paused_until: MonoTime::ZERO });
            simulation.start_agent(index);
        }
        for index in 0..simulation.options.jobs {
            simulation.add_job(simulation.options.tasks);
            let at = MonoTime::from_millis(2_000 + simulation.rng.random_range(0..8_000));
            simulation.schedule(at, SimulationEvent::Submit(index));
            if index % 2 == 0 {
                let again = at + Duration::from_millis(simulation.rng.random_range(0..3_000));
                simulation.schedule(again, SimulationEvent::Submit(index));
            }
        }
        simulation.schedule(MonoTime::ZERO, SimulationEvent::TickAll);
        simulation
    }

    /// Adds a job without submitting it.
    pub fn add_job(&mut self, tasks: usize) {
        let spec = make_spec(self.jobs.len(), tasks);
        self.jobs.push(CallerJob { spec, ticket: None, refusals: Vec::new(), is_settled: false });
    }

    /// Schedules the faults of a plan.
    pub fn schedule_faults(&mut self, faults: &[TimedFault]) {
        for fault in faults {
            self.schedule(MonoTime::from_millis(fault.at_ms), SimulationEvent::Fault(fault.kind.clone()));
        }
    }

    /// Handles all events up to and including `end`.
    pub fn run_until(&mut self, end: MonoTime) {
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > end {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Returns the control state of an entry, if it is running.
    pub fn entry(&self, index: usize) -> Option<&EntryControl> {
        self.entries[index].control.as_ref()
    }

    /// Returns the dumps of all running entries, one JSON document a line.
    pub fn dump_entries(&self) -> String {
        let dumps = self.entries.iter().filter_map(|node| node.control.as_ref()).map(EntryControl::dump);
        dumps.map(|dump| serde_json::to_string(&dump).unwrap_or_default()).collect::<Vec<_>>().join("\n")
    }

    /// Injects a fault at the current time.
    pub fn inject_fault(&mut self, fault: FaultKind) {
        self.handle_event(SimulationEvent::Fault(fault));
    }

    /// Adds a message to the trace, unless the golden files omit it.
    fn record_trace(&mut self, message: Option<String>, describe_route: impl Fn() -> String) {
        if let Some(message) = message {
            self.trace.push(format!("{} {}: {message}", self.now, describe_route()));
        }
    }

    /// Schedules an event for `at`, or for the current time if that is later.
    fn schedule(&mut self, at: MonoTime, event: SimulationEvent) {
        self.last_id += 1;
        self.queue.insert((at.max(self.now), self.last_id), event);
    }

    /// Draws the time at which a message sent now arrives.
    fn draw_arrival_time(&mut self) -> MonoTime {
        self.now + Duration::from_micros(self.rng.random_range(300..2_000))
    }

    /// Returns the time on the clock of a process that started at `started_at`.
    fn local_time(&self, started_at: MonoTime) -> MonoTime {
        MonoTime::from_elapsed(self.now.since(started_at))
    }

    /// Starts an entry with a new incarnation and empty state.
    fn start_entry(&mut self, index: usize) {
        let options = EntryOptions {
            id: format!("entry-{index}").parse().unwrap(),
            incarnation: Incarnation(self.rng.random()),
            zone: zone_name(index),
            zones: (0..3).map(zone_name).collect(),
            address: entry_address(index),
            seeds: (0..self.options.entries).map(entry_address).collect(),
            secret: TicketSecret::new(b"a secret for tests"),
            policy: self.options.policy.clone(),
            seed: self.rng.random(),
        };
        let incarnation = self.entries[index].incarnation + 1;
        self.entries[index] =
            ProcessNode { control: Some(EntryControl::new(options)), incarnation, started_at: self.now, paused_until: self.now };
    }

    /// Stops an entry: its sessions close, callers retry their jobs, and pending calls of its peers fail.
    fn stop_entry(&mut self, index: usize) {
        self.entries[index].control = None;
        self.entries[index].incarnation += 1;
        let sessions: Vec<SessionId> =
            self.connections.iter().filter(|(_, connection)| connection.entry == index).map(|(session, _)| *session).collect();
        sessions.into_iter().for_each(|session| self.close_session(session));
        let lost_replies: Vec<(usize, u64, ReplyId)> = self.waiters.keys().filter(|(entry, ..)| *entry == index).cloned().collect();
        for key in lost_replies {
            match self.waiters.remove(&key) {
                Some(ReplyWaiter::Job(job)) => self.retry_job(job),
                Some(ReplyWaiter::Peer { entry, incarnation, call }) => {
                    let at = self.draw_arrival_time();
                    self.schedule(
                        at,
                        SimulationEvent::Entry { index: entry, incarnation, event: EntryEvent::PeerReplied { call, reply: None } },
                    );
                }
                _ => {}
            }
        }
    }

    /// Starts an agent with a new incarnation and empty state. Its upstream announces itself at once.
    fn start_agent(&mut self, index: usize) {
        let options = AgentOptions {
            worker: WorkerKey { agent: format!("agent-{index}").parse().unwrap(), incarnation: Incarnation(self.rng.random()) },
            process_start: ProcessStart(self.now.as_micros() / 1_000),
            zone: zone_name(index),
            capacity: TaskDemand { memory_mb: Megabytes(1_000), accelerators: 0 },
            entries: (0..self.options.entries).map(entry_address).collect(),
            gate: self.options.gate.clone(),
            seed: self.rng.random(),
        };
        let incarnation = self.agents[index].incarnation + 1;
        self.agents[index] =
            ProcessNode { control: Some(AgentControl::new(options)), incarnation, started_at: self.now, paused_until: self.now };
        self.schedule(self.now, SimulationEvent::Announce { agent: index, incarnation });
    }

    /// Announces the upstream of an agent and schedules the next announcement.
    fn announce_upstream(&mut self, index: usize, incarnation: u64) {
        if self.agents[index].incarnation != incarnation {
            return;
        }
        let announcement = UpstreamAnnouncement {
            upstream: format!("upstream-{index}").parse().unwrap(),
            service: "readings".parse().unwrap(),
            address: SmolStr::new("127.0.0.1:1"),
            slots: self.options.slots,
            connections: 64,
        };
        self.deliver_to_agent(index, incarnation, AgentEvent::Announced(announcement));
        self.schedule(self.now + ANNOUNCE_INTERVAL, SimulationEvent::Announce { agent: index, incarnation });
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Entry { index, incarnation, event } => self.deliver_to_entry(index, incarnation, event),
            SimulationEvent::Agent { index, incarnation, event } => self.deliver_to_agent(index, incarnation, event),
            SimulationEvent::TickAll => self.tick_all(),
            SimulationEvent::Dial { agent, incarnation, address } => self.dial(agent, incarnation, address),
            SimulationEvent::Fault(kind) => self.apply_fault(kind),
            SimulationEvent::StartEntry(index) => {
                if self.entries[index].control.is_none() {
                    self.start_entry(index);
                }
            }
            SimulationEvent::Announce { agent, incarnation } => self.announce_upstream(agent, incarnation),
            SimulationEvent::StartAgent(index) => self.start_agent(index),
            SimulationEvent::Submit(job) => self.submit_to_random_entry(job),
            SimulationEvent::StoreCall { entry, incarnation, call, op } => {
                let reply = self.store.execute(self.now, op);
                let at = self.draw_arrival_time();
                self.schedule(at, SimulationEvent::Entry { index: entry, incarnation, event: EntryEvent::PlatformReplied { call, reply } });
            }
        }
    }

    /// Schedules a tick for each process and the next round of ticks.
    fn tick_all(&mut self) {
        for index in 0..self.entries.len() {
            let incarnation = self.entries[index].incarnation;
            self.schedule(self.now, SimulationEvent::Entry { index, incarnation, event: EntryEvent::Tick });
        }
        for index in 0..self.agents.len() {
            let incarnation = self.agents[index].incarnation;
            self.schedule(self.now, SimulationEvent::Agent { index, incarnation, event: AgentEvent::Tick });
        }
        self.schedule(self.now + TICK_INTERVAL, SimulationEvent::TickAll);
    }

    /// Delivers an event to an entry, unless it was scheduled for another incarnation. While the entry is paused, the
    /// event waits.
    fn deliver_to_entry(&mut self, index: usize, incarnation: u64, event: EntryEvent) {
        let node = &self.entries[index];
        if node.incarnation != incarnation || node.control.is_none() {
            return;
        }
        if node.paused_until > self.now {
            return self.schedule(self.entries[index].paused_until, SimulationEvent::Entry { index, incarnation, event });
        }
        let now = self.local_time(node.started_at);
        let control = self.entries[index].control.as_mut().expect("the entry is running");
        let actions = control.handle(now, event);
        self.execute_entry_actions(index, actions);
    }

    /// Delivers an event to an agent, under the same rules as [`Self::deliver_to_entry`].
    fn deliver_to_agent(&mut self, index: usize, incarnation: u64, event: AgentEvent) {
        let node = &self.agents[index];
        if node.incarnation != incarnation || node.control.is_none() {
            return;
        }
        if node.paused_until > self.now {
            return self.schedule(self.agents[index].paused_until, SimulationEvent::Agent { index, incarnation, event });
        }
        let now = self.local_time(node.started_at);
        let control = self.agents[index].control.as_mut().expect("the agent is running");
        let actions = control.handle(now, event);
        for action in actions {
            self.execute_agent_action(index, action);
        }
    }
}

/// Returns the specification of job `index`. Every third job belongs to the team `councils`, the others to `observatories`.
pub fn make_spec(index: usize, tasks: usize) -> JobSpec {
    let make_task = |task| TaskSpec { payload: format!("job {index} task {task}"), ..TaskSpec::default() };
    JobSpec {
        service: "readings".parse().unwrap(),
        team: if index.is_multiple_of(3) { "councils" } else { "observatories" }.parse().unwrap(),
        deadline_ms: Millis(6_000),
        tasks: (0..tasks).map(make_task).collect(),
    }
}
