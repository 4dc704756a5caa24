//! The control state of an entry that holds jobs under their callers' names.

mod answering;
mod placing;
mod sessions;
mod watching;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::ids::{AgentId, ZoneName};
use vanillacleat_core::run_frames::{OrderFrame, RunFrame, RunOrders};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::MonoTime;

use super::caller_calls::{CallerAnswer, CallerRequest};
use super::job_table::JobTable;
use super::run_times::RouteTimes;
use super::worker_registry::WorkerRegistry;
use crate::LeaseTerms;

/// Time between two rounds over all jobs and workers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two events from which this process counts as having been stalled.
const STALL_MIN: Duration = Duration::from_millis(300);
/// Time given to the last answers of a leaving entry to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(150);
/// Time for which lost agents are remembered.
const LOST_AGE_MAX: Duration = Duration::from_secs(60);

/// `DispatchOptions` are what an entry starts with.
#[derive(Clone, Debug)]
pub struct DispatchOptions {
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Spans of the leases.
    pub terms: LeaseTerms,
    /// Shortest time after which a caller submits a job again that broke off.
    pub resubmit_after: Duration,
    /// Time after the request to leave for which new requests are still served, since callers still come.
    pub drain_delay: Duration,
    /// Longest time that a leaving entry waits for its open jobs.
    pub drain_max: Duration,
}

/// A `DispatchEvent` is something that happened.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A caller asked.
    Requested {
        /// Who waits for the answer.
        reply: ReplyId,
        /// What is asked.
        request: CallerRequest,
    },
    /// A caller went away before it was answered.
    CallerDisconnected(ReplyId),
    /// An agent sent a frame.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: RunFrame,
    },
    /// An agent's session ended.
    SessionClosed(SessionId),
    /// The plan was read from the platform.
    PlanRead(SitePlan),
    /// The addresses of all entries were read from the platform.
    EntriesRead(Vec<SmolStr>),
    /// The process was asked to leave.
    Drain,
    /// Time passed.
    Tick,
}

/// A `DispatchAction` is something to be done.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Answers a caller.
    Reply {
        /// Who waits.
        reply: ReplyId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Sends a frame to an agent.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: OrderFrame,
    },
    /// Ends a session.
    Close(SessionId),
    /// Writes a log line of key=value pairs.
    Log(String),
    /// The entry has drained and may exit.
    Drained,
}

/// A `DispatchControl` is the whole control state of one entry. Feed it events; carry out the actions.
#[derive(Debug)]
pub struct DispatchControl {
    now: MonoTime,
    resumed_at: MonoTime,
    maintenance_at: MonoTime,
    options: DispatchOptions,
    plan: SitePlan,
    entries: Vec<SmolStr>,
    book: JobTable,
    board: WorkerRegistry,
    times: RouteTimes,
    orders: BTreeMap<SessionId, RunOrders>,
    echoes: BTreeMap<SessionId, MonoTime>,
    routes_sent: BTreeMap<SessionId, u64>,
    slow: Vec<AgentId>,
    drain_since: Option<MonoTime>,
    idle_since: Option<MonoTime>,
    actions: Vec<DispatchAction>,
}

impl DispatchControl {
    /// Returns the state of an entry that has just started.
    pub fn new(options: DispatchOptions) -> Self {
        let board = WorkerRegistry::new(options.terms.session_lease);
        Self {
            now: MonoTime::ZERO,
            resumed_at: MonoTime::ZERO,
            maintenance_at: MonoTime::ZERO,
            options,
            plan: SitePlan::default(),
            entries: Vec::new(),
            book: JobTable::default(),
            board,
            times: RouteTimes::default(),
            orders: BTreeMap::new(),
            echoes: BTreeMap::new(),
            routes_sent: BTreeMap::new(),
            slow: Vec::new(),
            drain_since: None,
            idle_since: None,
            actions: Vec::new(),
        }
    }

