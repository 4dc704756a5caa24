//! The world: processes under a virtual clock, and the connections between them.

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
    HoldReply, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, StartReply, StopReply, WorkerCall, WorkerNotice, WorkerReply,
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
            Happening::Called(worker, run, life, token, call) => self.call_worker(worker, run, life, token, call),
            Happening::HoldReturns(worker, run, life, token, call) => self.return_hold(worker, run, life, token, call),
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
        self.log.note_running(self.now, worker, &running);
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
            self.carry_out_entry(entry, action);
        }
    }

    fn carry_out_entry(&mut self, entry: usize, action: DispatchAction) {
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

    fn find_session(&self, matches: impl Fn(&WorldSession) -> bool) -> Option<usize> {
        self.sessions.iter().position(|session| session.is_open && matches(session))
    }

    /// Frames on a connection that is cut arrive when the cut ends; order is kept by the length of the wait.
    fn transit(&mut self, agent: usize, entry: usize) -> Duration {
        let cut = self.cut_until.get(&(agent, entry)).copied().unwrap_or(MonoTime::ZERO);
        Duration::from_micros(800) + cut.since(self.now)
    }

    fn send_order(&mut self, index: usize, frame: OrderFrame) {
        let (agent, entry, session) = (self.sessions[index].agent, self.sessions[index].entry, self.sessions[index].names.1);
        let (wait, run) = (self.transit(agent, entry), self.agents[agent].run);
        self.at(wait, Happening::ToAgent(agent, run, RunnerEvent::Frame { session, frame }));
    }

    fn send_report(&mut self, index: usize, frame: RunFrame) {
        let (agent, entry, session) = (self.sessions[index].agent, self.sessions[index].entry, self.sessions[index].names.0);
        let (wait, run) = (self.transit(agent, entry), self.entries[entry].run);
        self.at(wait, Happening::ToEntry(entry, run, DispatchEvent::Frame { session, frame }));
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
            self.carry_out_agent(agent, action);
        }
    }

    fn carry_out_agent(&mut self, agent: usize, action: RunnerAction) {
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
            RunnerAction::Call { life, token, call, .. } => {
                let wait = Duration::from_micros(self.rng.random_range(100..900));
                self.at(wait, Happening::Called(agent, run, life, token, call));
            }
            RunnerAction::Log(line) => self.lines.push(format!("{} agent-{agent} {line}", self.now)),
            RunnerAction::Drained => {}
        }
    }

    fn connect(&mut self, agent: usize, run: u64, entry: usize) {
        let address = entry_address(entry);
        let is_cut = self.cut_until.get(&(agent, entry)).is_some_and(|until| self.now < *until);
        if self.agents[agent].run != run {
            return;
        }
        if !self.entries[entry].is_up || is_cut || self.now < self.entries[entry].frozen_until {
            return self.reach_agent(agent, run, RunnerEvent::SessionGone { session: None, address });
        }
        let number = self.sessions.len() as u64 + 1;
        let names = (SessionId(number * 2), SessionId(number * 2 + 1));
        self.sessions.push(WorldSession { agent, entry, names, is_open: true });
        self.reach_agent(agent, run, RunnerEvent::SessionUp { session: names.1, address });
    }

    fn end_session(&mut self, index: usize) {
        let session = &mut self.sessions[index];
        if !session.is_open {
            return;
        }
        session.is_open = false;
        let (agent, entry, names) = (session.agent, session.entry, session.names);
        let gone = RunnerEvent::SessionGone { session: Some(names.1), address: entry_address(entry) };
        let wait = self.transit(agent, entry);
        let (agent_run, entry_run) = (self.agents[agent].run, self.entries[entry].run);
        self.at(wait, Happening::ToAgent(agent, agent_run, gone));
        self.at(wait, Happening::ToEntry(entry, entry_run, DispatchEvent::SessionGone(names.0)));
    }

    fn end_sessions(&mut self, matches: impl Fn(&WorldSession) -> bool) {
        let ended: Vec<usize> = (0..self.sessions.len()).filter(|index| matches(&self.sessions[*index])).collect();
        ended.into_iter().for_each(|index| self.end_session(index));
    }

    fn send_heartbeat(&mut self, worker: usize) {
        self.beats[worker] += 1;
        let model = &self.workers[worker];
        let notice = WorkerNotice {
            worker: SmolStr::new(&model.name),
            born: model.born,
            sequence: self.beats[worker],
            service: "desk".parse().expect("a valid name"),
            capacity: model.capacity,
            labels: Vec::new(),
            is_ready: !self.draining[worker],
            cold: Millis(0),
        };
        self.reach_agent(worker, self.agents[worker].run, RunnerEvent::Announced(notice));
        self.at(HEARTBEAT, Happening::Heartbeat(worker));
    }

    fn call_worker(&mut self, worker: usize, run: u64, life: u64, token: u64, call: WorkerCall) {
        if self.now < self.lose_until[worker] && self.rng.random_bool(0.5) {
            // The call is not answered, and carried out later.
            self.fail_call(worker, run, life, &call);
            let wait = Duration::from_millis(self.rng.random_range(100..3_000));
            let late = Happening::Called(worker, u64::MAX, life, token, call);
            return self.at(wait, late);
        }
        let model = &mut self.workers[worker];
        let reply = match call {
            WorkerCall::Start { run, lease_end, ref payload } => {
                let work = Duration::from_millis(20 + (run.task.job.0 * 7 + u64::from(run.task.index)) % 200);
                let fails = payload.ends_with("13");
                let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
                WorkerReply::Start(run, model.start(self.now, token, run, lease_end, (demand, work, fails)))
            }
            WorkerCall::Stop { run } => WorkerReply::Stop(run, model.stop(self.now, token, run)),
            WorkerCall::Hold { number, lease_end, observed, wait } => {
                let reply = model.hold(self.now, token, lease_end, observed);
                let born = model.born;
                self.watch(worker);
                let has_ended = matches!(&reply, HoldReply::Listed(list) if !list.ended.is_empty());
                let wait = if has_ended { Duration::ZERO } else { wait };
                return self.at(wait, Happening::HoldReturns(worker, run, life, token, (number, observed, born)));
            }
        };
        self.watch(worker);
        let wait = self.delay();
        self.at(wait, Happening::ToAgent(worker, run, RunnerEvent::Replied { life, reply }));
    }

    fn fail_call(&mut self, worker: usize, run: u64, life: u64, call: &WorkerCall) {
        let reply = match call {
            WorkerCall::Start { run, .. } => WorkerReply::Start(*run, StartReply::Unanswered),
            WorkerCall::Stop { run } => WorkerReply::Stop(*run, StopReply::Unanswered),
            WorkerCall::Hold { number, .. } => WorkerReply::Hold(*number, HoldReply::Unanswered),
        };
        self.at(CALL_TIMEOUT, Happening::ToAgent(worker, run, RunnerEvent::Replied { life, reply }));
    }

    fn return_hold(&mut self, worker: usize, run: u64, life: u64, token: u64, (number, observed, born): (u64, u64, u64)) {
        let model = &mut self.workers[worker];
        let reply = if model.born == born { model.hold(self.now, token, None, observed) } else { HoldReply::Unanswered };
        if let HoldReply::Listed(list) = &reply {
            for end in &list.ended {
                if let Some(run) = end.run {
                    self.log.note_end(run, end.outcome);
                }
            }
        }
        self.watch(worker);
        let wait = self.delay();
        self.at(wait, Happening::ToAgent(worker, run, RunnerEvent::Replied { life, reply: WorkerReply::Hold(number, reply) }));
    }

    fn submit(&mut self, caller: usize) {
        let entry = self.rng.random_range(0..ENTRIES);
        let state = &mut self.callers[caller];
        if state.tries == 0 {
            state.first_at = self.now;
        }
        state.tries += 1;
        if !self.entries[entry].is_up {
            // No connection: the caller comes back.
            state.tries -= 1;
            return self.at(Duration::from_millis(100), Happening::Submit(caller));
        }
        let reply = ReplyId(self.next);
        state.open = Some((reply, entry));
        let request: CallerRequest = state.request();
        self.open.insert((entry, reply), caller);
        let run = self.entries[entry].run;
        let wait = self.delay();
        self.at(wait, Happening::ToEntry(entry, run, DispatchEvent::Asked { reply, request }));
    }

    fn answer(&mut self, entry: usize, reply: ReplyId, answer: CallerAnswer) {
        let Some(caller) = self.open.remove(&(entry, reply)) else {
            return;
        };
        let is_abandoned = matches!(answer, CallerAnswer::Abandoned(_));
        let state = &mut self.callers[caller];
        state.open = None;
        state.answers.push((self.now, answer));
        if is_abandoned {
            self.at(RESUBMIT_AFTER, Happening::Submit(caller));
        }
    }

    /// Breaks the open requests at an entry; their callers come back.
    fn break_requests(&mut self, entry: usize, is_heard: bool) {
        let broken: Vec<((usize, ReplyId), usize)> =
            self.open.iter().filter(|((at, _), _)| *at == entry).map(|(key, caller)| (*key, *caller)).collect();
        for ((at, reply), caller) in broken {
            self.open.remove(&(at, reply));
            self.callers[caller].open = None;
            if is_heard {
                let run = self.entries[entry].run;
                self.at(Duration::from_millis(1), Happening::ToEntry(entry, run, DispatchEvent::Withdrawn(reply)));
            }
            self.at(RESUBMIT_AFTER, Happening::Submit(caller));
        }
    }

    fn strike(&mut self, fault: WorldFault) {
        self.lines.push(format!("{} FAULT {fault:?}", self.now));
        match fault {
            WorldFault::KillEntry(entry) => {
                self.end_sessions(|session| session.entry == entry);
                self.entries[entry].is_up = false;
                self.break_requests(entry, false);
                self.at(DOWN_TIME, Happening::RestartEntry(entry));
            }
            WorldFault::KillAgent(agent) => {
                self.end_sessions(|session| session.agent == agent);
                self.agents[agent].is_up = false;
                self.at(DOWN_TIME, Happening::RestartAgent(agent));
            }
            WorldFault::CrashWorker(worker) => {
                let born = self.workers[worker].born + 1;
                self.workers[worker] = make_worker(self.now, worker, born);
                (self.beats[worker], self.draining[worker]) = (0, false);
                self.watch(worker);
            }
            WorldFault::FreezeEntry(entry, span) => self.entries[entry].frozen_until = self.now + Duration::from_millis(span),
            WorldFault::FreezeAgent(agent, span) => self.agents[agent].frozen_until = self.now + Duration::from_millis(span),
            WorldFault::ResetSession(agent, entry) => self.end_sessions(|session| (session.agent, session.entry) == (agent, entry)),
            WorldFault::CutSession(agent, entry, span) => {
                self.cut_until.insert((agent, entry), self.now + Duration::from_millis(span));
            }
            WorldFault::LoseCalls(worker, span) => self.lose_until[worker] = self.now + Duration::from_millis(span),
            WorldFault::SlowWorker(worker, times, span) => {
                self.workers[worker].slowness = times;
                self.slow_until[worker] = self.now + Duration::from_millis(span);
            }
            WorldFault::DrainWorker(worker) => self.draining[worker] = true,
            WorldFault::ResetCallers(entry) => self.break_requests(entry, true),
            WorldFault::ToggleZone(zone) => self.toggle_zone(zone),
        }
    }

    fn toggle_zone(&mut self, zone: usize) {
        let zone = zone_name(zone);
        if !self.plan.zones_out.remove(&zone) {
            self.plan.zones_out.insert(zone);
        }
        self.plan.zones_revision += 1;
        for entry in 0..ENTRIES {
            let (run, wait) = (self.entries[entry].run, self.delay());
            self.at(wait, Happening::ToEntry(entry, run, DispatchEvent::PlanRead(self.plan.clone())));
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        // One that was killed twice while it was down starts once: a second start would end requests unheard.
        if self.entries[entry].is_up {
            return;
        }
        let run = self.entries[entry].run + 1;
        self.entries[entry] = make_entry(self.now, entry, run);
        self.reach_entry(entry, run, DispatchEvent::PlanRead(self.plan.clone()));
    }

    fn restart_agent(&mut self, agent: usize) {
        if self.agents[agent].is_up {
            return;
        }
        let run = self.agents[agent].run + 1;
        self.agents[agent] = make_agent(self.now, agent, run);
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
