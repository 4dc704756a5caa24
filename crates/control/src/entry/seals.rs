//! Seals failed jobs: an agent records that a job has failed before the job is answered, so that no later owner of the home
//! runs it again.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::frames::{EntryFrame, HomeFence, JobSeal, SealReply};
use vanillacleat_core::ids::HomeKey;
use vanillacleat_core::outcome::{CallRefusal, RefusalCode};
use vanillacleat_core::units::{Millis, MonoTime};

use super::EntryControl;
use crate::ledger::JobKey;
use crate::SessionId;

/// Time after which an unanswered seal is sent to another agent.
const SEAL_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which the callers of an unsealed job receive a retryable refusal.
const SEAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Holds the state of a failed job whose seal no agent has confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct SealFlow {
    since: MonoTime,
    retry_at: MonoTime,
    attempts: usize,
}

impl EntryControl {
    pub(super) fn start_seal(&mut self, job_key: JobKey) {
        let flow = SealFlow { since: self.now, retry_at: self.now, attempts: 0 };
        self.seals.insert(job_key, flow);
    }

    /// Sends the seals that are due, in one frame for each home and agent.
    pub(super) fn send_seals(&mut self) {
        let now = self.now;
        if !self.seals.values().any(|flow| now >= flow.retry_at) {
            return;
        }
        let sessions = self.sealing_sessions();
        if sessions.is_empty() {
            // Without an agent's confirmation, another entry may already own the home, so the answer waits.
            return;
        }
        let mut batch: BTreeMap<(SessionId, HomeKey), Vec<u64>> = BTreeMap::new();
        for (job_key, flow) in self.seals.iter_mut().filter(|(_, flow)| now >= flow.retry_at) {
            flow.retry_at = now + SEAL_RETRY_INTERVAL;
            flow.attempts += 1;
            let session = sessions[(job_key.serial as usize + flow.attempts) % sessions.len()];
            batch.entry((session, job_key.home.clone())).or_default().push(job_key.serial);
        }
        for ((session, home), serials) in batch {
            if let Some(generation) = self.ledger.generation(&home) {
                self.counters.seals += serials.len() as u64;
                self.send(session, EntryFrame::Seal(JobSeal { fence: HomeFence { home, generation }, serials }));
            }
        }
    }

    /// Returns the sessions of the agents that were announced to every possible adopter as used by this entry.
    ///
    /// An agent's inventory lists its seals. An adopter notices a missing inventory only for an agent that it knows of, so a
    /// seal at any other agent could be overlooked.
    fn sealing_sessions(&self) -> Vec<SessionId> {
        let announced = self.peers.announced_version(self.now, self.fleet.version());
        let known = self.fleet.agents().filter(|view| view.joined_version <= announced);
        known.filter_map(|view| view.session).collect()
    }

    pub(super) fn handle_seal_reply(&mut self, reply: SealReply) {
        let SealReply { seal, is_recorded } = reply;
        if self.ledger.generation(&seal.fence.home) != Some(seal.fence.generation) {
            return;
        }
        if !is_recorded {
            return self.relinquish_home(&seal.fence.home);
        }
        for serial in seal.serials {
            self.release_answer(&JobKey { home: seal.fence.home.clone(), serial });
        }
    }

    fn release_answer(&mut self, job_key: &JobKey) {
        self.seals.remove(job_key);
        let effects = self.ledger.release_answer(job_key);
        self.apply_effects(effects.into_iter().collect());
    }

    /// Sends a retryable refusal to the waiting callers of jobs that could not be sealed in time. The answer is retained.
    pub(super) fn refuse_unsealed(&mut self) {
        let now = self.now;
        let late: Vec<JobKey> =
            self.seals.iter().filter(|(_, flow)| now.since(flow.since) >= SEAL_TIMEOUT).map(|(job_key, _)| job_key.clone()).collect();
        for job_key in late {
            for waiter in self.ledger.take_waiters(&job_key) {
                let refusal =
                    CallRefusal::new(RefusalCode::HomeUnreachable, "the job is decided and no agent can be reached to remember it");
                self.refuse(waiter, refusal.retry_after(Millis(500)));
            }
        }
    }
}
