//! Requests of callers and their answers, independent of the HTTP encoding.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::{CallerJobId, JobStep};

/// Holds one request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The host that the caller addressed, without the port.
    pub host: SmolStr,
    /// The path, which selects the route and names the job.
    pub path: SmolStr,
    /// How long the caller waits for the answer, if the request states it.
    pub caller_timeout: Option<Duration>,
    /// The operation.
    pub kind: RequestKind,
}

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits the job that the path names.
    Submit(JobDraft),
    /// Reads the state of the job that the path names, or the length of the route's queue if it names none.
    Query,
    /// Cancels the job that the path names.
    Cancel,
}

/// Holds a submitted job without its id, which is part of the request's path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDraft {
    /// The text that every task receives.
    pub payload: SmolStr,
    /// The steps, in the order of their numbers.
    pub steps: Vec<JobStep>,
    /// Whether the job, once accepted, must survive the loss of any process.
    pub is_durable: bool,
    /// The reason to refuse the job, if it has a property that entries don't support.
    pub unsupported: Option<&'static str>,
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The submitted job has ended in this phase.
    Ended(JobPhase),
    /// The current phase of the queried job.
    Phase(JobPhase),
    /// No such job is known.
    UnknownJob,
    /// The job was cancelled.
    Cancelled,
    /// The number of jobs of the route of which no task has started.
    QueueLength(usize),
    /// No route matches the host and path.
    NoRoute,
    /// The job was refused: no task of it has run or will run.
    Refused {
        /// The reason, as callers receive it.
        reason: &'static str,
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// The job was abandoned, for this reason, after tasks of it may have run. No task of it is running now, except if
    /// the entry exited while the job was open: its runs then end with their leases.
    Abandoned(&'static str),
    /// The request is invalid, for this reason.
    Malformed(SmolStr),
}

impl CallerAnswer {
    /// Returns the name of the kind of answer, as metrics show it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ended(_) => "ended",
            Self::Phase(_) | Self::QueueLength(_) => "read",
            Self::UnknownJob => "unknown",
            Self::Cancelled => "cancelled",
            Self::NoRoute => "no_route",
            Self::Refused { .. } => "refused",
            Self::Abandoned(_) => "abandoned",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Succeeded,
    /// A task failed as often as its route allows.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// What a path refers to after its route's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathTarget {
    /// The route's queue.
    Queue,
    /// The job with this id.
    Job(CallerJobId),
    /// Neither of them.
    Unknown,
}

/// Parses `rest`, the part of the path after the route's prefix.
pub(super) fn parse_target(rest: &str) -> PathTarget {
    if rest.is_empty() {
        return PathTarget::Queue;
    }
    rest.parse().map_or(PathTarget::Unknown, PathTarget::Job)
}
