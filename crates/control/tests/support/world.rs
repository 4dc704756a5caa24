//! Drives entries and agents with seeded delays, losses and repetitions.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_control::agent::{AgentAction, AgentControl, AgentEvent, AgentOptions};
use vanillacleat_control::entry::{CallerCall, CallerReply, EntryAction, EntryControl, EntryEvent, EntryOptions};
use vanillacleat_control::gate::UpstreamNotice;
use vanillacleat_control::{CallId, ReplyId, SessionId};
use vanillacleat_core::config::{ConfigChange, ConfigEdit};
use vanillacleat_core::frames::{Envelope, PeerReply};
use vanillacleat_core::ids::{ChangeId, Incarnation, TaskKey, WorkerKey, ZoneName};
use vanillacleat_core::job::{JobSpec, TaskDemand, TaskSpec};
use vanillacleat_core::outcome::{JobAnswer, RefusalCode, TaskOutcome};
use vanillacleat_core::settings::{GateSettings, PolicySettings};
use vanillacleat_core::ticket::{Ticket, TicketSecret};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};

use super::fake_store::FakeStore;
use super::faults::{FaultKind, TimedFault};
use super::trace::{show_agent_frame, show_entry_frame, show_peer_call, show_reply, show_store_call};

/// Time between two ticks of each process.
const TICK: Duration = Duration::from_millis(50);
/// Time between two announcements of an upstream.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);
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

    pub fn give_ticket(&mut self, index: usize) -> Ticket {
        let replies = self.call_entry(index, CallerCall::Tickets(1));
        match replies.into_iter().next() {
            Some(CallerReply::Tickets(mut tickets)) => tickets.remove(0),
            other => panic!("no ticket: {other:?}"),
        }
    }

    /// Calls an entry and returns the replies that it gives at once.
    pub fn call_entry(&mut self, index: usize, call: CallerCall) -> Vec<CallerReply> {
        let now = self.local_time(self.entries[index].started_at);
        let control = self.entries[index].control.as_mut().expect("the entry runs");
        let actions = control.handle(now, EntryEvent::Caller { reply: NOBODY, call });
        let replies = actions.iter().filter_map(|action| match action {
            EntryAction::Reply { reply, body } if *reply == NOBODY => Some(body.clone()),
            _ => None,
        });
        let replies = replies.collect();
        self.carry_out_entry(index, actions);
        replies
    }

    pub fn submit(&mut self, job: usize, entry: usize) {
        let Some(ticket) = self.jobs[job].ticket.clone() else {
            return;
        };
        let call = CallerCall::Submit(ticket, self.jobs[job].spec.clone());
        self.ask(entry, call, Waiter::Job(job));
    }

    pub fn change(&mut self, entry: usize, edit: ConfigEdit) {
        if self.entries[entry].control.is_none() {
            return;
        }
        self.next += 1;
        let id: ChangeId = format!("change-{}", self.next).parse().unwrap();
        let based_on = self.store.config().map_or_else(Default::default, |value| value.revision);
        let change = ConfigChange { id, based_on, edits: vec![edit.clone()] };
        self.ask(entry, CallerCall::Change(change), Waiter::Change(edit, self.now));
    }

    pub fn inject(&mut self, fault: FaultKind) {
        self.take(WorldEvent::Fault(fault));
    }

    fn ask(&mut self, entry: usize, call: CallerCall, waiter: Waiter) {
        self.next += 1;
        let reply = ReplyId(self.next);
        let run = self.entries[entry].run;
        self.waiters.insert((entry, run, reply), waiter);
        let at = self.soon();
        self.push(at, WorldEvent::Entry { index: entry, run, event: EntryEvent::Caller { reply, call } });
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
        let notice = UpstreamNotice {
            upstream: format!("upstream-{index}").parse().unwrap(),
            service: "readings".parse().unwrap(),
            address: SmolStr::new("127.0.0.1:1"),
            slots: self.options.slots,
            connections: 64,
        };
        self.run_agent(index, run, AgentEvent::Announced(notice));
        self.push(self.now + ANNOUNCE_PERIOD, WorldEvent::Announce { agent: index, run });
    }

    fn break_link(&mut self, session: SessionId) {
        let Some(link) = self.links.get_mut(&session).filter(|link| link.is_up) else {
            return;
        };
        link.is_up = false;
        let (agent, agent_run, entry, entry_run) = (link.agent, link.agent_run, link.entry, link.entry_run);
        let (at, later) = (self.soon(), self.soon());
        self.push(at, WorldEvent::Entry { index: entry, run: entry_run, event: EntryEvent::AgentGone { session } });
        let event = AgentEvent::SessionGone { session: Some(session), address: entry_address(entry) };
        self.push(later, WorldEvent::Agent { index: agent, run: agent_run, event });
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
                let reply = self.store.carry_out(self.now, op);
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
        self.carry_out_entry(index, actions);
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
            self.carry_out_agent(index, action);
        }
    }

    fn carry_out_agent(&mut self, index: usize, action: AgentAction) {
        let run = self.agents[index].run;
        match action {
            AgentAction::Dial(address) => {
                let at = self.soon();
                self.push(at, WorldEvent::Dial { agent: index, run, address });
            }
            AgentAction::Send { session, envelope } => {
                let Some(link) = self.links.get(&session).filter(|link| link.is_up) else {
                    return;
                };
                let (entry, entry_run) = (link.entry, link.entry_run);
                self.note(show_agent_frame(&envelope.body), || format!("agent-{index} -> entry-{entry}"));
                for at in self.deliveries(session, true) {
                    let event = EntryEvent::Agent { session, frame: envelope.clone() };
                    self.push(at, WorldEvent::Entry { index: entry, run: entry_run, event });
                }
            }
            AgentAction::Close(session) => self.break_link(session),
            AgentAction::Start(order) => {
                let zone = zone_name(index);
                self.starts.push(StartSeen { key: order.key.clone(), agent: format!("agent-{index}"), zone, at: self.now });
                let run_time = Duration::from_millis(self.rng.random_range(20..900));
                let is_failed = self.rng.random_bool(0.02);
                let outcome =
                    if is_failed { TaskOutcome::Failed("failed".into()) } else { TaskOutcome::Done(format!("done {}", order.key)) };
                let event = AgentEvent::Ended { key: order.key, upstream: order.upstream, outcome, run: run_time };
                self.push(self.now + run_time, WorldEvent::Agent { index, run, event });
            }
            AgentAction::Drained => {}
        }
    }

    /// Returns when a frame on a session arrives: once and in order, or in unruly worlds not at all, twice or late.
    fn deliveries(&mut self, session: SessionId, is_to_entry: bool) -> Vec<MonoTime> {
        let mut at = self.soon();
        if self.options.is_unruly {
            let late = self.now + Duration::from_millis(self.rng.random_range(1..1_500));
            return match self.rng.random_range(0..100) {
                0..3 => Vec::new(),
                3..10 => vec![at, late],
                10..16 => vec![late],
                _ => vec![at],
            };
        }
        if let Some(link) = self.links.get_mut(&session) {
            let last = if is_to_entry { &mut link.to_entry_at } else { &mut link.to_agent_at };
            at = at.max(*last);
            *last = at;
        }
        vec![at]
    }

    fn carry_out_entry(&mut self, index: usize, actions: Vec<EntryAction>) {
        let run = self.entries[index].run;
        for action in actions {
            match action {
                EntryAction::Reply { reply, body } => self.take_reply(index, run, reply, body),
                EntryAction::PeerReply { reply, envelope } => {
                    if let Some(Waiter::Peer { entry, run, call }) = self.waiters.remove(&(index, run, reply)) {
                        self.answer_peer(entry, run, call, Some(envelope));
                    }
                }
                EntryAction::Send { session, envelope } => {
                    let Some(link) = self.links.get(&session).filter(|link| link.is_up) else {
                        continue;
                    };
                    let (agent, agent_run) = (link.agent, link.agent_run);
                    self.note(show_entry_frame(&envelope.body), || format!("entry-{index} -> agent-{agent}"));
                    for at in self.deliveries(session, false) {
                        let event = AgentEvent::Frame { session, frame: envelope.clone() };
                        self.push(at, WorldEvent::Agent { index: agent, run: agent_run, event });
                    }
                }
                EntryAction::Close { session } => self.break_link(session),
                EntryAction::CallPeer { call, address, envelope, .. } => {
                    self.note(show_peer_call(&envelope.body), || format!("entry-{index} -> {address}"));
                    self.call_peer(index, run, call, &address, envelope);
                }
                EntryAction::CallPlatform { call, op } => {
                    self.note(show_store_call(&op), || format!("entry-{index} -> store"));
                    let at = self.now + Duration::from_millis(self.rng.random_range(1..8));
                    self.push(at, WorldEvent::StoreCall { entry: index, run, call, op });
                }
                EntryAction::Log(entry) => self.logs.push(format!("{} entry-{index} {} {}", self.now, entry.event, entry.fields)),
                EntryAction::Drained => {
                    self.stop_entry(index);
                    self.push(self.now + Duration::from_secs(1), WorldEvent::StartEntry(index));
                }
            }
        }
    }

    fn call_peer(&mut self, index: usize, run: u64, call: CallId, address: &str, envelope: Envelope<vanillacleat_core::frames::PeerCall>) {
        let target = (0..self.entries.len()).find(|target| entry_address(*target) == address);
        let target = target.filter(|target| self.entries[*target].control.is_some() && self.now >= self.peers_cut_until);
        let Some(target) = target else {
            let at = self.now + Duration::from_millis(30);
            let event = EntryEvent::PeerReplied { call, reply: None };
            return self.push(at, WorldEvent::Entry { index, run, event });
        };
        self.next += 1;
        let reply = ReplyId(self.next);
        let target_run = self.entries[target].run;
        self.waiters.insert((target, target_run, reply), Waiter::Peer { entry: index, run, call });
        let at = self.soon();
        self.push(at, WorldEvent::Entry { index: target, run: target_run, event: EntryEvent::PeerAsked { reply, call: envelope } });
    }

    fn answer_peer(&mut self, entry: usize, run: u64, call: CallId, reply: Option<Envelope<PeerReply>>) {
        let at = self.soon();
        let reply = reply.filter(|_| self.now >= self.peers_cut_until);
        self.push(at, WorldEvent::Entry { index: entry, run, event: EntryEvent::PeerReplied { call, reply } });
    }

    fn take_reply(&mut self, index: usize, run: u64, reply: ReplyId, body: CallerReply) {
        match self.waiters.remove(&(index, run, reply)) {
            Some(Waiter::Peer { entry, run, call }) => {
                let revision = self.entries[index].control.as_ref().map_or(Default::default(), |control| control.config().revision());
                let envelope = body.to_peer().map(|body| Envelope { revision, body });
                self.answer_peer(entry, run, call, envelope);
            }
            Some(Waiter::Job(job)) => {
                self.note(Some(show_reply(&body)), || format!("entry-{index} -> caller of job {job}"));
                self.take_job_reply(job, index, body);
            }
            Some(Waiter::Change(edit, asked_at)) => {
                self.note(Some(show_reply(&body)), || format!("entry-{index} -> operator"));
                self.take_change_reply(edit, asked_at, body);
            }
            None => {}
        }
    }

    fn take_job_reply(&mut self, job: usize, entry: usize, body: CallerReply) {
        match body {
            CallerReply::Answer(answer) => {
                let seen = AnswerSeen { at: self.now, entry, answer: (*answer).clone() };
                let ticket = self.jobs[job].ticket.clone().expect("the job has a ticket");
                self.answers.entry(ticket).or_default().push(seen);
                self.jobs[job].is_settled = true;
            }
            CallerReply::Refused(refusal) => {
                self.jobs[job].refusals.push(refusal.code);
                let is_passing = matches!(
                    refusal.code,
                    RefusalCode::Draining | RefusalCode::HomeFenced | RefusalCode::HomeUnreachable | RefusalCode::ServiceUnknown
                );
                // Operators who take every zone out leave nothing that could run the job.
                let is_all_out = self.store.config().is_some_and(|value| value.zones_out.len() == 3);
                if is_passing && !is_all_out {
                    self.retry_job(job);
                } else {
                    self.jobs[job].is_settled = true;
                }
            }
            other => panic!("a submission was answered {other:?}"),
        }
    }

    fn retry_job(&mut self, job: usize) {
        let at = self.now + CALLER_RETRY;
        self.push(at, WorldEvent::Submit(job));
    }

    fn take_change_reply(&mut self, edit: ConfigEdit, asked_at: MonoTime, body: CallerReply) {
        let CallerReply::Changed(outcome) = body else {
            return;
        };
        if let (ConfigEdit::ZoneOut(zone), true) = (&edit, outcome.in_force) {
            // A later change may have been asked for meanwhile; then this one's acceptance says nothing of now.
            let is_overtaken = self.zone_ins.get(zone).is_some_and(|at| *at >= asked_at);
            if !is_overtaken && self.store.config().is_some_and(|value| value.zones_out.contains(zone)) {
                self.zone_outs.push(ZoneOut { zone: zone.clone(), accepted_at: self.now, asked_in_at: None });
            }
        }
    }

    fn submit_somewhere(&mut self, job: usize) {
        let live: Vec<usize> = (0..self.entries.len()).filter(|index| self.entries[*index].control.is_some()).collect();
        if live.is_empty() {
            return self.retry_job(job);
        }
        let entry = live[self.rng.random_range(0..live.len())];
        if self.jobs[job].ticket.is_none() {
            let replies = self.call_entry(entry, CallerCall::Tickets(1));
            match replies.into_iter().next() {
                Some(CallerReply::Tickets(mut tickets)) => self.jobs[job].ticket = Some(tickets.remove(0)),
                _ => return self.retry_job(job),
            }
        }
        let entry = live[self.rng.random_range(0..live.len())];
        self.submit(job, entry);
    }

    fn dial(&mut self, agent: usize, run: u64, address: SmolStr) {
        let entry = (0..self.entries.len()).find(|index| entry_address(*index) == address);
        let Some(entry) = entry.filter(|index| self.entries[*index].control.is_some()) else {
            let event = AgentEvent::SessionGone { session: None, address };
            return self.push(self.now, WorldEvent::Agent { index: agent, run, event });
        };
        self.next += 1;
        let session = SessionId(self.next);
        let link = SessionLink {
            agent,
            entry,
            agent_run: run,
            entry_run: self.entries[entry].run,
            is_up: true,
            to_entry_at: self.now,
            to_agent_at: self.now,
        };
        self.links.insert(session, link);
        self.push(self.now, WorldEvent::Agent { index: agent, run, event: AgentEvent::SessionUp { session, address } });
    }

    fn apply_fault(&mut self, kind: FaultKind) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        let millis = Duration::from_millis;
        match kind {
            FaultKind::KillEntry(index) => {
                let others = self.entries.iter().filter(|node| node.control.is_some()).count();
                if others > 1 {
                    self.stop_entry(index % entries);
                }
            }
            FaultKind::RestartEntry(index) => {
                self.stop_entry(index % entries);
                let at = self.now + millis(700);
                self.push(at, WorldEvent::StartEntry(index % entries));
            }
            FaultKind::PauseEntry(index, span) => self.entries[index % entries].paused_until = self.now + millis(span),
            FaultKind::RestartAgent(index) => {
                let index = index % agents;
                self.agents[index].control = None;
                self.agents[index].run += 1;
                let links: Vec<SessionId> =
                    self.links.iter().filter(|(_, link)| link.agent == index).map(|(session, _)| *session).collect();
                links.into_iter().for_each(|session| self.break_link(session));
                self.push(self.now + millis(400), WorldEvent::StartAgent(index));
            }
            FaultKind::PauseAgent(index, span) => self.agents[index % agents].paused_until = self.now + millis(span),
            FaultKind::BreakLink(index) => {
                let up: Vec<SessionId> = self.links.iter().filter(|(_, link)| link.is_up).map(|(session, _)| *session).collect();
                if !up.is_empty() {
                    self.break_link(up[index % up.len()]);
                }
            }
            FaultKind::CutPeers(span) => self.peers_cut_until = self.now + millis(span),
            FaultKind::StoreDown(span) => self.store.down_until = self.now + millis(span),
            FaultKind::StoreSilent(span) => self.store.silent_until = self.now + millis(span),
            FaultKind::ZoneOut(index) => self.change(index % entries, ConfigEdit::ZoneOut(zone_name(index))),
            FaultKind::ZoneIn(index) => {
                let zone = zone_name(index);
                let now = self.now;
                self.zone_ins.insert(zone.clone(), now);
                self.zone_outs.iter_mut().filter(|out| out.zone == zone).for_each(|out| out.asked_in_at = out.asked_in_at.or(Some(now)));
                self.change(index % entries, ConfigEdit::ZoneIn(zone));
            }
            FaultKind::CancelJob(index) => {
                let job = index % self.jobs.len();
                let entry = index % entries;
                if let (Some(ticket), true) = (self.jobs[job].ticket.clone(), self.entries[entry].control.is_some()) {
                    self.ask(entry, CallerCall::Cancel(ticket), Waiter::Job(job));
                }
            }
            FaultKind::DrainEntry(index) => {
                let index = index % entries;
                let run = self.entries[index].run;
                let others = self.entries.iter().filter(|node| node.control.is_some()).count();
                if others > 1 {
                    self.push(self.now, WorldEvent::Entry { index, run, event: EntryEvent::Drain });
                }
            }
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
