//! What callers ask and what they are answered.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::{CallerJobId, JobStep};

/// A `CallerRequest` is one request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The host that the caller addressed.
    pub host: SmolStr,
    /// The path.
    pub path: SmolStr,
    /// How long the caller waits, where it says.
    pub caller_timeout: Option<Duration>,
    /// What is asked.
    pub kind: RequestKind,
}

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits the job that the path names.
    Submit(JobDraft),
    /// Asks for the state of the job that the path names, or for the length of the queue.
    Query,
    /// Cancels the job that the path names.
    Cancel,
}

/// A `JobDraft` is a submitted job before its name is read from the path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDraft {
    /// The text handed to every task.
    pub payload: SmolStr,
    /// The steps.
    pub steps: Vec<JobStep>,
    /// Whether the job must outlive every process from its acceptance on.
    pub is_durable: bool,
    /// A property of the job that is not served, if it has one.
    pub unsupported: Option<&'static str>,
}

/// A `CallerAnswer` is what a caller is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job has ended.
    Ended(JobPhase),
    /// The job's state.
    Phase(JobPhase),
    /// No such job is known.
    UnknownJob,
    /// The job was cancelled.
    Cancelled,
    /// Jobs of the route of which no task has started.
    QueueLength(usize),
    /// No route matches.
    NoRoute,
    /// Not accepted: nothing of the job has run or will run.
    Refused {
        /// Why.
        reason: &'static str,
        /// When a new try makes sense.
        retry_after: Duration,
    },
    /// Given up after some of it may have run; nothing of it is at work any more.
    Abandoned(&'static str),
    /// The request makes no sense.
    Malformed(SmolStr),
}

/// A `JobPhase` is the state of a job as callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Succeeded,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// What the rest of a path behind its route's prefix names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathTarget {
    /// The queue itself.
    Queue,
    /// A job.
    Job(CallerJobId),
    /// Nothing that is served.
    Nothing,
}

/// Returns what `rest`, the path behind the prefix, names.
pub(super) fn parse_target(rest: &str) -> PathTarget {
    if rest.is_empty() {
        return PathTarget::Queue;
    }
    rest.parse().map_or(PathTarget::Nothing, PathTarget::Job)
}
