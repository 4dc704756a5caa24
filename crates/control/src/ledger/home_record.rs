//! The jobs of one home, open and answered.

use std::collections::BTreeMap;
use std::sync::Arc;

use vanillacleat_core::frames::{FenceInventory, HandedAnswer, TaskStatus};
use vanillacleat_core::ids::WorkerKey;
use vanillacleat_core::job::BodyDigest;
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode, TaskOutcome, UnknownReason};
use vanillacleat_core::units::Generation;

use super::job_record::{JobRecord, SlotState};
use super::LedgerFinding;
use crate::ReplyId;

/// An `AdoptedInventory` is what all agents together know of an adopted home's tasks.
#[derive(Clone, Debug, Default)]
pub struct AdoptedInventory {
    /// Whether a task that is not listed is proved never to have started.
    pub is_whole: bool,
    /// Serials below this one are forgotten by some agent.
    pub expired_below: u64,
    /// Started tasks by serial and index.
    pub started: BTreeMap<u64, BTreeMap<u16, (WorkerKey, TaskStatus)>>,
}

impl AdoptedInventory {
    /// Adds what one agent told.
    pub fn merge(&mut self, worker: &WorkerKey, told: FenceInventory) {
        self.expired_below = self.expired_below.max(told.expired_below);
        for result in told.started {
            let job = self.started.entry(result.key.serial).or_default();
            job.insert(result.key.task, (worker.clone(), result.status));
        }
    }
}

/// A `HomeRecord` holds the jobs of one home.
#[derive(Debug, Default)]
pub(super) struct HomeRecord {
    pub(super) generation: Generation,
    pub(super) is_fenced: bool,
    pub(super) inventory: Option<AdoptedInventory>,
    pub(super) jobs: BTreeMap<u64, HeldJob>,
    pub(super) expired_below: u64,
}

/// A `HeldJob` is a job with its body's digest.
#[derive(Debug)]
pub(super) struct HeldJob {
    pub(super) digest: BodyDigest,
    pub(super) state: JobState,
}

/// A `JobState` is open, or answered with the answer while it is kept.
#[derive(Debug)]
pub(super) enum JobState {
    Open(Box<JobRecord>),
    Answered(Option<Arc<JobAnswer>>),
}

impl HomeRecord {
    pub(super) fn insert(&mut self, serial: u64, digest: BodyDigest, state: JobState) {
        self.jobs.insert(serial, HeldJob { digest, state });
    }

    pub(super) fn find_unused(&self, serial: u64) -> LedgerFinding {
        let adopted_below = self.inventory.as_ref().map_or(0, |inventory| inventory.expired_below);
        if serial < self.expired_below.max(adopted_below) {
            return LedgerFinding::Refused(CallRefusal::new(RefusalCode::TicketExpired, "the ticket's lifetime is over"));
        }
        LedgerFinding::Unused
    }

    /// Returns the slots of a new job, with what an adopted home's agents know of it.
    pub(super) fn initial_slots(&mut self, serial: u64, tasks: usize) -> Vec<SlotState> {
        let Some(inventory) = &mut self.inventory else {
            return vec![SlotState::Waiting { attempts: 0 }; tasks];
        };
        let mut started = inventory.started.remove(&serial).unwrap_or_default();
        let is_whole = inventory.is_whole;
        (0..tasks as u16).map(|task| adopted_slot(started.remove(&task), is_whole)).collect()
    }

    pub(super) fn purge(&mut self, expired_below: u64) {
        if expired_below <= self.expired_below {
            return;
        }
        self.expired_below = expired_below;
        let young = self.jobs.split_off(&expired_below);
        let old = std::mem::replace(&mut self.jobs, young);
        let open = old.into_iter().filter(|(_, job)| matches!(job.state, JobState::Open(_)));
        self.jobs.extend(open);
    }

    pub(super) fn open_serials(&self) -> Vec<u64> {
        self.jobs.iter().filter(|(_, job)| matches!(job.state, JobState::Open(_))).map(|(serial, _)| *serial).collect()
    }

    pub(super) fn answer(&mut self, serial: u64, is_proven: bool) -> (Vec<ReplyId>, Arc<JobAnswer>) {
        let job = self.jobs.get_mut(&serial).expect("the job is open");
        let JobState::Open(record) = &mut job.state else {
            unreachable!("a job is answered once");
        };
        let waiters = std::mem::take(&mut record.waiters);
        let answer = Arc::new(record.take_answer(is_proven));
        job.state = JobState::Answered(Some(answer.clone()));
        (waiters, answer)
    }

    pub(super) fn handed_answers(&self) -> Vec<HandedAnswer> {
        let answered = self.jobs.iter().filter_map(|(serial, job)| match &job.state {
            JobState::Answered(answer) => Some((serial, job.digest, answer)),
            JobState::Open(_) => None,
        });
        answered.map(|(serial, digest, answer)| HandedAnswer { serial: *serial, digest, answer: answer.as_deref().cloned() }).collect()
    }
}

fn adopted_slot(known: Option<(WorkerKey, TaskStatus)>, is_whole: bool) -> SlotState {
    match known {
        Some((_, TaskStatus::Ended(outcome))) => SlotState::Ended(outcome),
        Some((worker, _)) => SlotState::Sent { worker, attempt: 0 },
        None if is_whole => SlotState::Waiting { attempts: 0 },
        None => SlotState::Ended(TaskOutcome::Unknown(UnknownReason::HomeLost)),
    }
}
