//! Several entries with links to each other and sessions with the same agents. A test cuts links, pauses entries and breaks the
//! connection of a caller on the caller's side only.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, RunId, TaskId};
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::peer_frames::PeerFrame;
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_core::site_plan::{RouteRule, SitePlan};
use vanillacleat_core::units::{Millis, MonoTime};
use vanillacleat_runs::agent::RunnerEvent;
use vanillacleat_runs::entry::{CallerAnswer, DispatchAction, DispatchControl, DispatchEvent, DispatchOptions, PeerAction, PeerEvent};

use super::agent_bench::AgentBench;
use super::callers::CallerState;
use super::plans::{make_options, make_plan};

/// Time for which the first request of a caller waits, in milliseconds, which is the route's timeout.
const FIRST_TIMEOUT: u64 = 5_000;
/// Prefix of the paths of the second route.
const OTHER_PREFIX: &str = "/quotes/";
/// Time for which a resubmission still waits, in milliseconds. It is shorter than the route's timeout.
pub const RESUBMISSION_TIMEOUT: u64 = 3_500;

/// An entry's process.
struct EntryProcess {
    control: DispatchControl,
    /// When the process started, in milliseconds.
    started_at: u64,
    is_paused: bool,
    /// What has arrived and was not handled yet.
    arrived: Vec<DispatchEvent>,
    /// The confirmation that the process asked for.
    confirmation: Option<u64>,
}

/// Entries and agents, which are numbered from zero. A frame takes a millisecond.
pub struct PeerBench {
    /// The agents.
    pub agents: Vec<AgentBench>,
    /// The frames between entries, with their times and senders.
    pub peer_frames: Vec<(u64, usize, PeerFrame)>,
    /// The answers to callers, with their times and entries.
    pub answers: Vec<(u64, usize, ReplyId, CallerAnswer)>,
    /// The entries' log lines, with their times and entries.
    pub log_lines: Vec<(u64, usize, String)>,
    /// Tasks of which workers ran two runs at the same time, with the first time.
    pub double_runs: BTreeMap<TaskId, u64>,
    /// The runs that workers have run.
    pub runs: BTreeSet<(usize, RunId)>,
    /// Pairs of entries between which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    entries: Vec<EntryProcess>,
    /// The entries of each open link: the one that dialed comes first.
    links: BTreeMap<SessionId, (usize, usize)>,
    /// The agent and the entry of each open session.
    sessions: BTreeMap<SessionId, (usize, usize)>,
    last_session: u64,
    /// Events on their way to entries.
    sent: Vec<(usize, DispatchEvent)>,
    now: u64,
}

