//! Frames from entries (starts, stops and the site plan) and the calls to the worker that execute them.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{ResourceAmount, RunId};
use vanillacleat_core::run_frames::{EndSign, KnownSpeeds, OrderFrame, OrderedRun, RunEnd, RunFrame, RunOrders, RunOutcome, RunStart};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::{Millis, MonoTime};

use super::incarnation_end::IncarnationEnd;
use super::lease_polls::LOSSY_INTERVAL;
use super::{RunnerAction, RunnerControl};
use crate::agent::calls::{StartRejection, StartReply, StopReply, WorkerCall};
use crate::agent::end_forecast::freed_by;
use crate::agent::run_table::{RunOwner, RunRecord, RunState, StopCause};
use crate::agent::worker_incarnation::WorkerIncarnation;
use crate::log_fields::format_age;

/// Time without an answer after which a start counts as overdue. A worker on the same host usually answers in about a
/// millisecond.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Time without an answer after which a start is abandoned.
const START_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time that a start waits for free capacity at this worker. After that it is returned, because its entry may
/// find a worker that can start it sooner.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(25);

impl RunnerControl {
    pub(super) fn handle_frame(&mut self, session: SessionId, frame: OrderFrame) {
        if let Some(lease) = self.sessions.get_mut(&session) {
            lease.record_received();
            lease.received_at = Some(self.now);
        }
        match frame {
            OrderFrame::Orders(orders) => self.handle_orders(session, orders),
            OrderFrame::Plan(plan) => self.handle_plan(&plan),
            OrderFrame::PlanRequest => {
                let plan = Box::new(self.plan.clone());
                self.actions.push(RunnerAction::Send { session, frame: RunFrame::Plan(plan) });
            }
            OrderFrame::Entries(entries) => self.add_entries(entries),
            OrderFrame::Speeds(known) => self.handle_speeds(session, &known),
        }
    }

    fn handle_speeds(&mut self, session: SessionId, known: &KnownSpeeds) {
        self.speeds.merge(known);
        let (routes, refused) = (known.routes.len(), self.speeds.refused());
        self.log(format!("event=speeds_taken session={session} routes={routes} refused_total={refused}"));
    }

    fn handle_plan(&mut self, plan: &SitePlan) {
        if self.plan.merge(plan) {
            let (version, zones) = (self.plan.version(), self.plan.zones_out.len());
            self.log(format!("event=plan_taken version={version} zones_out={zones} revision={}", self.plan.zones_revision));
        }
    }

    fn handle_orders(&mut self, session: SessionId, orders: RunOrders) {
        let duration = self.options.lease_terms.session_lease;
        let Some(lease) = self.sessions.get_mut(&session) else {
            return;
        };
        lease.renew(self.now, orders.leased_from, duration);
        let RunOrders { payloads, routes, starts, stops, leased_from } = orders;
        for start in starts {
            let payload = payloads.get(usize::from(start.payload)).cloned().unwrap_or_default();
            let route = routes.get(usize::from(start.route)).cloned().unwrap_or_default();
            self.handle_start(session, start, (payload, route), MonoTime::from_millis(leased_from.0));
        }
        stops.iter().for_each(|stop| self.withdraw_order(stop));
    }

    fn handle_start(&mut self, session: SessionId, start: RunStart, (payload, route): (SmolStr, SmolStr), leased_from: MonoTime) {
        let Some(lease) = self.sessions.get(&session) else {
            return;
        };
        let is_leased = lease.is_valid(self.now);
        let may_start = is_leased && !lease.is_retiring && self.accepts_starts();
        let RunStart { run, order, .. } = start;
        let owner =
            RunOwner { run, order, session: Some(session), entry: lease.address.clone(), has_withdrawn: false, lost_lease_end: None };
        if let Some(earlier) = self.runs.run_of(&run.task) {
            return self.join_run(&earlier, owner, is_leased);
        }
        let record = RunRecord {
            owners: vec![owner],
            demand: start.demand,
            payload,
            route,
            estimate: start.estimate.to_duration(),
            state: RunState::Queued,
            ordered_at: self.now,
            leased_from,
            started_at: self.now,
            confirmed_at: None,
            seen_at: None,
            stop_cause: None,
            stop_calls: 0,
            open_calls: 0,
            is_listed: false,
            is_held: false,
        };
        if self.runs.add(start.run, record) && !may_start {
            self.finish_run(&start.run, RunOutcome::Closed, EndSign::NeverSent);
        }
    }

