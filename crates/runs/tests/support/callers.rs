//! Callers that submit jobs and submit them again where a connection broke.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, JobDraft, RequestKind};

/// Time after which a caller submits a job again that broke off.
pub const RESUBMIT_AFTER: Duration = Duration::from_millis(1_300);
/// How long callers wait.
pub const PATIENCE: Duration = Duration::from_millis(2_500);

/// A `CallerState` is one caller with its job.
#[derive(Clone, Debug)]
pub struct CallerState {
    /// The job.
    pub id: CallerJobId,
    /// What it submits.
    pub draft: JobDraft,
    /// The open request: its reply and its entry.
    pub open: Option<(ReplyId, usize)>,
    /// The answers that came.
    pub answers: Vec<(MonoTime, CallerAnswer)>,
    /// How often the job was submitted.
    pub tries: u32,
    /// When it was first submitted.
    pub first_at: MonoTime,
}

impl CallerState {
    /// Returns a caller whose job has a step of `width` tasks.
    pub fn new(number: u64, width: u16, estimate: u64) -> Self {
        let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
        let step = JobStep { count: width, demand, estimate: Millis(estimate), ..JobStep::default() };
        let draft = JobDraft { payload: SmolStr::new(format!("job-{number}")), steps: vec![step], ..JobDraft::default() };
        Self { id: CallerJobId(0xabc0_0000 + number), draft, open: None, answers: Vec::new(), tries: 0, first_at: MonoTime::ZERO }
    }

    /// Returns the request that submits the job.
    pub fn request(&self) -> CallerRequest {
        CallerRequest {
            host: SmolStr::new_static("desk.example"),
            path: SmolStr::new(format!("/bids/{}", self.id)),
            caller_timeout: Some(PATIENCE),
            kind: RequestKind::Submit(self.draft.clone()),
        }
    }

    /// Returns whether the job was refused each time it was submitted, so that nothing of it may ever run.
    pub fn is_refused(&self) -> bool {
        let is_refusal = |answer: &CallerAnswer| matches!(answer, CallerAnswer::Refused { .. });
        self.answers.len() as u32 == self.tries && self.tries > 0 && self.answers.iter().all(|(_, answer)| is_refusal(answer))
    }
}

/// The callers by their open requests.
pub type OpenRequests = BTreeMap<(usize, ReplyId), usize>;
