//! A leaving entry: it answers what is open and hands its home to a peer.

use serde::Serialize;
use smol_str::SmolStr;
use vanillacleat_core::frames::{HandoverAnswer, HomeFence, HomeHandover, PeerCall, PeerReply};
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode};

use super::platform::{HomeClaim, PendingOp, PlatformOp, PlatformReply, StoreVersion};
use super::{EntryAction, EntryControl};
use crate::{CallId, ReplyId};

/// Bytes of answers in one hand-over.
const HANDED_BYTES_MAX: usize = 4_000_000;

/// Drops the texts of the oldest answers beyond what one frame carries; that the jobs were answered is still handed over.
fn bound_answers(mut answers: Vec<HandoverAnswer>) -> Vec<HandoverAnswer> {
    let mut bytes = 0;
    for handed in answers.iter_mut().rev() {
        bytes += handed.answer.as_ref().map_or(0, JobAnswer::text_bytes);
        if bytes > HANDED_BYTES_MAX {
            handed.answer = None;
        }
    }
    answers
}

/// How far a leaving entry is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) enum DrainStep {
    Working,
    Finishing,
    Claiming { address: SmolStr, fence: HomeFence },
    Handing(CallId),
    Done,
}

impl EntryControl {
    pub(super) fn start_drain(&mut self) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        self.drain_step = DrainStep::Finishing;
        self.log("drain_started", format!("open_jobs={}", self.ledger.open_jobs()));
        for peer in self.peers.peers.values_mut() {
            peer.next_at = self.now;
        }
    }

    pub(super) fn advance_drain(&mut self) {
        let is_idle = self.ledger.open_jobs() == 0 && self.requests.is_empty() && self.changes.is_empty();
        if self.drain_step != DrainStep::Finishing || !is_idle || !self.forwarded.is_empty() || !self.parked.is_empty() {
            return;
        }
        let home = self.home().clone();
        let (Some((address, owner)), Some(generation)) = (self.peers.hand_over_target(self.now), self.ledger.generation(&home)) else {
            return self.finish_drain();
        };
        let generation = generation.next();
        let claim = HomeClaim { owner, address: address.clone(), generation };
        self.drain_step = DrainStep::Claiming { address, fence: HomeFence { home: home.clone(), generation } };
        self.call_platform(PlatformOp::WriteClaim(home, StoreVersion(0), claim), PendingOp::Handover);
    }

    /// Hands the home over once the claim is stored; without it the peer can't be its owner for the others.
    pub(super) fn take_handover_reply(&mut self, reply: PlatformReply) {
        let DrainStep::Claiming { address, fence } = self.drain_step.clone() else {
            return;
        };
        if reply != PlatformReply::Written {
            self.log("handover_failed", format!("home={}", fence.home));
            return self.finish_drain();
        }
        let expired_below = self.mint.expired_below(self.now);
        let answers = bound_answers(self.ledger.handover_answers(&fence.home));
        let handover = HomeHandover { fence, expired_below, answers };
        self.ledger.fence(&handover.fence.home);
        let call = CallId(self.make_id());
        self.drain_step = DrainStep::Handing(call);
        self.call_peer(call, address, PeerCall::Handover(Box::new(handover)), true);
    }

    pub(super) fn finish_drain(&mut self) {
        self.drain_step = DrainStep::Done;
        self.log("drain_finished", format!("home={}", self.home()));
        self.actions.push(EntryAction::Drained);
    }

    pub(super) fn take_handover(&mut self, reply: ReplyId, handover: HomeHandover) {
        if self.is_draining {
            let refusal = CallRefusal::new(RefusalCode::Draining, "the entry is draining");
            return self.reply_to_peer(reply, PeerReply::Refused(refusal));
        }
        let HomeHandover { fence, expired_below, answers } = handover;
        self.log("home_taken_over", format!("home={} generation={} answers={}", fence.home, fence.generation, answers.len()));
        self.ledger.accept_handover(fence.home.clone(), fence.generation, expired_below, answers);
        self.keep_until_expired(fence.home.clone());
        self.fence_agents(&fence);
        self.reply_to_peer(reply, PeerReply::Accepted);
        self.wake_parked(&fence.home);
    }
}
