//! The ledger of the homes that an entry owns: every job submitted under their tickets, from acceptance to the retained
//! answer.

mod completion;
mod home_record;
mod job_record;
mod queries;
mod ready_queues;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::frames::{FenceInventory, HandoverAnswer, TaskAttempt, TaskResult, TaskStatus};
use vanillacleat_core::ids::{HomeKey, TaskKey, TeamName, WorkerKey};
use vanillacleat_core::job::{BodyDigest, JobSpec};
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, NotRunReason, RefusalCode, TaskOutcome, UnknownReason};
use vanillacleat_core::units::{Generation, MonoTime};

use crate::ReplyId;

pub use home_record::AdoptedInventory;
use home_record::{HomeRecord, JobState};
use job_record::{JobRecord, TaskProgress};
pub use ready_queues::QueueKey;
use ready_queues::ReadyQueues;

/// Maximum time for which a job whose outcome is decided waits for the results of tasks that are already sent.
pub const CLOSING_GRACE: Duration = Duration::from_millis(100);

/// Identifies a job by its ticket's home and serial.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct JobKey {
    /// The ticket's home.
    pub home: HomeKey,
    /// The ticket's serial.
    pub serial: u64,
}

/// A job that has passed admission control.
#[derive(Clone, Debug)]
pub struct JobAdmission {
    /// The job's key.
    pub job_key: JobKey,
    /// The submitted job.
    pub spec: Arc<JobSpec>,
    /// The digest of the job's body.
    pub digest: BodyDigest,
    /// When the answer is due.
    pub deadline: MonoTime,
    /// The rank of the job's tasks in their ready queue; lower ranks are sent first.
    pub rank: u64,
    /// The pending request that waits for the answer, if any.
    pub waiter: Option<ReplyId>,
    /// Whether the ticket is known only inside this entry.
    ///
    /// No caller can resubmit such a job to a later owner of the home, so it is answered without a seal.
    pub is_private: bool,
}

/// An action that the ledger asks its owner to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEffect {
    /// Deliver the answer of a job.
    Answer {
        /// The job.
        job_key: JobKey,
        /// The pending requests that wait for it.
        waiters: Vec<ReplyId>,
        /// The answer.
        answer: Arc<JobAnswer>,
    },
    /// Seal a failed job at an agent. [`JobLedger::release_answer`] returns the answer once an agent has recorded the
    /// seal.
    Seal {
        /// The job.
        job_key: JobKey,
    },
    /// Cancel a sent task: it should not start, and its result is no longer needed.
    Cancel {
        /// The worker that it was sent to.
        worker: WorkerKey,
        /// The task and its attempt.
        task: TaskAttempt,
    },
}

/// What the ledger knows of the job under a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The job is answered.
    Answered(Arc<JobAnswer>),
    /// The job is not answered yet; the waiter was attached to it.
    Attached,
    /// The request cannot be served.
    Refused(CallRefusal),
    /// No job is known under the ticket, and the ticket has not expired.
    Unused,
}

/// The jobs of all homes that this entry owns.
#[derive(Debug)]
pub struct JobLedger {
    homes: BTreeMap<HomeKey, HomeRecord>,
    ready_queues: ReadyQueues,
    /// The tasks sent to each worker and not yet reported, each with the number of its attempt.
    sent: BTreeMap<WorkerKey, BTreeMap<TaskKey, u32>>,
    /// Deadlines of open jobs and, once a job's outcome is decided, the end of its closing grace period.
    timers: BTreeSet<(MonoTime, JobKey)>,
    in_flight: BTreeMap<TeamName, u32>,
    answers_by_age: VecDeque<JobKey>,
    retained_bytes: usize,
    retained_bytes_max: usize,
    open_jobs: usize,
}

impl JobLedger {
    /// Returns an empty ledger that retains at most `retained_bytes_max` bytes of answers.
    pub fn new(retained_bytes_max: usize) -> Self {
        Self {
            homes: BTreeMap::new(),
            ready_queues: ReadyQueues::default(),
            sent: BTreeMap::new(),
            timers: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            answers_by_age: VecDeque::new(),
            retained_bytes: 0,
            retained_bytes_max,
            open_jobs: 0,
        }
    }

    /// Records that this entry owns `home` under `generation`. For an adopted home, `inventory` holds what the agents
    /// reported of its tasks.
    pub fn take_ownership(&mut self, home: HomeKey, generation: Generation, inventory: Option<AdoptedInventory>) {
        let record = HomeRecord { generation, inventory, ..HomeRecord::default() };
        self.homes.insert(home, record);
    }

