//! The world: processes under a virtual clock, and the connections between them.

mod session_links;
mod striking;
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
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchAction, DispatchControl, DispatchEvent};
use vanillacleat_runs::LeaseTerms;
use vanillacleat_standin::WorkerModel;

use super::callers::{CallerState, OpenRequests, RESUBMIT_AFTER};
use super::checks::WorkLog;
use super::faults::{TimedFault, WorldFault};
use super::plans::{make_options, make_plan};

/// Entries of the world.
const ENTRIES: usize = 2;
/// Agents of the world, each beside a worker and in a zone of its own.
const AGENTS: usize = 3;
/// Time between two ticks of a process.
const TICK: Duration = Duration::from_millis(10);
/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time without an answer from which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which a killed process is down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Happening {
    TickEntry(usize),
    TickAgent(usize),
    Heartbeat(usize),
    ToAgent(usize, u64, RunnerEvent),
    ToEntry(usize, u64, DispatchEvent),
    Dialed(usize, u64, usize),
    SessionEnds(usize),
    Called(usize, u64, u64, u64, WorkerCall),
    HoldReturns(usize, u64, u64, u64, (u64, u64, u64)),
    Submit(usize),
    RestartEntry(usize),
    RestartAgent(usize),
    Fault(WorldFault),
    Sample,
}

struct EntryProcess {
    control: DispatchControl,
    run: u64,
    started_at: MonoTime,
    frozen_until: MonoTime,
    is_up: bool,
}

struct AgentProcess {
    control: RunnerControl,
    run: u64,
    started_at: MonoTime,
    frozen_until: MonoTime,
    is_up: bool,
}

/// A connection between an agent and an entry.
struct WorldSession {
    agent: usize,
    entry: usize,
    /// The entry's and the agent's names for it.
    names: (SessionId, SessionId),
    is_open: bool,
}

/// A `World` is the whole system with its surroundings.
pub struct World {
    now: MonoTime,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
    entries: Vec<EntryProcess>,
    agents: Vec<AgentProcess>,
    workers: Vec<WorkerModel>,
    beats: Vec<u64>,
    draining: Vec<bool>,
    lose_until: Vec<MonoTime>,
    slow_until: Vec<MonoTime>,
    cut_until: BTreeMap<(usize, usize), MonoTime>,
    sessions: Vec<WorldSession>,
    plan: SitePlan,
    /// The callers.
    pub callers: Vec<CallerState>,
    open: OpenRequests,
    /// What the workers did.
    pub log: WorkLog,
    /// Log lines of all processes.
    pub lines: Vec<String>,
}

impl World {
    /// Returns a world in which all processes start at once.
    pub fn new(seed: u64, plan: &[TimedFault]) -> Self {
        let mut world = Self {
            now: MonoTime::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            entries: (0..ENTRIES).map(|entry| make_entry(MonoTime::ZERO, entry, 1)).collect(),
            agents: (0..AGENTS).map(|agent| make_agent(MonoTime::ZERO, agent, 1)).collect(),
            workers: (0..AGENTS).map(|worker| make_worker(MonoTime::ZERO, worker, 1)).collect(),
            beats: vec![0; AGENTS],
            draining: vec![false; AGENTS],
            lose_until: vec![MonoTime::ZERO; AGENTS],
            slow_until: vec![MonoTime::ZERO; AGENTS],
            cut_until: BTreeMap::new(),
            sessions: Vec::new(),
            plan: make_plan(2),
            callers: Vec::new(),
            open: OpenRequests::new(),
            log: WorkLog::default(),
            lines: Vec::new(),
        };
        for entry in 0..ENTRIES {
            world.at(Duration::ZERO, Happening::TickEntry(entry));
            let read = DispatchEvent::PlanRead(world.plan.clone());
            world.at(Duration::from_millis(5), Happening::ToEntry(entry, 1, read));
        }
        for agent in 0..AGENTS {
            world.at(Duration::ZERO, Happening::TickAgent(agent));
            world.at(Duration::from_millis(3), Happening::Heartbeat(agent));
        }
        world.at(Duration::ZERO, Happening::Sample);
        for (at, fault) in plan {
            world.at(Duration::from_millis(*at), Happening::Fault(*fault));
        }
        world
    }

    /// Adds `count` callers that come between `from` and `to`, in milliseconds.
    pub fn add_callers(&mut self, count: u64, from: u64, to: u64) {
        for number in 0..count {
            let (width, estimate) = (self.rng.random_range(1..6), self.rng.random_range(30..400));
            self.callers.push(CallerState::new(number, width, estimate));
            let at = self.rng.random_range(from..to);
            self.at(Duration::from_millis(at), Happening::Submit(number as usize));
        }
    }

