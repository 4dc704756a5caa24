//! Outcomes of tasks and answers of jobs. Each is a value; none is an exception.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::Millis;

/// Why a task was not run. It is said only with proof that the task never started and never will for its ticket's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The deadline passed before a worker was free.
    Deadline,
    /// The caller cancelled the job.
    Cancelled,
    /// Another task of the job failed, so the job's answer was already decided.
    JobFailed,
}

impl NotRunReason {
    /// Returns the reason as it stands in the callers' API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::JobFailed => "job_failed",
        }
    }
}

/// Why it is not known whether a task ran. Such a task is never run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The worker restarted after the task was sent there.
    WorkerRestarted,
    /// The worker could not be asked before the deadline.
    WorkerUnreachable,
    /// The task had started and the job was decided before it ended.
    StillRunning,
    /// The task ran and its answer was no longer kept.
    AnswerDropped,
}

impl UnknownReason {
    /// Returns the reason as it stands in the callers' API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkerRestarted => "worker_restarted",
            Self::WorkerUnreachable => "worker_unreachable",
            Self::StillRunning => "still_running",
            Self::AnswerDropped => "answer_dropped",
        }
    }
}

/// A `TaskOutcome` is the one final word on a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The task ran and answered.
    Done(String),
    /// The task ran, or was handed to the upstream, and failed.
    Failed(SmolStr),
    /// The task never started.
    NotRun(NotRunReason),
    /// The task may have started; it is not run again.
    Unknown(UnknownReason),
}

impl TaskOutcome {
    /// Returns whether the task ran and answered.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_))
    }

    /// Returns the outcome's name as it stands in logs, metrics and the callers' API.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::Failed(_) => "failed",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// A `JobAnswer` is a job's whole answer: one outcome a task, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// One outcome for each task of the job.
    pub outcomes: Vec<TaskOutcome>,
}

impl JobAnswer {
    /// Returns whether every task ran and answered.
    pub fn is_complete(&self) -> bool {
        self.outcomes.iter().all(TaskOutcome::is_done)
    }

    /// Returns the bytes that the answer's texts hold.
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

/// Why a call of a caller or an operator was refused. The variant's name in kebab case is its stable code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The body or a parameter is not valid.
    BadRequest,
    /// The ticket's text is malformed or its authentication code does not verify.
    TicketForged,
    /// The ticket's lifetime is over, or its answer is no longer kept.
    TicketExpired,
    /// An earlier owner of the ticket's home may have answered or run the job, and what it knew is lost. The job is
    /// never run again.
    AnswerLost,
    /// Another body was submitted under the same ticket.
    BodyConflict,
    /// No job was submitted under the ticket.
    JobMissing,
    /// No worker could ever hold a task of the job.
    NeverRunnable,
    /// The service is not announced by any upstream.
    ServiceUnknown,
    /// The deadline cannot be met with the work already accepted.
    DeadlineInfeasible,
    /// The queue or the team's share of it is full.
    Overloaded,
    /// The entry is draining.
    Draining,
    /// The ticket's home cannot be reached and could not be adopted yet.
    HomeUnreachable,
    /// Another entry owns the ticket's home now.
    HomeFenced,
    /// The platform's store, which this call needs, does not answer.
    PlatformDown,
    /// A conflicting change was accepted after the revision that this one is based on.
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

    /// Returns whether the refusal proves that this call started nothing under its ticket, now or earlier.
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

/// A `CallRefusal` says that a call had no effect of its own, why, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    /// The stable code.
    pub code: RefusalCode,
    /// One sentence for a person.
    pub detail: SmolStr,
    /// When the same call may succeed, in milliseconds, where that is known.
    pub retry_after_ms: Option<Millis>,
}

impl CallRefusal {
    /// Returns a refusal that gives no time to come back.
    pub fn new(code: RefusalCode, detail: impl fmt::Display) -> Self {
        Self { code, detail: SmolStr::new(detail.to_string()), retry_after_ms: None }
    }

    /// Returns the refusal with a time to come back.
    pub fn retry_after(self, wait: Millis) -> Self {
        Self { retry_after_ms: Some(wait), ..self }
    }
}
