//! Incarnations of the worker: which one the agent calls, and what becomes of the runs of one that it no longer calls.
//!
//! Heartbeats, deregistrations and misdirected calls may be late or come from another writer, and a worker that deregisters goes on for
//! a while. They decide which incarnation is called, but no run ends on them. A run has ended when a list of the worker shows it:
//! the one of its own incarnation, or one of a later incarnation at the worker's address. Without such a list it has ended when the
//! last lease that a call may have granted has ended.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::run_frames::{EndSign, RunOutcome};
use vanillacleat_core::units::MonoTime;

use super::incarnation_end::IncarnationEnd;
use super::lease_polls::{PollState, Probe, POLL_RETRY_DELAY};
use super::{RunnerAction, RunnerControl};
use crate::agent::calls::{LeasePollReply, RunList, WorkerCall};
use crate::agent::run_table::{RunRecord, RunState};
use crate::agent::worker_incarnation::{WorkerIncarnation, WorkerNotice};
use crate::log_fields::format_age;
use crate::WorkerPerformance;

/// An incarnation of the worker that the agent has lost.
#[derive(Clone, Debug)]
pub(super) struct LostIncarnation {
    worker: SmolStr,
    born: u64,
    lost_at: MonoTime,
    /// Sequence number of its last heartbeat.
    sequence: u64,
    /// Whether it was draining. It never becomes ready again.
    was_draining: bool,
    /// Whether it had deregistered and sent no heartbeat since.
    was_leaving: bool,
}

impl LostIncarnation {
    fn matches(&self, notice: &WorkerNotice) -> bool {
        self.worker == notice.worker && self.born == notice.born
    }

    /// Returns whether a heartbeat of this incarnation was sent before it was lost.
    fn is_outdated(&self, notice: &WorkerNotice) -> bool {
        notice.sequence < self.sequence || (self.was_leaving && notice.sequence == self.sequence)
    }
}

impl RunnerControl {
    pub(super) fn handle_heartbeat(&mut self, notice: WorkerNotice) {
        match &mut self.incarnation {
            None => self.find_incarnation(notice),
            Some(incarnation) if incarnation.matches(&notice) => {
                incarnation.update(notice);
                self.successor = None;
            }
            Some(_) => self.successor = Some(notice),
        }
    }

    /// Begins the incarnation of a heartbeat, unless it is the one that was lost and the heartbeat was delayed.
    fn find_incarnation(&mut self, notice: WorkerNotice) {
        let Some(lost) = self.lost_incarnation.as_ref().filter(|lost| lost.matches(&notice)) else {
            return self.begin_incarnation(notice);
        };
        if lost.is_outdated(&notice) {
            let WorkerNotice { worker, born, sequence, .. } = notice;
            let line = format!("event=heartbeat_outdated worker={worker} born={born} heartbeat={sequence} known={}", lost.sequence);
            return self.log(line);
        }
        let is_ready = notice.is_ready && !lost.was_draining;
        self.begin_incarnation(WorkerNotice { is_ready, ..notice });
    }

    /// Asks the worker whether the incarnation of a heartbeat is the one at its address.
    pub(super) fn probe_successor(&mut self) {
        let (Some(successor), Some(incarnation)) = (&self.successor, &self.incarnation) else {
            return;
        };
        if self.polls.probe.as_ref().is_some_and(|probe| probe.is_pending || self.now < probe.retry_at) {
            return;
        }
        self.polls.last_number += 1;
        let number = self.polls.last_number;
        // Another incarnation of the same name may turn out to be an earlier one, whose calls must not fence those to the current one.
        let fencing_token = self.fencing_token + u64::from(successor.worker != incarnation.notice.worker);
        let notice = successor.clone();
        let worker = notice.worker.clone();
        self.polls.probe = Some(Probe { number, notice, is_pending: true, retry_at: self.now + POLL_RETRY_DELAY });
        self.actions.push(RunnerAction::Call {
            incarnation_number: self.incarnation_number,
            worker,
            fencing_token,
            call: WorkerCall::LeasePoll { number, lease_end: None, observed: 0, wait: Duration::ZERO },
        });
    }

