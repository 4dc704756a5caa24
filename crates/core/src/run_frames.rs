//! Frames between agents and entries about leased runs. An agent opens the session with a [`RunFrame::Hello`].

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::caller_job::{ResourceAmount, RunId};
use crate::ids::{AgentId, Incarnation, ServiceName, ZoneName};
use crate::site_plan::SitePlan;
use crate::units::Millis;

/// A `RunFrame` goes from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFrame {
    /// Opens the session.
    Hello(RunHello),
    /// Reports ends and the worker's state, and asks for the session's lease.
    Report(RunReport),
    /// Hands on the newest plan the agent knows.
    Plan(Box<SitePlan>),
}

/// A `RunHello` introduces an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHello {
    /// The agent's stable name.
    pub agent: AgentId,
    /// The agent's run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Version of the plan that the agent holds.
    pub plan_version: u64,
    /// Runs of earlier sessions with this entry that may still be at work.
    pub unsettled: Vec<RunId>,
}

/// A `RunReport` tells what happened since the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Names this report; the entry's next frame repeats it and thereby renews the session's lease.
    pub nonce: u64,
    /// Runs that ended or never began.
    pub ends: Vec<RunEnd>,
    /// What the worker has taken for all entries, queued starts included.
    pub used: ResourceAmount,
    /// The part of `used` that belongs to this entry.
    pub used_by_entry: ResourceAmount,
    /// The worker; absent while it is unchanged since the last report, or unknown.
    pub worker: Option<WorkerInfo>,
    /// Whether the agent takes no more starts.
    pub is_closed: bool,
    /// Version of the routes that the agent keeps; zero for none.
    pub plan_version: u64,
    /// Running tasks whose progress has stopped or fallen behind, with the share done in percent.
    pub progress: Vec<RunProgress>,
}

/// A `WorkerInfo` is what a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker's name.
    pub worker: SmolStr,
    /// The service it serves.
    pub service: ServiceName,
    /// What it holds.
    pub capacity: ResourceAmount,
    /// Its kind and rack.
    pub labels: Vec<SmolStr>,
    /// Whether it takes starts.
    pub is_ready: bool,
    /// How much longer it is slow after its start.
    pub cold: Millis,
}

/// A `RunProgress` is how far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// Share of its work that is done.
    pub percent: u8,
    /// Time since its start.
    pub elapsed: Millis,
}

/// A `RunEnd` is how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Time from the start call to the end.
    pub ran: Millis,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task's work is done.
    Done,
    /// The run failed by the task's or the worker's fault.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run's lease lapsed, or its worker is gone.
    Lost,
    /// The worker had no room.
    NoRoom,
    /// The worker refused to start anything.
    Shed,
    /// The start was not answered; it was stopped before it counted.
    Unanswered,
    /// The agent or its worker takes no more starts.
    Closed,
}

impl RunOutcome {
    /// Returns whether the worker may have done some of the work.
    pub fn has_run(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Stopped | Self::Lost)
    }
}

/// An `OrderFrame` goes from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderFrame {
    /// Starts and stops, and the renewal of the session's lease.
    Orders(RunOrders),
    /// The plan; without the routes to agents that need not keep them.
    Plan(Box<SitePlan>),
    /// Asks for the plan that the agent keeps.
    PlanWanted,
    /// Addresses at which entries accept sessions.
    Entries(Vec<SmolStr>),
}

/// `RunOrders` are what an entry wants of one agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrders {
    /// The newest nonce received.
    pub echoed_nonce: u64,
    /// The texts that the starts refer to.
    pub payloads: Vec<SmolStr>,
    /// Runs to start.
    pub starts: Vec<RunStart>,
    /// Runs to stop.
    pub stops: Vec<RunId>,
}

/// A `RunStart` is one run to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The run.
    pub run: RunId,
    /// What it occupies.
    pub demand: ResourceAmount,
    /// Place of the task's text among the payloads of the frame.
    pub payload: u16,
}
