//! Internal flows: single requests with their retries, and jobs submitted under names that callers chose.

use std::sync::Arc;

use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode, TaskOutcome};
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::{Millis, MonoTime};

use super::platform::NameBinding;
use super::routing::draining_refusal;
use super::routing::TicketCall;
use super::{CallerReply, EntryControl, SharedSpec, FIRST_INTERNAL_REPLY};
use crate::ReplyId;

/// Maximum attempts to bind a name before the call is refused because the platform is down.
const NAME_ATTEMPTS_MAX: u32 = 3;
/// Maximum attempts of an idempotent request, the first included.
const REQUEST_ATTEMPTS_MAX: u32 = 3;

/// Holds the state of a call that the entry executes under one or more tickets it issues itself.
#[derive(Debug)]
pub(super) struct RequestFlow {
    reply: ReplyId,
    spec: SharedSpec,
    deadline: MonoTime,
    attempts: u32,
    kind: FlowKind,
}

#[derive(Debug, PartialEq, Eq)]
enum FlowKind {
    /// A single request that must not be retried.
    Once,
    /// A single request that may be retried, each time under a new ticket.
    Idempotent,
    /// A job under a name that the caller chose.
    Named,
}

impl EntryControl {
    pub(super) fn start_request(&mut self, reply: ReplyId, spec: JobSpec, is_idempotent: bool) {
        if let Some(problem) = spec.validation_error() {
            return self.refuse(reply, CallRefusal::new(RefusalCode::BadRequest, problem));
        }
        if self.is_draining {
            return self.refuse(reply, draining_refusal());
        }
        let kind = if is_idempotent { FlowKind::Idempotent } else { FlowKind::Once };
        let internal_reply = self.add_flow(reply, spec, kind);
        self.retries.deposit();
        self.start_attempt(internal_reply);
    }

    /// Adds the flow of a named job and returns the reply id under which it is submitted.
    pub(super) fn start_named_flow(&mut self, reply: ReplyId, spec: JobSpec) -> ReplyId {
        self.add_flow(reply, spec, FlowKind::Named)
    }

    fn add_flow(&mut self, reply: ReplyId, spec: JobSpec, kind: FlowKind) -> ReplyId {
        let internal_reply = ReplyId(FIRST_INTERNAL_REPLY + self.make_id());
        let deadline = self.now + spec.deadline_ms.to_duration();
        self.requests.insert(internal_reply, RequestFlow { reply, spec: spec.into(), deadline, attempts: 0, kind });
        internal_reply
    }

    /// Submits the request under a new ticket, with the time left until its deadline.
    fn start_attempt(&mut self, internal_reply: ReplyId) {
        let now = self.now;
        let Some(flow) = self.requests.get_mut(&internal_reply) else {
            return;
        };
        flow.attempts += 1;
        let time_left = Millis::from_duration(flow.deadline.since(now)).max(Millis(1));
        let spec = JobSpec { deadline_ms: time_left, ..(*flow.spec).clone() };
        let ticket = self.issuer.issue(now, 1).remove(0);
        self.route(internal_reply, ticket, TicketCall::Submit(spec.into()));
    }

    /// Returns whether the ticket submitted for `reply` is unknown outside this entry.
    pub(super) fn is_private(&self, reply: ReplyId) -> bool {
        self.requests.get(&reply).is_some_and(|flow| flow.kind != FlowKind::Named)
    }

    /// Submits a named job under the ticket to which the store bound its name.
    pub(super) fn submit_with_ticket(&mut self, internal_reply: ReplyId, ticket: Ticket) {
        if let Some(flow) = self.requests.get(&internal_reply) {
            let call = TicketCall::Submit(flow.spec.clone());
            self.route(internal_reply, ticket, call);
        }
    }

    pub(super) fn retry_names(&mut self, bindings: Vec<(ReplyId, NameBinding)>) {
        for (internal_reply, binding) in bindings {
            let Some(flow) = self.requests.get_mut(&internal_reply) else {
                continue;
            };
            flow.attempts += 1;
            if flow.attempts < NAME_ATTEMPTS_MAX {
                self.unbound_names.push_back((internal_reply, binding));
                continue;
            }
            let detail = "the platform's store does not answer; this call started nothing";
            let refusal = CallRefusal::new(RefusalCode::PlatformDown, detail).retry_after(Millis(2_000));
            self.reply(internal_reply, CallerReply::Refused(refusal));
        }
    }

    /// Handles the reply to an internal flow: retries the request, or passes the reply on to the caller.
    pub(super) fn handle_request_reply(&mut self, internal_reply: ReplyId, body: CallerReply) {
        if self.may_retry(internal_reply, &body) {
            self.counters.retried += 1;
            return self.start_attempt(internal_reply);
        }
        if let Some(flow) = self.requests.remove(&internal_reply) {
            self.reply(flow.reply, body);
        }
    }

    /// Returns whether the request is to be retried after the reply `body`. If so, spends one retry of the budget.
    fn may_retry(&mut self, internal_reply: ReplyId, body: &CallerReply) -> bool {
        let CallerReply::Answer(answer) = body else {
            return false;
        };
        let Some(flow) = self.requests.get(&internal_reply) else {
            return false;
        };
        let is_open = flow.kind == FlowKind::Idempotent && flow.attempts < REQUEST_ATTEMPTS_MAX && self.now < flow.deadline;
        is_open && is_retryable(answer) && self.retries.try_spend()
    }
}

/// Returns whether a retry of an idempotent request may have a better outcome.
fn is_retryable(answer: &Arc<JobAnswer>) -> bool {
    answer.outcomes.iter().any(|outcome| matches!(outcome, TaskOutcome::Failed(_) | TaskOutcome::Unknown(_)))
}
