//! The home's ledger: every job submitted under its tickets, from acceptance to the kept answer.

mod deciding;
mod home_record;
mod job_record;
mod readings;
mod ready_queue;

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
use job_record::{JobRecord, SlotState};
pub use ready_queue::LaneKey;
use ready_queue::ReadyQueue;

/// Time that a decided job waits for the last word on tasks already sent.
pub const CLOSING_GRACE: Duration = Duration::from_millis(100);

/// A `JobKey` names a job by its home and serial.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct JobKey {
    /// The home.
    pub home: HomeKey,
    /// The ticket's serial.
    pub serial: u64,
}

/// A `JobAdmission` is a job that passed admission.
#[derive(Clone, Debug)]
pub struct JobAdmission {
    /// Where the job stands.
    pub job_key: JobKey,
    /// The job.
    pub spec: Arc<JobSpec>,
    /// Its body's digest.
    pub digest: BodyDigest,
    /// When the answer is due.
    pub deadline: MonoTime,
    /// Its rank among waiting tasks; lower goes first.
    pub rank: u64,
    /// Who waits for the answer.
    pub waiter: Option<ReplyId>,
    /// Whether nobody outside of the entry knows the ticket.
    pub is_private: bool,
}

/// A `LedgerEffect` is what the ledger wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEffect {
    /// A job was answered.
    Answer {
        /// The job.
        job_key: JobKey,
        /// Who waits for it.
        waiters: Vec<ReplyId>,
        /// The answer.
        answer: Arc<JobAnswer>,
    },
    /// A job failed: its answer is given once an agent remembers that it is decided.
    Seal {
        /// The job.
        job_key: JobKey,
    },
    /// A task should not start, or its result is no longer wanted.
    Cancel {
        /// Where it was sent.
        worker: WorkerKey,
        /// The task and its attempt.
        task: TaskAttempt,
    },
}

/// What the ledger knows of a submitted ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerFinding {
    /// The job is answered.
    Answered(Arc<JobAnswer>),
    /// The job is running; the waiter was attached.
    Attached,
    /// The call can't be served.
    Refused(CallRefusal),
    /// The ticket is unused.
    Unused,
}

/// A `JobLedger` holds the jobs of every home that this entry owns.
#[derive(Debug)]
pub struct JobLedger {
    homes: BTreeMap<HomeKey, HomeRecord>,
    queue: ReadyQueue,
    sent: BTreeMap<WorkerKey, BTreeMap<TaskKey, u32>>,
    due: BTreeSet<(MonoTime, JobKey)>,
    in_flight: BTreeMap<TeamName, u32>,
    kept: VecDeque<JobKey>,
    retained_bytes: usize,
    retained_bytes_max: usize,
    open_jobs: usize,
}

impl JobLedger {
    /// Returns an empty ledger that keeps at most `retained_bytes_max` bytes of answers.
    pub fn new(retained_bytes_max: usize) -> Self {
        Self {
            homes: BTreeMap::new(),
            queue: ReadyQueue::default(),
            sent: BTreeMap::new(),
            due: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            kept: VecDeque::new(),
            retained_bytes: 0,
            retained_bytes_max,
            open_jobs: 0,
        }
    }

    /// Starts to own `home` under `generation`; `inventory` is what the agents know of an adopted one.
    pub fn own(&mut self, home: HomeKey, generation: Generation, inventory: Option<AdoptedInventory>) {
        let record = HomeRecord { generation, inventory, ..HomeRecord::default() };
        self.homes.insert(home, record);
    }

