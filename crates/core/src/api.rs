//! Bodies of the callers' and operators' HTTP interface.

use crate::config::ConfigEdit;
use crate::ids::ChangeId;
use crate::outcome::{JobAnswer, TaskOutcome};
use crate::units::Revision;
use serde::{Deserialize, Serialize};

/// A `TicketList` is the answer to a call for tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketList {
    /// The tickets.
    pub tickets: Vec<String>,
}

/// A `JobView` is a job's answer, or that there is none yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// `complete`, `failed` or `pending`.
    pub verdict: String,
    /// One outcome for each task; empty while pending.
    pub outcomes: Vec<OutcomeView>,
}

/// An `OutcomeView` is a task's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeView {
    /// `done`, `failed`, `not_run` or `unknown`.
    pub outcome: String,
    /// The upstream's answer, if done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// The reason, if not done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// A `ChangeRequest` is a change of the configuration as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The change's id; submitting it again has no further effect.
    pub id: ChangeId,
    /// The revision that the operator saw.
    pub based_on: Revision,
    /// The edits, which take effect together.
    pub edits: Vec<ConfigEdit>,
}

impl JobView {
    /// Returns the view of an answer.
    pub fn from_answer(answer: &JobAnswer) -> Self {
        let verdict = if answer.is_complete() { "complete" } else { "failed" };
        Self { verdict: verdict.to_owned(), outcomes: answer.outcomes.iter().map(OutcomeView::from_outcome).collect() }
    }

    /// Returns the view of a job that is not answered yet.
    pub fn pending() -> Self {
        Self { verdict: "pending".to_owned(), outcomes: Vec::new() }
    }
}

impl OutcomeView {
    fn from_outcome(outcome: &TaskOutcome) -> Self {
        let (answer, reason) = match outcome {
            TaskOutcome::Done(text) => (Some(text.clone()), None),
            TaskOutcome::Failed(cause) => (None, Some(cause.to_string())),
            TaskOutcome::NotRun(reason) => (None, Some(reason.as_str().to_owned())),
            TaskOutcome::Unknown(reason) => (None, Some(reason.as_str().to_owned())),
        };
        Self { outcome: outcome.name().to_owned(), answer, reason }
    }
}

/// A `ProblemBody` is the body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// The stable code.
    pub code: String,
    /// Always `refused`.
    pub outcome: String,
    /// `no` if it is proved that nothing ran under the call's ticket, else `unknown`.
    pub ran: String,
    /// One sentence for a person.
    pub detail: String,
    /// When the same call may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
