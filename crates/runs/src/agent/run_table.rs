//! The runs at one worker, from the order to the end.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{ResourceAmount, RunId};
use vanillacleat_core::run_frames::RunProgress;
use vanillacleat_core::units::{Millis, MonoTime};

/// Time for which ended runs are remembered; no call of a worker stays open longer.
const ENDED_AGE_MAX: Duration = Duration::from_millis(1_000);

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Waits for room.
    Queued,
    /// The start was called and neither answered nor listed.
    Starting {
        /// How often it was called.
        tries: u32,
        /// When it is called again.
        retry_at: MonoTime,
    },
    /// At work.
    Running {
        /// Share of the work done when the worker last listed it, in percent.
        percent: u8,
        /// When the worker last listed it.
        listed_at: MonoTime,
    },
    /// To be stopped.
    Stopping {
        /// When the next stop call is due.
        call_at: MonoTime,
        /// When the worker took the stop.
        taken_at: Option<MonoTime>,
        /// Whether the start was given up for want of an answer.
        is_unanswered: bool,
    },
}

/// A `RunRecord` is one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The session that ordered it; absent after the session was lost.
    pub owner: Option<SessionId>,
    /// The entry that ordered it.
    pub entry: SmolStr,
    /// What it occupies.
    pub demand: ResourceAmount,
    /// The task's text.
    pub payload: SmolStr,
    /// Where it stands.
    pub state: RunState,
    /// When the order came.
    pub ordered_at: MonoTime,
    /// When the start was called.
    pub called_at: MonoTime,
    /// When the run was first known to be at work; holds made before may not list it yet.
    pub known_at: Option<MonoTime>,
}

/// A `RunTable` holds the runs at one worker. A run occupies room from the start call until its end is known.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<RunId, RunRecord>,
    used: ResourceAmount,
    ended: VecDeque<(MonoTime, RunId)>,
}

impl RunTable {
    /// Adds an ordered run; a repeated order is ignored and returns false.
    pub fn add(&mut self, run: RunId, record: RunRecord) -> bool {
        if self.runs.contains_key(&run) {
            return false;
        }
        self.used += record.demand;
        self.runs.insert(run, record);
        true
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, now: MonoTime, run: &RunId) -> Option<RunRecord> {
        let record = self.runs.remove(run)?;
        self.used -= record.demand;
        self.ended.push_back((now, *run));
        while self.ended.front().is_some_and(|(at, _)| now.since(*at) >= ENDED_AGE_MAX) {
            self.ended.pop_front();
        }
        Some(record)
    }

    /// Returns whether a run ended at `since` or later; calls made before may still show it at work.
    pub fn has_ended_since(&self, run: &RunId, since: MonoTime) -> bool {
        self.ended.iter().any(|(at, ended)| ended == run && *at >= since)
    }

    /// Returns a run.
    pub fn get(&self, run: &RunId) -> Option<&RunRecord> {
        self.runs.get(run)
    }

    /// Returns a run.
    pub fn get_mut(&mut self, run: &RunId) -> Option<&mut RunRecord> {
        self.runs.get_mut(run)
    }

    /// Returns the runs in order.
    pub fn iter(&self) -> impl Iterator<Item = (&RunId, &RunRecord)> {
        self.runs.iter()
    }

    /// Returns the runs in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&RunId, &mut RunRecord)> {
        self.runs.iter_mut()
    }

    /// Returns the names of the runs that `matches` holds for.
    pub fn select(&self, matches: impl Fn(&RunRecord) -> bool) -> Vec<RunId> {
        self.runs.iter().filter(|(_, record)| matches(record)).map(|(run, _)| *run).collect()
    }

    /// Returns what all runs occupy or wait for.
    pub fn used(&self) -> ResourceAmount {
        self.used
    }

    /// Returns what the runs of one session occupy or wait for.
    pub fn used_by(&self, owner: SessionId) -> ResourceAmount {
        let own = self.runs.values().filter(|record| record.owner == Some(owner));
        own.fold(ResourceAmount::default(), |sum, record| sum + record.demand)
    }

    /// Returns how far the runs of one session have come.
    pub fn progress_of(&self, owner: SessionId) -> Vec<RunProgress> {
        let own = self.runs.iter().filter(|(_, record)| record.owner == Some(owner));
        let progress = own.filter_map(|(run, record)| match record.state {
            RunState::Running { percent, listed_at } => {
                let elapsed = Millis::from_duration(listed_at.since(record.called_at));
                Some(RunProgress { run: *run, percent, elapsed })
            }
            RunState::Queued | RunState::Starting { .. } | RunState::Stopping { .. } => None,
        });
        progress.collect()
    }

    /// Returns what the runs occupy that were given to the worker.
    pub fn occupied(&self) -> ResourceAmount {
        let given = self.runs.values().filter(|record| record.state != RunState::Queued);
        given.fold(ResourceAmount::default(), |sum, record| sum + record.demand)
    }

    /// Returns whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns how many runs there are.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the worker has, or may have, any of the runs.
    pub fn has_given(&self) -> bool {
        self.runs.values().any(|record| record.state != RunState::Queued)
    }
}

impl RunRecord {
    /// Asks for the run to be stopped; returns whether it waited and can simply be dropped.
    pub fn stop(&mut self, now: MonoTime, is_unanswered: bool) -> bool {
        match self.state {
            RunState::Queued => return true,
            RunState::Stopping { .. } => {}
            RunState::Starting { .. } | RunState::Running { .. } => {
                self.state = RunState::Stopping { call_at: now, taken_at: None, is_unanswered };
            }
        }
        false
    }

    /// Returns whether the start was called and neither answered nor listed.
    pub fn is_starting(&self) -> bool {
        matches!(self.state, RunState::Starting { .. })
    }

    /// Returns whether the run can't be at work in a later life of the worker: it never left the agent, or the life that
    /// has ended had listed it.
    pub fn is_surely_of_incarnation(&self) -> bool {
        match self.state {
            RunState::Queued => true,
            RunState::Running { listed_at, .. } => listed_at > self.called_at,
            RunState::Starting { .. } | RunState::Stopping { .. } => false,
        }
    }

    /// Asks for the run to be stopped by the worker's next life, whatever the last one said. It may have run in either.
    pub fn stop_again(&mut self, now: MonoTime) {
        self.state = RunState::Stopping { call_at: now, taken_at: None, is_unanswered: false };
    }

    /// Notes that the worker will not start the run any more, and may have ended it: its lists tell.
    pub fn await_lists(&mut self, now: MonoTime) {
        self.state = RunState::Stopping { call_at: now, taken_at: Some(now), is_unanswered: true };
    }

    /// Returns the time since the start was called.
    pub fn ran(&self, now: MonoTime) -> Duration {
        now.since(self.called_at)
    }
}
