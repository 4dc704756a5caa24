//! The home's ledger: every job submitted under its tickets, from acceptance to the kept answer.

mod home_record;
mod job_record;
mod ready_queue;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::frames::{FenceInventory, HandedAnswer, TaskAttempt, TaskResult, TaskStatus};
use vanillacleat_core::ids::{HomeKey, ServiceName, TaskKey, TeamName, WorkerKey};
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

/// A `JobPlace` names a job by its home and serial.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct JobPlace {
    /// The home.
    pub home: HomeKey,
    /// The ticket's serial.
    pub serial: u64,
}

/// A `JobAdmission` is a job that passed admission.
#[derive(Clone, Debug)]
pub struct JobAdmission {
    /// Where the job stands.
    pub place: JobPlace,
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
        place: JobPlace,
        /// Who waits for it.
        waiters: Vec<ReplyId>,
        /// The answer.
        answer: Arc<JobAnswer>,
    },
    /// A job failed: its answer is given once an agent remembers that it is decided.
    Seal {
        /// The job.
        place: JobPlace,
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
    due: BTreeSet<(MonoTime, JobPlace)>,
    in_flight: BTreeMap<TeamName, u32>,
    kept: VecDeque<JobPlace>,
    kept_bytes: usize,
    kept_bytes_max: usize,
    open_jobs: usize,
}

impl JobLedger {
    /// Returns an empty ledger that keeps at most `kept_bytes_max` bytes of answers.
    pub fn new(kept_bytes_max: usize) -> Self {
        Self {
            homes: BTreeMap::new(),
            queue: ReadyQueue::default(),
            sent: BTreeMap::new(),
            due: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            kept_bytes_max,
            open_jobs: 0,
        }
    }

    /// Starts to own `home` under `generation`; `inventory` is what the agents know of an adopted one.
    pub fn own(&mut self, home: HomeKey, generation: Generation, inventory: Option<AdoptedInventory>) {
        let record = HomeRecord { generation, inventory, ..HomeRecord::default() };
        self.homes.insert(home, record);
    }

    /// Returns the generation under which `home` is owned, or nothing if it is not owned or is fenced.
    pub fn generation(&self, home: &HomeKey) -> Option<Generation> {
        self.homes.get(home).filter(|record| !record.is_fenced).map(|record| record.generation)
    }

    /// Returns the serial from which no job of `home` has been accepted.
    pub fn unused_from(&self, home: &HomeKey) -> u64 {
        self.homes.get(home).map_or(0, |record| record.unused_from)
    }

    /// Returns the homes owned and not fenced, with their generations.
    pub fn owned_homes(&self) -> impl Iterator<Item = (&HomeKey, Generation)> {
        self.homes.iter().filter(|(_, record)| !record.is_fenced).map(|(home, record)| (home, record.generation))
    }

