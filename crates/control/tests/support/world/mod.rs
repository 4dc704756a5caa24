//! Drives entries and agents with seeded delays, losses and repetitions.

mod callers;
mod network;
mod world_faults;

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
use vanillacleat_core::ids::{Incarnation, TaskKey, WorkerKey, ZoneName};
use vanillacleat_core::job::{JobSpec, TaskDemand, TaskSpec};
use vanillacleat_core::outcome::{JobAnswer, RefusalCode};
use vanillacleat_core::settings::{GateSettings, PolicySettings};
use vanillacleat_core::ticket::{Ticket, TicketSecret};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};

use super::fake_store::FakeStore;
use super::faults::{FaultKind, TimedFault};

/// Time between two ticks of each process.
const TICK: Duration = Duration::from_millis(50);
/// Time between two announcements of an upstream.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Wait of a caller before it submits again.
const CALLER_RETRY: Duration = Duration::from_millis(300);
/// Replies to this caller are not looked at.
const NOBODY: ReplyId = ReplyId(0);

/// `WorldOptions` size a world.
#[derive(Clone, Debug)]
pub struct WorldOptions {
    pub entries: usize,
    pub agents: usize,
    pub slots: u32,
    pub jobs: usize,
    pub tasks: usize,
    /// Whether frames on sessions are also lost, doubled and reordered, which TCP does not do.
    pub is_unruly: bool,
    pub policy: PolicySettings,
    pub gate: GateSettings,
}

impl Default for WorldOptions {
    fn default() -> Self {
        let (policy, gate) = (PolicySettings::default(), GateSettings::default());
        Self { entries: 3, agents: 4, slots: 2, jobs: 8, tasks: 4, is_unruly: false, policy, gate }
    }
}

/// A `StartSeen` is a start as the upstream saw it.
#[derive(Clone, Debug)]
pub struct StartSeen {
    pub key: TaskKey,
    pub agent: String,
    pub zone: ZoneName,
    pub at: MonoTime,
}

/// An `AnswerSeen` is an answer as a caller saw it.
#[derive(Clone, Debug)]
pub struct AnswerSeen {
    pub at: MonoTime,
    pub entry: usize,
    pub answer: JobAnswer,
}

/// A `ZoneOut` is an accepted change that took a zone out.
#[derive(Clone, Debug)]
pub struct ZoneOut {
    pub zone: ZoneName,
    pub accepted_at: MonoTime,
    pub asked_in_at: Option<MonoTime>,
}

/// A `CallerJob` is a job with its caller.
#[derive(Clone, Debug)]
pub struct CallerJob {
    pub spec: JobSpec,
    pub ticket: Option<Ticket>,
    pub refusals: Vec<RefusalCode>,
    pub is_settled: bool,
}

/// A `ProcessNode` is a process with its run's number.
struct ProcessNode<T> {
    control: Option<T>,
    run: u64,
    started_at: MonoTime,
    paused_until: MonoTime,
}

struct SessionLink {
    agent: usize,
    entry: usize,
    agent_run: u64,
    entry_run: u64,
    is_up: bool,
    to_entry_at: MonoTime,
    to_agent_at: MonoTime,
}

enum WorldEvent {
    Entry { index: usize, run: u64, event: EntryEvent },
    Agent { index: usize, run: u64, event: AgentEvent },
    TickAll,
    Dial { agent: usize, run: u64, address: SmolStr },
    Fault(FaultKind),
    Announce { agent: usize, run: u64 },
    StartEntry(usize),
    StartAgent(usize),
    Submit(usize),
    StoreCall { entry: usize, run: u64, call: CallId, op: vanillacleat_control::entry::PlatformOp },
}

/// Who waits for a reply of an entry.
enum Waiter {
    Job(usize),
    Change(ConfigEdit, MonoTime),
    Peer { entry: usize, run: u64, call: CallId },
}

/// A `World` is a whole deployment in one thread and one clock.
pub struct World {
    pub now: MonoTime,
    pub starts: Vec<StartSeen>,
    pub answers: BTreeMap<Ticket, Vec<AnswerSeen>>,
    pub zone_outs: Vec<ZoneOut>,
    pub jobs: Vec<CallerJob>,
    pub store: FakeStore,
    pub logs: Vec<String>,
    pub trace: Vec<String>,
    options: WorldOptions,
    rng: ChaCha8Rng,
    entries: Vec<ProcessNode<EntryControl>>,
    agents: Vec<ProcessNode<AgentControl>>,
    links: BTreeMap<SessionId, SessionLink>,
    queue: BTreeMap<(MonoTime, u64), WorldEvent>,
    waiters: BTreeMap<(usize, u64, ReplyId), Waiter>,
    peers_cut_until: MonoTime,
    zone_ins: BTreeMap<ZoneName, MonoTime>,
    next: u64,
}

