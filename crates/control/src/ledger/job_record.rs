//! An open job, which tracks each of its tasks until all of them have ended.

use std::sync::Arc;

use vanillacleat_core::frames::{RejectReason, TaskStatus};
use vanillacleat_core::ids::{TaskKey, WorkerKey};
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{JobAnswer, NotRunReason, TaskOutcome, UnknownReason};
use vanillacleat_core::units::MonoTime;

use super::JobImpact;
use crate::ReplyId;

/// The progress of one task of an open job.
#[derive(Clone, Debug)]
pub(super) enum TaskProgress {
    /// Not at any worker. All attempts so far were rejected.
    Waiting { attempts: u32 },
    /// Sent to a worker, which has not reported the task yet.
    Sent { worker: WorkerKey, attempt: u32 },
    /// Ended with this outcome.
    Ended(TaskOutcome),
}

/// An open job, which collects the outcomes of its tasks.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub(super) spec: Arc<JobSpec>,
    pub(super) deadline: MonoTime,
    pub(super) rank: u64,
    pub(super) tasks: Vec<TaskProgress>,
    /// Number of tasks that have not ended.
    pub(super) unfinished: usize,
    pub(super) waiters: Vec<ReplyId>,
    /// Set once the job's outcome is decided: why its remaining tasks are not run.
    pub(super) closing: Option<NotRunReason>,
    pub(super) is_private: bool,
}

impl JobRecord {
    pub(super) fn new(spec: Arc<JobSpec>, deadline: MonoTime, rank: u64, tasks: Vec<TaskProgress>, waiter: Option<ReplyId>) -> Self {
        let unfinished = tasks.iter().filter(|progress| !matches!(progress, TaskProgress::Ended(_))).count();
        Self { spec, deadline, rank, tasks, unfinished, waiters: waiter.into_iter().collect(), closing: None, is_private: false }
    }

    /// Records the status that a worker reported for a task, whose newest attempt has number `attempts`.
    ///
    /// Returns `None` if the worker rejected the task and it waits again.
    pub(super) fn record_status(&mut self, key: &TaskKey, attempts: u32, status: TaskStatus) -> Option<JobImpact> {
        let outcome = match (status, self.closing) {
            (TaskStatus::Ended(outcome), _) => outcome,
            (TaskStatus::Abandoned | TaskStatus::Held, _) => TaskOutcome::Unknown(UnknownReason::StillRunning),
            (TaskStatus::Rejected(_), Some(reason)) => TaskOutcome::NotRun(reason),
            (TaskStatus::Rejected(RejectReason::Deadline), None) => TaskOutcome::NotRun(NotRunReason::Deadline),
            (TaskStatus::Rejected(_), None) => {
                self.tasks[usize::from(key.task)] = TaskProgress::Waiting { attempts };
                return None;
            }
        };
        let impact = self.job_impact(&outcome);
        self.tasks[usize::from(key.task)] = TaskProgress::Ended(outcome);
        self.unfinished -= 1;
        Some(impact)
    }

    fn job_impact(&self, outcome: &TaskOutcome) -> JobImpact {
        if self.closing.is_some() {
            return JobImpact::AlreadyClosing;
        }
        match outcome {
            TaskOutcome::Done(_) => JobImpact::Continue,
            TaskOutcome::NotRun(reason) => JobImpact::Close(*reason),
            TaskOutcome::Failed(_) | TaskOutcome::Unknown(_) => JobImpact::Close(NotRunReason::JobFailed),
        }
    }

    /// Fixes the job's outcome: tasks that still wait end with `reason` and do not run.
    pub(super) fn close(&mut self, reason: NotRunReason) {
        self.closing = Some(reason);
        for progress in &mut self.tasks {
            if matches!(progress, TaskProgress::Waiting { .. }) {
                *progress = TaskProgress::Ended(TaskOutcome::NotRun(reason));
                self.unfinished -= 1;
            }
        }
    }

    /// Ends each task that was sent but not reported in time. Its outcome is unknown.
    pub(super) fn end_unreported(&mut self) {
        for progress in &mut self.tasks {
            if matches!(progress, TaskProgress::Sent { .. }) {
                *progress = TaskProgress::Ended(TaskOutcome::Unknown(UnknownReason::WorkerUnreachable));
                self.unfinished -= 1;
            }
        }
    }

    pub(super) fn sent_tasks(&self) -> impl Iterator<Item = (usize, WorkerKey, u32)> + '_ {
        self.tasks.iter().enumerate().filter_map(|(task, progress)| match progress {
            TaskProgress::Sent { worker, attempt } => Some((task, worker.clone(), *attempt)),
            _ => None,
        })
    }

    /// Takes the outcomes of all tasks as the job's answer. Every task must have ended.
    pub(super) fn take_answer(&mut self) -> JobAnswer {
        let tasks = std::mem::take(&mut self.tasks);
        let outcomes = tasks.into_iter().map(|progress| match progress {
            TaskProgress::Ended(outcome) => outcome,
            TaskProgress::Waiting { .. } | TaskProgress::Sent { .. } => unreachable!("every task of an answered job has ended"),
        });
        JobAnswer { outcomes: outcomes.collect() }
    }
}