    /// Returns what is known of the job at `place`, and attaches `waiter` if it is running.
    pub fn find(&mut self, place: &JobPlace, digest: Option<BodyDigest>, waiter: Option<ReplyId>) -> LedgerFinding {
        let Some(home) = self.homes.get_mut(&place.home) else {
            return LedgerFinding::Refused(CallRefusal::new(RefusalCode::HomeUnreachable, "the home is not owned here"));
        };
        if home.is_fenced {
            return LedgerFinding::Refused(CallRefusal::new(RefusalCode::HomeFenced, "another entry owns the ticket's home"));
        }
        let Some(job) = home.jobs.get_mut(&place.serial) else {
            return home.find_unused(place.serial);
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
        let JobAdmission { place, spec, digest, deadline, rank, waiter, is_private } = admission;
        let Some(home) = self.homes.get_mut(&place.home) else {
            return Vec::new();
        };
        let slots = home.initial_slots(place.serial, spec.tasks.len());
        let is_decided = slots.iter().any(|slot| matches!(slot, SlotState::Ended(outcome) if !outcome.is_done()));
        let record = JobRecord { is_private, ..JobRecord::new(spec, deadline, rank, slots, waiter) };
        for (task, slot) in record.slots.iter().enumerate() {
            let key = make_key(&place, task);
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
        self.due.insert((deadline, place.clone()));
        home.insert(place.serial, digest, JobState::Open(Box::new(record)));
        self.open_jobs += 1;
        if is_ended {
            return vec![self.decide(&place)];
        }
        if is_decided {
            return self.close(now, &place, NotRunReason::JobFailed);
        }
        Vec::new()
    }

    /// Returns the lanes that have waiting tasks, the team with the fewest tasks in flight first.
    pub fn lanes(&self) -> Vec<LaneKey> {
        let mut lanes: Vec<(u32, u64, &LaneKey)> =
            self.queue.lanes().map(|(lane, rank)| (self.team_in_flight(&lane.team), rank, lane)).collect();
        lanes.sort_unstable();
        lanes.into_iter().map(|(_, _, lane)| lane.clone()).collect()
    }

    /// Returns the first `count` waiting tasks of a lane.
    pub fn lane_heads(&self, lane: &LaneKey, count: usize) -> Vec<TaskKey> {
        self.queue.heads(lane, count)
    }

    /// Returns the job and the deadline of a task that waits.
    pub fn waiting_task(&self, key: &TaskKey) -> Option<(&Arc<JobSpec>, MonoTime)> {
        let record = self.open_record(&key.home, key.serial)?;
        let is_waiting = matches!(record.slots[usize::from(key.task)], SlotState::Waiting { .. });
        is_waiting.then_some((&record.spec, record.deadline))
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

    /// Returns the tasks sent to `worker` and not yet reported.
    pub fn sent_to(&self, worker: &WorkerKey) -> Vec<TaskAttempt> {
        let sent = self.sent.get(worker).into_iter().flatten();
        sent.map(|(key, attempt)| TaskAttempt { key: key.clone(), attempt: *attempt }).collect()
    }

    /// Returns how many tasks are sent to `worker` and not yet reported.
    pub fn sent_count(&self, worker: &WorkerKey) -> usize {
        self.sent.get(worker).map_or(0, BTreeMap::len)
    }

    /// Returns the agent runs that hold unreported tasks.
    pub fn busy_workers(&self) -> Vec<WorkerKey> {
        self.sent.keys().cloned().collect()
    }

    /// Returns the service of an open job's task.
    pub fn service_of(&self, key: &TaskKey) -> Option<ServiceName> {
        self.open_record(&key.home, key.serial).map(|record| record.spec.service.clone())
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
        let place = JobPlace { home: key.home.clone(), serial: key.serial };
        let Some(record) = open_record_mut(&mut self.homes, &key.home, key.serial) else {
            return Vec::new();
        };
        match record.settle(&key, attempt, result.status) {
            Some(outcome) => self.end_task(now, &place, outcome),
            None => {
                self.queue.push(record, key);
                Vec::new()
            }
        }
    }

    /// Notes that `worker`'s process is gone: whatever it had is unknown and never runs again.
    pub fn lose_worker(&mut self, now: MonoTime, worker: &WorkerKey) -> Vec<LedgerEffect> {
        self.end_unknown(now, worker, UnknownReason::WorkerRestarted)
    }

    /// Gives up on what `worker` has, since it has been out of reach for too long.
    pub fn give_up_worker(&mut self, now: MonoTime, worker: &WorkerKey) -> Vec<LedgerEffect> {
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

    /// Cancels a job; tasks that have started are not stopped.
    pub fn cancel(&mut self, now: MonoTime, place: &JobPlace) -> Vec<LedgerEffect> {
        self.close(now, place, NotRunReason::Cancelled)
    }

    /// Decides a job that cannot be on time any more.
    pub fn give_up(&mut self, now: MonoTime, place: &JobPlace) -> Vec<LedgerEffect> {
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

    /// Forgets answered jobs of `home` below `serial`; their tickets are refused as expired from now on.
    pub fn purge(&mut self, home: &HomeKey, expired_below: u64) {
        if let Some(record) = self.homes.get_mut(home) {
            record.purge(expired_below);
        }
    }

    /// Drops a kept answer that its caller acknowledged.
    pub fn acknowledge(&mut self, place: &JobPlace) {
        let record = self.homes.get_mut(&place.home).and_then(|home| home.jobs.get_mut(&place.serial));
        if let Some(JobState::Answered(answer)) = record.map(|job| &mut job.state) {
            let freed = answer.take().map_or(0, |answer| answer.text_bytes());
            self.kept_bytes -= freed;
        }
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
            waiters.extend(self.drop_open(&JobPlace { home: home.clone(), serial }));
        }
        waiters
    }

    /// Forgets a home whose tickets have all expired.
    pub fn disown(&mut self, home: &HomeKey) {
        self.fence(home);
        self.homes.remove(home);
    }

    /// Returns the answers kept for `home`, for a hand-over.
    pub fn handed_answers(&self, home: &HomeKey) -> Vec<HandedAnswer> {
        self.homes.get(home).map(HomeRecord::handed_answers).unwrap_or_default()
    }

    /// Takes over a home from a draining entry with its answers.
    pub fn take_over(&mut self, home: HomeKey, generation: Generation, expired_below: u64, answers: Vec<HandedAnswer>) {
        self.own(home.clone(), generation, None);
        self.purge(&home, expired_below);
        for handed in answers {
            let place = JobPlace { home: home.clone(), serial: handed.serial };
            let answer = handed.answer.map(Arc::new);
            self.keep(&place, answer.as_ref());
            if let Some(record) = self.homes.get_mut(&home) {
                record.insert(handed.serial, handed.digest, JobState::Answered(answer));
            }
        }
        self.evict();
    }

    /// Returns how many jobs are open.
    pub fn open_jobs(&self) -> usize {
        self.open_jobs
    }

    /// Returns how many tasks wait to be sent.
    pub fn waiting_tasks(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many tasks of `service` wait to be sent.
    pub fn waiting_for(&self, service: &ServiceName) -> usize {
        self.queue.len_of(service)
    }

    /// Returns how many tasks of `team` wait to be sent.
    pub fn waiting_of(&self, team: &TeamName) -> u32 {
        let lanes = self.queue.lanes().filter(|(lane, _)| lane.team == *team);
        lanes.map(|(lane, _)| self.queue.lane_len(lane)).sum()
    }

    /// Returns whether some agent started tasks of an adopted and not yet submitted job.
    pub fn is_inventoried(&self, place: &JobPlace) -> bool {
        let inventory = self.homes.get(&place.home).and_then(|home| home.inventory.as_ref());
        inventory.is_some_and(|inventory| inventory.started.contains_key(&place.serial))
    }

    /// Adds what an agent told of an adopted home after the others.
    pub fn merge_inventory(&mut self, worker: &WorkerKey, told: FenceInventory) {
        let inventory = self.homes.get_mut(&told.home).and_then(|home| home.inventory.as_mut());
        if let Some(inventory) = inventory {
            inventory.merge(worker, told);
        }
    }

    /// Returns how many tasks of `team` are sent and not yet reported.
    pub fn team_in_flight(&self, team: &TeamName) -> u32 {
        self.in_flight.get(team).copied().unwrap_or(0)
    }

    /// Returns how many tasks each team has waiting or in flight.
    pub fn demand(&self) -> Vec<(TeamName, u32)> {
        let mut demand = self.in_flight.clone();
        self.queue.lanes().for_each(|(lane, _)| *demand.entry(lane.team.clone()).or_default() += self.queue.lane_len(lane));
        demand.into_iter().filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the bytes of kept answers.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns how many jobs, open and answered, are remembered.
    pub fn remembered_jobs(&self) -> usize {
        self.homes.values().map(|home| home.jobs.len()).sum()
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

    fn end_task(&mut self, now: MonoTime, place: &JobPlace, outcome: EndedTask) -> Vec<LedgerEffect> {
        let is_last = self.open_record(&place.home, place.serial).is_some_and(|record| record.left == 0);
        if is_last {
            return vec![self.decide(place)];
        }
        match outcome {
            EndedTask::Done | EndedTask::Closing => Vec::new(),
            EndedTask::Decides(reason) => self.close(now, place, reason),
        }
    }

    fn close(&mut self, now: MonoTime, place: &JobPlace, reason: NotRunReason) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) else {
            return Vec::new();
        };
        if record.closing.is_some() {
            return Vec::new();
        }
        for (task, slot) in record.slots.iter().enumerate() {
            if matches!(slot, SlotState::Waiting { .. }) {
                self.queue.remove(record, &make_key(place, task));
            }
        }
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

    fn expire_job(&mut self, now: MonoTime, place: &JobPlace) -> Vec<LedgerEffect> {
        let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) else {
            return Vec::new();
        };
        if record.closing.is_none() {
            return self.close(now, place, NotRunReason::Deadline);
        }
        let late: Vec<(usize, WorkerKey, u32)> = record.sent_slots().collect();
        for (task, worker, _) in late {
            self.unmark_sent(&worker, &make_key(place, task));
        }
        if let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) {
            record.end_unreported();
        }
        vec![self.decide(place)]
    }

    fn decide(&mut self, place: &JobPlace) -> LedgerEffect {
        let home = self.homes.get_mut(&place.home).expect("an open job has a home");
        let (waiters, answer, needs_seal) = home.decide(place.serial);
        if needs_seal {
            return LedgerEffect::Seal { place: place.clone() };
        }
        self.note_answered(place, waiters, answer)
    }

    fn note_answered(&mut self, place: &JobPlace, waiters: Vec<ReplyId>, answer: Arc<JobAnswer>) -> LedgerEffect {
        self.open_jobs -= 1;
        self.keep(place, Some(&answer));
        self.evict();
        LedgerEffect::Answer { place: place.clone(), waiters, answer }
    }

    /// Gives the answer of a failed job that an agent remembers as decided.
    pub fn release(&mut self, place: &JobPlace) -> Option<LedgerEffect> {
        let (waiters, answer) = self.homes.get_mut(&place.home)?.release(place.serial)?;
        Some(self.note_answered(place, waiters, answer))
    }

    /// Returns and forgets who waits for a failed job that no agent remembers as decided yet.
    pub fn dismiss_waiters(&mut self, place: &JobPlace) -> Vec<ReplyId> {
        let job = self.homes.get_mut(&place.home).and_then(|home| home.jobs.get_mut(&place.serial));
        match job.map(|job| &mut job.state) {
            Some(JobState::Sealing { waiters, .. }) => std::mem::take(waiters),
            _ => Vec::new(),
        }
    }

    /// Returns why an adopted home's unsubmitted job can't be served.
    pub fn find_loss(&self, place: &JobPlace) -> Option<CallRefusal> {
        self.homes.get(&place.home)?.find_loss(place.serial)
    }

    fn drop_open(&mut self, place: &JobPlace) -> Vec<ReplyId> {
        let mut waiters = self.dismiss_waiters(place);
        let Some(record) = open_record_mut(&mut self.homes, &place.home, place.serial) else {
            self.remove_unanswered(place);
            return waiters;
        };
        waiters.append(&mut record.waiters);
        for (task, slot) in record.slots.iter().enumerate() {
            if matches!(slot, SlotState::Waiting { .. }) {
                self.queue.remove(record, &make_key(place, task));
            }
        }
        let sent: Vec<(usize, WorkerKey, u32)> = record.sent_slots().collect();
        for (task, worker, _) in sent {
            self.unmark_sent(&worker, &make_key(place, task));
        }
        self.remove_unanswered(place);
        waiters
    }

    fn remove_unanswered(&mut self, place: &JobPlace) {
        if let Some(home) = self.homes.get_mut(&place.home) {
            home.jobs.remove(&place.serial);
            self.open_jobs -= 1;
        }
    }

    fn keep(&mut self, place: &JobPlace, answer: Option<&Arc<JobAnswer>>) {
        if let Some(answer) = answer {
            self.kept_bytes += answer.text_bytes();
            self.kept.push_back(place.clone());
        }
    }

    /// Drops the oldest answers over the byte budget; their tickets stay spent.
    fn evict(&mut self) {
        while self.kept_bytes > self.kept_bytes_max {
            let Some(place) = self.kept.pop_front() else {
                return;
            };
            self.acknowledge(&place);
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

fn make_key(place: &JobPlace, task: usize) -> TaskKey {
    TaskKey { home: place.home.clone(), serial: place.serial, task: task as u16 }
}

fn open_record_mut<'a>(homes: &'a mut BTreeMap<HomeKey, HomeRecord>, home: &HomeKey, serial: u64) -> Option<&'a mut JobRecord> {
    match &mut homes.get_mut(home)?.jobs.get_mut(&serial)?.state {
        JobState::Open(record) => Some(record),
        JobState::Sealing { .. } | JobState::Answered(_) => None,
    }
}