pub fn zone_name(index: usize) -> ZoneName {
    ["serra-norte", "planalto-centro", "alentejo-sul"][index % 3].parse().unwrap()
}

fn entry_address(index: usize) -> SmolStr {
    SmolStr::new(format!("entry-{index}"))
}

impl World {
    pub fn new(seed: u64, options: WorldOptions) -> Self {
        let mut world = Self {
            now: MonoTime::ZERO,
            starts: Vec::new(),
            answers: BTreeMap::new(),
            zone_outs: Vec::new(),
            jobs: Vec::new(),
            store: FakeStore::default(),
            logs: Vec::new(),
            trace: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            waiters: BTreeMap::new(),
            peers_cut_until: MonoTime::ZERO,
            zone_ins: BTreeMap::new(),
            next: 0,
            options,
        };
        for index in 0..world.options.entries {
            world.entries.push(ProcessNode { control: None, run: 0, started_at: MonoTime::ZERO, paused_until: MonoTime::ZERO });
            world.start_entry(index);
        }
        for index in 0..world.options.agents {
            world.agents.push(ProcessNode { control: None, run: 0, started_at: MonoTime::ZERO, paused_until: MonoTime::ZERO });
            world.start_agent(index);
        }
        for index in 0..world.options.jobs {
            world.add_job(world.options.tasks);
            let at = MonoTime::from_millis(2_000 + world.rng.random_range(0..8_000));
            world.push(at, WorldEvent::Submit(index));
            if index % 2 == 0 {
                let again = at + Duration::from_millis(world.rng.random_range(0..3_000));
                world.push(again, WorldEvent::Submit(index));
            }
        }
        world.push(MonoTime::ZERO, WorldEvent::TickAll);
        world
    }

    pub fn add_job(&mut self, tasks: usize) {
        let spec = make_spec(self.jobs.len(), tasks);
        self.jobs.push(CallerJob { spec, ticket: None, refusals: Vec::new(), is_settled: false });
    }

    pub fn plan(&mut self, faults: &[TimedFault]) {
        for fault in faults {
            self.push(MonoTime::from_millis(fault.at_ms), WorldEvent::Fault(fault.kind.clone()));
        }
    }

