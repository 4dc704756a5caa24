//! Handles the calls of callers and operators.

use vanillacleat_core::ids::JobName;
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{CallRefusal, RefusalCode};
use vanillacleat_core::ticket::Ticket;

use super::events::EntryLog;
use super::platform::{NameBinding, PlatformReply};
use super::routing::{draining_refusal, TicketCall};
use super::{CallerCall, CallerReply, EntryAction, EntryControl};
use crate::admission::AdmissionView;
use crate::ReplyId;

/// Maximum number of tickets issued by one call.
pub const TICKETS_MAX: usize = 10_000;

impl EntryControl {
    pub(super) fn handle_call(&mut self, reply: ReplyId, call: CallerCall) {
        match call {
            CallerCall::Tickets(count) => self.issue_tickets(reply, count),
            CallerCall::Submit(ticket, spec) => self.handle_ticket_call(reply, ticket, TicketCall::Submit(spec.into())),
            CallerCall::SubmitNamed(name, spec) => self.submit_named(reply, name, spec),
            CallerCall::Request(spec, is_idempotent) => self.start_request(reply, spec, is_idempotent),
            CallerCall::Query(ticket) => self.handle_ticket_call(reply, ticket, TicketCall::Query),
            CallerCall::Cancel(ticket) => self.handle_ticket_call(reply, ticket, TicketCall::Cancel),
            CallerCall::Change(change) => self.start_change(reply, change),
            CallerCall::ReadConfig => self.reply(reply, CallerReply::Config(Box::new(self.config.value().clone()))),
            CallerCall::Health => self.reply(reply, CallerReply::Health(!self.is_draining)),
            CallerCall::Dump => self.reply(reply, CallerReply::Dump(self.dump())),
        }
    }

    fn issue_tickets(&mut self, reply: ReplyId, count: usize) {
        if self.is_draining {
            return self.refuse(reply, draining_refusal());
        }
        if count == 0 || count > TICKETS_MAX {
            let detail = format!("count: {count} given, 1 to {TICKETS_MAX} allowed");
            return self.refuse(reply, CallRefusal::new(RefusalCode::BadRequest, detail));
        }
        let tickets = self.issuer.issue(self.now, count);
        self.reply(reply, CallerReply::Tickets(tickets));
    }

    fn handle_ticket_call(&mut self, reply: ReplyId, ticket: Ticket, call: TicketCall) {
        if self.secret.verify(&ticket).is_err() {
            return self.refuse(reply, CallRefusal::new(RefusalCode::TicketForged, "the ticket was not given out by an entry"));
        }
        if let Some(problem) = call.validation_error() {
            return self.refuse(reply, CallRefusal::new(RefusalCode::BadRequest, problem));
        }
        self.route(reply, ticket, call);
    }

    fn submit_named(&mut self, reply: ReplyId, name: JobName, spec: JobSpec) {
        if let Some(problem) = spec.validation_error() {
            return self.refuse(reply, CallRefusal::new(RefusalCode::BadRequest, problem));
        }
        if self.is_draining {
            return self.refuse(reply, draining_refusal());
        }
        let ticket = self.issuer.issue(self.now, 1).remove(0);
        let internal_reply = self.start_named_flow(reply, spec);
        self.unbound_names.push_back((internal_reply, NameBinding { name, ticket }));
    }

    /// Submits the named jobs under the tickets to which the store bound their names.
    pub(super) fn handle_names_reply(&mut self, bindings: Vec<(ReplyId, NameBinding)>, reply: PlatformReply) {
        let PlatformReply::Names(tickets) = reply else {
            return self.retry_names(bindings);
        };
        for ((internal_reply, _), ticket) in bindings.into_iter().zip(tickets) {
            self.submit_with_ticket(internal_reply, ticket);
        }
    }

    pub(super) fn refuse(&mut self, reply: ReplyId, refusal: CallRefusal) {
        self.reply(reply, CallerReply::Refused(refusal));
    }

    pub(super) fn log(&mut self, event: &'static str, fields: String) {
        self.actions.push(EntryAction::Log(EntryLog { event, fields }));
    }

    pub(super) fn admission_view(&self, spec: &JobSpec) -> AdmissionView {
        let entries = self.peers.live_count(self.now) + 1;
        AdmissionView {
            is_served: self.fleet.worker_count(&spec.service) > 0,
            can_ever_run: spec.tasks.iter().all(|task| self.fleet.can_ever_run(&spec.service, &task.demand)),
            waiting: self.ledger.waiting_tasks(),
            waiting_for_service: self.ledger.waiting_for_service(&spec.service),
            queue_limit: self.queue_limit(spec),
            slots: f64::from(self.fleet.usable_slots(&spec.service, self.config.value())) / entries as f64,
            mean_run: self.run_times.mean(&spec.service),
            tail_run: self.run_times.tail(&spec.service),
        }
    }

    fn queue_limit(&self, spec: &JobSpec) -> usize {
        let policy = self.config.value().services.get(&spec.service);
        policy.map_or(self.policy.queue_limit, |policy| policy.queue_limit.min(self.policy.queue_limit)) as usize
    }
}
