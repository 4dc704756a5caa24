//! Frames between the entries of leased runs. Each side of a link sends a [`PeerFrame::Hello`] first.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::caller_job::CallerJobId;
use crate::ids::{Incarnation, ServiceName, ZoneName};
use crate::run_frames::SessionOrder;
use crate::units::Millis;

/// A frame from an entry to another entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Introduces the sender.
    Hello(PeerHello),
    /// Shows that the sender is alive, and reports its load if that has changed.
    Pulse(PeerPulse),
    /// Asks whether the receiver holds these jobs. Each is answered with a [`JobReport`].
    Queries(Vec<JobQuery>),
    /// Answers queries, and reports later how the jobs have ended.
    Reports(JobReports),
    /// The sender's callers wait for these jobs no more.
    Withdrawals(Vec<CallerJobId>),
    /// The sender runs these jobs itself; the receiver stops its runs of them.
    Takeovers(Vec<CallerJobId>),
}

impl PeerFrame {
    /// Returns the name that is used in logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Pulse(_) => "pulse",
            Self::Queries(_) => "queries",
            Self::Reports(_) => "reports",
            Self::Withdrawals(_) => "withdrawals",
            Self::Takeovers(_) => "takeovers",
        }
    }
}

/// Introduces an entry to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Where the entry accepts sessions, as the platform's store lists it.
    pub address: SmolStr,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// The place of this link among all that the entries at this address have opened.
    pub order: SessionOrder,
    /// The entry's availability zone.
    pub zone: ZoneName,
}

/// Shows that an entry is alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerPulse {
    /// The sender's clock, in milliseconds since the start of its process.
    pub clock: Millis,
    /// The latest clock of the receiver that the sender has received. What the receiver holds for the sender is leased from it.
    pub echo: Millis,
    /// The sender's load; absent if it is unchanged.
    pub load: Option<PeerLoad>,
}

/// The load of an entry, rounded so that small changes need no frame.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Whether the entry is behind, so that it admits no jobs.
    pub is_strained: bool,
    /// Whether the entry is draining.
    pub is_draining: bool,
    /// The load of each service of which the entry knows workers, in the order of their names.
    pub services: Vec<ServiceLoad>,
}

impl PeerLoad {
    /// Returns whether an entry with the other load accepts jobs just as this one.
    pub fn has_same_state(&self, other: &Self) -> bool {
        (self.is_strained, self.is_draining) == (other.is_strained, other.is_draining)
    }
}

/// The load of a service at an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Expected free capacity of the workers in the zones that are in service, in cores.
    pub free_cores: u32,
    /// Estimated time until the waiting work has been started; absent if no worker is known to serve it.
    pub queue_wait: Option<Millis>,
}

/// Asks whether an entry holds a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobQuery {
    /// The job.
    pub job: CallerJobId,
    /// How long the asking entry's caller still waits for the answer.
    pub patience: Millis,
}

/// What an entry knows of jobs that it was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReports {
    /// The sender's clock, in milliseconds since the start of its process.
    pub clock: Millis,
    /// The jobs with their states.
    pub reports: Vec<JobReport>,
}

/// What an entry knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// The job.
    pub job: CallerJobId,
    /// The state.
    pub state: HeldState,
}

/// The state of a job at the entry that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldState {
    /// The entry does not hold the job.
    Unknown,
    /// The job is open there. Its end will be reported.
    Open,
    /// The job has ended there.
    Ended(JobVerdict),
}

/// How a job ended at the entry that held it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobVerdict {
    /// All tasks are done.
    Succeeded,
    /// A task failed as often as its route allows.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
    /// The job was refused: no task of it has run at the entry.
    Refused,
    /// The job was abandoned after tasks of it may have run. None runs any more.
    Abandoned,
}
