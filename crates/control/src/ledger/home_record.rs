//! The jobs of one home, open and answered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use vanillacleat_core::frames::{FenceInventory, HandoverAnswer, TaskStatus};
use vanillacleat_core::ids::WorkerKey;
use vanillacleat_core::job::BodyDigest;
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode, TaskOutcome};
use vanillacleat_core::units::Generation;

use super::job_record::{JobRecord, SlotState};
use super::LedgerFinding;
use crate::ReplyId;

/// An `AdoptedInventory` is what all agents together know of an adopted home's tasks.
#[derive(Clone, Debug, Default)]
pub struct AdoptedInventory {
    /// From this serial on, a task that is not listed is proved never to have started.
    pub provable_from: u64,
    /// Serials below this one are forgotten by some agent.
    pub expired_below: u64,
    /// Jobs that an earlier owner answered as failed.
    pub sealed: BTreeSet<u64>,
    /// Started tasks by serial and index.
    pub started: BTreeMap<u64, BTreeMap<u16, (WorkerKey, TaskStatus)>>,
}

impl AdoptedInventory {
    /// Adds what one agent told.
    pub fn merge(&mut self, worker: &WorkerKey, told: FenceInventory) {
        self.expired_below = self.expired_below.max(told.expired_below);
        self.sealed.extend(told.sealed);
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
    pub(super) unused_from: u64,
}

/// A `HeldJob` is a job with its body's digest.
#[derive(Debug)]
pub(super) struct HeldJob {
    pub(super) digest: BodyDigest,
    pub(super) state: JobState,
}

/// A `JobState` is open, then perhaps being sealed, then answered with the answer while it is kept.
#[derive(Debug)]
pub(super) enum JobState {
    Open(Box<JobRecord>),
    Sealing { answer: Arc<JobAnswer>, waiters: Vec<ReplyId> },
    Answered(Option<Arc<JobAnswer>>),
}

impl HomeRecord {
    pub(super) fn insert(&mut self, serial: u64, digest: BodyDigest, state: JobState) {
        self.unused_from = self.unused_from.max(serial + 1);
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
        (0..tasks as u16).map(|task| adopted_slot(started.remove(&task))).collect()
    }

    pub(super) fn expire_tickets(&mut self, expired_below: u64) {
        if expired_below <= self.expired_below {
            return;
        }
        self.expired_below = expired_below;
        let young = self.jobs.split_off(&expired_below);
        let old = std::mem::replace(&mut self.jobs, young);
        let open = old.into_iter().filter(|(_, job)| !matches!(job.state, JobState::Answered(_)));
        self.jobs.extend(open);
    }

    pub(super) fn unanswered_serials(&self) -> Vec<u64> {
        self.jobs.iter().filter(|(_, job)| !matches!(job.state, JobState::Answered(_))).map(|(serial, _)| *serial).collect()
    }

    /// Returns why an adopted home's job can't be served: what an earlier owner knew of it is lost.
    ///
    /// Below the provable serials an agent that can't be asked may hold a seal, so even a whole list of done tasks may
    /// differ from an answer given before.
    pub(super) fn loss_refusal(&self, serial: u64) -> Option<CallRefusal> {
        let inventory = self.inventory.as_ref()?;
        let started = inventory.started.get(&serial);
        let is_dropped = |status: &TaskStatus| matches!(status, TaskStatus::Ended(TaskOutcome::Unknown(_)));
        let has_dropped = started.is_some_and(|job| job.values().any(|(_, status)| is_dropped(status)));
        let is_lost = inventory.sealed.contains(&serial) || has_dropped || serial < inventory.provable_from;
        let detail = "an earlier owner of the ticket's home may have answered or run the job; it is not run again";
        is_lost.then(|| CallRefusal::new(RefusalCode::AnswerLost, detail))
    }

    /// Fixes the answer of an open job whose tasks have all ended. A failed one is to be sealed first.
    pub(super) fn decide(&mut self, serial: u64) -> (Vec<ReplyId>, Arc<JobAnswer>, bool) {
        let job = self.jobs.get_mut(&serial).expect("the job is open");
        let JobState::Open(record) = &mut job.state else {
            unreachable!("a job is decided once");
        };
        let waiters = std::mem::take(&mut record.waiters);
        let needs_seal = !record.is_private;
        let answer = Arc::new(record.take_answer());
        let needs_seal = needs_seal && !answer.is_complete();
        job.state = match needs_seal {
            true => JobState::Sealing { answer: answer.clone(), waiters: waiters.clone() },
            false => JobState::Answered(Some(answer.clone())),
        };
        (waiters, answer, needs_seal)
    }

    /// Releases the answer of a sealed job, once.
    pub(super) fn release(&mut self, serial: u64) -> Option<(Vec<ReplyId>, Arc<JobAnswer>)> {
        let job = self.jobs.get_mut(&serial)?;
        let JobState::Sealing { answer, waiters } = &mut job.state else {
            return None;
        };
        let (waiters, answer) = (std::mem::take(waiters), answer.clone());
        job.state = JobState::Answered(Some(answer.clone()));
        Some((waiters, answer))
    }

    pub(super) fn handover_answers(&self) -> Vec<HandoverAnswer> {
        let answered = self.jobs.iter().filter_map(|(serial, job)| match &job.state {
            JobState::Answered(answer) => Some((serial, job.digest, answer)),
            JobState::Open(_) | JobState::Sealing { .. } => None,
        });
        answered.map(|(serial, digest, answer)| HandoverAnswer { serial: *serial, digest, answer: answer.as_deref().cloned() }).collect()
    }
}

fn adopted_slot(known: Option<(WorkerKey, TaskStatus)>) -> SlotState {
    match known {
        Some((_, TaskStatus::Ended(outcome))) => SlotState::Ended(outcome),
        Some((worker, _)) => SlotState::Sent { worker, attempt: 0 },
        None => SlotState::Waiting { attempts: 0 },
    }
}
