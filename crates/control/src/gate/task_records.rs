//! The gate's records of tasks: which have started, which have ended, and which attempts must never start.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use vanillacleat_core::frames::{FenceInventory, HomeFence, RejectReason, TaskResult, TaskStatus};
use vanillacleat_core::ids::{HomeKey, TaskKey};
use vanillacleat_core::outcome::{TaskOutcome, UnknownReason};
use vanillacleat_core::units::{Generation, Millis, MonoTime};

use super::{dropped_result, rejected_result};

/// The state of a task at this gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Waits in the gate's queue.
    Queued { stamp: AttemptStamp },
    /// Started. The result of an abandoned task is not reported.
    Running { stamp: AttemptStamp, is_abandoned: bool },
    /// Ended. The outcome is absent once it has been evicted.
    Ended { outcome: Option<TaskOutcome>, run_ms: Millis },
    /// Not started. Attempts up to `stamp` never start; a later one may.
    Rejected { stamp: AttemptStamp },
}

/// Orders the attempts at a task across all owners of its home: first by the owner's generation, then by attempt.
pub(super) type AttemptStamp = (Generation, u32);

/// Keeps a record of every task for the retention window, and the tasks' answers up to a byte limit.
///
/// A record is removed one retention window after its task started or was rejected. The window exceeds the lifetime of
/// a ticket plus the maximum deadline. Therefore the ticket of a removed record has expired at its home, and so have
/// those with lower serials: their tasks are no longer accepted.
#[derive(Debug)]
pub(super) struct TaskRecords {
    retention: Duration,
    answer_bytes_max: usize,
    answer_bytes: usize,
    homes: BTreeMap<HomeKey, HomeTasks>,
    /// Tasks in the order in which they started or were rejected.
    records_by_age: VecDeque<(MonoTime, TaskKey)>,
    /// Tasks in the order in which they ended.
    answers_by_age: VecDeque<TaskKey>,
    len: usize,
}

#[derive(Debug, Default)]
struct HomeTasks {
    generation: Generation,
    /// Records with lower serials may have been removed.
    expired_below: u64,
    /// Number of tasks that are queued or running.
    held: u32,
    /// Serials of the jobs answered as failed, with the time at which the seal was received.
    sealed: BTreeMap<u64, MonoTime>,
    tasks: BTreeMap<(u64, u16), TaskState>,
}

impl TaskRecords {
    pub(super) fn new(retention: Duration, answer_bytes_max: usize) -> Self {
        Self {
            retention,
            answer_bytes_max,
            answer_bytes: 0,
            homes: BTreeMap::new(),
            records_by_age: VecDeque::new(),
            answers_by_age: VecDeque::new(),
            len: 0,
        }
    }

    /// Returns whether `generation` is the highest one known for the home, and records it if so.
    ///
    /// A higher known generation belongs to an owner that has replaced this one.
    pub(super) fn accept_generation(&mut self, home: &HomeKey, generation: Generation) -> bool {
        let tasks = self.home_or_default(home);
        tasks.generation = tasks.generation.max(generation);
        generation >= tasks.generation
    }

    /// Raises the home's generation to that of the fence; returns whether it was lower.
    pub(super) fn raise_fence(&mut self, fence: &HomeFence) -> bool {
        let tasks = self.home_or_default(&fence.home);
        let is_higher = fence.generation > tasks.generation;
        tasks.generation = tasks.generation.max(fence.generation);
        is_higher
    }

    /// Returns the known state of a task, or `None` if the attempt `stamp` is new and may be admitted.
    ///
    /// A task whose record may have been removed counts as ended with its answer dropped, so that it never starts again.
    pub(super) fn find(&self, key: &TaskKey, stamp: AttemptStamp) -> Option<TaskResult> {
        let home = self.homes.get(&key.home)?;
        let Some(state) = home.tasks.get(&(key.serial, key.task)) else {
            return (key.serial < home.expired_below).then(|| dropped_result(key));
        };
        match state {
            TaskState::Rejected { stamp: rejected } if stamp > *rejected => None,
            TaskState::Rejected { .. } => Some(rejected_result(key.clone(), stamp.1, RejectReason::Reclaimed)),
            known => Some(task_result(key, known)),
        }
    }