    /// Adds an order to the run of the same task that the agent already has. The order is answered when that run ends: its entry
    /// would place the task elsewhere at once. Without a lease of that entry the run has to end as well, because the entry counts
    /// the loss of the agent from the order.
    fn join_run(&mut self, run: &RunId, owner: RunOwner, is_leased: bool) {
        let Some(record) = self.runs.get_mut(run) else {
            return;
        };
        let (entry, ordered) = (owner.entry.clone(), owner.run);
        let owners = record.entries();
        record.owners.push(owner);
        self.log(format!("event=order_joined run={ordered} entry={entry} joined={run} owners={owners} leased={is_leased}"));
        if !is_leased {
            self.stop_run(run, StopCause::LeaseLapsed);
        }
    }

    /// Records that an entry has stopped its order. The run is stopped once all its owners have, and each is told when it has ended.
    /// An order that has ended can't be stopped any more, even if its run was ordered again.
    fn withdraw_order(&mut self, stop: &OrderedRun) {
        let Some(run) = self.runs.run_of(&stop.run.task) else {
            return;
        };
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        let withdrawn = record.owners.iter_mut().filter(|owner| owner.order == stop.order);
        withdrawn.for_each(|owner| owner.has_withdrawn = true);
        if record.owners.iter().all(|owner| owner.has_withdrawn) {
            self.stop_run(&run, StopCause::Ordered);
        }
    }

    /// Returns whether runs may start at the worker now.
    pub(super) fn accepts_starts(&self) -> bool {
        let is_ready = self.incarnation.as_ref().is_some_and(WorkerIncarnation::accepts_starts);
        let is_in_service = self.drain_started_at.is_none() && !self.plan.zones_out.contains(&self.options.zone);
        // A start takes part in the lease that covers all runs, which is short while one of them has to end.
        let has_lease = self.next_worker_lease() * 2 > self.options.lease_terms.worker_lease;
        is_ready && is_in_service && has_lease && !self.polls.is_refused() && !self.has_overdue_start()
    }

    /// Returns whether the worker started recently and is still slow, which says nothing of its usual speed.
    pub(super) fn is_worker_cold(&self) -> bool {
        self.incarnation.as_ref().is_some_and(|incarnation| incarnation.notice.cold > Millis(0))
    }

    /// Returns whether the worker has answered no call since a start whose answer is overdue. More starts would
    /// probably go unanswered too, and their entries can place them at other workers.
    fn has_overdue_start(&self) -> bool {
        let is_overdue = |sent_at: MonoTime| self.worker_answered_at < sent_at && self.now.since(sent_at) >= ANSWER_TIMEOUT;
        self.runs.iter().any(|(_, record)| record.is_starting() && is_overdue(record.started_at))
    }

    /// Sends the queued starts that fit into the worker's free capacity, in the order in which they were received.
    /// Returns those that have waited too long or for which no room is expected in time, and all of them while no run may start.
    pub(super) fn start_queued(&mut self) {
        let mut queued: Vec<_> = self.runs.iter().filter(|(_, record)| record.state == RunState::Queued).collect();
        if queued.is_empty() {
            return;
        }
        queued.sort_by_key(|(_, record)| record.ordered_at);
        let queued: Vec<RunId> = queued.into_iter().map(|(run, _)| *run).collect();
        let mut awaited = ResourceAmount::default();
        for run in &queued {
            self.try_start(run, &awaited);
            if let Some(waiting) = self.runs.get(run).filter(|record| record.state == RunState::Queued) {
                awaited += waiting.demand;
            }
        }
    }

    /// Sends a queued start if it fits. `awaited` is what earlier starts wait for.
    fn try_start(&mut self, run: &RunId, awaited: &ResourceAmount) {
        if !self.accepts_starts() {
            return self.finish_run(run, RunOutcome::Closed, EndSign::NeverSent);
        }
        let free_capacity = self.free_capacity();
        let Some(record) = self.runs.get(run) else {
            return;
        };
        if !record.demand.fits(&free_capacity) {
            if !self.is_room_expected(record, &free_capacity, awaited) {
                self.finish_run(run, RunOutcome::NoRoom, EndSign::NeverSent);
            }
            return;
        }
        self.send_start(run);
    }

    /// Returns what the runs leave of the worker's capacity. Queued starts don't count.
    fn free_capacity(&self) -> ResourceAmount {
        let capacity = self.incarnation.as_ref().map(WorkerIncarnation::capacity).unwrap_or_default();
        capacity.saturating_sub(&self.runs.used_at_worker())
    }

    /// Returns whether a queued start is expected to find room before it has waited for [`QUEUE_WAIT_MAX`], after the starts that
    /// wait for the resources in `awaited`.
    fn is_room_expected(&self, record: &RunRecord, free_capacity: &ResourceAmount, awaited: &ResourceAmount) -> bool {
        let wait_end = record.ordered_at + QUEUE_WAIT_MAX;
        let expected = *free_capacity + freed_by(self.now, wait_end, &self.runs, &self.speeds);
        self.now < wait_end && record.demand.fits(&expected.saturating_sub(awaited))
    }

