//! One open job: a slot for each task until every one has its outcome.

use std::sync::Arc;

use vanillacleat_core::frames::{RejectReason, TaskStatus};
use vanillacleat_core::ids::{TaskKey, WorkerKey};
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{JobAnswer, NotRunReason, TaskOutcome, UnknownReason};
use vanillacleat_core::units::MonoTime;

use super::EndedTask;
use crate::ReplyId;

/// A `SlotState` is where one task of an open job stands.
#[derive(Clone, Debug)]
pub(super) enum SlotState {
    /// Not at any worker; the attempts so far all bounced.
    Waiting { attempts: u32 },
    /// Sent to a worker and not reported.
    Sent { worker: WorkerKey, attempt: u32 },
    /// Over.
    Ended(TaskOutcome),
}

/// A `JobRecord` is an open job.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) spec: Arc<JobSpec>,
    pub(super) deadline: MonoTime,
    pub(super) rank: u64,
    pub(super) slots: Vec<SlotState>,
    pub(super) left: usize,
    pub(super) waiters: Vec<ReplyId>,
    pub(super) closing: Option<NotRunReason>,
    pub(super) is_private: bool,
}

impl JobRecord {
    pub(super) fn new(spec: Arc<JobSpec>, deadline: MonoTime, rank: u64, slots: Vec<SlotState>, waiter: Option<ReplyId>) -> Self {
        let left = slots.iter().filter(|slot| !matches!(slot, SlotState::Ended(_))).count();
        Self { spec, deadline, rank, slots, left, waiters: waiter.into_iter().collect(), closing: None, is_private: false }
    }

    /// Takes a worker's word on the last of `attempts`. Returns nothing if the task waits again.
    pub(super) fn settle(&mut self, key: &TaskKey, attempts: u32, status: TaskStatus) -> Option<EndedTask> {
        let outcome = match (status, self.closing) {
            (TaskStatus::Ended(outcome), _) => outcome,
            (TaskStatus::Abandoned | TaskStatus::Held, _) => TaskOutcome::Unknown(UnknownReason::StillRunning),
            (TaskStatus::Rejected(_), Some(reason)) => TaskOutcome::NotRun(reason),
            (TaskStatus::Rejected(RejectReason::Deadline), None) => TaskOutcome::NotRun(NotRunReason::Deadline),
            (TaskStatus::Rejected(_), None) => {
                self.slots[usize::from(key.task)] = SlotState::Waiting { attempts };
                return None;
            }
        };
        let ended = self.judge(&outcome);
        self.slots[usize::from(key.task)] = SlotState::Ended(outcome);
        self.left -= 1;
        Some(ended)
    }

    fn judge(&self, outcome: &TaskOutcome) -> EndedTask {
        if self.closing.is_some() {
            return EndedTask::Closing;
        }
        match outcome {
            TaskOutcome::Done(_) => EndedTask::Done,
            TaskOutcome::NotRun(reason) => EndedTask::Decides(*reason),
            TaskOutcome::Failed(_) | TaskOutcome::Unknown(_) => EndedTask::Decides(NotRunReason::JobFailed),
        }
    }

    /// Decides the job: waiting tasks will not run.
    pub(super) fn close(&mut self, reason: NotRunReason) {
        self.closing = Some(reason);
        for slot in &mut self.slots {
            if matches!(slot, SlotState::Waiting { .. }) {
                *slot = SlotState::Ended(TaskOutcome::NotRun(reason));
                self.left -= 1;
            }
        }
    }

    /// Ends the tasks that no worker reported in time.
    pub(super) fn end_unreported(&mut self) {
        for slot in &mut self.slots {
            if matches!(slot, SlotState::Sent { .. }) {
                *slot = SlotState::Ended(TaskOutcome::Unknown(UnknownReason::WorkerUnreachable));
                self.left -= 1;
            }
        }
    }

    pub(super) fn sent_slots(&self) -> impl Iterator<Item = (usize, WorkerKey, u32)> + '_ {
        self.slots.iter().enumerate().filter_map(|(task, slot)| match slot {
            SlotState::Sent { worker, attempt } => Some((task, worker.clone(), *attempt)),
            _ => None,
        })
    }

    /// Returns the whole answer; every slot must have ended.
    pub(super) fn take_answer(&mut self) -> JobAnswer {
        let slots = std::mem::take(&mut self.slots);
        let outcomes = slots.into_iter().map(|slot| match slot {
            SlotState::Ended(outcome) => outcome,
            SlotState::Waiting { .. } | SlotState::Sent { .. } => unreachable!("an answer is whole"),
        });
        JobAnswer { outcomes: outcomes.collect() }
    }
}
