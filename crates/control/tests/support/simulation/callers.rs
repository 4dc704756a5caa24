//! The simulated callers and operators.

use rand::Rng;
use vanillacleat_control::entry::{CallerCall, CallerReply, EntryAction, EntryEvent};
use vanillacleat_control::ReplyId;
use vanillacleat_core::config::{ConfigChange, ConfigEdit};
use vanillacleat_core::frames::Envelope;
use vanillacleat_core::ids::ChangeId;
use vanillacleat_core::outcome::RefusalCode;
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::MonoTime;

use super::super::trace::format_reply;
use super::{DeploymentSimulation, ObservedAnswer, ReplyWaiter, SimulationEvent, ZoneOutPeriod, RETRY_INTERVAL, UNTRACKED_REPLY};

impl DeploymentSimulation {
    /// Requests a ticket from an entry.
    pub fn issue_ticket(&mut self, index: usize) -> Ticket {
        let replies = self.call_entry(index, CallerCall::Tickets(1));
        match replies.into_iter().next() {
            Some(CallerReply::Tickets(mut tickets)) => tickets.remove(0),
            other => panic!("expected a ticket, received {other:?}"),
        }
    }

    /// Calls an entry without network delay. Returns the replies that it sends before it handles any other event.
    pub fn call_entry(&mut self, index: usize, call: CallerCall) -> Vec<CallerReply> {
        let now = self.local_time(self.entries[index].started_at);
        let control = self.entries[index].control.as_mut().expect("the entry is running");
        let actions = control.handle(now, EntryEvent::Caller { reply: UNTRACKED_REPLY, call });
        let replies = actions.iter().filter_map(|action| match action {
            EntryAction::Reply { reply, body } if *reply == UNTRACKED_REPLY => Some(body.clone()),
            _ => None,
        });
        let replies = replies.collect();
        self.execute_entry_actions(index, actions);
        replies
    }

    /// Submits a job to an entry, if the job has a ticket.
    pub fn submit(&mut self, job: usize, entry: usize) {
        let Some(ticket) = self.jobs[job].ticket.clone() else {
            return;
        };
        let call = CallerCall::Submit(ticket, self.jobs[job].spec.clone());
        self.send_call(entry, call, ReplyWaiter::Job(job));
    }

    /// Sends an operator's change of the configuration to an entry, if the entry is running.
    ///
    /// The change is based on the stored revision.
    pub fn change(&mut self, entry: usize, edit: ConfigEdit) {
        if self.entries[entry].control.is_none() {
            return;
        }
        self.last_id += 1;
        let id: ChangeId = format!("change-{}", self.last_id).parse().unwrap();
        let based_on = self.store.config().map_or_else(Default::default, |value| value.revision);
        let change = ConfigChange { id, based_on, edits: vec![edit.clone()] };
        self.send_call(entry, CallerCall::Change(change), ReplyWaiter::Change(edit, self.now));
    }

    /// Sends a call to an entry and records who waits for its reply.
    pub(super) fn send_call(&mut self, entry: usize, call: CallerCall, waiter: ReplyWaiter) {
        self.last_id += 1;
        let reply = ReplyId(self.last_id);
        let incarnation = self.entries[entry].incarnation;
        self.waiters.insert((entry, incarnation, reply), waiter);
        let at = self.draw_arrival_time();
        self.schedule(at, SimulationEvent::Entry { index: entry, incarnation, event: EntryEvent::Caller { reply, call } });
    }

    /// Handles a reply that the entry `index` sent under `reply` during `incarnation`.
    pub(super) fn handle_reply(&mut self, index: usize, incarnation: u64, reply: ReplyId, body: CallerReply) {
        match self.waiters.remove(&(index, incarnation, reply)) {
            Some(ReplyWaiter::Peer { entry, incarnation, call }) => {
                let revision = self.entries[index].control.as_ref().map_or(Default::default(), |control| control.config().revision());
                let envelope = body.to_peer().map(|body| Envelope { revision, body });
                self.reply_to_peer(entry, incarnation, call, envelope);
            }
            Some(ReplyWaiter::Job(job)) => {
                self.record_trace(Some(format_reply(&body)), || format!("entry-{index} -> caller of job {job}"));
                self.handle_job_reply(job, index, body);
            }
            Some(ReplyWaiter::Change(edit, requested_at)) => {
                self.record_trace(Some(format_reply(&body)), || format!("entry-{index} -> operator"));
                self.handle_change_reply(edit, requested_at, body);
            }
            None => {}
        }
    }

    /// Handles the reply to a submission or cancellation: records an answer, and schedules a retry after a refusal that may be
    /// temporary.
    pub(super) fn handle_job_reply(&mut self, job: usize, entry: usize, body: CallerReply) {
        match body {
            CallerReply::Answer(answer) => {
                let observed = ObservedAnswer { at: self.now, entry, answer: (*answer).clone() };
                let ticket = self.jobs[job].ticket.clone().expect("the job has a ticket");
                self.answers.entry(ticket).or_default().push(observed);
                self.jobs[job].is_settled = true;
            }
            CallerReply::Refused(refusal) => {
                self.jobs[job].refusals.push(refusal.code);
                let is_temporary = matches!(
                    refusal.code,
                    RefusalCode::Draining | RefusalCode::HomeFenced | RefusalCode::HomeUnreachable | RefusalCode::ServiceUnknown
                );
                // With all three zones out of service, no retry can succeed.
                let all_zones_out = self.store.config().is_some_and(|value| value.zones_out.len() == 3);
                if is_temporary && !all_zones_out {
                    self.retry_job(job);
                } else {
                    self.jobs[job].is_settled = true;
                }
            }
            other => panic!("a submission was answered with {other:?}"),
        }
    }

    /// Resubmits a job after the retry interval.
    pub(super) fn retry_job(&mut self, job: usize) {
        let at = self.now + RETRY_INTERVAL;
        self.schedule(at, SimulationEvent::Submit(job));
    }

    /// Records when an accepted change has taken a zone out of service.
    pub(super) fn handle_change_reply(&mut self, edit: ConfigEdit, requested_at: MonoTime, body: CallerReply) {
        let CallerReply::Changed(outcome) = body else {
            return;
        };
        if let (ConfigEdit::ZoneOut(zone), true) = (&edit, outcome.in_force) {
            // If a return of the zone was requested in the meantime, the reply does not show that the zone is still out.
            let is_superseded = self.zone_in_requests.get(zone).is_some_and(|at| *at >= requested_at);
            if !is_superseded && self.store.config().is_some_and(|value| value.zones_out.contains(zone)) {
                self.zone_out_periods.push(ZoneOutPeriod { zone: zone.clone(), accepted_at: self.now, zone_in_requested_at: None });
            }
        }
    }

    /// Submits a job to a random running entry, after requesting a ticket if the job has none.
    pub(super) fn submit_to_random_entry(&mut self, job: usize) {
        let running_entries: Vec<usize> = (0..self.entries.len()).filter(|index| self.entries[*index].control.is_some()).collect();
        if running_entries.is_empty() {
            return self.retry_job(job);
        }
        let entry = running_entries[self.rng.random_range(0..running_entries.len())];
        if self.jobs[job].ticket.is_none() {
            let replies = self.call_entry(entry, CallerCall::Tickets(1));
            match replies.into_iter().next() {
                Some(CallerReply::Tickets(mut tickets)) => self.jobs[job].ticket = Some(tickets.remove(0)),
                _ => return self.retry_job(job),
            }
        }
        let entry = running_entries[self.rng.random_range(0..running_entries.len())];
        self.submit(job, entry);
    }
}