    fn send_start(&mut self, run: &RunId) {
        let lease_end = self.next_lease_end();
        let now = self.now;
        let repeat_interval = self.polls.pacing.repeat_interval();
        let Some(record) = self.runs.get_mut(run) else {
            return;
        };
        record.state = RunState::Starting { tries: 1, retry_at: now + repeat_interval };
        record.started_at = now;
        record.open_calls = 1;
        let payload = record.payload.clone();
        self.record_lease_extension();
        self.log_start_call("run_started", run, lease_end);
        self.call_worker(WorkerCall::Start { run: *run, payload, lease_end });
    }

    /// Logs a start call with the ages of what it rests on. `lease_end` is on the worker's clock, in milliseconds.
    fn log_start_call(&mut self, event: &str, run: &RunId, lease_end: u64) {
        let now = self.now;
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let calls = if let RunState::Starting { tries, .. } = record.state { tries } else { 0 };
        let leases = record.owners.iter().filter_map(|owner| self.sessions.get(&owner.session?));
        let session_left = leases.map(|lease| lease.time_left(now)).min().unwrap_or_default();
        let clock_age = self.incarnation.as_ref().and_then(|incarnation| incarnation.clock.reading_age(now));
        let line = format!(
            "event={event} run={run} entry={} calls={calls} order_age_ms={} queued_ms={} session_left_ms={} lease_end={lease_end} \
             clock_age_ms={}",
            record.entries(),
            now.since(record.leased_from).as_millis(),
            now.since(record.ordered_at).as_millis(),
            session_left.as_millis(),
            format_age(clock_age)
        );
        self.log(line);
    }

    /// Sends unanswered starts again. A repeated start does not make the worker run the same run twice. After
    /// [`START_TIMEOUT`] the start is abandoned and the run is stopped.
    pub(super) fn retry_starts(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (run, record) in self.runs.iter_mut() {
            let RunState::Starting { tries, retry_at } = &mut record.state else {
                continue;
            };
            if now < *retry_at {
                continue;
            }
            if now.since(record.started_at) >= START_TIMEOUT {
                record.request_stop(now, StopCause::Unanswered);
                continue;
            }
            *retry_at = now + self.polls.pacing.repeat_interval();
            if !self.polls.pacing.allows_order(now) {
                continue;
            }
            *tries += 1;
            record.open_calls += 1;
            due.push((*run, record.payload.clone()));
        }
        for (run, payload) in due {
            let lease_end = self.next_lease_end();
            self.record_lease_extension();
            self.polls.lossy_until = now + LOSSY_INTERVAL;
            self.log_start_call("start_repeated", &run, lease_end);
            self.call_worker(WorkerCall::Start { run, payload, lease_end });
        }
    }

    pub(super) fn handle_start_reply(&mut self, run: RunId, reply: StartReply) {
        if let Some(record) = self.runs.get_mut(&run).filter(|_| reply != StartReply::Unanswered) {
            record.open_calls = record.open_calls.saturating_sub(1);
            match record.state {
                RunState::Starting { tries: 1, .. } => self.polls.pacing.record_delay(record.elapsed_since_start(self.now)),
                RunState::Starting { .. } => self.polls.pacing.record_repeated(),
                _ => {}
            }
        }
        match reply {
            StartReply::Started(clock) => {
                self.record_clock(clock);
                let record = self.runs.get_mut(&run).filter(|record| record.is_starting());
                if let Some(record) = record {
                    record.state = RunState::Running { percent: 0, listed_at: self.now };
                    record.started_at = self.now;
                    record.confirmed_at = Some(self.now);
                }
            }
            StartReply::Rejected(rejection, clock) => {
                self.record_clock(clock);
                self.handle_rejection(&run, rejection);
            }
            StartReply::Shed if self.is_first_start_call(&run) => self.finish_run(&run, RunOutcome::Shed, EndSign::Rejected),
            StartReply::OtherIncarnation => self.lose_incarnation(IncarnationEnd::START_MISDIRECTED),
            StartReply::NotSent if self.is_first_start_call(&run) => self.return_start(&run),
            // The start is sent again or abandoned by `retry_starts`.
            StartReply::Shed | StartReply::NotSent | StartReply::Unanswered => {}
        }
    }

    /// Returns a start that no connection carried to the worker. No further one is accepted until the worker has answered a poll.
    fn return_start(&mut self, run: &RunId) {
        self.finish_run(run, RunOutcome::Closed, EndSign::NeverSent);
        if !self.runs.has_runs_at_worker() {
            if let Some(incarnation) = &mut self.incarnation {
                incarnation.is_settled = false;
            }
        }
    }

    fn is_first_start_call(&self, run: &RunId) -> bool {
        self.runs.get(run).is_some_and(|record| matches!(record.state, RunState::Starting { tries: 1, .. }))
    }