impl PeerBench {
    /// Returns linked entries and agents with sessions with all of them, after a second.
    pub fn new(entries: usize, agents: u64) -> Self {
        let mut bench = Self {
            agents: (1..=agents).map(AgentBench::settled).collect(),
            peer_frames: Vec::new(),
            answers: Vec::new(),
            log_lines: Vec::new(),
            double_runs: BTreeMap::new(),
            runs: BTreeSet::new(),
            cut: BTreeSet::new(),
            entries: Vec::new(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            last_session: 0,
            sent: Vec::new(),
            now: 10,
        };
        bench.agents.iter_mut().for_each(|agent| agent.answering.clear());
        for entry in 0..entries {
            let process = make_process(entry, 1, 0);
            bench.entries.push(process);
            bench.configure(entry);
            bench.list_entries(entry, &(0..entries).collect::<Vec<_>>());
        }
        bench.advance(1_000);
        bench
    }

    /// Returns the time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns the control state of an entry.
    pub fn entry(&self, entry: usize) -> &DispatchControl {
        &self.entries[entry].control
    }

    /// Returns the id of the job of the caller of this number.
    pub fn job(caller: u64) -> CallerJobId {
        CallerState::new(caller, 1, 100).id
    }

    /// Submits the job of a caller, which has one task, for the first time.
    pub fn submit(&mut self, entry: usize, caller: u64, reply: u64) {
        self.request(entry, caller, reply, Duration::from_millis(FIRST_TIMEOUT));
    }

    /// Submits the job of a caller to the other route.
    pub fn submit_elsewhere(&mut self, entry: usize, caller: u64, reply: u64) {
        let mut request = CallerState::new(caller, 1, 100).request();
        request.path = SmolStr::new(request.path.replace("/bids/", OTHER_PREFIX));
        self.deliver(entry, DispatchEvent::Requested { reply: ReplyId(reply), request });
    }

    /// Submits the job of a caller again.
    pub fn resubmit(&mut self, entry: usize, caller: u64, reply: u64) {
        self.request(entry, caller, reply, Duration::from_millis(RESUBMISSION_TIMEOUT));
    }

    /// Delivers an event to an entry.
    pub fn deliver(&mut self, entry: usize, event: DispatchEvent) {
        self.entries[entry].arrived.push(event);
        self.handle_arrived(entry);
    }

    /// Sets the run time of runs that start from now on, in milliseconds.
    pub fn set_run_time(&mut self, millis: u64) {
        self.agents.iter_mut().for_each(|agent| agent.run_time = Duration::from_millis(millis));
    }

    /// Pauses or resumes the process of an entry.
    pub fn set_paused(&mut self, entry: usize, is_paused: bool) {
        self.entries[entry].is_paused = is_paused;
    }

    /// Kills an entry and starts another process in its place. All its connections are closed.
    pub fn restart(&mut self, entry: usize) {
        self.restart_unlisted(entry);
        self.list_entries(entry, &(0..self.entries.len()).collect::<Vec<_>>());
    }

    /// Does the same. The new process can't read the store's list of entries.
    pub fn restart_unlisted(&mut self, entry: usize) {
        let incarnation = self.now;
        self.entries[entry] = make_process(entry, incarnation, self.now);
        let links: Vec<SessionId> = self.links.iter().filter(|(_, (a, b))| *a == entry || *b == entry).map(|(id, _)| *id).collect();
        links.into_iter().for_each(|link| self.close_link(entry, link));
        let sessions: Vec<SessionId> = self.sessions.iter().filter(|(_, (_, e))| *e == entry).map(|(id, _)| *id).collect();
        sessions.into_iter().for_each(|session| self.close_session(session));
        self.configure(entry);
    }

    /// Returns the link between two entries.
    pub fn link(&self, a: usize, b: usize) -> Option<SessionId> {
        self.links.iter().find(|(_, pair)| **pair == (a, b) || **pair == (b, a)).map(|(id, _)| *id)
    }

    /// Returns the answers that an entry gave to a reply id.
    pub fn answers_to(&self, reply: u64) -> Vec<&CallerAnswer> {
        self.answers.iter().filter(|(_, _, id, _)| *id == ReplyId(reply)).map(|(_, _, _, answer)| answer).collect()
    }

    /// Returns the runs of a caller's job that workers have run, with their agents.
    pub fn runs_of(&self, caller: u64) -> Vec<(usize, RunId)> {
        self.runs.iter().filter(|(_, run)| run.task.job == Self::job(caller)).copied().collect()
    }

    /// Makes the only task of a caller's job crash each worker that starts it.
    pub fn set_deadly(&mut self, caller: u64) {
        let task = TaskId { job: Self::job(caller), step: 0, index: 0 };
        self.agents.iter_mut().for_each(|agent| {
            agent.deadly_tasks.insert(task);
        });
    }

    /// Returns when workers have crashed, in order.
    pub fn crash_times(&self) -> Vec<u64> {
        let mut times: Vec<u64> = self.agents.iter().flat_map(|agent| &agent.crashes).map(|(at, _)| *at).collect();
        times.sort_unstable();
        times
    }

    /// Returns whether an entry has logged a line with this text.
    pub fn has_logged(&self, entry: usize, text: &str) -> bool {
        self.log_lines.iter().any(|(_, logged_by, line)| *logged_by == entry && line.contains(text))
    }

    /// Advances the time to `end`.
    pub fn advance(&mut self, end: u64) {
        while self.now < end {
            self.now += 1;
            for (entry, event) in std::mem::take(&mut self.sent) {
                self.entries[entry].arrived.push(event);
            }
            self.advance_agents();
            self.record_runs();
            for entry in 0..self.entries.len() {
                if self.now.is_multiple_of(10) {
                    self.entries[entry].arrived.push(DispatchEvent::Tick);
                }
                self.handle_arrived(entry);
            }
        }
    }

    /// Makes an entry read a list of entries from the store.
    pub fn list_entries(&mut self, entry: usize, listed: &[usize]) {
        let records = listed.iter().map(|number| EntryRecord { address: entry_address(*number), zone: None, millicores: 0 });
        self.deliver(entry, DispatchEvent::EntriesRead(records.collect()));
    }

    /// Resets all links between entries. Both sides learn of it.
    pub fn close_links(&mut self) {
        for (session, (a, b)) in std::mem::take(&mut self.links) {
            for entry in [a, b] {
                self.sent.push((entry, DispatchEvent::Peer(PeerEvent::Closed(session))));
            }
        }
    }

    fn configure(&mut self, entry: usize) {
        self.deliver(entry, DispatchEvent::PlanRead(make_patient_plan()));
        (0..self.agents.len()).for_each(|agent| self.open_session(agent, entry));
    }

    fn request(&mut self, entry: usize, caller: u64, reply: u64, timeout: Duration) {
        let mut request = CallerState::new(caller, 1, 100).request();
        request.caller_timeout = Some(timeout);
        self.deliver(entry, DispatchEvent::Requested { reply: ReplyId(reply), request });
    }

    fn advance_agents(&mut self) {
        for number in 0..self.agents.len() {
            let agent = &mut self.agents[number];
            agent.advance(self.now);
            let (frames, closed) = (std::mem::take(&mut agent.sent_frames), std::mem::take(&mut agent.closed_sessions));
            let dials = std::mem::take(&mut agent.dials);
            for (session, frame) in frames {
                self.send_to_entry(session, DispatchEvent::Frame { session, frame });
            }
            for session in closed {
                self.send_to_entry(session, DispatchEvent::SessionClosed(session));
                self.sessions.remove(&session);
            }
            for entry in 0..self.entries.len() {
                // A paused entry completes no handshake.
                if dials.contains(&entry_address(entry))
                    && !self.entries[entry].is_paused
                    && !self.sessions.values().any(|pair| *pair == (number, entry))
                {
                    self.open_session(number, entry);
                }
            }
        }
    }

    fn open_session(&mut self, agent: usize, entry: usize) {
        self.last_session += 1;
        let session = SessionId(self.last_session);
        self.sessions.insert(session, (agent, entry));
        self.agents[agent].deliver(RunnerEvent::SessionOpened { session, address: entry_address(entry) });
    }

    /// Closes a session at its agent.
    fn close_session(&mut self, session: SessionId) {
        if let Some((agent, entry)) = self.sessions.remove(&session) {
            self.agents[agent].deliver(RunnerEvent::SessionClosed { session: Some(session), address: entry_address(entry) });
        }
    }

    fn send_to_entry(&mut self, session: SessionId, event: DispatchEvent) {
        if let Some((_, entry)) = self.sessions.get(&session) {
            self.sent.push((*entry, event));
        }
    }

    fn handle_arrived(&mut self, entry: usize) {
        let process = &mut self.entries[entry];
        if process.is_paused {
            return;
        }
        let mut events = std::mem::take(&mut process.arrived);
        events.extend(process.confirmation.take().map(DispatchEvent::CallersConfirmed));
        let now = MonoTime::from_millis(self.now - process.started_at);
        for action in process.control.handle_batch(now, Duration::ZERO, events) {
            self.execute(entry, action);
        }
    }

    fn execute(&mut self, entry: usize, action: DispatchAction) {
        match action {
            DispatchAction::Reply { reply, answer } => self.answers.push((self.now, entry, reply, answer)),
            DispatchAction::Send { session, frame } => {
                if let Some((agent, _)) = self.sessions.get(&session) {
                    self.agents[*agent].deliver(RunnerEvent::Frame { session, frame });
                }
            }
            DispatchAction::Close(session) => self.close_session(session),
            DispatchAction::ConfirmCallers(number) => self.entries[entry].confirmation = Some(number),
            DispatchAction::Log(line) => self.log_lines.push((self.now, entry, line)),
            DispatchAction::Peer(PeerAction::Dial(address)) => self.dial(entry, &address),
            DispatchAction::Peer(PeerAction::Close(session)) => self.close_link(entry, session),
            DispatchAction::Peer(PeerAction::Send { session, frame }) => {
                self.peer_frames.push((self.now, entry, frame.clone()));
                if let Some(peer) = self.peer_of(entry, session).filter(|peer| !self.is_cut(entry, *peer)) {
                    self.sent.push((peer, DispatchEvent::Peer(PeerEvent::Frame { session, frame })));
                }
            }
            _ => {}
        }
    }

    fn dial(&mut self, entry: usize, address: &SmolStr) {
        let peer = (0..self.entries.len()).find(|peer| entry_address(*peer) == *address && !self.is_cut(entry, *peer));
        let Some(peer) = peer else {
            return self.sent.push((entry, DispatchEvent::Peer(PeerEvent::DialFailed(address.clone()))));
        };
        self.last_session += 1;
        let session = SessionId(self.last_session);
        self.links.insert(session, (entry, peer));
        self.sent.push((entry, DispatchEvent::Peer(PeerEvent::Opened { session, dialed: Some(address.clone()) })));
        self.sent.push((peer, DispatchEvent::Peer(PeerEvent::Opened { session, dialed: None })));
    }

    /// Closes a link at one entry. The peer learns of it unless the link is cut.
    fn close_link(&mut self, entry: usize, session: SessionId) {
        if let Some(peer) = self.peer_of(entry, session).filter(|peer| !self.is_cut(entry, *peer)) {
            self.sent.push((peer, DispatchEvent::Peer(PeerEvent::Closed(session))));
        }
        self.links.remove(&session);
    }

    fn peer_of(&self, entry: usize, session: SessionId) -> Option<usize> {
        self.links.get(&session).map(|(a, b)| if *a == entry { *b } else { *a })
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn record_runs(&mut self) {
        let mut counts: BTreeMap<TaskId, u32> = BTreeMap::new();
        for (number, agent) in self.agents.iter().enumerate() {
            for run in agent.worker.running() {
                self.runs.insert((number, *run));
                *counts.entry(run.task).or_default() += 1;
            }
        }
        for (task, _) in counts.into_iter().filter(|(_, count)| *count > 1) {
            self.double_runs.entry(task).or_insert(self.now);
        }
    }
}

/// Returns a plan whose route lets callers wait for some seconds.
fn make_patient_plan() -> SitePlan {
    let mut plan = make_plan(2);
    let table = plan.table.as_mut().map(Arc::make_mut);
    for route in table.into_iter().flat_map(|table| &mut table.routes) {
        let route = Arc::make_mut(route);
        (route.timeout, route.target_latency) = (Millis(FIRST_TIMEOUT), Millis(FIRST_TIMEOUT));
    }
    if let Some(table) = plan.table.as_mut().map(Arc::make_mut) {
        let other = RouteRule { name: "quotes".into(), prefix: OTHER_PREFIX.into(), ..RouteRule::clone(&table.routes[0]) };
        table.routes.push(Arc::new(other));
    }
    plan
}

fn make_process(entry: usize, incarnation: u64, started_at: u64) -> EntryProcess {
    let incarnation = Incarnation(incarnation * 10 + entry as u64);
    let options = DispatchOptions { incarnation, process_start: ProcessStart(started_at), ..make_options(0) };
    let control = DispatchControl::new(DispatchOptions { address: entry_address(entry), ..options });
    EntryProcess { control, started_at, is_paused: false, arrived: Vec::new(), confirmation: None }
}

fn entry_address(entry: usize) -> SmolStr {
    SmolStr::new(format!("entry-{entry}"))
}
