//! Simulated callers, which submit a job and resubmit it when the connection breaks before an answer.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, JobDraft, RequestKind};

/// Delay before a caller resubmits a job whose request was abandoned or lost its connection.
pub const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// Time that callers wait for an answer, sent with each request.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A simulated caller with its single job.
#[derive(Clone, Debug)]
pub struct CallerState {
    /// The id that the caller chose for its job.
    pub id: CallerJobId,
    /// The job as submitted.
    pub draft: JobDraft,
    /// Reply id and entry of the request that waits for an answer.
    pub open_request: Option<(ReplyId, usize)>,
    /// The answers received, with their times.
    pub answers: Vec<(MonoTime, CallerAnswer)>,
    /// Number of times the job was submitted to a running entry.
    pub submissions: u32,
    /// Time of the first submission.
    pub first_submitted_at: MonoTime,
}

impl CallerState {
    /// Returns a caller whose job has one step of `width` tasks, each estimated at `estimate` milliseconds.
    pub fn new(number: u64, width: u16, estimate: u64) -> Self {
        let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
        let step = JobStep { count: width, demand, estimate: Millis(estimate), ..JobStep::default() };
        let draft = JobDraft { payload: SmolStr::new(format!("job-{number}")), steps: vec![step], ..JobDraft::default() };
        Self {
            id: CallerJobId(0xabc0_0000 + number),
            draft,
            open_request: None,
            answers: Vec::new(),
            submissions: 0,
            first_submitted_at: MonoTime::ZERO,
        }
    }

    /// Returns the request that submits the job.
    pub fn request(&self) -> CallerRequest {
        CallerRequest {
            host: SmolStr::new_static("desk.example"),
            path: SmolStr::new(format!("/bids/{}", self.id)),
            caller_timeout: Some(CALLER_TIMEOUT),
            kind: RequestKind::Submit(self.draft.clone()),
        }
    }

    /// Returns whether every submission was answered with a refusal, which guarantees that no task of the job ever runs.
    pub fn is_refused(&self) -> bool {
        let is_refusal = |answer: &CallerAnswer| matches!(answer, CallerAnswer::Refused { .. });
        self.answers.len() as u32 == self.submissions && self.submissions > 0 && self.answers.iter().all(|(_, answer)| is_refusal(answer))
    }
}

/// Maps the entry and reply id of each open request to the index of its caller.
pub type OpenRequests = BTreeMap<(usize, ReplyId), usize>;
