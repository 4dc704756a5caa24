//! Flows inside the entry: single requests with retries, and jobs by the caller's own name.

use std::sync::Arc;

use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode, TaskOutcome};
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::{Millis, MonoTime};

use super::platform::NameBinding;
use super::routing::draining_refusal;
use super::routing::TicketCall;
use super::{CallerReply, EntryControl, SharedSpec, INTERNAL_REPLIES};
use crate::ReplyId;

/// Tries of binding a name before the platform counts as down.
const NAME_TRIES: u32 = 3;
/// Tries of an idempotent request.
const REQUEST_TRIES: u32 = 3;

/// A `RequestFlow` is a call that the entry carries through one or more tickets of its own.
#[derive(Debug)]
pub(super) struct RequestFlow {
    reply: ReplyId,
    spec: SharedSpec,
    deadline: MonoTime,
    tries: u32,
    kind: FlowKind,
}

#[derive(Debug, PartialEq, Eq)]
enum FlowKind {
    Once,
    Idempotent,
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
        let internal = self.keep_flow(reply, spec, kind);
        self.retries.deposit();
        self.try_request(internal);
    }

    pub(super) fn keep_named(&mut self, reply: ReplyId, spec: JobSpec) -> ReplyId {
        self.keep_flow(reply, spec, FlowKind::Named)
    }

    fn keep_flow(&mut self, reply: ReplyId, spec: JobSpec, kind: FlowKind) -> ReplyId {
        let internal = ReplyId(INTERNAL_REPLIES + self.make_id());
        let deadline = self.now + spec.deadline_ms.to_duration();
        self.requests.insert(internal, RequestFlow { reply, spec: spec.into(), deadline, tries: 0, kind });
        internal
    }

    fn try_request(&mut self, internal: ReplyId) {
        let now = self.now;
        let Some(flow) = self.requests.get_mut(&internal) else {
            return;
        };
        flow.tries += 1;
        let left = Millis::from_duration(flow.deadline.since(now)).max(Millis(1));
        let spec = JobSpec { deadline_ms: left, ..(*flow.spec).clone() };
        let ticket = self.mint.issue(now, 1).remove(0);
        self.route(internal, ticket, TicketCall::Submit(spec.into()));
    }

    /// Returns whether nobody outside knows the ticket that is submitted for `reply`.
    pub(super) fn is_private(&self, reply: ReplyId) -> bool {
        self.requests.get(&reply).is_some_and(|flow| flow.kind != FlowKind::Named)
    }

    pub(super) fn submit_bound(&mut self, internal: ReplyId, ticket: Ticket) {
        if let Some(flow) = self.requests.get(&internal) {
            let call = TicketCall::Submit(flow.spec.clone());
            self.route(internal, ticket, call);
        }
    }

    pub(super) fn retry_names(&mut self, bindings: Vec<(ReplyId, NameBinding)>) {
        for (internal, binding) in bindings {
            let Some(flow) = self.requests.get_mut(&internal) else {
                continue;
            };
            flow.tries += 1;
            if flow.tries < NAME_TRIES {
                self.names.push_back((internal, binding));
                continue;
            }
            let detail = "the platform's store does not answer; this call started nothing";
            let refusal = CallRefusal::new(RefusalCode::PlatformDown, detail).retry_after(Millis(2_000));
            self.reply(internal, CallerReply::Refused(refusal));
        }
    }

    pub(super) fn take_request_reply(&mut self, internal: ReplyId, body: CallerReply) {
        if self.may_retry(internal, &body) {
            self.counters.retried += 1;
            return self.try_request(internal);
        }
        if let Some(flow) = self.requests.remove(&internal) {
            self.reply(flow.reply, body);
        }
    }

    fn may_retry(&mut self, internal: ReplyId, body: &CallerReply) -> bool {
        let CallerReply::Answer(answer) = body else {
            return false;
        };
        let Some(flow) = self.requests.get(&internal) else {
            return false;
        };
        let is_open = flow.kind == FlowKind::Idempotent && flow.tries < REQUEST_TRIES && self.now < flow.deadline;
        is_open && may_differ(answer) && self.retries.try_spend()
    }
}

/// Returns whether another try of an idempotent request may end better.
fn may_differ(answer: &Arc<JobAnswer>) -> bool {
    answer.outcomes.iter().any(|outcome| matches!(outcome, TaskOutcome::Failed(_) | TaskOutcome::Unknown(_)))
}
