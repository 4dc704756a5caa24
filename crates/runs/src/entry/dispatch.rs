//! The control state of an entry: event handling, periodic maintenance, draining and the dump for operators.

mod announcing;
mod answering;
mod crashes;
mod homes;
mod peers;
mod performance;
mod placing;
mod sessions;
mod state_dump;

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::ids::{AgentId, Incarnation, ProcessStart, ZoneName};
use vanillacleat_core::peer_frames::PeerLoad;
use vanillacleat_core::run_frames::{EndSign, EntryRecord, OrderFrame, RunFrame, RunOrders, RunOutcome};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::MonoTime;

use super::caller_api::{CallerAnswer, CallerRequest};
use super::homes::job_homes::JobHomes;
use super::homes::peer_registry::{PeerIdentity, PeerRegistry};
use super::homes::recent_jobs::RecentJobs;
use super::homes::resume_barrier::ResumeBarrier;
use super::jobs::job_delay::DelayCause;
use super::jobs::job_table::JobTable;
use super::order::entry_load::EntryLoad;
use super::order::room_claim::UrgencyRecord;
use super::workers::crash_log::CrashLog;
use super::workers::run_times::RouteTimes;
use super::workers::worker_registry::WorkerRegistry;
use crate::LeaseTerms;

pub use peers::{PeerAction, PeerEvent};

/// Interval of the maintenance of all jobs and workers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(10);
/// Gap between two events above which this process counts as having been stalled. Ticks normally arrive much more often.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// Time after a stall within which the events that have waited are handled.
const RESUME_GRACE: Duration = Duration::from_millis(300);
/// Delay between the end of the last job and the end of a drain, so that the last answers reach their callers.
const FLUSH_DELAY: Duration = Duration::from_millis(150);
/// Maximum time that an agent without a session stays in the registry.
const LOST_AGENT_AGE_MAX: Duration = Duration::from_secs(60);

/// The options that an entry starts with.
#[derive(Clone, Debug)]
pub struct DispatchOptions {
    /// Identifies this run of the entry's process.
    pub incarnation: Incarnation,
    /// The start of the entry's process.
    pub process_start: ProcessStart,
    /// Where the entry accepts sessions, as the platform's store lists it.
    pub address: SmolStr,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Durations of the leases.
    pub lease_terms: LeaseTerms,
    /// Minimum time after which a caller resubmits a job whose request was interrupted.
    pub resubmit_after: Duration,
    /// Time after the start of a drain for which new jobs are still accepted, because callers still send them here.
    pub drain_delay: Duration,
    /// Maximum time that a draining entry waits for its open jobs.
    pub drain_timeout: Duration,
}

/// An input of [`DispatchControl::handle`].
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A caller's request was received.
    Requested {
        /// Where the answer goes.
        reply: ReplyId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller disconnected before it was answered.
    CallerDisconnected(ReplyId),
    /// The disconnects that had arrived when [`DispatchAction::ConfirmCallers`] with this number was executed were passed on.
    CallersConfirmed(u64),
    /// A frame of an agent was received.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: RunFrame,
    },
    /// An agent's session was closed or lost.
    SessionClosed(SessionId),
    /// An event of a link to another entry.
    Peer(PeerEvent),
    /// The plan was read from the platform.
    PlanRead(SitePlan),
    /// The list of all entries was read from the platform.
    EntriesRead(Vec<EntryRecord>),
    /// The process was asked to drain and exit.
    Drain,
    /// The periodic timer fired.
    Tick,
}

/// An output of [`DispatchControl::handle`], to be executed by the process.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Answers a caller.
    Reply {
        /// Where the answer goes.
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
    /// Closes a session.
    Close(SessionId),
    /// An action on a link to another entry.
    Peer(PeerAction),
    /// Asks for [`DispatchEvent::CallersConfirmed`] with this number, once every connection of a caller that has something to say
    /// was read.
    ConfirmCallers(u64),
    /// Writes a log line of key=value pairs.
    Log(String),
    /// Records a value in a metric.
    Measured(Measurement),
    /// The entry has drained and may exit.
    Drained,
}

