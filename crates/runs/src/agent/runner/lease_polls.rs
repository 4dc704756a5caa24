//! Lease polls: they renew the worker's lease and read its lists of running and ended runs.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::run_frames::{EndEvidence, EndSign, RunOutcome};
use vanillacleat_core::units::{Millis, MonoTime};

use super::call_pacing::CallPacing;
use super::incarnation_end::IncarnationEnd;
use super::RunnerControl;
use crate::agent::calls::{LeasePollReply, RunList, WorkerCall};
use crate::agent::run_table::{RunOwner, RunState, StopCause};
use crate::agent::session_lease::SessionLease;
use crate::agent::worker_incarnation::WorkerNotice;
use crate::log_fields::format_list;

/// Maximum time that the worker delays its reply to a poll until a run ends. A quarter of the maximum worker lease, so
/// that the lease is renewed several times before it would end.
const POLL_WAIT: Duration = Duration::from_millis(100);
/// Shorter form of [`POLL_WAIT`] for when a stopped run has to disappear from the list or calls are being lost. If a
/// poll is lost, no ends are received until its wait has passed. Also the delay before the next poll after unknown runs
/// were stopped.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(20);
/// Time after an unanswered call during which more calls are expected to be lost. Polls overlap during that time.
pub(super) const LOSSY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of polls to wait for at the same time while calls are being lost. At other times the maximum is one.
const LOSSY_POLLS_MAX: usize = 2;
/// Time beyond a poll's wait after which the poll counts as lost and another one is sent.
const POLL_LOSS_TIMEOUT: Duration = Duration::from_millis(30);
/// Maximum number of polls without a reply, including those that count as lost.
const PENDING_POLLS_MAX: usize = 12;
/// Delay before the next poll after an unanswered one.
pub(super) const POLL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The lease polls of one worker incarnation. Usually one poll is pending, and more while calls are lost.
#[derive(Debug, Default)]
pub(super) struct PollState {
    /// The polls without a reply, by their numbers.
    pub pending: BTreeMap<u64, PendingPoll>,
    /// Number of the last poll.
    pub last_number: u64,
    /// The time until which calls are expected to be lost.
    pub lossy_until: MonoTime,
    /// The earliest time of the next poll.
    pub due_at: MonoTime,
    /// Number of consecutive polls that were not answered.
    pub failures: u32,
    /// Whether the last poll without an answer was one for which the worker's address refused the connection.
    pub was_refused: bool,
    /// When the poll was sent that returned the last list of runs.
    pub list_sent_at: Option<MonoTime>,
    /// How the incarnation answers calls.
    pub pacing: CallPacing,
    /// The last poll of another incarnation.
    pub probe: Option<Probe>,
}

/// A lease poll that asks whether another incarnation is at the worker's address. It renews no lease.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// Number of the poll.
    pub number: u64,
    /// The heartbeat that the poll is to confirm.
    pub notice: WorkerNotice,
    /// Whether its reply has not been received.
    pub is_pending: bool,
    /// The earliest time of the next one.
    pub retry_at: MonoTime,
}

/// A lease poll without a reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPoll {
    /// When the poll was sent.
    pub sent_at: MonoTime,
    /// Maximum time that the worker delays its reply.
    pub wait: Duration,
}

impl PollState {
    /// Returns whether the worker's address refuses connections, as far as the last poll has shown.
    pub fn is_refused(&self) -> bool {
        self.failures > 0 && self.was_refused
    }
}

impl RunnerControl {
    /// Sends the next lease poll if one is due. Polls are needed in three cases: the worker is not settled (it may be
    /// running something that this agent doesn't know), it may be running something that this agent started, or an end
    /// has to be acknowledged.
    pub(super) fn poll_lease(&mut self) {
        self.end_silent_runs();
        let Some(incarnation) = &self.incarnation else {
            return;
        };
        let is_needed = !incarnation.is_settled || self.runs.has_runs_at_worker() || incarnation.observed > incarnation.acknowledged;
        let is_lossy = self.now < self.polls.lossy_until && self.polls.pacing.answers_in_time();
        let awaited_max = if is_lossy && incarnation.is_settled { LOSSY_POLLS_MAX } else { 1 };
        let is_awaited = |poll: &&PendingPoll| self.now.since(poll.sent_at) < poll.wait + POLL_LOSS_TIMEOUT;
        let awaited = self.polls.pending.values().filter(is_awaited).count();
        if !is_needed || awaited >= awaited_max || self.polls.pending.len() >= PENDING_POLLS_MAX || self.now < self.polls.due_at {
            return;
        }
        if !self.polls.pacing.allows_poll(self.now) {
            return;
        }
        let is_renewing =
            incarnation.is_settled && self.runs.has_runs_at_worker() && self.polls.failures == 0 && !self.next_worker_lease().is_zero();
        let lease_end = is_renewing.then(|| self.next_lease_end());
        let is_stopping = |state: &RunState| matches!(state, RunState::Stopping { .. });
        let needs_short_wait = is_lossy || self.runs.iter().any(|(_, record)| is_stopping(&record.state));
        let wait = match is_renewing {
            true if needs_short_wait => SHORT_POLL_WAIT,
            true => POLL_WAIT,
            // No lease is granted while a run has to end. The list shows when it has.
            false if incarnation.is_settled && self.polls.failures == 0 && self.runs.has_runs_at_worker() => SHORT_POLL_WAIT,
            false => Duration::ZERO,
        };
        let observed = incarnation.observed;
        if is_renewing {
            self.record_lease_extension();
        }
        self.polls.last_number += 1;
        let number = self.polls.last_number;
        self.polls.pending.insert(number, PendingPoll { sent_at: self.now, wait });
        self.call_worker(WorkerCall::LeasePoll { number, lease_end, observed, wait });
    }