    /// Looks up the job under `job_key` and attaches `waiter` if the job is not answered yet.
    ///
    /// If `digest` is given, it must match the digest of the job's body.
    pub fn look_up(&mut self, job_key: &JobKey, digest: Option<BodyDigest>, waiter: Option<ReplyId>) -> LookupResult {
        let Some(home) = self.homes.get_mut(&job_key.home) else {
            return LookupResult::Refused(CallRefusal::new(RefusalCode::HomeUnreachable, "the home is not owned here"));
        };
        if home.is_fenced {
            return LookupResult::Refused(CallRefusal::new(RefusalCode::HomeFenced, "another entry owns the ticket's home"));
        }
        let Some(job) = home.jobs.get_mut(&job_key.serial) else {
            return home.lookup_without_job(job_key.serial);
        };
        if digest.is_some_and(|digest| digest != job.digest) {
            return LookupResult::Refused(CallRefusal::new(RefusalCode::BodyConflict, "another body was submitted under this ticket"));
        }
        match &mut job.state {
            JobState::Answered(Some(answer)) => LookupResult::Answered(answer.clone()),
            JobState::Answered(None) => {
                LookupResult::Refused(CallRefusal::new(RefusalCode::TicketExpired, "the job was answered and its answer is no longer kept"))
            }
            JobState::Open(record) => {
                record.waiters.extend(waiter);
                LookupResult::Attached
            }
            JobState::Sealing { waiters, .. } => {
                waiters.extend(waiter);
                LookupResult::Attached
            }
        }
    }

    /// Records an admitted job under an unused ticket.
    ///
    /// Returns effects if the inventory of an adopted home already decides the job's outcome.
    pub fn accept(&mut self, now: MonoTime, admission: JobAdmission) -> Vec<LedgerEffect> {
        let JobAdmission { job_key, spec, digest, deadline, rank, waiter, is_private } = admission;
        let Some(home) = self.homes.get_mut(&job_key.home) else {
            return Vec::new();
        };
        let tasks = home.initial_progress(job_key.serial, spec.tasks.len());
        let has_failed = tasks.iter().any(|progress| matches!(progress, TaskProgress::Ended(outcome) if !outcome.is_done()));
        let record = JobRecord { is_private, ..JobRecord::new(spec, deadline, rank, tasks, waiter) };
        for (task, progress) in record.tasks.iter().enumerate() {
            let key = task_key(&job_key, task);
            match progress {
                TaskProgress::Waiting { .. } => self.ready_queues.push(&record, key),
                TaskProgress::Sent { worker, attempt } => {
                    self.sent.entry(worker.clone()).or_default().insert(key, *attempt);
                    *self.in_flight.entry(record.spec.team.clone()).or_default() += 1;
                }
                TaskProgress::Ended(_) => {}
            }
        }
        let is_ended = record.unfinished == 0;
        self.timers.insert((deadline, job_key.clone()));
        home.insert(job_key.serial, digest, JobState::Open(Box::new(record)));
        self.open_jobs += 1;
        if is_ended {
            return vec![self.finalize(&job_key)];
        }
        if has_failed {
            return self.close(now, &job_key, NotRunReason::JobFailed);
        }
        Vec::new()
    }

    /// Records that a waiting task is sent to `worker`.
    ///
    /// Returns the attempt's number, or `None` if the task is not waiting.
    pub fn mark_sent(&mut self, key: &TaskKey, worker: &WorkerKey) -> Option<u32> {
        let record = open_record_mut(&mut self.homes, &key.home, key.serial)?;
        let progress = &record.tasks[usize::from(key.task)];
        let TaskProgress::Waiting { attempts } = progress else {
            return None;
        };
        let attempt = attempts + 1;
        self.ready_queues.remove(record, key);
        record.tasks[usize::from(key.task)] = TaskProgress::Sent { worker: worker.clone(), attempt };
        *self.in_flight.entry(record.spec.team.clone()).or_default() += 1;
        self.sent.entry(worker.clone()).or_default().insert(key.clone(), attempt);
        Some(attempt)
    }

    /// Handles a worker's report on a task. A report on a task that is not outstanding at this worker is ignored.
    pub fn record_result(&mut self, now: MonoTime, worker: &WorkerKey, result: TaskResult) -> Vec<LedgerEffect> {
        let key = result.key;
        let Some(attempt) = self.sent.get(worker).and_then(|sent| sent.get(&key)).copied() else {
            return Vec::new();
        };
        let is_current = matches!(result.status, TaskStatus::Ended(_)) || result.attempt == attempt;
        if !is_current || result.status == TaskStatus::Held {
            return Vec::new();
        }
        self.unmark_sent(worker, &key);
        let job_key = JobKey { home: key.home.clone(), serial: key.serial };
        let Some(record) = open_record_mut(&mut self.homes, &key.home, key.serial) else {
            return Vec::new();
        };
        match record.record_status(&key, attempt, result.status) {
            Some(impact) => self.apply_impact(now, &job_key, impact),
            None => {
                self.ready_queues.push(record, key);
                Vec::new()
            }
        }
    }

    /// Records that the process of `worker` has exited.
    ///
    /// Its outstanding tasks end with an unknown outcome and are never run again.
    pub fn record_worker_restart(&mut self, now: MonoTime, worker: &WorkerKey) -> Vec<LedgerEffect> {
        self.end_as_unknown(now, worker, UnknownReason::WorkerRestarted)
    }

    /// Ends the outstanding tasks of `worker` as unknown, after it has been unreachable for too long.
    pub fn abandon_worker(&mut self, now: MonoTime, worker: &WorkerKey) -> Vec<LedgerEffect> {
        self.end_as_unknown(now, worker, UnknownReason::WorkerUnreachable)
    }

