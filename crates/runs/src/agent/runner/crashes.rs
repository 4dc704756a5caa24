//! Crashes of the worker: which runs it was running, and whether it was only starting them.
//!
//! A worker that answers no more may have crashed, hang or be cut off. It has crashed if its address refuses connections until its lease has
//! ended, or if the next list comes from another incarnation. One that had announced that it leaves has not.

use vanillacleat_core::run_frames::{CrashStage, CrashedRun};

use super::RunnerControl;
use crate::agent::run_table::{RunRecord, RunState};
use crate::agent::worker_incarnation::WorkerIncarnation;
use crate::log_fields::format_list;

impl RunnerControl {
    /// Keeps the runs of the worker until it is known whether it has crashed.
    pub(super) fn suspect_crash(&mut self) {
        let Some(incarnation) = self.incarnation.as_ref().filter(|incarnation| !incarnation.has_given_notice()) else {
            return;
        };
        let crashed = self.crashed_runs(incarnation);
        if !crashed.is_empty() {
            self.crash_records.suspect(crashed);
        }
    }

    /// Returns the runs that the worker was told to run before it stopped answering. It never received what was sent later.
    fn crashed_runs(&self, incarnation: &WorkerIncarnation) -> Vec<CrashedRun> {
        let born = incarnation.notice.born;
        let silent_since = self.polls.pacing.unanswered_since();
        let is_received = |record: &RunRecord| silent_since.is_none_or(|since| record.started_at <= since);
        // The crash of a run that is held back was recorded when its worker was given up.
        let is_at_worker = |record: &RunRecord| record.state != RunState::Queued && !record.is_held;
        let received = self.runs.iter().filter(|(_, record)| is_at_worker(record) && is_received(record));
        let crashed = received.map(|(run, record)| {
            let stage = match record.confirmed_at {
                None => CrashStage::Unconfirmed,
                Some(_) if record.has_survived_start() => CrashStage::Running,
                Some(_) => CrashStage::Starting,
            };
            CrashedRun { task: run.task, route: record.route.clone(), born, stage }
        });
        crashed.collect()
    }

    /// Decides on a suspected crash when the worker returns a list: it has crashed if the list is that of another incarnation.
    pub(super) fn resolve_suspected_crash(&mut self) {
        let Some(suspected_born) = self.crash_records.suspected().first().map(|run| run.born) else {
            return;
        };
        if self.incarnation.as_ref().is_some_and(|incarnation| incarnation.notice.born == suspected_born) {
            self.crash_records.take_suspected();
        } else {
            self.confirm_crash("replaced");
        }
    }

    /// Records that the worker of the suspected runs has crashed.
    pub(super) fn confirm_crash(&mut self, sign: &str) {
        let crashed = self.crash_records.take_suspected();
        let Some(CrashedRun { born, .. }) = crashed.first() else {
            return;
        };
        let (runs, starting) = (crashed.len(), format_starting(&crashed));
        self.log(format!("event=worker_crashed born={born} runs={runs} sign={sign} starting={starting}"));
        self.crash_records.add(self.now, crashed);
    }
}

/// Lists the tasks that a worker had just started when it fell silent, for logs.
pub(super) fn format_starting(runs: &[CrashedRun]) -> String {
    format_list(runs.iter().filter(|run| run.stage == CrashStage::Starting).map(|run| run.task))
}
