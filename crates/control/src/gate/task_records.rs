//! The gate's memory of tasks: what started, what ended, and what must never start.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use vanillacleat_core::frames::{FenceInventory, HomeFence, RejectReason, TaskResult, TaskStatus};
use vanillacleat_core::ids::{HomeKey, TaskKey};
use vanillacleat_core::outcome::{TaskOutcome, UnknownReason};
use vanillacleat_core::units::{Generation, Millis, MonoTime};

use super::{bounce, dropped_result};

/// A `TaskState` is where a task stands at this gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    Queued { stamp: AttemptStamp },
    Running { stamp: AttemptStamp, is_abandoned: bool },
    Ended { outcome: Option<TaskOutcome>, run_ms: Millis },
    Refused { stamp: AttemptStamp },
}

/// An `AttemptStamp` orders the sendings of a task over all owners of its home.
pub(super) type AttemptStamp = (Generation, u32);

/// A `TaskRecords` remembers each task for the retention window, and answers within a byte budget.
///
/// A record is dropped a retention window after its task started or was refused. The window exceeds the lifetime of
/// a ticket and the longest deadline, so every serial up to a dropped one has expired at its home: those are refused.
#[derive(Debug)]
pub(super) struct TaskRecords {
    retention: Duration,
    answer_bytes_max: usize,
    answer_bytes: usize,
    homes: BTreeMap<HomeKey, HomeTasks>,
    by_age: VecDeque<(MonoTime, TaskKey)>,
    answers: VecDeque<TaskKey>,
    len: usize,
}

