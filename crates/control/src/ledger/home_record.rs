//! The jobs of one home, open and answered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use vanillacleat_core::frames::{FenceInventory, HandoverAnswer, TaskStatus};
use vanillacleat_core::ids::WorkerKey;
use vanillacleat_core::job::BodyDigest;
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode, TaskOutcome};
use vanillacleat_core::units::Generation;

use super::job_record::{JobRecord, TaskProgress};
use super::LookupResult;
use crate::ReplyId;

/// The merged inventories of all agents for an adopted home.
#[derive(Clone, Debug, Default)]
pub struct AdoptedInventory {
    /// For a job with this serial or a higher one, a task that is not listed in `started` has provably never started.
    pub provable_from: u64,
    /// Some agent may have removed its records of jobs with serials lower than this one.
    pub expired_below: u64,
    /// Serials of the jobs that an earlier owner answered as failed.
    pub sealed: BTreeSet<u64>,
    /// Started tasks by serial and task index, each with its worker.
    pub started: BTreeMap<u64, BTreeMap<u16, (WorkerKey, TaskStatus)>>,
}

impl AdoptedInventory {
    /// Adds the inventory that one agent reported.
    pub fn merge(&mut self, worker: &WorkerKey, received: FenceInventory) {
        self.expired_below = self.expired_below.max(received.expired_below);
        self.sealed.extend(received.sealed);
        for result in received.started {
            let job = self.started.entry(result.key.serial).or_default();
            job.insert(result.key.task, (worker.clone(), result.status));
        }
    }
}

/// The jobs of one home and the state of its ownership.
#[derive(Debug, Default)]
pub(super) struct HomeRecord {
    pub(super) generation: Generation,
    pub(super) is_fenced: bool,
    /// The agents' inventory, if the home was adopted.
    pub(super) inventory: Option<AdoptedInventory>,
    pub(super) jobs: BTreeMap<u64, StoredJob>,
    pub(super) expired_below: u64,
    /// No job with this serial or a higher one has been accepted.
    pub(super) unused_from: u64,
}

/// A job with the digest of its body.
#[derive(Debug)]
pub(super) struct StoredJob {
    pub(super) digest: BodyDigest,
    pub(super) state: JobState,
}

/// The state of a job.
///
/// A failed job passes through `Sealing` before it is answered, unless its ticket is known only inside this entry.
#[derive(Debug)]
pub(super) enum JobState {
    /// Not all tasks have ended.
    Open(Box<JobRecord>),
    /// Failed; the answer is withheld until an agent has recorded the seal.
    Sealing { answer: Arc<JobAnswer>, waiters: Vec<ReplyId> },
    /// Answered. The answer is absent once it has been evicted or acknowledged.
    Answered(Option<Arc<JobAnswer>>),
}

impl HomeRecord {
    pub(super) fn insert(&mut self, serial: u64, digest: BodyDigest, state: JobState) {
        self.unused_from = self.unused_from.max(serial + 1);
        self.jobs.insert(serial, StoredJob { digest, state });
    }

    /// Returns the lookup result for a serial under which no job is known.
    pub(super) fn lookup_without_job(&self, serial: u64) -> LookupResult {
        let adopted_below = self.inventory.as_ref().map_or(0, |inventory| inventory.expired_below);
        if serial < self.expired_below.max(adopted_below) {
            return LookupResult::Refused(CallRefusal::new(RefusalCode::TicketExpired, "the ticket's lifetime is over"));
        }
        LookupResult::Unused
    }

    /// Returns the progress of a new job's tasks. For an adopted home, it includes what the agents reported of them.
    pub(super) fn initial_progress(&mut self, serial: u64, tasks: usize) -> Vec<TaskProgress> {
        let Some(inventory) = &mut self.inventory else {
            return vec![TaskProgress::Waiting { attempts: 0 }; tasks];
        };
        let mut started = inventory.started.remove(&serial).unwrap_or_default();
        (0..tasks as u16).map(|task| adopted_progress(started.remove(&task))).collect()
    }

    pub(super) fn expire_tickets(&mut self, expired_below: u64) {
        if expired_below <= self.expired_below {
            return;
        }
        self.expired_below = expired_below;
        let kept = self.jobs.split_off(&expired_below);
        let expired = std::mem::replace(&mut self.jobs, kept);
        let open = expired.into_iter().filter(|(_, job)| !matches!(job.state, JobState::Answered(_)));
        self.jobs.extend(open);
    }

    pub(super) fn unanswered_serials(&self) -> Vec<u64> {
        self.jobs.iter().filter(|(_, job)| !matches!(job.state, JobState::Answered(_))).map(|(serial, _)| *serial).collect()
    }

    /// Returns the refusal of an adopted home's job whose earlier outcome is lost.
    ///
    /// Such a job is refused because an earlier owner may have run or answered it, and it must not run again.
    ///
    /// For serials lower than `provable_from`, an agent that did not report may hold a seal of the job. The job may
    /// then have been answered as failed even if the inventory lists all of its tasks as done.
    pub(super) fn loss_refusal(&self, serial: u64) -> Option<CallRefusal> {
        let inventory = self.inventory.as_ref()?;
        let started = inventory.started.get(&serial);
        let is_dropped = |status: &TaskStatus| matches!(status, TaskStatus::Ended(TaskOutcome::Unknown(_)));
        let has_dropped = started.is_some_and(|job| job.values().any(|(_, status)| is_dropped(status)));
        let is_lost = inventory.sealed.contains(&serial) || has_dropped || serial < inventory.provable_from;
        let detail = "an earlier owner of the ticket's home may have answered or run the job; it is not run again";
        is_lost.then(|| CallRefusal::new(RefusalCode::AnswerLost, detail))
    }

    /// Fixes the answer of an open job whose tasks have all ended.
    ///
    /// Returns the waiters, the answer, and whether the job must be sealed before it is answered.
    pub(super) fn finalize(&mut self, serial: u64) -> (Vec<ReplyId>, Arc<JobAnswer>, bool) {
        let job = self.jobs.get_mut(&serial).expect("an open job has a record");
        let JobState::Open(record) = &mut job.state else {
            unreachable!("a job is finalized only once");
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

    /// Returns the answer and waiters of a job that was being sealed, and marks the job as answered.
    pub(super) fn release_answer(&mut self, serial: u64) -> Option<(Vec<ReplyId>, Arc<JobAnswer>)> {
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

fn adopted_progress(known: Option<(WorkerKey, TaskStatus)>) -> TaskProgress {
    match known {
        Some((_, TaskStatus::Ended(outcome))) => TaskProgress::Ended(outcome),
        Some((worker, _)) => TaskProgress::Sent { worker, attempt: 0 },
        None => TaskProgress::Waiting { attempts: 0 },
    }
}