    pub(super) fn handle_probe_reply(&mut self, reply: &LeasePollReply) {
        let (Some(probe), Some(incarnation)) = (&mut self.polls.probe, &self.incarnation) else {
            return;
        };
        probe.is_pending = false;
        let notice = probe.notice.clone();
        match reply {
            LeasePollReply::Runs(list) if notice.worker != incarnation.notice.worker || list.born != incarnation.notice.born => {
                self.replace_incarnation(notice, IncarnationEnd::HEARTBEAT);
            }
            LeasePollReply::Runs(_) | LeasePollReply::OtherIncarnation => {
                let WorkerNotice { worker, born, .. } = &incarnation.notice;
                let (other, other_born) = (&notice.worker, notice.born);
                let line = format!("event=heartbeat_refuted worker={other} born={other_born} known={worker} known_born={born}");
                self.log(line);
                // A later heartbeat is probed in turn.
                if self.successor.as_ref() == Some(&notice) {
                    self.successor = None;
                }
            }
            LeasePollReply::Fenced => self.raise_fencing_token(),
            LeasePollReply::Refused | LeasePollReply::Unanswered => {}
        }
    }

    /// Replaces the incarnation after a list of another one has shown that it is at the worker's address.
    fn replace_incarnation(&mut self, notice: WorkerNotice, end: IncarnationEnd) {
        self.successor = None;
        self.lose_incarnation(end);
        self.begin_incarnation(notice);
    }

    /// Handles a list of an incarnation that has the same name as the current one.
    pub(super) fn handle_list_of_other(&mut self, list: &RunList) {
        let Some(incarnation) = &self.incarnation else {
            return;
        };
        let current = &incarnation.notice;
        let announced = self.successor.take().filter(|notice| notice.worker == current.worker && notice.born == list.born);
        let is_announced = announced.is_some();
        let unannounced = || WorkerNotice { born: list.born, is_ready: false, sequence: 0, ..current.clone() };
        let notice = announced.unwrap_or_else(unannounced);
        self.replace_incarnation(notice, IncarnationEnd::LATER_LIST);
        if let Some(incarnation) = &mut self.incarnation {
            incarnation.is_announced = is_announced;
        }
    }

    fn begin_incarnation(&mut self, notice: WorkerNotice) {
        // The higher token makes the new incarnation reject calls to an earlier one of the same name that are still in
        // transit.
        self.fencing_token += 1;
        self.log_worker_found(&notice);
        self.incarnation_number += 1;
        if self.former.as_ref().is_some_and(|(worker, born)| *worker == notice.worker && *born == notice.born) {
            self.former = None;
        }
        // A call that was meant for the former incarnation of the same name carries a lease end on that one's clock, for which the
        // worker may grant its longest lease.
        let is_reborn = |lost: &LostIncarnation| lost.worker == notice.worker && lost.born != notice.born;
        if self.lost_incarnation.as_ref().is_some_and(is_reborn) && self.lease_bound > MonoTime::ZERO {
            self.extend_lease_bound(self.options.lease_terms.worker_lease_max);
        }
        if self.speeds.set_kind(notice.labels.first()) {
            self.sessions.values_mut().for_each(|lease| lease.reported_speeds.clear());
        }
        self.performance = WorkerPerformance::default();
        self.incarnation = Some(WorkerIncarnation::new(notice));
        self.successor = None;
        self.polls = PollState::default();
    }

