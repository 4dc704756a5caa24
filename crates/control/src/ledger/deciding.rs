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
    pub fn cancel(&mut self, now: MonoTime, place: &JobKey) -> Vec<LedgerEffect> {
        self.close(now, place, NotRunReason::Cancelled)
    }

    /// Decides a job that cannot be on time any more.
    pub fn abandon(&mut self, now: MonoTime, place: &JobKey) -> Vec<LedgerEffect> {
        self.close(now, place, NotRunReason::Deadline)
    }

    /// Decides the jobs whose deadline or closing time has come.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LedgerEffect> {
        let mut effects = Vec::new();
        while let Some((at, place)) = self.due.first().cloned() {
            if at > now {
                break;
            }
            self.due.remove(&(at, place.clone()));
            effects.extend(self.expire_job(now, &place));
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

    pub(super) fn end_task(&mut self, now: MonoTime, place: &JobKey, outcome: EndedTask) -> Vec<LedgerEffect> {
        let is_last = self.open_record(&place.home, place.serial).is_some_and(|record| record.left == 0);
        if is_last {
            return vec![self.decide(place)];
        }
        match outcome {
            EndedTask::Done | EndedTask::Closing => Vec::new(),
            EndedTask::Decides(reason) => self.close(now, place, reason),
        }
    }

    pub(super) fn close(&mut self, now: MonoTime, place: &JobKey, reason: NotRunReason) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) else {
            return Vec::new();
        };
        if record.closing.is_some() {
            return Vec::new();
        }
        unqueue_waiting(&mut self.queue, record, place);
        record.close(reason);
        if record.left == 0 {
            return vec![self.decide(place)];
        }
        let sent = record.sent_slots();
        let cancels =
            sent.map(|(task, worker, attempt)| LedgerEffect::Cancel { worker, task: TaskAttempt { key: make_key(place, task), attempt } });
        let cancels = cancels.collect();
        self.due.insert((now + CLOSING_GRACE, place.clone()));
        cancels
    }

    fn expire_job(&mut self, now: MonoTime, place: &JobKey) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) else {
            return Vec::new();
        };
        if record.closing.is_none() {
            return self.close(now, place, NotRunReason::Deadline);
        }
        let late: Vec<(usize, WorkerKey, u32)> = record.sent_slots().collect();
        self.unmark_all(place, late);
        if let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) {
            record.end_unreported();
        }
        vec![self.decide(place)]
    }

    pub(super) fn decide(&mut self, place: &JobKey) -> LedgerEffect {
        let home = self.homes.get_mut(&place.home).expect("an open job has a home");
        let (waiters, answer, needs_seal) = home.decide(place.serial);
        if needs_seal {
            return LedgerEffect::Seal { place: place.clone() };
        }
        self.record_answered(place, waiters, answer)
    }

    fn record_answered(&mut self, place: &JobKey, waiters: Vec<ReplyId>, answer: Arc<JobAnswer>) -> LedgerEffect {
        self.open_jobs -= 1;
        self.keep(place, Some(&answer));
        self.evict();
        LedgerEffect::Answer { place: place.clone(), waiters, answer }
    }

    /// Gives the answer of a failed job that an agent remembers as decided.
    pub fn release(&mut self, place: &JobKey) -> Option<LedgerEffect> {
        let (waiters, answer) = self.homes.get_mut(&place.home)?.release(place.serial)?;
        Some(self.record_answered(place, waiters, answer))
    }

    /// Returns and forgets who waits for a failed job that no agent remembers as decided yet.
    pub fn dismiss_waiters(&mut self, place: &JobKey) -> Vec<ReplyId> {
        let job = self.homes.get_mut(&place.home).and_then(|home| home.jobs.get_mut(&place.serial));
        match job.map(|job| &mut job.state) {
            Some(JobState::Sealing { waiters, .. }) => std::mem::take(waiters),
            _ => Vec::new(),
        }
    }

    fn drop_open(&mut self, place: &JobKey) -> Vec<ReplyId> {
        let mut waiters = self.dismiss_waiters(place);
        let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) else {
            self.remove_unanswered(place);
            return waiters;
        };
        waiters.append(&mut record.waiters);
        unqueue_waiting(&mut self.queue, record, place);
        let sent: Vec<(usize, WorkerKey, u32)> = record.sent_slots().collect();
        self.unmark_all(place, sent);
        self.remove_unanswered(place);
        waiters
    }

    /// Forgets that tasks of a job are at workers.
    fn unmark_all(&mut self, place: &JobKey, sent: Vec<(usize, WorkerKey, u32)>) {
        for (task, worker, _) in sent {
            self.unmark_sent(&worker, &make_key(place, task));
        }
    }

    fn remove_unanswered(&mut self, place: &JobKey) {
        if let Some(home) = self.homes.get_mut(&place.home) {
            home.jobs.remove(&place.serial);
            self.open_jobs -= 1;
        }
    }
}

/// Takes a job's waiting tasks out of the queue.
fn unqueue_waiting(queue: &mut ReadyQueue, record: &JobRecord, place: &JobKey) {
    for (task, slot) in record.slots.iter().enumerate() {
        if matches!(slot, SlotState::Waiting { .. }) {
            queue.remove(record, &make_key(place, task));
        }
    }
}