    /// Takes an event that happened at `now`; returns what is to be done, in order.
    pub fn handle(&mut self, now: MonoTime, event: DispatchEvent) -> Vec<DispatchAction> {
        if now.since(self.now) > STALL_MIN {
            // This process did not run: what was not heard meanwhile says nothing of the agents.
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        match event {
            DispatchEvent::Requested { reply, request } => self.take_request(reply, request),
            DispatchEvent::CallerDisconnected(reply) => {
                let effects = self.book.withdraw(reply);
                self.apply(effects);
            }
            DispatchEvent::Frame { session, frame } => self.take_frame(session, frame),
            DispatchEvent::SessionClosed(session) => self.lose_session(session, "broken"),
            DispatchEvent::PlanRead(plan) => self.take_plan(&plan, "platform"),
            DispatchEvent::EntriesRead(entries) => self.take_entries(entries),
            DispatchEvent::Drain => self.start_drain(),
            DispatchEvent::Tick => {}
        }
        if self.now >= self.maintenance_at {
            self.maintenance_at = self.now + MAINTENANCE_INTERVAL;
            self.keep_up();
        }
        self.place();
        self.flush_orders();
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    /// Returns the open jobs.
    pub fn job_table(&self) -> &JobTable {
        &self.book
    }

    /// Returns the workers.
    pub fn worker_registry(&self) -> &WorkerRegistry {
        &self.board
    }

    /// Returns the plan in force here.
    pub fn plan(&self) -> &SitePlan {
        &self.plan
    }

    /// Returns whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        let has_workers = self.board.workers().any(|room| room.session.is_some());
        self.plan.table.is_some() && has_workers && self.drain_since.is_none()
    }

    /// Returns whether the process was asked to leave.
    pub fn is_draining(&self) -> bool {
        self.drain_since.is_some()
    }

    /// Returns the entry's whole state.
    pub fn dump(&self) -> Value {
        let jobs = self.book.jobs().map(|job| {
            json!({
                "job": job.job.id.to_string(),
                "route": job.route.name,
                "phase": format!("{:?}", job.phase()),
                "arrived": job.arrived_at.to_string(),
                "wanted": job.times.target_at.to_string(),
                "runs": job.sent_runs().iter().map(|(run, agent)| format!("{run}@{agent}")).collect::<Vec<_>>(),
            })
        });
        let workers = self.board.workers().map(|room| {
            json!({
                "agent": room.agent,
                "zone": room.zone,
                "is_connected": room.session.is_some(),
                "is_usable": self.board.is_usable(self.now, room),
                "room_millicores": room.free_capacity().millicores,
                "heard": room.last_received_at.to_string(),
            })
        });
        json!({
            "zone": self.options.zone,
            "now": self.now.to_string(),
            "plan_version": self.plan.version(),
            "zones_out": self.plan.zones_out,
            "is_draining": self.is_draining(),
            "entries": self.entries,
            "workers": workers.collect::<Vec<_>>(),
            "jobs": jobs.collect::<Vec<_>>(),
        })
    }

    /// Does what depends on passing time alone.
    fn keep_up(&mut self) {
        self.close_silent_sessions();
        self.record_slow_workers();
        self.abandon_dead_agents();
        self.abandon_late_jobs();
        self.book.forget_verdicts(self.now);
        self.board.remove_lost(self.now, LOST_AGE_MAX);
    }

    fn log(&mut self, line: String) {
        self.actions.push(DispatchAction::Log(line));
    }

    fn start_drain(&mut self) {
        if self.drain_since.is_none() {
            self.drain_since = Some(self.now);
            self.log(format!("event=drain_started jobs={}", self.book.jobs().count()));
        }
    }

    /// Returns whether new jobs are refused since the process is about to end.
    pub(super) fn is_leaving(&self) -> bool {
        self.drain_since.is_some_and(|since| self.now.since(since) >= self.options.drain_delay)
    }

    fn finish_drain(&mut self) {
        let Some(since) = self.drain_since else {
            return;
        };
        let waited = self.now.since(since);
        let is_idle = self.is_leaving() && self.book.jobs().next().is_none();
        let idle_since = *self.idle_since.get_or_insert(self.now);
        if !is_idle {
            self.idle_since = None;
        }
        let is_flushed = is_idle && self.now.since(idle_since) >= FLUSH_TIME;
        if is_flushed || waited >= self.options.drain_max {
            self.log(format!("event=drained jobs_left={}", self.book.jobs().count()));
            self.actions.push(DispatchAction::Drained);
        }
    }
}
