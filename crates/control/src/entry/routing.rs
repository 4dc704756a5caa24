//! Routes a call that names a ticket to the owner of the ticket's home.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::frames::{Envelope, PeerCall, PeerReply};
use vanillacleat_core::ids::HomeKey;
use vanillacleat_core::outcome::{CallRefusal, RefusalCode};
use vanillacleat_core::settings::QueueOrder;
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::{Millis, MonoTime};

use super::{CallerReply, EntryAction, EntryControl, SharedSpec, HEARTBEAT_INTERVAL};
use crate::ledger::{JobAdmission, JobKey, LookupResult};
use crate::{CallId, ReplyId};

/// Delay before a call whose home cannot be reached is retried.
const PARK_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that a call waits for its home to be reached or adopted.
const PARK_TIMEOUT: Duration = Duration::from_secs(12);

/// A call that names a ticket and is served by the owner of the ticket's home.
#[derive(Clone, Debug)]
pub(super) enum TicketCall {
    Submit(SharedSpec),
    Query,
    Cancel,
}

/// Holds a call that waits for the owner of its ticket's home.
#[derive(Clone, Debug)]
pub(super) struct ParkedCall {
    pub(super) reply: ReplyId,
    pub(super) ticket: Ticket,
    pub(super) call: TicketCall,
    since: MonoTime,
    retry_at: MonoTime,
}

/// The owner of a home, as this entry knows it.
enum HomeOwner {
    /// This entry.
    Local,
    /// The live peer at this address.
    Peer(SmolStr),
    /// Not known yet: the home is being adopted, a peer may still own it, or this entry has just started.
    Undetermined,
    /// No live entry; the home can be adopted.
    Lost,
}

impl TicketCall {
    pub(super) fn validation_error(&self) -> Option<SmolStr> {
        match self {
            Self::Submit(spec) => spec.validation_error(),
            Self::Query | Self::Cancel => None,
        }
    }
}

impl EntryControl {
    pub(super) fn route(&mut self, reply: ReplyId, ticket: Ticket, call: TicketCall) {
        let parked = ParkedCall { reply, ticket, call, since: self.now, retry_at: self.now };
        self.route_parked(parked);
    }

