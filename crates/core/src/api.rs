//! Request and response bodies of the HTTP API for callers and operators.

use crate::config::ConfigEdit;
use crate::ids::ChangeId;
use crate::outcome::{JobAnswer, TaskOutcome};
use crate::units::Revision;
use serde::{Deserialize, Serialize};

/// Response to a request for tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketList {
    /// The issued tickets, in their text form.
    pub tickets: Vec<String>,
}

/// Response to a request for a job's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// `complete` if every task is done, `failed` if the answer has another outcome, `pending` before there is an
    /// answer.
    pub verdict: String,
    /// One outcome per task, in the order of the tasks; empty while pending.
    pub outcomes: Vec<OutcomeView>,
}

/// A task's outcome, as callers receive it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeView {
    /// `done`, `failed`, `not_run` or `unknown`.
    pub outcome: String,
    /// The upstream's answer, if the outcome is `done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// The reason for any other outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// A change of the configuration, as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Identifies the change, which makes it idempotent: submitting it again has no further effect.
    pub id: ChangeId,
    /// The revision that the operator read before making the change.
    pub based_on: Revision,
    /// The edits, which take effect together or not at all.
    pub edits: Vec<ConfigEdit>,
}

impl JobView {
    /// Returns the response for an answered job.
    pub fn from_answer(answer: &JobAnswer) -> Self {
        let verdict = if answer.is_complete() { "complete" } else { "failed" };
        Self { verdict: verdict.to_owned(), outcomes: answer.outcomes.iter().map(OutcomeView::from_outcome).collect() }
    }

    /// Returns the response for a job that has no answer yet.
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

/// Body of the response to a call that was refused, or to a single request whose task did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// The stable code of the refusal; see [`RefusalCode`](crate::outcome::RefusalCode). For a single request, `request-`
    /// followed by the name of the outcome.
    pub code: String,
    /// `refused`, or the outcome of a single request's task.
    pub outcome: String,
    /// `no` if it is proven that nothing ran under the call's ticket, `yes` if a single request's task ran and failed,
    /// otherwise `unknown`.
    pub ran: String,
    /// A human-readable explanation in one sentence.
    pub detail: String,
    /// Time after which the same call may succeed, in milliseconds; absent where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