    pub(super) fn record_queued(&mut self, key: &TaskKey, stamp: AttemptStamp) {
        self.set_state(key, TaskState::Queued { stamp });
        self.home_or_default(&key.home).held += 1;
    }

    /// Rejects the current attempt at a queued task, or at a started one that was never sent to its upstream.
    ///
    /// Returns the number of the attempt.
    pub(super) fn reject_held(&mut self, now: MonoTime, key: &TaskKey) -> u32 {
        let stamp = match self.state_mut(key) {
            Some(TaskState::Queued { stamp } | TaskState::Running { stamp, .. }) => *stamp,
            _ => unreachable!("a held task is queued or running"),
        };
        let home = self.home_or_default(&key.home);
        home.held -= 1;
        self.record_rejected(now, key, stamp);
        stamp.1
    }

    pub(super) fn record_started(&mut self, now: MonoTime, key: &TaskKey) {
        if let Some(state) = self.state_mut(key) {
            if let TaskState::Queued { stamp } = *state {
                *state = TaskState::Running { stamp, is_abandoned: false };
            }
        }
        self.records_by_age.push_back((now, key.clone()));
    }

    /// Records that no attempt up to `stamp` ever starts here.
    pub(super) fn record_rejected(&mut self, now: MonoTime, key: &TaskKey, stamp: AttemptStamp) {
        self.set_state(key, TaskState::Rejected { stamp });
        self.records_by_age.push_back((now, key.clone()));
    }

    pub(super) fn record_abandoned(&mut self, key: &TaskKey) {
        if let Some(TaskState::Running { is_abandoned, .. }) = self.state_mut(key) {
            *is_abandoned = true;
        }
    }

    /// Records the end of a task. Returns whether its home needs the result, which it does unless the task is abandoned.
    pub(super) fn record_ended(&mut self, key: &TaskKey, outcome: TaskOutcome, run_ms: Millis) -> bool {
        let is_abandoned = matches!(self.state_mut(key), Some(TaskState::Running { is_abandoned: true, .. }));
        self.answer_bytes += outcome_bytes(&outcome);
        self.set_state(key, TaskState::Ended { outcome: Some(outcome), run_ms });
        let home = self.home_or_default(&key.home);
        home.held -= 1;
        self.answers_by_age.push_back(key.clone());
        self.evict_answers();
        !is_abandoned
    }

    /// Returns the inventory of `home`: its generation, its started tasks and its sealed jobs.
    ///
    /// Running tasks are no longer marked as abandoned, since the home's new owner needs their results.
    pub(super) fn collect_inventory(&mut self, home: &HomeKey) -> FenceInventory {
        let tasks = self.home_or_default(home);
        let mut started = Vec::new();
        for ((serial, task), state) in &mut tasks.tasks {
            if let TaskState::Running { is_abandoned, .. } = state {
                *is_abandoned = false;
            }
            if matches!(state, TaskState::Running { .. } | TaskState::Ended { .. }) {
                let key = TaskKey { home: home.clone(), serial: *serial, task: *task };
                started.push(task_result(&key, state));
            }
        }
        let sealed = tasks.sealed.keys().copied().collect();
        FenceInventory { home: home.clone(), generation: tasks.generation, expired_below: tasks.expired_below, started, sealed }
    }

    /// Records jobs that the home's owner answers as failed.
    pub(super) fn seal(&mut self, now: MonoTime, home: &HomeKey, serials: &[u64]) {
        let tasks = self.home_or_default(home);
        tasks.sealed.extend(serials.iter().map(|serial| (*serial, now)));
    }