    fn handle_rejection(&mut self, run: &RunId, rejection: StartRejection) {
        if rejection == StartRejection::Fenced {
            self.raise_fencing_token();
        }
        let now = self.now;
        match self.runs.get_mut(run).filter(|record| record.is_starting()) {
            None => {}
            // An earlier call may have started the run. Only the worker's lists show what became of it.
            Some(record) if rejection == StartRejection::Outdated => record.await_run_list(now),
            Some(record) if !matches!(record.state, RunState::Starting { tries: 1, .. }) => {
                record.request_stop(now, StopCause::Unanswered);
            }
            Some(_) => {
                if rejection == StartRejection::NoRoom {
                    self.record_lack_of_room();
                }
                self.finish_run(run, rejection_outcome(rejection), EndSign::Rejected);
            }
        }
    }

    /// Lowers the capacity that the worker is believed to have, after it has rejected one of the starts that count as used.
    fn record_lack_of_room(&mut self) {
        let used = self.runs.used_at_worker();
        let Some(incarnation) = &mut self.incarnation else {
            return;
        };
        incarnation.record_rejection(used);
        let (announced, believed) = (incarnation.notice.capacity.millicores, incarnation.capacity().millicores);
        self.log(format!(
            "event=capacity_lowered announced_millicores={announced} believed_millicores={believed} used_millicores={}",
            used.millicores
        ));
    }

    pub(super) fn stop_run(&mut self, run: &RunId, cause: StopCause) {
        let now = self.now;
        let is_queued = self.runs.get_mut(run).is_some_and(|record| record.request_stop(now, cause));
        if is_queued {
            self.finish_run(run, RunOutcome::Closed, EndSign::NeverSent);
        }
    }

    /// Sends the stop calls that are due.
    pub(super) fn send_stops(&mut self) {
        if self.incarnation.is_none() {
            return;
        }
        let now = self.now;
        let mut due = Vec::new();
        for (run, record) in self.runs.iter_mut() {
            if let RunState::Stopping { call_at, taken_at: None, .. } = &mut record.state {
                if now >= *call_at && (record.stop_calls == 0 || self.polls.pacing.allows_order(now)) {
                    *call_at = now + self.polls.pacing.repeat_interval();
                    record.stop_calls += 1;
                    due.push((*run, record.stop_cause, record.stop_calls));
                }
            }
        }
        for (run, cause, calls) in due {
            if let Some(cause @ (StopCause::EntryLost | StopCause::LeaseLapsed)) = cause {
                self.log(format!("event=stop_sent run={run} cause={} calls={calls}", cause.as_str()));
            }
            self.call_worker(WorkerCall::Stop { run });
        }
    }

    pub(super) fn handle_stop_reply(&mut self, run: RunId, reply: StopReply) {
        match reply {
            StopReply::Accepted(clock) => {
                self.record_clock(clock);
                let now = self.now;
                if let Some(RunState::Stopping { taken_at, .. }) = self.runs.get_mut(&run).map(|record| &mut record.state) {
                    *taken_at = Some(now);
                }
            }
            StopReply::Fenced => self.raise_fencing_token(),
            // The stop is sent again by `send_stops`.
            StopReply::Unanswered => {}
            StopReply::OtherIncarnation => self.lose_incarnation(IncarnationEnd::STOP_MISDIRECTED),
        }
    }

    /// Removes a run that has ended, and queues its end for the next reports to the entries that ordered it.
    pub(super) fn finish_run(&mut self, run: &RunId, outcome: RunOutcome, sign: EndSign) {
        let Some(record) = self.runs.remove(self.now, run) else {
            return;
        };
        let ran = Millis::from_duration(record.elapsed_since_start(self.now));
        if outcome == RunOutcome::Done && !record.route.is_empty() && !self.is_worker_cold() {
            self.record_run_time(&record, ran.to_duration());
            self.speeds.record(&record.route, record.estimate, ran.to_duration());
        }
        let evidence = self.evidence(if record.state == RunState::Queued { EndSign::NeverSent } else { sign });
        self.actions.push(RunnerAction::EndRecorded { outcome, sign: evidence.sign });
        self.log(format!("event=run_ended run={run} entry={} outcome={outcome:?} ran_ms={ran} {evidence}", record.entries()));
        for owner in record.owners {
            if let Some(lease) = owner.session.and_then(|session| self.sessions.get_mut(&session)) {
                lease.ends.push(RunEnd { run: owner.run, order: owner.order, outcome, ran, evidence });
            }
        }
    }
}

fn rejection_outcome(rejection: StartRejection) -> RunOutcome {
    match rejection {
        StartRejection::NoRoom => RunOutcome::NoRoom,
        StartRejection::Malformed => RunOutcome::Failed,
        StartRejection::Fenced | StartRejection::Outdated | StartRejection::Late => RunOutcome::Unanswered,
    }
}
