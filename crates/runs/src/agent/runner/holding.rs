//! The renewal of the worker's lease and what the worker lists.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;

use super::RunnerControl;
use crate::agent::calls::{LeasePollReply, RunList, WorkerCall};
use crate::agent::run_table::RunState;

/// Longest time that a hold waits for an end; a quarter of the worker's lease, so that renewals overlap.
const HOLD_WAIT: Duration = Duration::from_millis(100);
/// The same while a stopped run has to be seen gone, or while calls go unanswered: a lost hold hides ends that long.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Time for which holds overlap after a call was not answered.
pub(super) const LOSSY_TIME: Duration = Duration::from_secs(2);
/// Holds under way at once while calls go unanswered.
const LOSSY_HOLDS: usize = 2;
/// Time beyond its wait from which a hold counts as lost and another one is made.
const LOSS_TIME: Duration = Duration::from_millis(30);
/// Most holds whose answers may still come.
const HOLDS_MAX: usize = 12;
/// Pause after a hold that was not answered.
const HOLD_PAUSE: Duration = Duration::from_millis(50);

/// A `HoldState` tells of the hold calls: one is under way as a rule, and more while calls go unanswered.
#[derive(Debug, Default)]
pub(super) struct HoldState {
    /// The calls under way: their numbers and when they were made.
    pub calls: BTreeMap<u64, HoldCall>,
    /// Number of the last call.
    pub last_number: u64,
    /// Until when calls are expected to go unanswered.
    pub lossy_until: MonoTime,
    /// The earliest moment of the next call.
    pub due_at: MonoTime,
    /// When the worker's lease was last extended, or may have been.
    pub extended_at: MonoTime,
    /// Holds in a row that were not answered.
    pub failures: u32,
}

/// A `HoldCall` is a hold that was not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct HoldCall {
    /// When it was made.
    pub sent_at: MonoTime,
    /// Longest time that the worker waits.
    pub wait: Duration,
}

impl RunnerControl {
    /// Keeps a hold call under way while something runs or an end has to be acknowledged.
    pub(super) fn keep_hold(&mut self) {
        self.abandon_silent_worker();
        let Some(incarnation) = &self.incarnation else {
            return;
        };
        let is_wanted = !incarnation.is_settled || self.book.has_given() || incarnation.observed > incarnation.acknowledged;
        let is_lossy = self.now < self.hold.lossy_until;
        let most = if is_lossy && incarnation.is_settled { LOSSY_HOLDS } else { 1 };
        let is_young = |call: &&HoldCall| self.now.since(call.sent_at) < call.wait + LOSS_TIME;
        let young = self.hold.calls.values().filter(is_young).count();
        if !is_wanted || young >= most || self.hold.calls.len() >= HOLDS_MAX || self.now < self.hold.due_at {
            return;
        }
        let is_renewing = incarnation.is_settled && self.book.has_given() && self.hold.failures == 0;
        let lease_end = is_renewing.then(|| incarnation.clock.lease_end(self.now, self.options.terms.worker_lease));
        let is_stopping = |state: &RunState| matches!(state, RunState::Stopping { .. });
        let is_hurried = is_lossy || self.book.iter().any(|(_, record)| is_stopping(&record.state));
        let wait = match is_renewing {
            true if is_hurried => SHORT_WAIT,
            true => HOLD_WAIT,
            false => Duration::ZERO,
        };
        let observed = incarnation.observed;
        if is_renewing {
            self.hold.extended_at = self.now;
        }
        self.hold.last_number += 1;
        let number = self.hold.last_number;
        self.hold.calls.insert(number, HoldCall { sent_at: self.now, wait });
        self.call(WorkerCall::LeasePoll { number, lease_end, observed, wait });
    }

