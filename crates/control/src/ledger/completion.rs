//! The completion of jobs: by their tasks' outcomes, a deadline, a cancel, or the loss of their home.

use std::sync::Arc;

use vanillacleat_core::frames::TaskAttempt;
use vanillacleat_core::ids::{HomeKey, WorkerKey};
use vanillacleat_core::outcome::{JobAnswer, NotRunReason};
use vanillacleat_core::units::MonoTime;

use super::home_record::JobState;
use super::job_record::{JobRecord, TaskProgress};
use super::ready_queues::ReadyQueues;
use super::{open_record_mut, task_key, JobImpact, JobKey, JobLedger, LedgerEffect, CLOSING_GRACE};
use crate::ReplyId;

impl JobLedger {
    /// Cancels a job. Tasks that have started are not stopped.
    pub fn cancel(&mut self, now: MonoTime, job_key: &JobKey) -> Vec<LedgerEffect> {
        self.close(now, job_key, NotRunReason::Cancelled)
    }

    /// Abandons a job that can no longer meet its deadline.
    pub fn abandon(&mut self, now: MonoTime, job_key: &JobKey) -> Vec<LedgerEffect> {
        self.close(now, job_key, NotRunReason::Deadline)
    }

    /// Closes the jobs whose deadline has passed and finalizes those whose closing grace period has ended.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LedgerEffect> {
        let mut effects = Vec::new();
        while let Some((at, job_key)) = self.timers.first().cloned() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, job_key.clone()));
            effects.extend(self.expire_job(now, &job_key));
        }
        effects
    }

    /// Records that another entry owns `home` and removes the home's unanswered jobs.
    ///
    /// Returns the requests that waited for them.
    pub fn fence(&mut self, home: &HomeKey) -> Vec<ReplyId> {
        let Some(record) = self.homes.get_mut(home) else {
            return Vec::new();
        };
        record.is_fenced = true;
        let open: Vec<u64> = record.unanswered_serials();
        let mut waiters = Vec::new();
        for serial in open {
            waiters.extend(self.remove_unanswered(&JobKey { home: home.clone(), serial }));
        }
        waiters
    }

    /// Removes a home whose tickets have all expired.
    pub fn remove_home(&mut self, home: &HomeKey) {
        self.fence(home);
        self.homes.remove(home);
    }

    pub(super) fn apply_impact(&mut self, now: MonoTime, job_key: &JobKey, impact: JobImpact) -> Vec<LedgerEffect> {
        let is_last = self.open_record(&job_key.home, job_key.serial).is_some_and(|record| record.unfinished == 0);
        if is_last {
            return vec![self.finalize(job_key)];
        }
        match impact {
            JobImpact::Continue | JobImpact::AlreadyClosing => Vec::new(),
            JobImpact::Close(reason) => self.close(now, job_key, reason),
        }
    }

    /// Decides the job's outcome: its waiting tasks end with `reason`, and those already sent are cancelled.
    pub(super) fn close(&mut self, now: MonoTime, job_key: &JobKey, reason: NotRunReason) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) else {
            return Vec::new();
        };
        if record.closing.is_some() {
            return Vec::new();
        }
        unqueue_waiting(&mut self.ready_queues, record, job_key);
        record.close(reason);
        if record.unfinished == 0 {
            return vec![self.finalize(job_key)];
        }
        let sent = record.sent_tasks();
        let cancels = sent
            .map(|(task, worker, attempt)| LedgerEffect::Cancel { worker, task: TaskAttempt { key: task_key(job_key, task), attempt } });
        let cancels = cancels.collect();
        self.timers.insert((now + CLOSING_GRACE, job_key.clone()));
        cancels
    }

    fn expire_job(&mut self, now: MonoTime, job_key: &JobKey) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) else {
            return Vec::new();
        };
        if record.closing.is_none() {
            return self.close(now, job_key, NotRunReason::Deadline);
        }
        let unreported: Vec<(usize, WorkerKey, u32)> = record.sent_tasks().collect();
        self.unmark_all_sent(job_key, unreported);
        if let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) {
            record.end_unreported();
        }
        vec![self.finalize(job_key)]
    }

    /// Fixes the answer of a job whose tasks have all ended. Returns the effect that seals or answers the job.
    pub(super) fn finalize(&mut self, job_key: &JobKey) -> LedgerEffect {
        let home = self.homes.get_mut(&job_key.home).expect("an open job belongs to a known home");
        let (waiters, answer, needs_seal) = home.finalize(job_key.serial);
        if needs_seal {
            return LedgerEffect::Seal { job_key: job_key.clone() };
        }
        self.record_answer(job_key, waiters, answer)
    }

    fn record_answer(&mut self, job_key: &JobKey, waiters: Vec<ReplyId>, answer: Arc<JobAnswer>) -> LedgerEffect {
        self.open_jobs -= 1;
        self.retain_answer(job_key, Some(&answer));
        self.evict_answers();
        LedgerEffect::Answer { job_key: job_key.clone(), waiters, answer }
    }

    /// Returns the answer of a failed job after an agent has recorded its seal.
    pub fn release_answer(&mut self, job_key: &JobKey) -> Option<LedgerEffect> {
        let (waiters, answer) = self.homes.get_mut(&job_key.home)?.release_answer(job_key.serial)?;
        Some(self.record_answer(job_key, waiters, answer))
    }

    /// Detaches and returns the requests that wait for a failed job whose seal no agent has confirmed yet.
    pub fn take_waiters(&mut self, job_key: &JobKey) -> Vec<ReplyId> {
        let job = self.homes.get_mut(&job_key.home).and_then(|home| home.jobs.get_mut(&job_key.serial));
        match job.map(|job| &mut job.state) {
            Some(JobState::Sealing { waiters, .. }) => std::mem::take(waiters),
            _ => Vec::new(),
        }
    }

    /// Removes an unanswered job and returns the requests that waited for it.
    fn remove_unanswered(&mut self, job_key: &JobKey) -> Vec<ReplyId> {
        let mut waiters = self.take_waiters(job_key);
        let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) else {
            self.remove_job(job_key);
            return waiters;
        };
        waiters.append(&mut record.waiters);
        unqueue_waiting(&mut self.ready_queues, record, job_key);
        let sent: Vec<(usize, WorkerKey, u32)> = record.sent_tasks().collect();
        self.unmark_all_sent(job_key, sent);
        self.remove_job(job_key);
        waiters
    }

    /// Removes tasks of a job from those outstanding at their workers.
    fn unmark_all_sent(&mut self, job_key: &JobKey, sent: Vec<(usize, WorkerKey, u32)>) {
        for (task, worker, _) in sent {
            self.unmark_sent(&worker, &task_key(job_key, task));
        }
    }

    fn remove_job(&mut self, job_key: &JobKey) {
        if let Some(home) = self.homes.get_mut(&job_key.home) {
            home.jobs.remove(&job_key.serial);
            self.open_jobs -= 1;
        }
    }
}

/// Removes a job's waiting tasks from the ready queues.
fn unqueue_waiting(ready_queues: &mut ReadyQueues, record: &JobRecord, job_key: &JobKey) {
    for (task, progress) in record.tasks.iter().enumerate() {
        if matches!(progress, TaskProgress::Waiting { .. }) {
            ready_queues.remove(record, &task_key(job_key, task));
        }
    }
}