    /// Returns what is known of the job at `place`, and attaches `waiter` if it is running.
    pub fn find(&mut self, job_key: &JobKey, digest: Option<BodyDigest>, waiter: Option<ReplyId>) -> LedgerFinding {
        let Some(home) = self.homes.get_mut(&job_key.home) else {
            return LedgerFinding::Refused(CallRefusal::new(RefusalCode::HomeUnreachable, "the home is not owned here"));
        };
        if home.is_fenced {
            return LedgerFinding::Refused(CallRefusal::new(RefusalCode::HomeFenced, "another entry owns the ticket's home"));
        }
        let Some(job) = home.jobs.get_mut(&job_key.serial) else {
            return home.find_unused(job_key.serial);
        };
        if digest.is_some_and(|digest| digest != job.digest) {
            return LedgerFinding::Refused(CallRefusal::new(RefusalCode::BodyConflict, "another body was submitted under this ticket"));
        }
        match &mut job.state {
            JobState::Answered(Some(answer)) => LedgerFinding::Answered(answer.clone()),
            JobState::Answered(None) => LedgerFinding::Refused(CallRefusal::new(
                RefusalCode::TicketExpired,
                "the job was answered and its answer is no longer kept",
            )),
            JobState::Open(record) => {
                record.waiters.extend(waiter);
                LedgerFinding::Attached
            }
            JobState::Sealing { waiters, .. } => {
                waiters.extend(waiter);
                LedgerFinding::Attached
            }
        }
    }

    /// Takes an admitted job; its place must be unused. Returns effects if the job is decided at once.
    pub fn accept(&mut self, now: MonoTime, admission: JobAdmission) -> Vec<LedgerEffect> {
        let JobAdmission { job_key, spec, digest, deadline, rank, waiter, is_private } = admission;
        let Some(home) = self.homes.get_mut(&job_key.home) else {
            return Vec::new();
        };
        let slots = home.initial_slots(job_key.serial, spec.tasks.len());
        let is_decided = slots.iter().any(|slot| matches!(slot, SlotState::Ended(outcome) if !outcome.is_done()));
        let record = JobRecord { is_private, ..JobRecord::new(spec, deadline, rank, slots, waiter) };
        for (task, slot) in record.slots.iter().enumerate() {
            let key = make_key(&job_key, task);
            match slot {
                SlotState::Waiting { .. } => self.queue.push(&record, key),
                SlotState::Sent { worker, attempt } => {
                    self.sent.entry(worker.clone()).or_default().insert(key, *attempt);
                    *self.in_flight.entry(record.spec.team.clone()).or_default() += 1;
                }
                SlotState::Ended(_) => {}
            }
        }
        let is_ended = record.left == 0;
        self.due.insert((deadline, job_key.clone()));
        home.insert(job_key.serial, digest, JobState::Open(Box::new(record)));
        self.open_jobs += 1;
        if is_ended {
            return vec![self.decide(&job_key)];
        }
        if is_decided {
            return self.close(now, &job_key, NotRunReason::JobFailed);
        }
        Vec::new()
    }

    /// Notes that a waiting task is sent to `worker`; returns the attempt's number.
    pub fn mark_sent(&mut self, key: &TaskKey, worker: &WorkerKey) -> Option<u32> {
        let record = open_record_mut(&mut self.homes, &key.home, key.serial)?;
        let slot = &record.slots[usize::from(key.task)];
        let SlotState::Waiting { attempts } = slot else {
            return None;
        };
        let attempt = attempts + 1;
        self.queue.remove(record, key);
        record.slots[usize::from(key.task)] = SlotState::Sent { worker: worker.clone(), attempt };
        *self.in_flight.entry(record.spec.team.clone()).or_default() += 1;
        self.sent.entry(worker.clone()).or_default().insert(key.clone(), attempt);
        Some(attempt)
    }

    /// Takes a worker's word on a task. A word on a task that is not at this worker is ignored.
    pub fn report(&mut self, now: MonoTime, worker: &WorkerKey, result: TaskResult) -> Vec<LedgerEffect> {
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
        match record.settle(&key, attempt, result.status) {
            Some(outcome) => self.end_task(now, &job_key, outcome),
            None => {
                self.queue.push(record, key);
                Vec::new()
            }
        }
    }

    /// Notes that `worker`'s process is gone: whatever it had is unknown and never runs again.
    pub fn record_worker_restart(&mut self, now: MonoTime, worker: &WorkerKey) -> Vec<LedgerEffect> {
        self.end_unknown(now, worker, UnknownReason::WorkerRestarted)
    }