    pub fn run_until(&mut self, end: MonoTime) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.take(event);
        }
        self.now = end;
    }

    pub fn entry(&self, index: usize) -> Option<&EntryControl> {
        self.entries[index].control.as_ref()
    }

    pub fn dump_entries(&self) -> String {
        let dumps = self.entries.iter().filter_map(|node| node.control.as_ref()).map(EntryControl::dump);
        dumps.map(|dump| serde_json::to_string(&dump).unwrap_or_default()).collect::<Vec<_>>().join("\n")
    }

    pub fn inject(&mut self, fault: FaultKind) {
        self.take(WorldEvent::Fault(fault));
    }

    fn note(&mut self, what: Option<String>, whom: impl Fn() -> String) {
        if let Some(what) = what {
            self.trace.push(format!("{} {}: {what}", self.now, whom()));
        }
    }

    fn push(&mut self, at: MonoTime, event: WorldEvent) {
        self.next += 1;
        self.queue.insert((at.max(self.now), self.next), event);
    }

    fn soon(&mut self) -> MonoTime {
        self.now + Duration::from_micros(self.rng.random_range(300..2_000))
    }

    fn local_time(&self, started_at: MonoTime) -> MonoTime {
        MonoTime::from_elapsed(self.now.since(started_at))
    }

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
        let run = self.entries[index].run + 1;
        self.entries[index] = ProcessNode { control: Some(EntryControl::new(options)), run, started_at: self.now, paused_until: self.now };
    }

    fn stop_entry(&mut self, index: usize) {
        self.entries[index].control = None;
        self.entries[index].run += 1;
        let links: Vec<SessionId> = self.links.iter().filter(|(_, link)| link.entry == index).map(|(session, _)| *session).collect();
        links.into_iter().for_each(|session| self.break_link(session));
        let lost: Vec<(usize, u64, ReplyId)> = self.waiters.keys().filter(|(entry, ..)| *entry == index).cloned().collect();
        for key in lost {
            match self.waiters.remove(&key) {
                Some(Waiter::Job(job)) => self.retry_job(job),
                Some(Waiter::Peer { entry, run, call }) => {
                    let at = self.soon();
                    self.push(at, WorldEvent::Entry { index: entry, run, event: EntryEvent::PeerReplied { call, reply: None } });
                }
                _ => {}
            }
        }
    }

    fn start_agent(&mut self, index: usize) {
        let options = AgentOptions {
            worker: WorkerKey { agent: format!("agent-{index}").parse().unwrap(), incarnation: Incarnation(self.rng.random()) },
            zone: zone_name(index),
            capacity: TaskDemand { memory_mb: Megabytes(1_000), accelerators: 0 },
            entries: (0..self.options.entries).map(entry_address).collect(),
            gate: self.options.gate.clone(),
            seed: self.rng.random(),
        };
        let run = self.agents[index].run + 1;
        self.agents[index] = ProcessNode { control: Some(AgentControl::new(options)), run, started_at: self.now, paused_until: self.now };
        self.push(self.now, WorldEvent::Announce { agent: index, run });
    }

    fn announce(&mut self, index: usize, run: u64) {
        if self.agents[index].run != run {
            return;
        }
        let notice = UpstreamAnnouncement {
            upstream: format!("upstream-{index}").parse().unwrap(),
            service: "readings".parse().unwrap(),
            address: SmolStr::new("127.0.0.1:1"),
            slots: self.options.slots,
            connections: 64,
        };
        self.run_agent(index, run, AgentEvent::Announced(notice));
        self.push(self.now + ANNOUNCE_INTERVAL, WorldEvent::Announce { agent: index, run });
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Entry { index, run, event } => self.run_entry(index, run, event),
            WorldEvent::Agent { index, run, event } => self.run_agent(index, run, event),
            WorldEvent::TickAll => self.tick_all(),
            WorldEvent::Dial { agent, run, address } => self.dial(agent, run, address),
            WorldEvent::Fault(kind) => self.apply_fault(kind),
            WorldEvent::StartEntry(index) => {
                if self.entries[index].control.is_none() {
                    self.start_entry(index);
                }
            }
            WorldEvent::Announce { agent, run } => self.announce(agent, run),
            WorldEvent::StartAgent(index) => self.start_agent(index),
            WorldEvent::Submit(job) => self.submit_somewhere(job),
            WorldEvent::StoreCall { entry, run, call, op } => {
                let reply = self.store.execute(self.now, op);
                let at = self.soon();
                self.push(at, WorldEvent::Entry { index: entry, run, event: EntryEvent::PlatformReplied { call, reply } });
            }
        }
    }

    fn tick_all(&mut self) {
        for index in 0..self.entries.len() {
            let run = self.entries[index].run;
            self.push(self.now, WorldEvent::Entry { index, run, event: EntryEvent::Tick });
        }
        for index in 0..self.agents.len() {
            let run = self.agents[index].run;
            self.push(self.now, WorldEvent::Agent { index, run, event: AgentEvent::Tick });
        }
        self.push(self.now + TICK, WorldEvent::TickAll);
    }

    fn run_entry(&mut self, index: usize, run: u64, event: EntryEvent) {
        let node = &self.entries[index];
        if node.run != run || node.control.is_none() {
            return;
        }
        if node.paused_until > self.now {
            return self.push(self.entries[index].paused_until, WorldEvent::Entry { index, run, event });
        }
        let now = self.local_time(node.started_at);
        let control = self.entries[index].control.as_mut().expect("the entry runs");
        let actions = control.handle(now, event);
        self.execute_entry(index, actions);
    }

    fn run_agent(&mut self, index: usize, run: u64, event: AgentEvent) {
        let node = &self.agents[index];
        if node.run != run || node.control.is_none() {
            return;
        }
        if node.paused_until > self.now {
            return self.push(self.agents[index].paused_until, WorldEvent::Agent { index, run, event });
        }
        let now = self.local_time(node.started_at);
        let control = self.agents[index].control.as_mut().expect("the agent runs");
        let actions = control.handle(now, event);
        for action in actions {
            self.execute_agent(index, action);
        }
    }
}

pub fn make_spec(index: usize, tasks: usize) -> JobSpec {
    let make_task = |task| TaskSpec { payload: format!("job {index} task {task}"), ..TaskSpec::default() };
    JobSpec {
        service: "readings".parse().unwrap(),
        team: if index.is_multiple_of(3) { "councils" } else { "observatories" }.parse().unwrap(),
        deadline_ms: Millis(6_000),
        tasks: (0..tasks).map(make_task).collect(),
    }
}