    /// Lets time pass until `end`.
    pub fn run_until(&mut self, end: MonoTime) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = self.now.max(at);
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
        }
    }

    fn at(&mut self, wait: Duration, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((self.now + wait, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::TickEntry(entry) => {
                self.reach_entry(entry, self.entries[entry].run, DispatchEvent::Tick);
                self.at(TICK, Happening::TickEntry(entry));
            }
            Happening::TickAgent(agent) => {
                self.reach_agent(agent, self.agents[agent].run, RunnerEvent::Tick);
                self.at(TICK, Happening::TickAgent(agent));
            }
            Happening::Heartbeat(worker) => self.send_heartbeat(worker),
            Happening::ToAgent(agent, run, event) => self.reach_agent(agent, run, event),
            Happening::ToEntry(entry, run, event) => self.reach_entry(entry, run, event),
            Happening::Dialed(agent, run, entry) => self.connect(agent, run, entry),
            Happening::SessionEnds(session) => self.end_session(session),
            Happening::Called(worker, run, incarnation, token, call) => self.call_worker(worker, run, incarnation, token, call),
            Happening::HoldReturns(worker, run, incarnation, token, call) => self.return_hold(worker, run, incarnation, token, call),
            Happening::Submit(caller) => self.submit(caller),
            Happening::RestartEntry(entry) => self.restart_entry(entry),
            Happening::RestartAgent(agent) => self.restart_agent(agent),
            Happening::Fault(fault) => self.strike(fault),
            Happening::Sample => {
                self.sample();
                self.at(Duration::from_millis(1), Happening::Sample);
            }
        }
    }

    fn sample(&mut self) {
        for worker in 0..AGENTS {
            if self.now >= self.slow_until[worker] {
                self.workers[worker].slowness = 1;
            }
            self.workers[worker].advance(self.now);
            self.watch(worker);
        }
    }

    fn watch(&mut self, worker: usize) {
        let running: Vec<RunId> = self.workers[worker].running().copied().collect();
        self.log.record_running(self.now, worker, &running);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..2_000))
    }

    fn reach_entry(&mut self, entry: usize, run: u64, event: DispatchEvent) {
        let process = &mut self.entries[entry];
        if process.run != run || !process.is_up {
            return;
        }
        if self.now < process.frozen_until {
            if !matches!(event, DispatchEvent::Tick) {
                let wait = process.frozen_until - self.now;
                self.at(wait, Happening::ToEntry(entry, run, event));
            }
            return;
        }
        let at = MonoTime::from_elapsed(self.now - process.started_at);
        for action in process.control.handle(at, event) {
            self.execute_entry(entry, action);
        }
    }

    fn execute_entry(&mut self, entry: usize, action: DispatchAction) {
        match action {
            DispatchAction::Reply { reply, answer } => self.answer(entry, reply, answer),
            DispatchAction::Send { session, frame } => {
                if let Some(index) = self.find_session(|other| other.entry == entry && other.names.0 == session) {
                    self.send_order(index, frame);
                }
            }
            DispatchAction::Close(session) => {
                if let Some(index) = self.find_session(|other| other.entry == entry && other.names.0 == session) {
                    let wait = self.delay();
                    self.at(wait, Happening::SessionEnds(index));
                }
            }
            DispatchAction::Log(line) => self.lines.push(format!("{} entry-{entry} {line}", self.now)),
            DispatchAction::Drained => {}
        }
    }

    fn reach_agent(&mut self, agent: usize, run: u64, event: RunnerEvent) {
        let process = &mut self.agents[agent];
        if process.run != run || !process.is_up {
            return;
        }
        if self.now < process.frozen_until {
            if !matches!(event, RunnerEvent::Tick) {
                let wait = process.frozen_until - self.now;
                self.at(wait, Happening::ToAgent(agent, run, event));
            }
            return;
        }
        let at = MonoTime::from_elapsed(self.now - process.started_at);
        for action in process.control.handle(at, event) {
            self.execute_agent(agent, action);
        }
    }

    fn execute_agent(&mut self, agent: usize, action: RunnerAction) {
        let run = self.agents[agent].run;
        match action {
            RunnerAction::Dial(address) => {
                let entry: usize = address.trim_start_matches("entry-").parse().expect("entries have numbers");
                let wait = self.delay();
                self.at(wait, Happening::Dialed(agent, run, entry));
            }
            RunnerAction::Send { session, frame } => {
                if let Some(index) = self.find_session(|other| other.agent == agent && other.names.1 == session) {
                    self.send_report(index, frame);
                }
            }
            RunnerAction::Close(session) => {
                if let Some(index) = self.find_session(|other| other.agent == agent && other.names.1 == session) {
                    self.end_session(index);
                }
            }
            RunnerAction::Call { incarnation, token, call, .. } => {
                let wait = Duration::from_micros(self.rng.random_range(100..900));
                self.at(wait, Happening::Called(agent, run, incarnation, token, call));
            }
            RunnerAction::Log(line) => self.lines.push(format!("{} agent-{agent} {line}", self.now)),
            RunnerAction::Drained => {}
        }
    }

    /// Returns how many callers were answered.
    pub fn answered(&self) -> usize {
        self.callers.iter().filter(|caller| !caller.answers.is_empty()).count()
    }
}

fn entry_address(entry: usize) -> SmolStr {
    SmolStr::new(format!("entry-{entry}"))
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").parse().expect("a valid name")
}

fn make_entry(now: MonoTime, entry: usize, run: u64) -> EntryProcess {
    EntryProcess { control: DispatchControl::new(make_options(entry)), run, started_at: now, frozen_until: MonoTime::ZERO, is_up: true }
}

fn make_agent(now: MonoTime, agent: usize, run: u64) -> AgentProcess {
    let options = RunnerOptions {
        agent: format!("agent-{agent}").parse().expect("a valid name"),
        incarnation: Incarnation(run),
        zone: zone_name(agent),
        entries: (0..ENTRIES).map(entry_address).collect(),
        token: run,
        terms: LeaseTerms::default(),
        drain_max: Duration::from_secs(5),
        seed: run,
    };
    AgentProcess { control: RunnerControl::new(options), run, started_at: now, frozen_until: MonoTime::ZERO, is_up: true }
}

fn make_worker(now: MonoTime, worker: usize, born: u64) -> WorkerModel {
    let capacity = ResourceAmount { millicores: 32_000, memory: Megabytes(128_000), accelerators: 0 };
    let mut model = WorkerModel::new(now, &format!("worker-{worker}"), born, capacity);
    model.clock_percent = 98 + (worker as u32 % 3);
    model
}