    /// A worker that has not answered for as long as its lease lasts has ended all runs by itself.
    fn abandon_silent_worker(&mut self) {
        let terms = &self.options.terms;
        let lapse = terms.worker_lease + terms.worker_lease / 20 + terms.stop_timeout * 2;
        if self.hold.failures == 0 || !self.book.has_given() || self.now.since(self.hold.extended_at) < lapse {
            return;
        }
        self.log(format!("event=worker_silent failures={} runs={}", self.hold.failures, self.book.len()));
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.is_settled = false;
        }
        self.end_runs(RunOutcome::Lost);
    }

    pub(super) fn take_hold_reply(&mut self, number: u64, reply: LeasePollReply) {
        let Some(HoldCall { sent_at, .. }) = self.hold.calls.remove(&number) else {
            return;
        };
        match reply {
            LeasePollReply::Listed(list) => self.take_list(sent_at, &list),
            LeasePollReply::Fenced => self.raise_token(),
            LeasePollReply::OtherIncarnation => self.end_incarnation("other_life"),
            LeasePollReply::Unanswered => {
                self.hold.failures += 1;
                self.hold.due_at = self.now + HOLD_PAUSE;
            }
        }
    }

    fn take_list(&mut self, sent_at: MonoTime, list: &RunList) {
        self.hold.failures = 0;
        self.record_clock(list.clock);
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        if list.born > incarnation.notice.born {
            return self.end_incarnation("reborn");
        }
        incarnation.acknowledged = incarnation.observed;
        let fresh: Vec<_> = list.ended.iter().filter(|end| end.number > incarnation.observed).copied().collect();
        incarnation.observed = fresh.iter().map(|end| end.number).fold(incarnation.observed, u64::max);
        for end in fresh {
            if let Some(run) = end.run {
                self.finish_run(&run, end.outcome);
            }
        }
        self.take_running(sent_at, list);
        self.settle_missing(sent_at, list);
    }

    /// Takes what is at work; runs that nobody here ordered are stopped.
    fn take_running(&mut self, sent_at: MonoTime, list: &RunList) {
        let mut strangers = Vec::new();
        let listed_at = self.now;
        for task in &list.running {
            let Some(record) = self.book.get_mut(&task.run) else {
                if !self.book.has_ended_since(&task.run, sent_at) {
                    strangers.push(task.run);
                }
                continue;
            };
            if matches!(record.state, RunState::Starting { .. } | RunState::Running { .. }) {
                record.known_at.get_or_insert(listed_at);
                record.state = RunState::Running { percent: task.percent, listed_at };
            }
        }
        if strangers.is_empty() {
            if let Some(incarnation) = self.incarnation.as_mut().filter(|incarnation| !incarnation.is_settled) {
                incarnation.is_settled = true;
                self.log(format!("event=worker_settled observed={}", list.ended.len()));
            }
            return;
        }
        self.log(format!("event=strangers_stopped runs={} first={}", strangers.len(), strangers[0]));
        strangers.into_iter().for_each(|run| self.call(WorkerCall::Stop { run }));
        self.hold.due_at = self.now + SHORT_WAIT;
    }

    /// Ends the runs that should be listed and are not.
    fn settle_missing(&mut self, sent_at: MonoTime, list: &RunList) {
        let is_listed = |run: &RunId| list.running.iter().any(|task| task.run == *run);
        let mut missing = Vec::new();
        for (run, record) in self.book.iter() {
            let outcome = match record.state {
                RunState::Running { .. } if record.known_at.is_some_and(|at| at < sent_at) => RunOutcome::Lost,
                RunState::Stopping { taken_at: Some(at), is_unanswered, .. } if at <= sent_at => {
                    if is_unanswered {
                        RunOutcome::Unanswered
                    } else {
                        RunOutcome::Stopped
                    }
                }
                _ => continue,
            };
            if !is_listed(run) {
                missing.push((*run, outcome));
            }
        }
        missing.into_iter().for_each(|(run, outcome)| self.finish_run(&run, outcome));
    }
}