    fn end_as_unknown(&mut self, now: MonoTime, worker: &WorkerKey, reason: UnknownReason) -> Vec<LedgerEffect> {
        let tasks = self.sent_to(worker);
        let unknown = |task: TaskAttempt| TaskResult {
            key: task.key,
            attempt: task.attempt,
            status: TaskStatus::Ended(TaskOutcome::Unknown(reason)),
            run_ms: Default::default(),
        };
        tasks.into_iter().flat_map(|task| self.record_result(now, worker, unknown(task))).collect()
    }

    /// Removes the answered jobs of `home` with serials lower than `expired_below`.
    ///
    /// Their tickets are refused as expired from now on.
    pub fn expire_tickets(&mut self, home: &HomeKey, expired_below: u64) {
        if let Some(record) = self.homes.get_mut(home) {
            record.expire_tickets(expired_below);
        }
    }

    /// Drops a retained answer that its caller has acknowledged.
    pub fn acknowledge(&mut self, job_key: &JobKey) {
        let record = self.homes.get_mut(&job_key.home).and_then(|home| home.jobs.get_mut(&job_key.serial));
        if let Some(JobState::Answered(answer)) = record.map(|job| &mut job.state) {
            let freed = answer.take().map_or(0, |answer| answer.text_bytes());
            self.retained_bytes -= freed;
        }
    }

    /// Returns the answered jobs of `home` for a hand-over, with the answers that are retained.
    pub fn handover_answers(&self, home: &HomeKey) -> Vec<HandoverAnswer> {
        self.homes.get(home).map(HomeRecord::handover_answers).unwrap_or_default()
    }

    /// Records that this entry owns a home handed over by a draining entry, with the home's answers.
    pub fn accept_handover(&mut self, home: HomeKey, generation: Generation, expired_below: u64, answers: Vec<HandoverAnswer>) {
        self.take_ownership(home.clone(), generation, None);
        self.expire_tickets(&home, expired_below);
        for received in answers {
            let job_key = JobKey { home: home.clone(), serial: received.serial };
            let answer = received.answer.map(Arc::new);
            self.retain_answer(&job_key, answer.as_ref());
            if let Some(record) = self.homes.get_mut(&home) {
                record.insert(received.serial, received.digest, JobState::Answered(answer));
            }
        }
        self.evict_answers();
    }

    /// Adds the inventory that an agent reported after the adoption of the home had finished.
    pub fn merge_inventory(&mut self, worker: &WorkerKey, received: FenceInventory) {
        let inventory = self.homes.get_mut(&received.home).and_then(|home| home.inventory.as_mut());
        if let Some(inventory) = inventory {
            inventory.merge(worker, received);
        }
    }

    fn open_record(&self, home: &HomeKey, serial: u64) -> Option<&JobRecord> {
        match &self.homes.get(home)?.jobs.get(&serial)?.state {
            JobState::Open(record) => Some(record),
            JobState::Sealing { .. } | JobState::Answered(_) => None,
        }
    }

    fn unmark_sent(&mut self, worker: &WorkerKey, key: &TaskKey) {
        let Some(keys) = self.sent.get_mut(worker) else {
            return;
        };
        if keys.remove(key).is_none() {
            return;
        }
        if keys.is_empty() {
            self.sent.remove(worker);
        }
        let team = self.open_record(&key.home, key.serial).map(|record| record.spec.team.clone());
        let count = team.as_ref().and_then(|team| self.in_flight.get_mut(team));
        if let Some(count) = count {
            *count -= 1;
        }
        if let Some(team) = team {
            self.in_flight.retain(|other, count| *other != team || *count > 0);
        }
    }

    fn retain_answer(&mut self, job_key: &JobKey, answer: Option<&Arc<JobAnswer>>) {
        if let Some(answer) = answer {
            self.retained_bytes += answer.text_bytes();
            self.answers_by_age.push_back(job_key.clone());
        }
    }

    /// Evicts the oldest answers until the byte limit is met. Their tickets stay used, so the jobs do not run again.
    fn evict_answers(&mut self) {
        while self.retained_bytes > self.retained_bytes_max {
            let Some(job_key) = self.answers_by_age.pop_front() else {
                return;
            };
            self.acknowledge(&job_key);
        }
    }
}

/// The effect of an ended task on its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobImpact {
    /// The job stays open.
    Continue,
    /// The job's outcome is decided; tasks that have not run get this reason.
    Close(NotRunReason),
    /// The job's outcome was already decided.
    AlreadyClosing,
}

fn task_key(job_key: &JobKey, task: usize) -> TaskKey {
    TaskKey { home: job_key.home.clone(), serial: job_key.serial, task: task as u16 }
}

fn open_record_mut<'a>(homes: &'a mut BTreeMap<HomeKey, HomeRecord>, home: &HomeKey, serial: u64) -> Option<&'a mut JobRecord> {
    match &mut homes.get_mut(home)?.jobs.get_mut(&serial)?.state {
        JobState::Open(record) => Some(record),
        JobState::Sealing { .. } | JobState::Answered(_) => None,
    }
}
