//! Frames for leased runs. An agent opens a session with a [`RunFrame::Hello`].

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::caller_job::{ResourceAmount, RunId, TaskId};
use crate::ids::{AgentId, Incarnation, ProcessStart, ServiceName, ZoneName};
use crate::site_plan::SitePlan;
use crate::units::Millis;

/// A frame from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFrame {
    /// Opens the session.
    Hello(RunHello),
    /// Reports ended runs and the worker's state, and requests a renewal of the session's lease.
    Report(RunReport),
    /// Sends the newest site plan that the agent knows.
    Plan(Box<SitePlan>),
    /// Reports the runs of all entries that the worker was running when it crashed. Sent before the report of their ends.
    Crashes(Vec<CrashedRun>),
}

/// Introduces an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHello {
    /// The agent's stable name.
    pub agent: AgentId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The place of this session among all that the agent has opened.
    pub order: SessionOrder,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// Version of the site plan that the agent holds.
    pub plan_version: u64,
    /// Runs from earlier sessions with this entry that may still be running.
    pub unsettled: Vec<OrderedRun>,
}

/// The place of a session among all sessions that the processes of one agent open. Sessions are separate connections, so a
/// hello may be delivered after that of a later session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionOrder {
    /// The start of the agent's process.
    pub process_start: ProcessStart,
    /// The number of the session within the process, counted from one.
    pub number: u64,
}

impl fmt::Display for SessionOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.process_start, self.number)
    }
}

/// Identifies an order to start a run. A [`RunId`] may be ordered again, by another entry or after its job was removed and
/// submitted again, because the runs of a job are counted from one at each entry. An order id never repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// The incarnation of the entry that sent the order.
    pub entry: Incarnation,
    /// The number of the order within the incarnation, counted from one.
    pub number: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.entry, self.number)
    }
}

/// A run with the order that started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderedRun {
    /// The run.
    pub run: RunId,
    /// The order.
    pub order: OrderId,
}

/// Reports what changed since the previous report, and how much of the worker is in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The agent's clock when it sent the report, in milliseconds since the start of its process.
    pub sent_at: Millis,
    /// Whether the entry has to answer with a frame, which renews the session's lease or shows that the entry is reachable.
    pub needs_answer: bool,
    /// Number of entries that the agent has sessions with. They share the worker's capacity.
    pub entries: u32,
    /// Runs that ended, or that never started.
    pub ends: Vec<RunEnd>,
    /// Resources used by the runs of all entries, including queued starts.
    pub used: ResourceAmount,
    /// The part of `used` that this entry's runs use.
    pub used_by_entry: ResourceAmount,
    /// The worker's description; absent if it is unknown or unchanged since the previous report.
    pub worker: Option<WorkerInfo>,
    /// Whether the agent rejects new starts.
    pub is_closed: bool,
    /// Version of the routes that the agent holds; zero if it holds none.
    pub plan_version: u64,
    /// Progress of this entry's runs, from which the entry detects those that have stalled or fallen behind.
    pub progress: Vec<RunProgress>,
    /// The worker's speeds that have changed noticeably since they were last reported.
    pub speeds: Vec<RouteSpeed>,
    /// How much longer the latest runs of all entries take than runs at this worker usually do, in percent; zero unless several jobs show
    /// that it has become slow.
    pub slowness_percent: u32,
}

/// A run that a worker was told to start before it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run's task.
    pub task: TaskId,
    /// The job's route.
    pub route: SmolStr,
    /// Start of the worker's incarnation, in Unix milliseconds.
    pub born: u64,
    /// What is known of the run.
    pub stage: CrashStage,
}

/// What was known of a run when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashStage {
    /// The worker has not answered the start and may not have received it.
    Unconfirmed,
    /// The worker had just started the run.
    Starting,
    /// The worker was seen running the run for some time.
    Running,
}

/// How long the runs of one route take at a worker, relative to the callers' estimates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpeed {
    /// The route's name.
    pub route: SmolStr,
    /// Median of run time by estimate, in percent.
    pub typical_percent: u32,
    /// Ninetieth percentile of run time by estimate, in percent.
    pub high_percent: u32,
    /// Number of runs that this was learned from.
    pub runs: u32,
}

impl RouteSpeed {
    /// Returns the median of run time by estimate.
    pub fn typical_ratio(&self) -> f64 {
        f64::from(self.typical_percent) / 100.0
    }
}

/// The speeds that an entry knows of an agent's worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownSpeeds {
    /// The kind of the worker at which they were learned.
    pub kind: Option<SmolStr>,
    /// The speeds, by route.
    pub routes: Vec<RouteSpeed>,
}

/// A worker's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker's name.
    pub worker: SmolStr,
    /// The service whose tasks it runs.
    pub service: ServiceName,
    /// Total capacity of the worker.
    pub capacity: ResourceAmount,
    /// Labels of the worker: its kind, then others such as its rack.
    pub labels: Vec<SmolStr>,
    /// Whether the worker accepts starts.
    pub is_ready: bool,
    /// Time for which the worker will still be slow after its own start.
    pub cold: Millis,
    /// Minimum time until the worker leaves; absent unless it has given notice.
    pub leaves_in: Option<Millis>,
}

impl WorkerInfo {
    /// Returns the label that names the worker's kind, if it has labels.
    pub fn kind(&self) -> Option<&SmolStr> {
        self.labels.first()
    }
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// The order that started it.
    pub order: OrderId,
    /// Share of the work that is done, in percent.
    pub percent: u8,
    /// Time since the start of the run.
    pub elapsed: Millis,
}

