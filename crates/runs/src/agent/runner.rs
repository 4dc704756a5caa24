//! The control state of an agent. The agent is the only process that calls its worker, and so the only one that starts
//! leased runs there.

mod call_pacing;
mod crashes;
mod incarnation_end;
mod incarnations;
mod lease_polls;
mod orders;
mod reporting;
mod silence;
mod slowness;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::{AgentId, Incarnation, ZoneName};
use vanillacleat_core::run_frames::{EndSign, EntryRecord, OrderFrame, RunFrame, RunOutcome};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::MonoTime;

use super::calls::{WorkerCall, WorkerReply};
use super::crash_records::CrashRecords;
use super::entry_selection::EntrySelection;
use super::run_speeds::RunSpeeds;
use super::run_table::{RunState, RunTable, StopCause};
use super::session_lease::SessionLease;
use super::worker_incarnation::{WorkerIncarnation, WorkerNotice};
use crate::{LeaseTerms, WorkerPerformance};

/// Increment of a fencing token that the worker rejected as too low. Tokens are taken from the wall clock in
/// milliseconds, which may have been set back since an earlier agent of this host took its token.
const FENCING_TOKEN_STEP: u64 = 60_000;

/// The configuration with which an agent starts.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// The agent's stable name.
    pub agent: AgentId,
    /// Identifies this run of the agent's process.
    pub incarnation: Incarnation,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// Addresses of the entries to dial first.
    pub entries: Vec<SmolStr>,
    /// Initial fencing token, which also orders the agent's sessions. Later agents of the same host start with higher ones.
    pub fencing_token: u64,
    /// Durations of the leases.
    pub lease_terms: LeaseTerms,
    /// Maximum time that a draining agent waits for its runs. It stops those that are left shortly before.
    pub drain_timeout: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An input of the control state.
#[derive(Clone, Debug)]
pub enum RunnerEvent {
    /// A session with the entry at `address` was opened.
    SessionOpened {
        /// The session.
        session: SessionId,
        /// Where the entry listens.
        address: SmolStr,
    },
    /// A session was closed or lost, or a dial failed.
    SessionClosed {
        /// The session; absent if the dial failed.
        session: Option<SessionId>,
        /// Where the entry listens.
        address: SmolStr,
    },
    /// A frame from an entry was received.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: OrderFrame,
    },
    /// A heartbeat of the worker was received.
    WorkerHeartbeat(WorkerNotice),
    /// The worker with this name deregistered because it is exiting.
    WorkerDeregistered(SmolStr),
    /// A call to the worker was answered or timed out.
    Replied {
        /// The agent's number for the worker incarnation that was called, from [`RunnerAction::Call`].
        incarnation_number: u64,
        /// The result of the call.
        reply: WorkerReply,
    },
    /// The host was suspended for this time since the event before, or since the start. The clock of the worker, which is on the same
    /// host, stood still, unlike the times that come with events.
    HostSuspended(Duration),
    /// The entries were read from the store or the settings.
    EntriesRead(Vec<EntryRecord>),
    /// The process was asked to drain and exit.
    Drain,
    /// Periodic maintenance is due.
    Tick,
}

/// An output of the control state, to be executed by the process.
#[derive(Clone, Debug)]
pub enum RunnerAction {
    /// Opens a session with the entry at this address.
    Dial(SmolStr),
    /// Sends a frame to an entry over a session.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: RunFrame,
    },
    /// Closes a session.
    Close(SessionId),
    /// Sends a call to the worker.
    Call {
        /// The agent's number for the worker incarnation, to be repeated in [`RunnerEvent::Replied`].
        incarnation_number: u64,
        /// Name of the worker that has to execute the call; any other worker at the address rejects it.
        worker: SmolStr,
        /// The agent's fencing token.
        fencing_token: u64,
        /// The call.
        call: WorkerCall,
    },
    /// Writes a log line of key=value pairs.
    Log(String),
    /// Counts the end of a run in a metric.
    EndRecorded {
        /// The outcome of the run.
        outcome: RunOutcome,
        /// What showed the end.
        sign: EndSign,
    },
    /// The agent has drained, and the process may exit.
    Drained,
}