    pub(super) fn retry_parked(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.parked).into_iter().partition(|parked| parked.retry_at <= now);
        self.parked = waiting;
        let due: Vec<ParkedCall> = due;
        due.into_iter().for_each(|parked| self.route_parked(parked));
    }

    /// Retries at once the calls that wait for `home`.
    pub(super) fn retry_parked_for(&mut self, home: &HomeKey) {
        let now = self.now;
        self.parked.iter_mut().filter(|parked| parked.ticket.home == *home).for_each(|parked| parked.retry_at = now);
        self.retry_parked();
    }

    fn route_parked(&mut self, parked: ParkedCall) {
        match self.home_owner(&parked.ticket.home) {
            HomeOwner::Local => self.serve(parked.reply, &parked.ticket, parked.call),
            HomeOwner::Peer(address) => self.forward(address, parked),
            HomeOwner::Undetermined => self.park(parked),
            HomeOwner::Lost => {
                self.start_adoption(&parked.ticket.home);
                self.park(parked);
            }
        }
    }

    fn home_owner(&self, home: &HomeKey) -> HomeOwner {
        if self.ledger.generation(home).is_some() {
            return HomeOwner::Local;
        }
        if self.adoptions.contains_key(home) {
            return HomeOwner::Undetermined;
        }
        if let Some(address) = self.peers.owner_address(home, self.now) {
            return HomeOwner::Peer(address);
        }
        if self.peers.may_own(home, self.now, self.resumed_at) || self.now.since(MonoTime::ZERO) < HEARTBEAT_INTERVAL * 2 {
            return HomeOwner::Undetermined;
        }
        HomeOwner::Lost
    }

    /// Keeps the call for a later retry, or refuses it if it has waited for too long.
    fn park(&mut self, mut parked: ParkedCall) {
        let wait_max = match &parked.call {
            TicketCall::Submit(spec) => spec.deadline_ms.to_duration().min(PARK_TIMEOUT),
            TicketCall::Query | TicketCall::Cancel => PARK_TIMEOUT,
        };
        if self.is_draining || self.now.since(parked.since) >= wait_max {
            let refusal = CallRefusal::new(RefusalCode::HomeUnreachable, "the ticket's home cannot be reached and could not be adopted");
            return self.refuse(parked.reply, refusal.retry_after(Millis(1_000)));
        }
        parked.retry_at = self.now + PARK_RETRY_INTERVAL;
        self.parked.push(parked);
    }

    fn forward(&mut self, address: SmolStr, parked: ParkedCall) {
        let ticket = parked.ticket.clone();
        let body = match &parked.call {
            TicketCall::Submit(spec) => PeerCall::Submit(ticket, (**spec).clone()),
            TicketCall::Query => PeerCall::Query(ticket),
            TicketCall::Cancel => PeerCall::Cancel(ticket),
        };
        let call = CallId(self.make_id());
        self.forwarded.insert(call, parked);
        let envelope = Envelope { revision: self.config.revision(), body };
        self.actions.push(EntryAction::CallPeer { call, address, envelope, forwards_job: true });
    }

    /// Handles the reply to a forwarded call. If the call failed or the peer could not serve the home, the call is parked and
    /// later routed to the entry that owns the home by then.
    pub(super) fn handle_forwarded_reply(&mut self, parked: ParkedCall, reply: Option<PeerReply>) {
        let is_final = |refusal: &CallRefusal| !matches!(refusal.code, RefusalCode::HomeFenced | RefusalCode::HomeUnreachable);
        match reply {
            Some(PeerReply::Answer(answer)) => self.reply(parked.reply, CallerReply::Answer(answer.into())),
            Some(PeerReply::Pending) => self.reply(parked.reply, CallerReply::Pending),
            Some(PeerReply::Refused(refusal)) if is_final(&refusal) => self.refuse(parked.reply, refusal),
            _ => self.park(parked),
        }
    }

    /// Serves a ticket's call, as the owner of its home.
    pub(super) fn serve(&mut self, reply: ReplyId, ticket: &Ticket, call: TicketCall) {
        let job_key = JobKey { home: ticket.home.clone(), serial: ticket.serial };
        match call {
            TicketCall::Submit(spec) => self.serve_submit(reply, job_key, spec),
            TicketCall::Query => self.serve_query(reply, &job_key),
            TicketCall::Cancel => self.serve_cancel(reply, &job_key),
        }
    }

    fn serve_submit(&mut self, reply: ReplyId, job_key: JobKey, spec: SharedSpec) {
        let digest = spec.digest();
        match self.ledger.look_up(&job_key, Some(digest), Some(reply)) {
            LookupResult::Answered(answer) => self.reply(reply, CallerReply::Answer(answer)),
            LookupResult::Attached => {}
            LookupResult::Refused(refusal) => self.refuse(reply, refusal),
            LookupResult::Unused if self.is_draining => self.refuse_unused(reply, draining_refusal()),
            LookupResult::Unused => {
                if let Some(refusal) = self.ledger.loss_refusal(&job_key) {
                    return self.refuse(reply, refusal);
                }
                let view = self.admission_view(&spec);
                let is_known = self.ledger.is_in_inventory(&job_key);
                if let Some(refusal) = view.refusal(&spec).filter(|_| !is_known) {
                    return self.refuse_unused(reply, refusal);
                }
                let is_private = self.is_private(reply);
                let deadline = self.now + spec.deadline_ms.to_duration();
                let rank = self.rank(deadline, view.estimate(spec.tasks.len()).unwrap_or_default());
                let admission = JobAdmission { job_key, spec, digest, deadline, rank, waiter: Some(reply), is_private };
                let effects = self.ledger.accept(self.now, admission);
                self.apply_effects(effects);
            }
        }
    }

    /// Refuses a job that is not known here. The refusal implies that the job was not run, so it is sent only while
    /// this entry provably owns the home; otherwise the caller receives a retryable refusal.
    fn refuse_unused(&mut self, reply: ReplyId, refusal: CallRefusal) {
        if self.is_ownership_proven() {
            return self.refuse(reply, refusal);
        }
        self.refuse_fenced(reply);
    }

    pub(super) fn refuse_fenced(&mut self, reply: ReplyId) {
        let detail = "another entry may own the ticket's home; submit the same ticket again";
        self.refuse(reply, CallRefusal::new(RefusalCode::HomeFenced, detail).retry_after(Millis(500)));
    }

    /// Returns the rank of a job's waiting tasks under the configured queue order; the lowest rank is placed first.
    fn rank(&self, deadline: MonoTime, estimate: Duration) -> u64 {
        let rank_time = match self.policy.order {
            QueueOrder::Arrival => self.now,
            QueueOrder::Deadline => deadline,
            QueueOrder::JobSize => self.now + estimate,
        };
        rank_time.as_micros()
    }

    fn serve_query(&mut self, reply: ReplyId, job_key: &JobKey) {
        let body = match self.ledger.look_up(job_key, None, None) {
            LookupResult::Answered(answer) => CallerReply::Answer(answer),
            LookupResult::Attached => CallerReply::Pending,
            LookupResult::Refused(refusal) => CallerReply::Refused(refusal),
            LookupResult::Unused => {
                CallerReply::Refused(CallRefusal::new(RefusalCode::JobMissing, "no job was submitted under the ticket"))
            }
        };
        self.reply(reply, body);
    }

    fn serve_cancel(&mut self, reply: ReplyId, job_key: &JobKey) {
        match self.ledger.look_up(job_key, None, Some(reply)) {
            LookupResult::Attached => {
                let effects = self.ledger.cancel(self.now, job_key);
                self.apply_effects(effects);
            }
            LookupResult::Answered(answer) => {
                // The cancel of an answered job acknowledges its answer, so the answer need not be kept.
                self.ledger.acknowledge(job_key);
                self.reply(reply, CallerReply::Answer(answer));
            }
            LookupResult::Refused(refusal) => self.refuse(reply, refusal),
            LookupResult::Unused => self.refuse(reply, CallRefusal::new(RefusalCode::JobMissing, "no job was submitted under the ticket")),
        }
    }
}

pub(super) fn draining_refusal() -> CallRefusal {
    CallRefusal::new(RefusalCode::Draining, "the entry is draining; use another").retry_after(Millis(100))
}
