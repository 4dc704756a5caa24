//! Orders of entries: starts, stops and the plan.

use std::time::Duration;

use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::run_frames::{OrderFrame, RunEnd, RunFrame, RunOrders, RunOutcome, RunStart};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::{Millis, MonoTime};

use super::holding::LOSSY_TIME;
use super::{RunnerAction, RunnerControl};
use crate::agent::calls::{StartRefusal, StartReply, StopReply, WorkerCall};
use crate::agent::run_table::{RunRecord, RunState};

/// Time to an answer from which a worker on the same host counts as silent; it answers in about a millisecond.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(50);
/// Time without an answer from which a start or a stop is called again.
const RETRY_TIME: Duration = Duration::from_millis(25);
/// Calls of a start after which it is given up.
const START_TRIES_MAX: u32 = 6;
/// Longest time that a start waits here for room; its entry may have a better place by then.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(10);

impl RunnerControl {
    pub(super) fn take_frame(&mut self, session: SessionId, frame: OrderFrame) {
        let now = self.now;
        if let Some(lease) = self.sessions.get_mut(&session) {
            lease.record_received(now);
        }
        match frame {
            OrderFrame::Orders(orders) => self.take_orders(session, orders),
            OrderFrame::Plan(plan) => self.take_plan(&plan),
            OrderFrame::PlanWanted => {
                let plan = Box::new(self.plan.clone());
                self.actions.push(RunnerAction::Send { session, frame: RunFrame::Plan(plan) });
            }
            OrderFrame::Entries(entries) => entries.into_iter().for_each(|address| self.dialer.add_address(address)),
        }
    }

    fn take_plan(&mut self, plan: &SitePlan) {
        if self.plan.merge(plan) {
            let (version, zones) = (self.plan.version(), self.plan.zones_out.len());
            self.log(format!("event=plan_taken version={version} zones_out={zones} revision={}", self.plan.zones_revision));
        }
    }

    fn take_orders(&mut self, session: SessionId, orders: RunOrders) {
        let span = self.options.terms.session_lease;
        let Some(lease) = self.sessions.get_mut(&session) else {
            return;
        };
        lease.renew(orders.echoed_nonce, span);
        let RunOrders { payloads, starts, stops, .. } = orders;
        for start in starts {
            let payload = payloads.get(usize::from(start.payload)).cloned().unwrap_or_default();
            self.take_start(session, start, payload);
        }
        stops.iter().for_each(|run| self.stop_run(run));
    }

    fn take_start(&mut self, session: SessionId, start: RunStart, payload: smol_str::SmolStr) {
        let Some(lease) = self.sessions.get(&session) else {
            return;
        };
        let may_start = lease.is_valid(self.now) && self.is_open();
        let record = RunRecord {
            owner: Some(session),
            entry: lease.address.clone(),
            demand: start.demand,
            payload,
            state: RunState::Queued,
            ordered_at: self.now,
            called_at: self.now,
            known_at: None,
        };
        if self.book.add(start.run, record) && !may_start {
            self.finish_run(&start.run, RunOutcome::Closed);
        }
    }

    /// Returns whether runs may start at the worker.
    pub(super) fn is_open(&self) -> bool {
        let is_ready = self.incarnation.as_ref().is_some_and(|incarnation| incarnation.is_settled && incarnation.notice.is_ready);
        let is_wanted = self.drain_since.is_none() && !self.plan.zones_out.contains(&self.options.zone);
        is_ready && is_wanted && !self.is_worker_silent()
    }

    /// Returns whether the worker has said nothing since a start that it should have answered: more starts would only
    /// share its fate, and their entries can place them elsewhere.
    fn is_worker_silent(&self) -> bool {
        let is_overdue = |called_at: MonoTime| self.last_received_at < called_at && self.now.since(called_at) >= ANSWER_TIME_MAX;
        self.book.iter().any(|(_, record)| record.is_starting() && is_overdue(record.called_at))
    }

    /// Calls the starts that have room, in the order in which they came.
    pub(super) fn start_queued(&mut self) {
        let mut queued: Vec<_> = self.book.iter().filter(|(_, record)| record.state == RunState::Queued).collect();
        if queued.is_empty() {
            return;
        }
        queued.sort_by_key(|(_, record)| record.ordered_at);
        let queued: Vec<RunId> = queued.into_iter().map(|(run, _)| *run).collect();
        queued.iter().for_each(|run| self.try_start(run));
    }

    fn try_start(&mut self, run: &RunId) {
        let is_open = self.is_open();
        let room = self
            .incarnation
            .as_ref()
            .map(|incarnation| incarnation.notice.capacity.saturating_sub(&self.book.occupied()))
            .unwrap_or_default();
        let lease_end =
            self.incarnation.as_ref().map_or(0, |incarnation| incarnation.clock.lease_end(self.now, self.options.terms.worker_lease));
        let now = self.now;
        let Some(record) = self.book.get_mut(run) else {
            return;
        };
        if !is_open {
            return self.finish_run(run, RunOutcome::Closed);
        }
        if !record.demand.fits(&room) {
            if now.since(record.ordered_at) >= QUEUE_WAIT_MAX {
                self.finish_run(run, RunOutcome::NoRoom);
            }
            return;
        }
        record.state = RunState::Starting { tries: 1, retry_at: now + RETRY_TIME };
        record.called_at = now;
        let payload = record.payload.clone();
        self.hold.extended_at = now;
        self.call(WorkerCall::Start { run: *run, payload, lease_end });
    }