/// A value that operators see in a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measurement {
    /// The first task of a job was sent to a worker.
    Placed {
        /// The priority of the job's route.
        priority: u32,
        /// The time since the job arrived.
        after: Duration,
    },
    /// A task was sent to a worker again, after an earlier run of it had ended.
    PlacedAgain {
        /// The outcome of the earlier run.
        outcome: RunOutcome,
        /// What showed the end of the earlier run.
        sign: EndSign,
    },
    /// An admitted job was answered.
    Answered {
        /// The priority of the job's route.
        priority: u32,
        /// The kind of the answer.
        kind: &'static str,
        /// The time since the job arrived.
        after: Duration,
    },
    /// A job was done late.
    Delayed {
        /// What made it late.
        cause: DelayCause,
        /// How much later than its target the answer came.
        late: Duration,
    },
}

/// The whole control state of one entry. Feed it events and execute the actions that it returns.
#[derive(Debug)]
pub struct DispatchControl {
    now: MonoTime,
    /// When the process last resumed after a stall.
    resumed_at: MonoTime,
    resume_barrier: ResumeBarrier,
    next_maintenance_at: MonoTime,
    options: DispatchOptions,
    plan: SitePlan,
    entries: Vec<EntryRecord>,
    job_table: JobTable,
    worker_registry: WorkerRegistry,
    route_times: RouteTimes,
    urgency_record: UrgencyRecord,
    crash_log: CrashLog,
    /// When the workers that are left to confined routes were last chosen.
    quarantine_updated_at: MonoTime,
    load: EntryLoad,
    peer_registry: PeerRegistry,
    job_homes: JobHomes,
    peer_outbox: homes::PeerOutbox,
    /// The jobs that other entries have announced, and when the own ones were last announced.
    announced_jobs: RecentJobs,
    announced_at: MonoTime,
    claims_checked_at: MonoTime,
    /// The own load, as peers receive it, and when it was computed.
    own_load: PeerLoad,
    load_computed_at: MonoTime,
    /// Number of frames of peers that were refused.
    refused_peer_frames: u64,
    /// Number of links to peers that were lost after their hello.
    lost_peers: u64,
    /// Number of questions about jobs whose link was lost before the answer.
    lost_questions: u64,
    /// Number of the last order to start a run.
    last_order: u64,
    /// Orders that the current event has produced, by session.
    pending_orders: BTreeMap<SessionId, RunOrders>,
    /// When the first report was received whose nonce has not been echoed yet, by session.
    pending_echoes: BTreeMap<SessionId, MonoTime>,
    /// The version of the routes that was last sent, by session.
    sent_route_versions: BTreeMap<SessionId, u64>,
    slow_agents: Vec<AgentId>,
    /// Number of hellos that were ignored because a later session of their agent was known.
    outdated_hellos: u64,
    draining_since: Option<MonoTime>,
    /// When a draining entry became idle, which means that it refuses new jobs and has no open one.
    idle_since: Option<MonoTime>,
    actions: Vec<DispatchAction>,
}

impl DispatchControl {
    /// Returns the state of an entry that has just started.
    pub fn new(options: DispatchOptions) -> Self {
        let worker_registry = WorkerRegistry::new(options.lease_terms.session_lease);
        let load = EntryLoad::new(options.lease_terms.session_lease);
        let resume_barrier = ResumeBarrier::new(options.resubmit_after, options.lease_terms.agent_loss_timeout());
        let peer_registry = PeerRegistry::new(PeerIdentity {
            address: options.address.clone(),
            incarnation: options.incarnation,
            process_start: options.process_start,
            zone: options.zone.clone(),
        });
        Self {
            now: MonoTime::ZERO,
            resumed_at: MonoTime::ZERO,
            resume_barrier,
            next_maintenance_at: MonoTime::ZERO,
            options,
            plan: SitePlan::default(),
            entries: Vec::new(),
            job_table: JobTable::default(),
            worker_registry,
            route_times: RouteTimes::default(),
            urgency_record: UrgencyRecord::default(),
            crash_log: CrashLog::default(),
            quarantine_updated_at: MonoTime::ZERO,
            load,
            peer_registry,
            job_homes: JobHomes::default(),
            peer_outbox: homes::PeerOutbox::default(),
            announced_jobs: RecentJobs::default(),
            announced_at: MonoTime::ZERO,
            claims_checked_at: MonoTime::ZERO,
            own_load: PeerLoad::default(),
            load_computed_at: MonoTime::ZERO,
            refused_peer_frames: 0,
            lost_peers: 0,
            lost_questions: 0,
            last_order: 0,
            pending_orders: BTreeMap::new(),
            pending_echoes: BTreeMap::new(),
            sent_route_versions: BTreeMap::new(),
            slow_agents: Vec::new(),
            outdated_hellos: 0,
            draining_since: None,
            idle_since: None,
            actions: Vec::new(),
        }
    }