    pub(super) fn handle_poll_reply(&mut self, number: u64, reply: LeasePollReply) {
        let Some(PendingPoll { sent_at, wait }) = self.polls.pending.remove(&number) else {
            return;
        };
        let elapsed = self.now.since(sent_at);
        let is_refused = reply == LeasePollReply::Refused;
        match &reply {
            LeasePollReply::Refused | LeasePollReply::Unanswered => {}
            // The worker answers early if a run has ended.
            LeasePollReply::Runs(list) if !list.ended.is_empty() => self.polls.pacing.limit_delay(elapsed),
            _ => self.polls.pacing.record_delay(elapsed.saturating_sub(wait)),
        }
        match reply {
            LeasePollReply::Runs(list) => self.handle_run_list(sent_at, &list),
            LeasePollReply::Fenced => self.raise_fencing_token(),
            LeasePollReply::OtherIncarnation => self.lose_incarnation(IncarnationEnd::POLL_MISDIRECTED),
            LeasePollReply::Refused | LeasePollReply::Unanswered => {
                self.polls.was_refused = is_refused;
                self.polls.failures += 1;
                self.polls.due_at = self.now + POLL_RETRY_DELAY;
            }
        }
    }

    fn handle_run_list(&mut self, sent_at: MonoTime, list: &RunList) {
        self.polls.failures = 0;
        if self.incarnation.as_ref().is_some_and(|incarnation| list.born != 0 && list.born != incarnation.notice.born) {
            return self.handle_list_of_other(list);
        }
        self.resolve_suspected_crash();
        self.stop_held_runs(list);
        self.end_former_runs();
        let now = self.now;
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.clock.record_answer(sent_at, now, list.clock);
        self.polls.list_sent_at = Some(sent_at);
        incarnation.acknowledged = incarnation.observed;
        let new_ends: Vec<_> = list.ended.iter().filter(|end| end.number > incarnation.observed).copied().collect();
        incarnation.observed = new_ends.iter().map(|end| end.number).fold(incarnation.observed, u64::max);
        let ends: Vec<(RunId, RunOutcome)> = new_ends.iter().filter_map(|end| Some((end.run?, end.outcome))).collect();
        self.log_unknown_ends(&ends);
        for (run, outcome) in ends {
            self.finish_run(&run, outcome, EndSign::Listed);
        }
        self.handle_running(sent_at, list);
        self.finish_unlisted(sent_at, list);
    }

    /// Logs the listed ends of runs that are not in the table: they count as ended already, or an earlier agent started
    /// them.
    fn log_unknown_ends(&mut self, ends: &[(RunId, RunOutcome)]) {
        let unknown: Vec<String> =
            ends.iter().filter(|(run, _)| self.runs.get(run).is_none()).map(|(run, outcome)| format!("{run}:{outcome:?}")).collect();
        if !unknown.is_empty() {
            self.log(format!("event=ends_unknown runs={} ends={}", unknown.len(), format_list(&unknown)));
        }
    }

    /// Updates the runs that the worker lists as running, and stops listed runs that are not in the table. Once the
    /// list contains none of these, the worker is settled.
    fn handle_running(&mut self, sent_at: MonoTime, list: &RunList) {
        let mut unknown_runs = Vec::new();
        let listed_at = self.now;
        for task in &list.running {
            let Some(record) = self.runs.get_mut(&task.run) else {
                if !self.runs.has_ended_since(&task.run, sent_at) {
                    unknown_runs.push(task.run);
                }
                continue;
            };
            record.is_listed = true;
            record.seen_at = Some(listed_at);
            if matches!(record.state, RunState::Starting { .. } | RunState::Running { .. }) {
                record.confirmed_at.get_or_insert(listed_at);
                record.state = RunState::Running { percent: task.percent, listed_at };
            }
        }
        self.record_run_progress();
        if !list.is_complete {
            // A run that is not named may be a stranger. Unless the worker is settled, no lease is renewed until it is gone.
            self.polls.due_at = self.now + SHORT_POLL_WAIT;
        } else if unknown_runs.is_empty() {
            if let Some(incarnation) = self.incarnation.as_mut().filter(|incarnation| !incarnation.is_settled) {
                incarnation.is_settled = true;
                self.log(format!("event=worker_settled observed={}", list.ended.len()));
            }
        }
        if unknown_runs.is_empty() {
            return;
        }
        let (count, listed) = (unknown_runs.len(), format_list(&unknown_runs));
        self.log(format!("event=strangers_stopped runs={count} first={} listed={listed}", unknown_runs[0]));
        unknown_runs.into_iter().for_each(|run| self.call_worker(WorkerCall::Stop { run }));
        self.polls.due_at = self.now + SHORT_POLL_WAIT;
    }