    /// Gives up on what `worker` has, since it has been out of reach for too long.
    pub fn abandon_worker(&mut self, now: MonoTime, worker: &WorkerKey) -> Vec<LedgerEffect> {
        self.end_unknown(now, worker, UnknownReason::WorkerUnreachable)
    }

    fn end_unknown(&mut self, now: MonoTime, worker: &WorkerKey, reason: UnknownReason) -> Vec<LedgerEffect> {
        let tasks = self.sent_to(worker);
        let lost = |task: TaskAttempt| TaskResult {
            key: task.key,
            attempt: task.attempt,
            status: TaskStatus::Ended(TaskOutcome::Unknown(reason)),
            run_ms: Default::default(),
        };
        tasks.into_iter().flat_map(|task| self.report(now, worker, lost(task))).collect()
    }

    /// Forgets answered jobs of `home` below `serial`; their tickets are refused as expired from now on.
    pub fn expire_tickets(&mut self, home: &HomeKey, expired_below: u64) {
        if let Some(record) = self.homes.get_mut(home) {
            record.expire_tickets(expired_below);
        }
    }

    /// Drops a kept answer that its caller acknowledged.
    pub fn acknowledge(&mut self, job_key: &JobKey) {
        let record = self.homes.get_mut(&job_key.home).and_then(|home| home.jobs.get_mut(&job_key.serial));
        if let Some(JobState::Answered(answer)) = record.map(|job| &mut job.state) {
            let freed = answer.take().map_or(0, |answer| answer.text_bytes());
            self.retained_bytes -= freed;
        }
    }

    /// Returns the answers kept for `home`, for a hand-over.
    pub fn handover_answers(&self, home: &HomeKey) -> Vec<HandoverAnswer> {
        self.homes.get(home).map(HomeRecord::handover_answers).unwrap_or_default()
    }

    /// Takes over a home from a draining entry with its answers.
    pub fn accept_handover(&mut self, home: HomeKey, generation: Generation, expired_below: u64, answers: Vec<HandoverAnswer>) {
        self.own(home.clone(), generation, None);
        self.expire_tickets(&home, expired_below);
        for handed in answers {
            let job_key = JobKey { home: home.clone(), serial: handed.serial };
            let answer = handed.answer.map(Arc::new);
            self.keep(&job_key, answer.as_ref());
            if let Some(record) = self.homes.get_mut(&home) {
                record.insert(handed.serial, handed.digest, JobState::Answered(answer));
            }
        }
        self.evict();
    }

    /// Adds what an agent told of an adopted home after the others.
    pub fn merge_inventory(&mut self, worker: &WorkerKey, told: FenceInventory) {
        let inventory = self.homes.get_mut(&told.home).and_then(|home| home.inventory.as_mut());
        if let Some(inventory) = inventory {
            inventory.merge(worker, told);
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

    fn keep(&mut self, job_key: &JobKey, answer: Option<&Arc<JobAnswer>>) {
        if let Some(answer) = answer {
            self.retained_bytes += answer.text_bytes();
            self.kept.push_back(job_key.clone());
        }
    }

    /// Drops the oldest answers over the byte budget; their tickets stay spent.
    fn evict(&mut self) {
        while self.retained_bytes > self.retained_bytes_max {
            let Some(job_key) = self.kept.pop_front() else {
                return;
            };
            self.acknowledge(&job_key);
        }
    }
}

/// What a settled task means for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedTask {
    Done,
    Decides(NotRunReason),
    Closing,
}

fn make_key(job_key: &JobKey, task: usize) -> TaskKey {
    TaskKey { home: job_key.home.clone(), serial: job_key.serial, task: task as u16 }
}

fn open_record_mut<'a>(homes: &'a mut BTreeMap<HomeKey, HomeRecord>, home: &HomeKey, serial: u64) -> Option<&'a mut JobRecord> {
    match &mut homes.get_mut(home)?.jobs.get_mut(&serial)?.state {
        JobState::Open(record) => Some(record),
        JobState::Sealing { .. } | JobState::Answered(_) => None,
    }
}