    /// Handles one event that occurred at `now`. Returns the actions in the order in which to execute them.
    pub fn handle(&mut self, now: MonoTime, event: DispatchEvent) -> Vec<DispatchAction> {
        self.handle_batch(now, Duration::ZERO, vec![event])
    }

    /// Handles the events that have been received by `now`; the oldest of them was received `lag` earlier. Frames of agents are
    /// handled before callers' requests: they free capacity and renew leases. Tasks are placed once, after all events. After a stall,
    /// requests are kept and no task is placed until [`DispatchEvent::CallersConfirmed`].
    pub fn handle_batch(&mut self, now: MonoTime, lag: Duration, events: Vec<DispatchEvent>) -> Vec<DispatchAction> {
        let gap = now.since(self.now);
        if gap > STALL_THRESHOLD {
            // This process was stalled and received nothing meanwhile. Missing reports don't mean that the agents were silent.
            // For the same reason, what has waited meanwhile doesn't show that the process has too much to do.
            self.resumed_at = now;
        } else {
            self.load.record_lag(now, lag);
        }
        if let Some(number) = self.resume_barrier.record_gap(now, gap) {
            self.log(format!("event=resumed gap_ms={} confirmation={number}", gap.as_millis()));
            self.actions.push(DispatchAction::ConfirmCallers(number));
        }
        self.now = self.now.max(now);
        let (requests, others): (Vec<_>, Vec<_>) = events.into_iter().partition(|event| matches!(event, DispatchEvent::Requested { .. }));
        // A caller may have disconnected since it sent its request.
        let is_disconnected = |request: &DispatchEvent| {
            let DispatchEvent::Requested { reply, .. } = request else {
                return false;
            };
            others.iter().any(|event| matches!(event, DispatchEvent::CallerDisconnected(other) if other == reply))
        };
        let (withdrawn, requests): (Vec<_>, Vec<_>) = requests.into_iter().partition(is_disconnected);
        self.log_withdrawn(&withdrawn);
        others.into_iter().for_each(|event| self.handle_event(event));
        if self.now >= self.next_maintenance_at {
            self.next_maintenance_at = self.now + MAINTENANCE_INTERVAL;
            self.run_maintenance();
        }
        self.update_load();
        if self.resume_barrier.expire(self.now) {
            self.log("event=callers_unconfirmed".to_owned());
        }
        if !self.resume_barrier.is_raised() {
            let kept = self.resume_barrier.take_requests();
            kept.into_iter().for_each(|(reply, request)| self.handle_request(reply, request));
        }
        requests.into_iter().for_each(|event| self.handle_event(event));
        self.update_homes(gap);
        self.place_ready_tasks();
        self.flush_orders();
        self.flush_peer_frames();
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, event: DispatchEvent) {
        match event {
            DispatchEvent::Requested { reply, request } if self.resume_barrier.is_raised() => {
                self.resume_barrier.keep_request(reply, request);
            }
            DispatchEvent::Requested { reply, request } => self.handle_request(reply, request),
            DispatchEvent::CallersConfirmed(number) => {
                if let Some(waited) = self.resume_barrier.confirm(self.now, number) {
                    self.log(format!("event=callers_confirmed waited_ms={}", waited.as_millis()));
                }
            }
            DispatchEvent::CallerDisconnected(reply) => {
                self.resume_barrier.drop_request(reply);
                self.handle_disconnected_caller(reply);
            }
            DispatchEvent::Frame { session, frame } => self.handle_frame(session, frame),
            DispatchEvent::SessionClosed(session) => self.handle_lost_session(session, "broken"),
            DispatchEvent::Peer(event) => self.handle_peer(event),
            DispatchEvent::PlanRead(plan) => self.handle_plan(&plan, "platform"),
            DispatchEvent::EntriesRead(entries) => self.handle_entries(entries),
            DispatchEvent::Drain => self.start_drain(),
            DispatchEvent::Tick => {}
        }
    }