    /// Removes seals older than the retention window, whose tickets have expired.
    fn remove_expired_seals(&mut self, now: MonoTime) {
        let retention = self.retention;
        for tasks in self.homes.values_mut() {
            let is_expired = |at: &MonoTime| now.since(*at) > retention;
            let newest_expired = tasks.sealed.iter().filter(|(_, at)| is_expired(at)).map(|(serial, _)| *serial + 1).max();
            tasks.expired_below = tasks.expired_below.max(newest_expired.unwrap_or(0));
            tasks.sealed.retain(|_, at| !is_expired(at));
        }
    }

    /// Removes seals and records older than the retention window. Tasks still queued or running are kept.
    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        self.remove_expired_seals(now);
        while let Some((at, key)) = self.records_by_age.front() {
            if now.since(*at) <= self.retention {
                return;
            }
            let key = key.clone();
            self.records_by_age.pop_front();
            if matches!(self.state_mut(&key), Some(TaskState::Running { .. } | TaskState::Queued { .. })) {
                self.records_by_age.push_back((now, key));
                continue;
            }
            self.remove(&key);
        }
    }

    pub(super) fn held_count(&self, home: &HomeKey) -> u32 {
        self.homes.get(home).map_or(0, |tasks| tasks.held)
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn remove(&mut self, key: &TaskKey) {
        let home = self.home_or_default(&key.home);
        home.expired_below = home.expired_below.max(key.serial + 1);
        if let Some(state) = home.tasks.remove(&(key.serial, key.task)) {
            self.len -= 1;
            self.answer_bytes -= retained_bytes(&state);
        }
    }

    /// Evicts the oldest answers until the byte limit is met. The records still show that the tasks have run.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.answer_bytes_max {
            let Some(key) = self.answers_by_age.pop_front() else {
                return;
            };
            let freed = match self.state_mut(&key) {
                Some(TaskState::Ended { outcome, .. }) => outcome.take().map_or(0, |outcome| outcome_bytes(&outcome)),
                _ => 0,
            };
            self.answer_bytes -= freed;
        }
    }

    fn set_state(&mut self, key: &TaskKey, state: TaskState) {
        let replaced = self.home_or_default(&key.home).tasks.insert((key.serial, key.task), state);
        self.len += usize::from(replaced.is_none());
    }

    fn home_or_default(&mut self, home: &HomeKey) -> &mut HomeTasks {
        if !self.homes.contains_key(home) {
            self.homes.insert(home.clone(), HomeTasks::default());
        }
        self.homes.get_mut(home).expect("the home has just been inserted")
    }

    fn state_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.homes.get_mut(&key.home)?.tasks.get_mut(&(key.serial, key.task))
    }
}

fn task_result(key: &TaskKey, state: &TaskState) -> TaskResult {
    let held = |attempt| TaskResult { key: key.clone(), attempt, status: TaskStatus::Held, run_ms: Millis(0) };
    match state {
        TaskState::Queued { stamp } | TaskState::Running { stamp, .. } => held(stamp.1),
        TaskState::Rejected { stamp } => rejected_result(key.clone(), stamp.1, RejectReason::Reclaimed),
        TaskState::Ended { outcome, run_ms } => {
            let outcome = outcome.clone().unwrap_or(TaskOutcome::Unknown(UnknownReason::AnswerDropped));
            TaskResult { key: key.clone(), attempt: 0, status: TaskStatus::Ended(outcome), run_ms: *run_ms }
        }
    }
}

fn outcome_bytes(outcome: &TaskOutcome) -> usize {
    match outcome {
        TaskOutcome::Done(text) => text.len(),
        TaskOutcome::Failed(text) => text.len(),
        TaskOutcome::NotRun(_) | TaskOutcome::Unknown(_) => 0,
    }
}

fn retained_bytes(state: &TaskState) -> usize {
    match state {
        TaskState::Ended { outcome: Some(outcome), .. } => outcome_bytes(outcome),
        _ => 0,
    }
}
