//! How jobs are decided: by their tasks, by time, by their callers, or because the home is lost.

use std::sync::Arc;

use vanillacleat_core::frames::TaskAttempt;
use vanillacleat_core::ids::{HomeKey, WorkerKey};
use vanillacleat_core::outcome::{JobAnswer, NotRunReason};
use vanillacleat_core::units::MonoTime;

use super::home_record::JobState;
use super::job_record::{JobRecord, SlotState};
use super::ready_queue::ReadyQueue;
use super::{make_key, open_record_mut, EndedTask, JobKey, JobLedger, LedgerEffect, CLOSING_GRACE};
use crate::ReplyId;

impl JobLedger {
    /// Cancels a job; tasks that have started are not stopped.
    pub fn cancel(&mut self, now: MonoTime, job_key: &JobKey) -> Vec<LedgerEffect> {
        self.close(now, job_key, NotRunReason::Cancelled)
    }

    /// Decides a job that cannot be on time any more.
    pub fn abandon(&mut self, now: MonoTime, job_key: &JobKey) -> Vec<LedgerEffect> {
        self.close(now, job_key, NotRunReason::Deadline)
    }

    /// Decides the jobs whose deadline or closing time has come.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LedgerEffect> {
        let mut effects = Vec::new();
        while let Some((at, job_key)) = self.due.first().cloned() {
            if at > now {
                break;
            }
            self.due.remove(&(at, job_key.clone()));
            effects.extend(self.expire_job(now, &job_key));
        }
        effects
    }

    /// Notes that another entry owns `home`. Returns who waited for its open jobs.
    pub fn fence(&mut self, home: &HomeKey) -> Vec<ReplyId> {
        let Some(record) = self.homes.get_mut(home) else {
            return Vec::new();
        };
        record.is_fenced = true;
        let open: Vec<u64> = record.unanswered_serials();
        let mut waiters = Vec::new();
        for serial in open {
            waiters.extend(self.drop_open(&JobKey { home: home.clone(), serial }));
        }
        waiters
    }

    /// Forgets a home whose tickets have all expired.
    pub fn remove_home(&mut self, home: &HomeKey) {
        self.fence(home);
        self.homes.remove(home);
    }

    pub(super) fn end_task(&mut self, now: MonoTime, job_key: &JobKey, outcome: EndedTask) -> Vec<LedgerEffect> {
        let is_last = self.open_record(&job_key.home, job_key.serial).is_some_and(|record| record.left == 0);
        if is_last {
            return vec![self.decide(job_key)];
        }
        match outcome {
            EndedTask::Done | EndedTask::Closing => Vec::new(),
            EndedTask::Decides(reason) => self.close(now, job_key, reason),
        }
    }

    pub(super) fn close(&mut self, now: MonoTime, job_key: &JobKey, reason: NotRunReason) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) else {
            return Vec::new();
        };
        if record.closing.is_some() {
            return Vec::new();
        }
        unqueue_waiting(&mut self.queue, record, job_key);
        record.close(reason);
        if record.left == 0 {
            return vec![self.decide(job_key)];
        }
        let sent = record.sent_slots();
        let cancels = sent
            .map(|(task, worker, attempt)| LedgerEffect::Cancel { worker, task: TaskAttempt { key: make_key(job_key, task), attempt } });
        let cancels = cancels.collect();
        self.due.insert((now + CLOSING_GRACE, job_key.clone()));
        cancels
    }

    fn expire_job(&mut self, now: MonoTime, job_key: &JobKey) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) else {
            return Vec::new();
        };
        if record.closing.is_none() {
            return self.close(now, job_key, NotRunReason::Deadline);
        }
        let late: Vec<(usize, WorkerKey, u32)> = record.sent_slots().collect();
        self.unmark_all(job_key, late);
        if let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) {
            record.end_unreported();
        }
        vec![self.decide(job_key)]
    }

    pub(super) fn decide(&mut self, job_key: &JobKey) -> LedgerEffect {
        let home = self.homes.get_mut(&job_key.home).expect("an open job has a home");
        let (waiters, answer, needs_seal) = home.decide(job_key.serial);
        if needs_seal {
            return LedgerEffect::Seal { job_key: job_key.clone() };
        }
        self.record_answered(job_key, waiters, answer)
    }

    fn record_answered(&mut self, job_key: &JobKey, waiters: Vec<ReplyId>, answer: Arc<JobAnswer>) -> LedgerEffect {
        self.open_jobs -= 1;
        self.keep(job_key, Some(&answer));
        self.evict();
        LedgerEffect::Answer { job_key: job_key.clone(), waiters, answer }
    }

    /// Gives the answer of a failed job that an agent remembers as decided.
    pub fn release(&mut self, job_key: &JobKey) -> Option<LedgerEffect> {
        let (waiters, answer) = self.homes.get_mut(&job_key.home)?.release(job_key.serial)?;
        Some(self.record_answered(job_key, waiters, answer))
    }

    /// Returns and forgets who waits for a failed job that no agent remembers as decided yet.
    pub fn dismiss_waiters(&mut self, job_key: &JobKey) -> Vec<ReplyId> {
        let job = self.homes.get_mut(&job_key.home).and_then(|home| home.jobs.get_mut(&job_key.serial));
        match job.map(|job| &mut job.state) {
            Some(JobState::Sealing { waiters, .. }) => std::mem::take(waiters),
            _ => Vec::new(),
        }
    }

    fn drop_open(&mut self, job_key: &JobKey) -> Vec<ReplyId> {
        let mut waiters = self.dismiss_waiters(job_key);
        let Some(record) = open_record_mut(&mut self.homes, &job_key.home, job_key.serial) else {
            self.remove_unanswered(job_key);
            return waiters;
        };
        waiters.append(&mut record.waiters);
        unqueue_waiting(&mut self.queue, record, job_key);
        let sent: Vec<(usize, WorkerKey, u32)> = record.sent_slots().collect();
        self.unmark_all(job_key, sent);
        self.remove_unanswered(job_key);
        waiters
    }

    /// Forgets that tasks of a job are at workers.
    fn unmark_all(&mut self, job_key: &JobKey, sent: Vec<(usize, WorkerKey, u32)>) {
        for (task, worker, _) in sent {
            self.unmark_sent(&worker, &make_key(job_key, task));
        }
    }

    fn remove_unanswered(&mut self, job_key: &JobKey) {
        if let Some(home) = self.homes.get_mut(&job_key.home) {
            home.jobs.remove(&job_key.serial);
            self.open_jobs -= 1;
        }
    }
}

/// Takes a job's waiting tasks out of the queue.
fn unqueue_waiting(queue: &mut ReadyQueue, record: &JobRecord, job_key: &JobKey) {
    for (task, slot) in record.slots.iter().enumerate() {
        if matches!(slot, SlotState::Waiting { .. }) {
            queue.remove(record, &make_key(job_key, task));
        }
    }
}