/// The complete control state of one agent. Handles events and returns the actions to execute.
#[derive(Debug)]
pub struct RunnerControl {
    now: MonoTime,
    options: RunnerOptions,
    fencing_token: u64,
    incarnation: Option<WorkerIncarnation>,
    /// The last incarnation that the agent has lost, for the log.
    lost_incarnation: Option<incarnations::LostIncarnation>,
    /// A heartbeat of another incarnation than the current one, until the worker has confirmed or refuted it.
    successor: Option<WorkerNotice>,
    /// Name and start of the incarnation at which the runs in the table were started, if it is not the current one.
    former: Option<(SmolStr, u64)>,
    /// Changes with each incarnation that begins or ends, so that replies to calls of an earlier one are ignored.
    incarnation_number: u64,
    runs: RunTable,
    crash_records: CrashRecords,
    /// The speed of the worker, learned from the runs of all entries.
    speeds: RunSpeeds,
    /// What the latest runs show of the worker, relative to its usual speed.
    performance: WorkerPerformance,
    /// Whether the log says that the worker has become slow.
    is_slow: bool,
    sessions: BTreeMap<SessionId, SessionLease>,
    /// Number of the last session that was introduced to an entry.
    last_session_number: u64,
    next_selection_at: MonoTime,
    selection: EntrySelection,
    rng: ChaCha8Rng,
    plan: SitePlan,
    polls: lease_polls::PollState,
    /// When all runs at the worker have ended unless a further call extends its lease, whichever incarnation received the calls so far.
    /// Zero before the first one.
    lease_bound: MonoTime,
    /// When the worker last answered a call.
    worker_answered_at: MonoTime,
    drain_started_at: Option<MonoTime>,
    actions: Vec<RunnerAction>,
}

impl RunnerControl {
    /// Returns the control state of an agent that has just started.
    pub fn new(options: RunnerOptions) -> Self {
        Self {
            now: MonoTime::ZERO,
            fencing_token: options.fencing_token,
            incarnation: None,
            lost_incarnation: None,
            successor: None,
            former: None,
            incarnation_number: 0,
            runs: RunTable::default(),
            crash_records: CrashRecords::default(),
            speeds: RunSpeeds::default(),
            performance: WorkerPerformance::default(),
            is_slow: false,
            sessions: BTreeMap::new(),
            last_session_number: 0,
            next_selection_at: MonoTime::ZERO,
            selection: EntrySelection::new(&options.agent, &options.zone, &options.entries),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            plan: SitePlan::default(),
            polls: lease_polls::PollState::default(),
            lease_bound: MonoTime::ZERO,
            worker_answered_at: MonoTime::ZERO,
            drain_started_at: None,
            actions: Vec::new(),
            options,
        }
    }

    /// Handles an event that occurred at `now` and returns the actions to execute, in order.
    pub fn handle(&mut self, now: MonoTime, event: RunnerEvent) -> Vec<RunnerAction> {
        self.now = self.now.max(now);
        self.check_sessions();
        match event {
            RunnerEvent::SessionOpened { session, address } => self.handle_session_opened(session, address),
            RunnerEvent::SessionClosed { session, address } => self.handle_session_closed(session, &address),
            RunnerEvent::Frame { session, frame } => self.handle_frame(session, frame),
            RunnerEvent::WorkerHeartbeat(notice) => self.handle_heartbeat(notice),
            RunnerEvent::WorkerDeregistered(worker) => self.handle_deregistration(&worker),
            RunnerEvent::Replied { incarnation_number, reply } => self.handle_reply(incarnation_number, reply),
            RunnerEvent::HostSuspended(duration) => self.record_suspension(duration),
            RunnerEvent::EntriesRead(entries) => self.add_entries(entries),
            RunnerEvent::Drain => self.start_drain(),
            RunnerEvent::Tick => {}
        }
        self.start_queued();
        self.retry_starts();
        self.send_stops();
        self.finish_leaving();
        self.probe_successor();
        self.poll_lease();
        self.send_reports();
        if self.now >= self.next_selection_at {
            self.update_selection();
        }
        self.dial_entries();
        self.finish_drain();
        std::mem::take(&mut self.actions)
    }

    /// Returns the runs that entries ordered at the worker.
    pub fn run_table(&self) -> &RunTable {
        &self.runs
    }

    /// Returns the number of speeds told by entries that were refused because they can't be true.
    pub fn refused_speeds(&self) -> u64 {
        self.speeds.refused()
    }

    /// Returns how often the worker has crashed while it ran something.
    pub fn crash_count(&self) -> u64 {
        self.crash_records.crash_count()
    }

