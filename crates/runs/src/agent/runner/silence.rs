//! What becomes of the runs of a worker that does not answer.
//!
//! A silent worker may still run what it was told to run, but not after the last lease that a call may have granted has ended. That
//! leaves the starts that were never answered: they may be on their way and be executed later. The incarnation that they are meant for
//! then rejects them, because the lease that they carry has ended on its clock. A later incarnation of the same name, whose clock
//! begins anew, accepts them until it has received a call with a higher fencing token. The end of such a run is therefore held back
//! until a list shows what became of it, for [`LeaseTerms::start_transit_max`](crate::LeaseTerms::start_transit_max) at most.

use vanillacleat_core::run_frames::{EndSign, RunOutcome};

use super::crashes::format_starting;
use super::RunnerControl;
use crate::agent::calls::RunList;

impl RunnerControl {
    /// Ends the runs of a worker that does not answer polls, or of which no incarnation is known, once its lease must have ended.
    pub(super) fn end_silent_runs(&mut self) {
        let is_answering = self.incarnation.is_some() && self.polls.failures == 0;
        if is_answering || self.now < self.lease_bound || !self.runs.has_runs_at_worker() {
            return;
        }
        if self.runs.iter().any(|(_, record)| !record.is_held) {
            self.give_up_worker();
        }
        if self.now >= self.lease_bound + self.options.lease_terms.start_transit_max {
            let held = self.runs.select(|record| record.is_held);
            held.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Lost, EndSign::StartUnresolved));
        }
        if !self.runs.has_runs_at_worker() {
            self.former = None;
        }
    }

    /// Ends the runs that the worker can't run any more, and holds back the ends of those whose starts may still be executed.
    fn give_up_worker(&mut self) {
        let held = self.runs.select(|record| record.open_calls > 0);
        let sign = if self.polls.is_refused() { EndSign::WorkerGone } else { EndSign::WorkerSilent };
        let evidence = self.evidence(sign);
        let (failures, runs) = (self.polls.failures, self.runs.len());
        self.suspect_crash();
        let starting = format_starting(self.crash_records.suspected());
        self.log(format!("event=worker_silent failures={failures} runs={runs} held={} starting={starting} {evidence}", held.len()));
        if self.polls.is_refused() {
            self.confirm_crash("refused");
        }
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.is_settled = false;
        }
        // Starts that are still in transit are rejected after the next call.
        self.fencing_token += 1;
        let ended = self.runs.select(|record| record.open_calls == 0);
        ended.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Lost, sign));
        let now = self.now;
        self.runs.iter_mut().for_each(|(_, record)| record.hold(now));
    }

    /// Stops the runs that were held back and that the worker lists: it has started them meanwhile. Those that it does not list have
    /// ended once the poll was sent after they were held back, with the fencing token that was raised then.
    pub(super) fn stop_held_runs(&mut self, list: &RunList) {
        let now = self.now;
        for task in &list.running {
            if let Some(record) = self.runs.get_mut(&task.run).filter(|record| record.is_held) {
                record.request_stop_again(now);
            }
        }
    }
}
