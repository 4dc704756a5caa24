//! Drains an entry: waits until its open jobs and calls have ended, then hands its home over to a peer.

use serde::Serialize;
use smol_str::SmolStr;
use vanillacleat_core::frames::{HandoverAnswer, HomeFence, HomeHandover, PeerCall, PeerReply};
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode};

use super::platform::{HomeClaim, PendingOp, PlatformOp, PlatformReply, StoreVersion};
use super::{EntryAction, EntryControl};
use crate::{CallId, ReplyId};

/// Maximum bytes of answer texts in one hand-over, which travels in a single frame.
const HANDOVER_BYTES_MAX: usize = 4_000_000;

/// Drops the oldest answers beyond the byte limit. The hand-over still lists their jobs as answered.
fn limit_answer_bytes(mut answers: Vec<HandoverAnswer>) -> Vec<HandoverAnswer> {
    let mut bytes = 0;
    for handover_answer in answers.iter_mut().rev() {
        bytes += handover_answer.answer.as_ref().map_or(0, JobAnswer::text_bytes);
        if bytes > HANDOVER_BYTES_MAX {
            handover_answer.answer = None;
        }
    }
    answers
}

/// The progress of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) enum DrainStep {
    #[serde(rename = "Working")]
    NotDraining,
    /// Waits for the open jobs and calls to end.
    Finishing,
    /// Writes the claim that makes a peer the home's owner.
    Claiming {
        address: SmolStr,
        fence: HomeFence,
    },
    /// Waits for the peer to accept the hand-over.
    #[serde(rename = "Handing")]
    HandingOver(CallId),
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
            peer.next_heartbeat_at = self.now;
        }
    }

    pub(super) fn advance_drain(&mut self) {
        let is_idle = self.ledger.open_jobs() == 0 && self.requests.is_empty() && self.changes.is_empty();
        if self.drain_step != DrainStep::Finishing || !is_idle || !self.forwarded.is_empty() || !self.parked.is_empty() {
            return;
        }
        let home = self.home().clone();
        let (Some((address, owner)), Some(generation)) = (self.peers.handover_target(self.now), self.ledger.generation(&home)) else {
            return self.finish_drain();
        };
        let generation = generation.next();
        let claim = HomeClaim { owner, address: address.clone(), generation };
        self.drain_step = DrainStep::Claiming { address, fence: HomeFence { home: home.clone(), generation } };
        self.call_platform(PlatformOp::WriteClaim(home, StoreVersion(0), claim), PendingOp::Handover);
    }

    /// Hands the home over once the claim is stored. Without the claim, other entries would not accept the peer as its owner.
    pub(super) fn handle_handover_claim_reply(&mut self, reply: PlatformReply) {
        let DrainStep::Claiming { address, fence } = self.drain_step.clone() else {
            return;
        };
        if reply != PlatformReply::Written {
            self.log("handover_failed", format!("home={}", fence.home));
            return self.finish_drain();
        }
        let expired_below = self.issuer.expired_below(self.now);
        let answers = limit_answer_bytes(self.ledger.handover_answers(&fence.home));
        let handover = HomeHandover { fence, expired_below, answers };
        self.ledger.fence(&handover.fence.home);
        let call = CallId(self.make_id());
        self.drain_step = DrainStep::HandingOver(call);
        self.call_peer(call, address, PeerCall::Handover(Box::new(handover)), true);
    }

    pub(super) fn finish_drain(&mut self) {
        self.drain_step = DrainStep::Done;
        self.log("drain_finished", format!("home={}", self.home()));
        self.actions.push(EntryAction::Drained);
    }

    /// Takes over the home of a draining peer.
    pub(super) fn handle_handover(&mut self, reply: ReplyId, handover: HomeHandover) {
        if self.is_draining {
            let refusal = CallRefusal::new(RefusalCode::Draining, "the entry is draining");
            return self.reply_to_peer(reply, PeerReply::Refused(refusal));
        }
        let HomeHandover { fence, expired_below, answers } = handover;
        self.log("home_taken_over", format!("home={} generation={} answers={}", fence.home, fence.generation, answers.len()));
        self.ledger.accept_handover(fence.home.clone(), fence.generation, expired_below, answers);
        self.schedule_home_removal(fence.home.clone());
        self.fence_agents(&fence);
        self.reply_to_peer(reply, PeerReply::Accepted);
        self.retry_parked_for(&fence.home);
    }
}