    /// Returns the number of open sessions with entries.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns a dump of the agent's state for operators.
    pub fn dump(&self) -> Value {
        let runs = self.runs.iter().map(|(run, record)| {
            json!({ "run": run.to_string(), "entry": record.entries(), "state": format!("{:?}", record.state), "ordered": record.ordered_at.to_string() })
        });
        json!({
            "agent": self.options.agent,
            "now": self.now.to_string(),
            "fencing_token": self.fencing_token,
            "plan_version": self.plan.version(),
            "zones_out": self.plan.zones_out,
            "worker": self.incarnation.as_ref().map(|incarnation| format!("{:?}", incarnation.notice)),
            "is_settled": self.incarnation.as_ref().is_some_and(|incarnation| incarnation.is_settled),
            "sessions": self.sessions.values().map(|lease| lease.address.clone()).collect::<Vec<_>>(),
            "runs": runs.collect::<Vec<_>>(),
            "speeds": self.speeds.speeds().map(|speed| (speed.route.to_string(), json!({
                "typical_percent": speed.typical_percent, "high_percent": speed.high_percent, "runs": speed.runs,
            }))).collect::<serde_json::Map<_, _>>(),
            "speeds_refused": self.speeds.refused(),
            "slowness_percent": self.slowness_percent(),
        })
    }

    fn handle_reply(&mut self, incarnation_number: u64, reply: WorkerReply) {
        if incarnation_number != self.incarnation_number || self.incarnation.is_none() {
            return;
        }
        if let WorkerReply::LeasePoll(number, reply) = &reply {
            if self.polls.probe.as_ref().is_some_and(|probe| probe.number == *number) {
                return self.handle_probe_reply(reply);
            }
        }
        if reply.is_answer() {
            self.worker_answered_at = self.now;
            self.polls.pacing.record_answer();
        } else {
            self.polls.pacing.record_unanswered(self.now);
            self.polls.lossy_until = self.now + lease_polls::LOSSY_INTERVAL;
        }
        match reply {
            WorkerReply::Start(run, reply) => self.handle_start_reply(run, reply),
            WorkerReply::Stop(run, reply) => self.handle_stop_reply(run, reply),
            WorkerReply::LeasePoll(number, reply) => self.handle_poll_reply(number, reply),
        }
    }

    fn record_clock(&mut self, clock: u64) {
        let now = self.now;
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.clock.record(now, clock);
        }
    }

    /// Records that the worker's clock stood still, so that the leases that it was granted last that much longer. Its runs stood still as
    /// well, and their run times don't include that time.
    fn record_suspension(&mut self, duration: Duration) {
        let running = self.runs.iter_mut().filter(|(_, record)| matches!(record.state, RunState::Running { .. }));
        running.for_each(|(_, record)| record.started_at = record.started_at + duration);
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.clock.record_suspension(duration);
        }
        if self.lease_bound > MonoTime::ZERO {
            self.lease_bound = self.lease_bound + duration;
        }
        let lease_left = self.worker_lease_left().as_millis();
        self.log(format!("event=host_suspended ms={} runs={} lease_left_ms={lease_left}", duration.as_millis(), self.runs.len()));
    }

    /// Raises the fencing token after the worker rejected it, because an earlier agent of this host used a higher one.
    fn raise_fencing_token(&mut self) {
        self.fencing_token += FENCING_TOKEN_STEP;
        self.log(format!("event=fencing_token_raised token={}", self.fencing_token));
    }

    fn call_worker(&mut self, call: WorkerCall) {
        let Some(incarnation) = &self.incarnation else {
            return;
        };
        let (worker, fencing_token) = (incarnation.notice.worker.clone(), self.fencing_token);
        self.actions.push(RunnerAction::Call { incarnation_number: self.incarnation_number, worker, fencing_token, call });
    }

    fn log(&mut self, line: String) {
        self.actions.push(RunnerAction::Log(line));
    }

    fn start_drain(&mut self) {
        if self.drain_started_at.is_some() {
            return;
        }
        self.drain_started_at = Some(self.now);
        self.log(format!("event=drain_started runs={}", self.runs.len()));
        let queued = self.runs.select(|record| record.state == RunState::Queued);
        queued.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Closed, EndSign::NeverSent));
    }

    fn finish_drain(&mut self) {
        let Some(started_at) = self.drain_started_at else {
            return;
        };
        let waited = self.now.since(started_at);
        if waited + self.lapse_timeout() >= self.options.drain_timeout {
            let runs = self.runs.select(|_| true);
            runs.iter().for_each(|run| self.stop_run(run, StopCause::Draining));
        }
        if self.runs.is_empty() || waited >= self.options.drain_timeout {
            // The ends of the remaining runs are not known. Their entries place them again once every lease has ended.
            self.log(format!("event=drained runs_left={}", self.runs.len()));
            self.actions.push(RunnerAction::Drained);
        }
    }
}