#[derive(Debug, Default)]
struct HomeTasks {
    generation: Generation,
    expired_below: u64,
    held: u32,
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
            by_age: VecDeque::new(),
            answers: VecDeque::new(),
            len: 0,
        }
    }

    /// Returns whether `generation` owns `home`, as far as is known here.
    pub(super) fn obeys(&mut self, home: &HomeKey, generation: Generation) -> bool {
        let tasks = self.home_mut(home);
        tasks.generation = tasks.generation.max(generation);
        generation >= tasks.generation
    }

    /// Raises the fence; returns whether it was lower.
    pub(super) fn raise_fence(&mut self, fence: &HomeFence) -> bool {
        let tasks = self.home_mut(&fence.home);
        let is_higher = fence.generation > tasks.generation;
        tasks.generation = tasks.generation.max(fence.generation);
        is_higher
    }

    /// Returns what is known of a task, or nothing if the attempt `stamp` is news.
    pub(super) fn find(&self, key: &TaskKey, stamp: AttemptStamp) -> Option<TaskResult> {
        let home = self.homes.get(&key.home)?;
        let Some(state) = home.tasks.get(&(key.serial, key.task)) else {
            return (key.serial < home.expired_below).then(|| dropped_result(key));
        };
        match state {
            TaskState::Refused { stamp: refused } if stamp > *refused => None,
            TaskState::Refused { .. } => Some(bounce(key.clone(), stamp.1, RejectReason::Reclaimed)),
            known => Some(make_result(key, known)),
        }
    }

    pub(super) fn record_queued(&mut self, key: &TaskKey, stamp: AttemptStamp) {
        self.set(key, TaskState::Queued { stamp });
        self.home_mut(&key.home).held += 1;
    }

    /// Notes that a queued task, or one that never left this host, does not start on this attempt; returns the attempt.
    pub(super) fn refuse_held(&mut self, now: MonoTime, key: &TaskKey) -> u32 {
        let stamp = match self.find_mut(key) {
            Some(TaskState::Queued { stamp } | TaskState::Running { stamp, .. }) => *stamp,
            _ => unreachable!("a held task has a record"),
        };
        let home = self.home_mut(&key.home);
        home.held -= 1;
        self.record_refused(now, key, stamp);
        stamp.1
    }

    pub(super) fn record_started(&mut self, now: MonoTime, key: &TaskKey) {
        if let Some(state) = self.find_mut(key) {
            if let TaskState::Queued { stamp } = *state {
                *state = TaskState::Running { stamp, is_abandoned: false };
            }
        }
        self.by_age.push_back((now, key.clone()));
    }

    /// Notes that no attempt up to `stamp` ever starts here.
    pub(super) fn record_refused(&mut self, now: MonoTime, key: &TaskKey, stamp: AttemptStamp) {
        self.set(key, TaskState::Refused { stamp });
        self.by_age.push_back((now, key.clone()));
    }

    pub(super) fn record_abandoned(&mut self, key: &TaskKey) {
        if let Some(TaskState::Running { is_abandoned, .. }) = self.find_mut(key) {
            *is_abandoned = true;
        }
    }

    /// Notes a task's end; returns whether its home still wants the result.
    pub(super) fn record_ended(&mut self, key: &TaskKey, outcome: TaskOutcome, run_ms: Millis) -> bool {
        let is_abandoned = matches!(self.find_mut(key), Some(TaskState::Running { is_abandoned: true, .. }));
        self.answer_bytes += outcome_bytes(&outcome);
        self.set(key, TaskState::Ended { outcome: Some(outcome), run_ms });
        let home = self.home_mut(&key.home);
        home.held -= 1;
        self.answers.push_back(key.clone());
        self.drop_answers();
        !is_abandoned
    }

    /// Returns all started tasks of `home`. Running ones are wanted again, by the new owner.
    pub(super) fn take_inventory(&mut self, home: &HomeKey) -> FenceInventory {
        let tasks = self.home_mut(home);
        let mut started = Vec::new();
        for ((serial, task), state) in &mut tasks.tasks {
            if let TaskState::Running { is_abandoned, .. } = state {
                *is_abandoned = false;
            }
            if matches!(state, TaskState::Running { .. } | TaskState::Ended { .. }) {
                let key = TaskKey { home: home.clone(), serial: *serial, task: *task };
                started.push(make_result(&key, state));
            }
        }
        let sealed = tasks.sealed.keys().copied().collect();
        FenceInventory { home: home.clone(), generation: tasks.generation, expired_below: tasks.expired_below, started, sealed }
    }

    /// Remembers jobs that their home's owner answers as failed.
    pub(super) fn seal(&mut self, now: MonoTime, home: &HomeKey, serials: &[u64]) {
        let tasks = self.home_mut(home);
        tasks.sealed.extend(serials.iter().map(|serial| (*serial, now)));
    }

    /// Drops seals older than the retention window; their tickets have expired.
    fn forget_seals(&mut self, now: MonoTime) {
        let retention = self.retention;
        for tasks in self.homes.values_mut() {
            let is_old = |at: &MonoTime| now.since(*at) > retention;
            let newest_old = tasks.sealed.iter().filter(|(_, at)| is_old(at)).map(|(serial, _)| *serial + 1).max();
            tasks.expired_below = tasks.expired_below.max(newest_old.unwrap_or(0));
            tasks.sealed.retain(|_, at| !is_old(at));
        }
    }

    /// Drops records older than the retention window; tasks that are still held are kept.
    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        self.forget_seals(now);
        while let Some((at, key)) = self.by_age.front() {
            if now.since(*at) <= self.retention {
                return;
            }
            let key = key.clone();
            self.by_age.pop_front();
            if matches!(self.find_mut(&key), Some(TaskState::Running { .. } | TaskState::Queued { .. })) {
                self.by_age.push_back((now, key));
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
        let home = self.home_mut(&key.home);
        home.expired_below = home.expired_below.max(key.serial + 1);
        if let Some(state) = home.tasks.remove(&(key.serial, key.task)) {
            self.len -= 1;
            self.answer_bytes -= retained_bytes(&state);
        }
    }

    /// Drops the oldest answers over the byte budget. That the tasks ran is still remembered.
    fn drop_answers(&mut self) {
        while self.answer_bytes > self.answer_bytes_max {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            let freed = match self.find_mut(&key) {
                Some(TaskState::Ended { outcome, .. }) => outcome.take().map_or(0, |outcome| outcome_bytes(&outcome)),
                _ => 0,
            };
            self.answer_bytes -= freed;
        }
    }

    fn set(&mut self, key: &TaskKey, state: TaskState) {
        let replaced = self.home_mut(&key.home).tasks.insert((key.serial, key.task), state);
        self.len += usize::from(replaced.is_none());
    }

    fn home_mut(&mut self, home: &HomeKey) -> &mut HomeTasks {
        if !self.homes.contains_key(home) {
            self.homes.insert(home.clone(), HomeTasks::default());
        }
        self.homes.get_mut(home).expect("the home was just inserted")
    }

    fn find_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.homes.get_mut(&key.home)?.tasks.get_mut(&(key.serial, key.task))
    }
}

fn make_result(key: &TaskKey, state: &TaskState) -> TaskResult {
    let held = |attempt| TaskResult { key: key.clone(), attempt, status: TaskStatus::Held, run_ms: Millis(0) };
    match state {
        TaskState::Queued { stamp } | TaskState::Running { stamp, .. } => held(stamp.1),
        TaskState::Refused { stamp } => bounce(key.clone(), stamp.1, RejectReason::Reclaimed),
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