    fn log_withdrawn(&mut self, withdrawn: &[DispatchEvent]) {
        for event in withdrawn {
            if let DispatchEvent::Requested { request, .. } = event {
                self.log(format!("event=request_withdrawn host={} path={}", request.host, request.path));
            }
        }
    }

    /// Records how many reports are late. Reports that waited while this process was stalled don't count.
    fn record_delayed_reports(&mut self) {
        let has_settled = self.now.since(self.resumed_at) >= RESUME_GRACE;
        let share = if has_settled { self.worker_registry.delayed_share(self.load.lag_max()) } else { 0.0 };
        self.load.record_delayed_share(share);
    }

    /// Notices whether the entry is behind, and logs each change.
    fn update_load(&mut self) {
        let (is_strained, has_changed) = self.load.update(self.now);
        if has_changed {
            let (jobs, share) = (self.job_table.jobs().count(), self.worker_registry.delayed_share(self.load.lag_max()));
            self.log(format!("event=load_changed strained={is_strained} delayed_share={share:.2} jobs={jobs}"));
        }
    }

    /// Returns the table of open jobs.
    pub fn job_table(&self) -> &JobTable {
        &self.job_table
    }

    /// Returns the registry of known workers.
    pub fn worker_registry(&self) -> &WorkerRegistry {
        &self.worker_registry
    }

    /// Returns the newest plan that this entry knows.
    pub fn plan(&self) -> &SitePlan {
        &self.plan
    }

    /// Returns whether callers should open new connections to this entry.
    pub fn is_ready(&self) -> bool {
        let has_workers = self.worker_registry.workers().any(|worker| worker.session.is_some());
        self.plan.table.is_some() && has_workers && self.draining_since.is_none()
    }

    /// Returns whether the entry is behind, so that it admits no jobs.
    pub fn is_strained(&self) -> bool {
        self.load.is_strained()
    }

    /// Returns the number of hellos that were ignored because they were delivered after that of a later session.
    pub fn outdated_hellos(&self) -> u64 {
        self.outdated_hellos
    }

    /// Returns the number of speeds reported by agents that were refused because they can't be true.
    pub fn refused_speeds(&self) -> u64 {
        self.worker_registry.refused_speeds()
    }

    /// Returns whether the entry is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Runs the periodic checks of sessions, workers and jobs.
    fn run_maintenance(&mut self) {
        self.close_silent_sessions();
        self.update_quarantine();
        self.update_speeds();
        self.record_slow_workers();
        self.record_delayed_reports();
        self.expire_agents();
        self.expire_late_jobs();
        self.maintain_peers();
        self.announce_jobs();
        self.job_table.evict_final_phases(self.now);
        self.worker_registry.remove_lost(self.now, LOST_AGENT_AGE_MAX);
    }

    fn log(&mut self, line: String) {
        self.actions.push(DispatchAction::Log(line));
    }

    fn start_drain(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
            self.log(format!("event=drain_started jobs={}", self.job_table.jobs().count()));
        }
    }

    /// Returns whether new jobs are refused because the process is about to exit.
    pub(super) fn refuses_new_jobs(&self) -> bool {
        self.draining_since.is_some_and(|since| self.now.since(since) >= self.options.drain_delay)
    }

    /// Returns whether a caller waits for a job that is open here or at another entry, or runs of a job are being stopped.
    fn has_jobs(&self) -> bool {
        self.job_table.jobs().next().is_some() || self.job_homes.has_claims()
    }

    fn finish_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let waited = self.now.since(since);
        let is_idle = self.refuses_new_jobs() && !self.has_jobs() && !self.resume_barrier.has_requests();
        let idle_since = *self.idle_since.get_or_insert(self.now);
        if !is_idle {
            self.idle_since = None;
        }
        let is_flushed = is_idle && self.now.since(idle_since) >= FLUSH_DELAY;
        if is_flushed || waited >= self.options.drain_timeout {
            self.log(format!("event=drained jobs_left={}", self.job_table.jobs().count()));
            self.actions.push(DispatchAction::Drained);
        }
    }
}