    /// Calls starts again that are not answered: a run that is there already stays one run. After some tries the start
    /// is given up and stopped.
    pub(super) fn retry_starts(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (run, record) in self.book.iter_mut() {
            let RunState::Starting { tries, retry_at } = &mut record.state else {
                continue;
            };
            if now < *retry_at {
                continue;
            }
            if *tries >= START_TRIES_MAX {
                record.stop(now, true);
                continue;
            }
            (*tries, *retry_at) = (*tries + 1, now + RETRY_TIME);
            due.push((*run, record.payload.clone()));
        }
        for (run, payload) in due {
            let lease_end =
                self.incarnation.as_ref().map_or(0, |incarnation| incarnation.clock.lease_end(now, self.options.terms.worker_lease));
            self.hold.extended_at = now;
            self.hold.lossy_until = now + LOSSY_TIME;
            self.call(WorkerCall::Start { run, payload, lease_end });
        }
    }

    pub(super) fn take_start_reply(&mut self, run: RunId, reply: StartReply) {
        match reply {
            StartReply::Started(clock) => {
                self.record_clock(clock);
                let record = self.book.get_mut(&run).filter(|record| record.is_starting());
                if let Some(record) = record {
                    record.state = RunState::Running { percent: 0, listed_at: self.now };
                    record.called_at = self.now;
                    record.known_at = Some(self.now);
                }
            }
            StartReply::Refused(refusal, clock) => {
                self.record_clock(clock);
                self.take_refusal(&run, refusal);
            }
            StartReply::Shed if self.is_starting_once(&run) => self.finish_run(&run, RunOutcome::Shed),
            StartReply::OtherIncarnation => self.end_incarnation("other_life"),
            // The next try, or the end of the tries, decides.
            StartReply::Shed | StartReply::Unanswered => {}
        }
    }

    fn is_starting_once(&self, run: &RunId) -> bool {
        self.book.get(run).is_some_and(|record| matches!(record.state, RunState::Starting { tries: 1, .. }))
    }

    fn take_refusal(&mut self, run: &RunId, refusal: StartRefusal) {
        if refusal == StartRefusal::Fenced {
            self.raise_token();
        }
        let now = self.now;
        match self.book.get_mut(run).filter(|record| record.is_starting()) {
            None => {}
            // An earlier try may have begun: only the worker's lists tell how the run went.
            Some(record) if refusal == StartRefusal::Outdated => record.await_lists(now),
            Some(record) if !matches!(record.state, RunState::Starting { tries: 1, .. }) => drop(record.stop(now, true)),
            Some(_) => self.finish_run(run, refused_outcome(refusal)),
        }
    }

    pub(super) fn stop_run(&mut self, run: &RunId) {
        let now = self.now;
        let is_queued = self.book.get_mut(run).is_some_and(|record| record.stop(now, false));
        if is_queued {
            self.finish_run(run, RunOutcome::Closed);
        }
    }

    /// Makes the stop calls that are due.
    pub(super) fn call_stops(&mut self) {
        if self.incarnation.is_none() {
            return;
        }
        let now = self.now;
        let mut due = Vec::new();
        for (run, record) in self.book.iter_mut() {
            if let RunState::Stopping { call_at, taken_at: None, .. } = &mut record.state {
                if now >= *call_at {
                    *call_at = now + RETRY_TIME;
                    due.push(*run);
                }
            }
        }
        due.into_iter().for_each(|run| self.call(WorkerCall::Stop { run }));
    }

    pub(super) fn take_stop_reply(&mut self, run: RunId, reply: StopReply) {
        match reply {
            StopReply::Taken(clock) => {
                self.record_clock(clock);
                let now = self.now;
                if let Some(RunState::Stopping { taken_at, .. }) = self.book.get_mut(&run).map(|record| &mut record.state) {
                    *taken_at = Some(now);
                }
            }
            StopReply::Fenced => self.raise_token(),
            // The next call decides.
            StopReply::Unanswered => {}
            StopReply::OtherIncarnation => self.end_incarnation("other_life"),
        }
    }

    /// Notes the end of a run and reports it to its entry.
    pub(super) fn finish_run(&mut self, run: &RunId, outcome: RunOutcome) {
        let Some(record) = self.book.remove(self.now, run) else {
            return;
        };
        let ran = Millis::from_duration(record.ran(self.now));
        self.log(format!("event=run_ended run={run} entry={} outcome={outcome:?} ran_ms={ran}", record.entry));
        let session = record.owner.and_then(|owner| self.sessions.get_mut(&owner));
        if let Some(session) = session {
            session.ends.push(RunEnd { run: *run, outcome, ran });
        }
    }
}

fn refused_outcome(refusal: StartRefusal) -> RunOutcome {
    match refusal {
        StartRefusal::NoRoom => RunOutcome::NoRoom,
        StartRefusal::Malformed => RunOutcome::Failed,
        StartRefusal::Fenced | StartRefusal::Outdated | StartRefusal::Late => RunOutcome::Unanswered,
    }
}