    /// Ends runs that are missing from the list of a poll sent at `sent_at`. This applies only to runs that the worker
    /// had confirmed as running by then, or whose stop it had accepted. If the list is not complete, it applies only to runs whose stop
    /// must have taken effect.
    fn finish_unlisted(&mut self, sent_at: MonoTime, list: &RunList) {
        let stop_time = self.options.lease_terms.stop_timeout * 2;
        let is_stopped = |accepted_at: MonoTime| accepted_at <= sent_at && (list.is_complete || sent_at.since(accepted_at) >= stop_time);
        let is_listed = |run: &RunId| list.running.iter().any(|task| task.run == *run);
        let mut unlisted = Vec::new();
        for (run, record) in self.runs.iter() {
            let (outcome, sign) = match record.state {
                RunState::Running { .. } if list.is_complete && record.confirmed_at.is_some_and(|at| at < sent_at) => {
                    (RunOutcome::Lost, EndSign::Unlisted)
                }
                RunState::Stopping { taken_at: Some(at), .. } if record.is_held && list.is_complete && at <= sent_at => {
                    (RunOutcome::Lost, EndSign::FencedUnlisted)
                }
                RunState::Stopping { taken_at: Some(at), is_unanswered, .. } if !record.is_held && is_stopped(at) => {
                    let is_outdated = record.stop_cause == Some(StopCause::Outdated);
                    let sign = if is_outdated { EndSign::OutdatedUnlisted } else { EndSign::StopConfirmed };
                    (if is_unanswered { RunOutcome::Unanswered } else { RunOutcome::Stopped }, sign)
                }
                _ => continue,
            };
            if !is_listed(run) {
                unlisted.push((*run, outcome, sign));
            }
        }
        unlisted.into_iter().for_each(|(run, outcome, sign)| self.finish_run(&run, outcome, sign));
    }

    /// Returns the evidence for an end that is recorded now.
    pub(super) fn evidence(&self, sign: EndSign) -> EndEvidence {
        let age = self.polls.list_sent_at.map(|at| Millis::from_duration(self.now.since(at)));
        EndEvidence { sign, age, lease_left: Millis::from_duration(self.worker_lease_left()) }
    }

    /// Returns the duration of a worker's lease that is granted now. The lease covers all runs at the worker, so it ends no later after
    /// the end of the session's lease of any of them than it would if the worker's last renewal had come just before.
    pub(super) fn next_worker_lease(&self) -> Duration {
        let session_end = |owner: &RunOwner| {
            let lease = owner.session.and_then(|session| self.sessions.get(&session));
            owner.lost_lease_end.or(lease.map(SessionLease::leased_until)).unwrap_or(self.now)
        };
        let at_worker = self.runs.iter().filter(|(_, record)| record.state != RunState::Queued);
        let first_end = at_worker.flat_map(|(_, record)| &record.owners).map(session_end).min();
        let overdue = first_end.map_or(Duration::ZERO, |end| self.now.since(end));
        self.options.lease_terms.worker_lease.saturating_sub(overdue)
    }

    /// Returns when a worker's lease that is granted now ends, on the worker's clock.
    pub(super) fn next_lease_end(&self) -> u64 {
        let duration = self.next_worker_lease();
        self.incarnation.as_ref().map_or(0, |incarnation| incarnation.clock.lease_end(self.now, duration))
    }

    /// Returns the time within which all runs end that a lease of the usual length covers.
    pub(super) fn lapse_timeout(&self) -> Duration {
        self.lapse_time(self.options.lease_terms.worker_lease)
    }

    fn lapse_time(&self, lease: Duration) -> Duration {
        lease + lease / 20 + self.options.lease_terms.stop_timeout * 2
    }

    /// Records that a call is sent which extends the worker's lease if the worker receives it.
    pub(super) fn record_lease_extension(&mut self) {
        self.extend_lease_bound(self.options.lease_terms.worker_lease);
    }

    /// Records that the worker may have been granted a lease of this duration by now.
    pub(super) fn extend_lease_bound(&mut self, lease: Duration) {
        self.lease_bound = self.lease_bound.max(self.now + self.lapse_time(lease));
    }

    /// Returns the maximum time until the worker's lease ends, whichever incarnation received the last call that extends it.
    /// Zero before the first such call.
    pub(super) fn worker_lease_left(&self) -> Duration {
        self.lease_bound.since(self.now).saturating_sub(self.options.lease_terms.stop_timeout * 2)
    }
}