/// The end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub run: RunId,
    /// The order that this answers.
    pub order: OrderId,
    /// The outcome of the run.
    pub outcome: RunOutcome,
    /// Time from the start call to the end of the run.
    pub ran: Millis,
    /// Why the run counts as ended.
    pub evidence: EndEvidence,
}

/// Why a run counts as ended, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndEvidence {
    /// What showed the end.
    pub sign: EndSign,
    /// Maximum age of the last list of runs that the worker returned; at an entry, age of the agent's last contact. Absent
    /// if there was none.
    pub age: Option<Millis>,
    /// Time until the lease under which the run may be running ends, as reckoned by the process that records the end. Zero
    /// if it has ended.
    pub lease_left: Millis,
}

impl fmt::Display for EndEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "evidence={} evidence_age_ms=", self.sign.as_str())?;
        match self.age {
            Some(age) => write!(f, "{age}")?,
            None => f.write_str("none")?,
        }
        write!(f, " lease_left_ms={}", self.lease_left)
    }
}

/// What showed that a run has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndSign {
    /// The start call was never sent to the worker.
    #[default]
    NeverSent,
    /// The worker rejected the only start call.
    Rejected,
    /// The worker listed the run as ended.
    Listed,
    /// The worker had confirmed the run, and a list that was requested later does not contain it.
    Unlisted,
    /// The worker accepted a stop, and a list that was requested later does not contain the run.
    StopConfirmed,
    /// The worker rejected a start as outdated, and a list that was requested later does not contain the run.
    OutdatedUnlisted,
    /// The worker has received a call with a higher fencing token than the start's, and its list does not contain the run.
    FencedUnlisted,
    /// The incarnation that ran it has ended: another one at the worker's address returned a list.
    LaterList,
    /// The worker answered no polls until its lease must have ended.
    WorkerSilent,
    /// The same, and no list showed within the transit time of a call what became of a start that was not answered.
    StartUnresolved,
    /// At an entry: a new incarnation of the agent opened a session.
    AgentRestarted,
    /// At an entry: the agent opened a session and did not name the run as unsettled.
    NotUnsettled,
    /// At an entry: the agent was silent for the loss timeout.
    AgentExpired,
    /// The worker's address refused connections until its lease must have ended: the worker's process is gone.
    WorkerGone,
}

impl EndSign {
    /// Returns the name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NeverSent => "never_sent",
            Self::Rejected => "rejected",
            Self::Listed => "listed",
            Self::Unlisted => "unlisted",
            Self::StopConfirmed => "stop_confirmed",
            Self::OutdatedUnlisted => "outdated_unlisted",
            Self::FencedUnlisted => "fenced_unlisted",
            Self::LaterList => "later_list",
            Self::WorkerSilent => "worker_silent",
            Self::StartUnresolved => "start_unresolved",
            Self::AgentRestarted => "agent_restarted",
            Self::NotUnsettled => "not_unsettled",
            Self::AgentExpired => "agent_expired",
            Self::WorkerGone => "worker_gone",
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The run failed because of the task or the worker.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run's lease expired, or its worker was lost.
    Lost,
    /// The worker had no free capacity for the run.
    NoRoom,
    /// The worker is unhealthy and shed the start.
    Shed,
    /// The start call was not answered and the run was stopped before it was known to be running, or the worker
    /// rejected the call as fenced, outdated or late.
    Unanswered,
    /// The agent or its worker accepts no more starts.
    Closed,
}

impl RunOutcome {
    /// Returns the name that is used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lost => "lost",
            Self::NoRoom => "no_room",
            Self::Shed => "shed",
            Self::Unanswered => "unanswered",
            Self::Closed => "closed",
        }
    }

    /// Returns whether the worker may have done a part of the task's work.
    pub fn has_run(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Stopped | Self::Lost)
    }
}

/// A frame from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderFrame {
    /// Starts and stops runs, and renews the session's lease.
    Orders(RunOrders),
    /// Sends the site plan. The routes are left out for agents that need not hold them.
    Plan(Box<SitePlan>),
    /// Requests the site plan that the agent holds.
    PlanRequest,
    /// Sends the entries that the platform's store lists.
    Entries(Vec<EntryRecord>),
    /// Sends what the entry knows of the worker's speeds, after the hello of a process that may not know them.
    Speeds(KnownSpeeds),
}

/// An entry as agents know it before they open a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Where the entry accepts sessions.
    pub address: SmolStr,
    /// The entry's availability zone; absent if only the address is known.
    pub zone: Option<ZoneName>,
    /// The processor capacity of the entry's host, in millicores; zero if it is unknown.
    pub millicores: u64,
}

/// Runs that an agent is to start and to stop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrders {
    /// A time on the agent's clock that has certainly passed when the entry sends this frame, in milliseconds. The session's
    /// lease counts from it.
    pub leased_from: Millis,
    /// The payloads that the starts refer to by index.
    pub payloads: Vec<SmolStr>,
    /// The routes that the starts refer to by index.
    pub routes: Vec<SmolStr>,
    /// Runs to start.
    pub starts: Vec<RunStart>,
    /// Runs to stop.
    pub stops: Vec<OrderedRun>,
}

/// One run to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The run.
    pub run: RunId,
    /// Identifies this order.
    pub order: OrderId,
    /// Resources that the run occupies.
    pub demand: ResourceAmount,
    /// Index of the task's payload in [`RunOrders::payloads`].
    pub payload: u16,
    /// Index of the job's route in [`RunOrders::routes`].
    pub route: u16,
    /// The caller's estimate of the run time; zero if there is none.
    pub estimate: Millis,
}
