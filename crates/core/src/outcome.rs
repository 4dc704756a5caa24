//! Outcomes of tasks, answers of jobs and refusals of calls. All of them are ordinary values, not errors.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::Millis;

/// Why a task was not run. Reported only with proof that the task never started and never will under its ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The deadline passed before a worker had free capacity.
    Deadline,
    /// The caller cancelled the job.
    Cancelled,
    /// Another task of the job failed, which already decided the job's answer.
    JobFailed,
}

impl NotRunReason {
    /// Returns the reason's name in the callers' API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::JobFailed => "job_failed",
        }
    }
}

/// Why it is unknown whether a task ran. Such a task is never run again, because it might run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The worker restarted after the task was sent there.
    WorkerRestarted,
    /// The worker could not be reached before the deadline.
    WorkerUnreachable,
    /// The task had started but had not ended when the job's answer was decided.
    StillRunning,
    /// The task ran, but its answer is no longer retained.
    AnswerDropped,
}

impl UnknownReason {
    /// Returns the reason's name in the callers' API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkerRestarted => "worker_restarted",
            Self::WorkerUnreachable => "worker_unreachable",
            Self::StillRunning => "still_running",
            Self::AnswerDropped => "answer_dropped",
        }
    }
}

/// The final outcome of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The task ran, and the upstream returned this answer.
    Done(String),
    /// The task ran, or was sent to the upstream, and failed for this reason.
    Failed(SmolStr),
    /// The task never started.
    NotRun(NotRunReason),
    /// The task may have started. It is not run again.
    Unknown(UnknownReason),
}

impl TaskOutcome {
    /// Returns whether the task ran and its upstream answered.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }

    /// Returns the outcome's name, as used in logs, metrics and the callers' API.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Failed(_) => "failed",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// The complete answer of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// One outcome per task, in the order of the tasks.
    pub outcomes: Vec<TaskOutcome>,
}

impl JobAnswer {
    /// Returns whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.outcomes.iter().all(TaskOutcome::is_done)
    }

    /// Returns the total length of the outcomes' texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        self.outcomes.iter().map(outcome_bytes).sum()
    }
}

fn outcome_bytes(outcome: &TaskOutcome) -> usize {
    match outcome {
        TaskOutcome::Done(text) => text.len(),
        TaskOutcome::Failed(text) => text.len(),
        TaskOutcome::NotRun(_) | TaskOutcome::Unknown(_) => 0,
    }
}

/// Why a call of a caller or an operator was refused. The variant's name in kebab case is its stable code in the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The body or a parameter is not valid.
    BadRequest,
    /// The ticket's text is malformed, or its authentication code does not verify.
    TicketForged,
    /// The ticket has expired, or the job's answer is no longer retained.
    TicketExpired,
    /// An earlier owner of the ticket's home may have answered or run the job, and its records are lost. The job is
    /// never run again.
    AnswerLost,
    /// A different body was already submitted under the same ticket.
    BodyConflict,
    /// No job was submitted under the ticket.
    JobMissing,
    /// No worker has the capacity for a task of the job.
    NeverRunnable,
    /// No upstream announces the service.
    ServiceUnknown,
    /// The deadline cannot be met, given the work that is already accepted.
    DeadlineInfeasible,
    /// The queue, or the team's share of it, is full.
    Overloaded,
    /// The entry is draining.
    Draining,
    /// The ticket's home is unreachable and has not been adopted yet.
    HomeUnreachable,
    /// Another entry owns, or may own, the ticket's home.
    HomeFenced,
    /// The call needs the platform's store, which does not answer.
    PlatformDown,
    /// A conflicting change was accepted after the revision on which this change is based.
    ChangeConflict,
}

impl RefusalCode {
    /// Returns the stable code.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::TicketForged => "ticket-forged",
            Self::TicketExpired => "ticket-expired",
            Self::AnswerLost => "answer-lost",
            Self::BodyConflict => "body-conflict",
            Self::JobMissing => "job-missing",
            Self::NeverRunnable => "never-runnable",
            Self::ServiceUnknown => "service-unknown",
            Self::DeadlineInfeasible => "deadline-infeasible",
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::HomeUnreachable => "home-unreachable",
            Self::HomeFenced => "home-fenced",
            Self::PlatformDown => "platform-down",
            Self::ChangeConflict => "change-conflict",
        }
    }

    /// Returns whether the refusal proves that nothing has ever run under the call's ticket.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::BadRequest
                | Self::TicketForged
                | Self::JobMissing
                | Self::NeverRunnable
                | Self::ServiceUnknown
                | Self::DeadlineInfeasible
                | Self::Overloaded
                | Self::Draining
        )
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Refusal of a call. The call had no effect; the refusal gives the reason and, where known, the time after which to
/// retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    /// The stable code.
    pub code: RefusalCode,
    /// A human-readable explanation in one sentence.
    pub detail: SmolStr,
    /// Time after which the same call may succeed, in milliseconds; absent where it is not known.
    pub retry_after_ms: Option<Millis>,
}

impl CallRefusal {
    /// Returns a refusal without a retry time.
    pub fn new(code: RefusalCode, detail: impl fmt::Display) -> Self {
        Self { code, detail: SmolStr::new(detail.to_string()), retry_after_ms: None }
    }

    /// Returns the refusal with the time after which the caller may retry.
    pub fn retry_after(self, wait: Millis) -> Self {
        Self { retry_after_ms: Some(wait), ..self }
    }
}