    fn log_worker_found(&mut self, notice: &WorkerNotice) {
        let WorkerNotice { worker, born, is_ready, sequence, .. } = notice;
        let lost = self.lost_incarnation.as_ref();
        let is_same = lost.is_some_and(|lost| lost.matches(notice));
        let lost_ms = format_age(lost.map(|lost| self.now.since(lost.lost_at)));
        self.log(format!(
            "event=worker_found worker={worker} born={born} ready={is_ready} heartbeat={sequence} same={is_same} lost_ms={lost_ms}"
        ));
    }

    /// Stops calling the worker's incarnation. Its runs are stopped if it is found again, and otherwise end as the module's
    /// documentation says.
    pub(super) fn lose_incarnation(&mut self, end: IncarnationEnd) {
        self.suspect_crash();
        let Some(incarnation) = self.incarnation.take() else {
            return;
        };
        let (was_draining, was_leaving) = (incarnation.is_announced && !incarnation.notice.is_ready, incarnation.is_leaving);
        let WorkerNotice { worker, born, sequence, .. } = incarnation.notice;
        let lease_left = self.worker_lease_left().as_millis();
        self.log(format!(
            "event=worker_lost worker={worker} born={born} cause={} runs={} sign={} answer_age_ms={} lease_left_ms={lease_left}",
            end.cause,
            self.runs.len(),
            end.sign,
            self.now.since(self.worker_answered_at).as_millis(),
        ));
        self.lost_incarnation =
            Some(LostIncarnation { worker: worker.clone(), born, lost_at: self.now, sequence, was_draining, was_leaving });
        self.incarnation_number += 1;
        let queued = self.runs.select(|record| record.state == RunState::Queued);
        queued.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Closed, EndSign::NeverSent));
        if self.runs.has_runs_at_worker() {
            self.former.get_or_insert((worker, born));
        }
        let now = self.now;
        // Runs that are held back are stopped when the worker answers.
        let stopped = self.runs.iter_mut().filter(|(_, record)| !record.is_held);
        stopped.for_each(|(_, record)| record.request_stop_again(now));
        if let Some(successor) = self.successor.take() {
            self.begin_incarnation(successor);
        }
    }

    /// Ends the runs of a former incarnation after the current one has returned a list. If both have the same name, the current one may
    /// run what the former has not listed, or what was started by a call that is still in transit. These runs are stopped there first.
    pub(super) fn end_former_runs(&mut self) {
        let (Some((worker, _)), Some(incarnation)) = (self.former.take(), &self.incarnation) else {
            return;
        };
        let has_same_name = incarnation.notice.worker == worker;
        let has_ended = |record: &RunRecord| !has_same_name || (record.is_listed && record.open_calls == 0);
        let ended = self.runs.select(has_ended);
        ended.into_iter().for_each(|run| self.finish_run(&run, RunOutcome::Lost, EndSign::LaterList));
    }

    /// Handles a deregistration. The worker ends only after it has received the answer, so its runs go on until a list or the end of
    /// their lease shows otherwise.
    pub(super) fn handle_deregistration(&mut self, worker: &SmolStr) {
        let Some(incarnation) = self.incarnation.as_mut().filter(|incarnation| incarnation.notice.worker == *worker) else {
            let known = self.incarnation.as_ref().map_or("none", |incarnation| incarnation.notice.worker.as_str());
            return self.log(format!("event=deregistration_ignored worker={worker} known={known}"));
        };
        incarnation.is_leaving = true;
        let runs = self.runs.len();
        self.log(format!("event=worker_leaving worker={worker} runs={runs}"));
    }

    /// Stops calling a worker that has deregistered once it runs nothing and its ends are acknowledged, or it answers no more.
    pub(super) fn finish_leaving(&mut self) {
        let Some(incarnation) = self.incarnation.as_ref().filter(|incarnation| incarnation.is_leaving) else {
            return;
        };
        let is_acknowledged = incarnation.observed <= incarnation.acknowledged || self.polls.failures > 0;
        if is_acknowledged && !self.runs.has_runs_at_worker() {
            self.lose_incarnation(IncarnationEnd::DEREGISTRATION);
        }
    }
}
