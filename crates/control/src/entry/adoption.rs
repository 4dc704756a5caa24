//! Adoption of the home of a lost entry: one claim in the platform's store, then a fence at every agent.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::frames::{EntryFrame, FenceInventory, HomeFence, WorkerUsage};
use vanillacleat_core::ids::{HomeKey, WorkerKey};
use vanillacleat_core::units::{Generation, MonoTime};

use super::platform::{HomeClaim, PendingOp, PlatformOp, PlatformReply, StoreVersion};
use super::EntryControl;
use crate::ledger::AdoptedInventory;
use crate::SessionId;

/// Longest wait for the agents' inventories.
pub const ADOPTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two tries of the platform.
const CLAIM_RETRY: Duration = Duration::from_millis(500);

/// An `AdoptionFlow` is an adoption under way.
#[derive(Debug)]
pub(super) struct AdoptionFlow {
    step: AdoptionStep,
    prior: PriorOwners,
}

/// Who owned an adopted home before, as far as the claim tells.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PriorOwners {
    /// The home itself.
    Original,
    /// The home, then this entry run.
    Second(HomeKey),
    /// More than the claim tells.
    Unknown,
}

#[derive(Debug, Serialize)]
enum AdoptionStep {
    Waiting { until: MonoTime, wanted: Option<Generation> },
    Reading { wanted: Option<Generation> },
    Claiming { generation: Generation },
    Collecting(CollectStep),
}

#[derive(Debug, Serialize)]
struct CollectStep {
    generation: Generation,
    until: MonoTime,
    awaited: BTreeSet<WorkerKey>,
    answered: BTreeSet<WorkerKey>,
    #[serde(skip)]
    inventory: AdoptedInventory,
}

impl EntryControl {
    pub(super) fn start_adoption(&mut self, home: &HomeKey) {
        if self.is_draining || !self.peers.may_adopt(home, self.now) {
            return;
        }
        self.log("adoption_started", format!("home={home}"));
        let flow = AdoptionFlow { step: AdoptionStep::Reading { wanted: None }, prior: PriorOwners::Unknown };
        self.adoptions.insert(home.clone(), flow);
        self.read_claim(home, None);
    }

    fn set_step(&mut self, home: &HomeKey, step: AdoptionStep) {
        if let Some(flow) = self.adoptions.get_mut(home) {
            flow.step = step;
        }
    }

    fn read_claim(&mut self, home: &HomeKey, wanted: Option<Generation>) {
        self.set_step(home, AdoptionStep::Reading { wanted });
        self.call_platform(PlatformOp::ReadClaim(home.clone()), PendingOp::Adoption(home.clone()));
    }

    pub(super) fn take_adoption_reply(&mut self, home: &HomeKey, reply: PlatformReply) {
        let Some(flow) = self.adoptions.get(home) else {
            return;
        };
        match (&flow.step, reply) {
            (AdoptionStep::Reading { wanted }, PlatformReply::Claim(version, claim)) => {
                let wanted = *wanted;
                self.take_claim(home, wanted, version, claim);
            }
            (AdoptionStep::Claiming { generation }, PlatformReply::Written) => {
                let generation = *generation;
                self.collect(home, generation);
            }
            // The claim may have been stored although its answer was lost: the next read tells.
            (AdoptionStep::Claiming { generation }, _) => self.wait_for_platform(home, Some(*generation)),
            (AdoptionStep::Reading { wanted }, _) => self.wait_for_platform(home, *wanted),
            _ => {}
        }
    }

    fn wait_for_platform(&mut self, home: &HomeKey, wanted: Option<Generation>) {
        self.set_step(home, AdoptionStep::Waiting { until: self.now + CLAIM_RETRY, wanted });
    }

    fn take_claim(&mut self, home: &HomeKey, wanted: Option<Generation>, version: StoreVersion, claim: Option<HomeClaim>) {
        let own = self.home().clone();
        let stored = claim.as_ref().map_or(Generation(0), |claim| claim.generation);
        let prior = match (stored.0, claim.as_ref()) {
            (0, _) => PriorOwners::Original,
            (1, Some(claim)) => PriorOwners::Second(claim.owner.clone()),
            _ => PriorOwners::Unknown,
        };
        if let Some(claim) = claim {
            let is_mine = claim.owner == own;
            if is_mine && wanted == Some(stored) {
                return self.collect(home, stored);
            }
            if !is_mine && self.peers.is_live_home(&claim.owner, self.now) {
                self.peers.record_claim(home, claim.address);
                self.adoptions.remove(home);
                return self.wake_parked(home);
            }
        }
        let generation = stored.next();
        let claim = HomeClaim { owner: own, address: self.address.clone(), generation };
        self.adoptions.insert(home.clone(), AdoptionFlow { step: AdoptionStep::Claiming { generation }, prior });
        self.call_platform(PlatformOp::WriteClaim(home.clone(), version, claim), PendingOp::Adoption(home.clone()));
    }

    fn collect(&mut self, home: &HomeKey, generation: Generation) {
        let awaited = self.fleet.agents().filter(|view| view.session.is_some()).map(|view| view.worker.clone()).collect();
        let step = CollectStep {
            generation,
            until: self.now + ADOPTION_TIMEOUT,
            awaited,
            answered: BTreeSet::new(),
            inventory: AdoptedInventory::default(),
        };
        self.set_step(home, AdoptionStep::Collecting(step));
        self.fence_agents(&HomeFence { home: home.clone(), generation });
        self.finish_collected(home);
    }

    pub(super) fn fence_agents(&mut self, fence: &HomeFence) {
        let sessions: Vec<SessionId> = self.fleet.agents().filter_map(|view| view.session).collect();
        for session in sessions {
            self.send(session, EntryFrame::Fence(fence.clone()));
        }
    }

    /// Fences every adopted home at an agent that connects after the adoption.
    pub(super) fn fence_late_agent(&mut self, session: SessionId, worker: &WorkerKey) {
        let owned = self.ledger.owned_homes().filter(|(_, generation)| generation.0 > 0);
        let mut fences: Vec<HomeFence> = owned.map(|(home, generation)| HomeFence { home: home.clone(), generation }).collect();
        for (home, flow) in &mut self.adoptions {
            if let AdoptionStep::Collecting(step) = &mut flow.step {
                step.awaited.insert(worker.clone());
                fences.push(HomeFence { home: home.clone(), generation: step.generation });
            }
        }
        fences.into_iter().for_each(|fence| self.send(session, EntryFrame::Fence(fence)));
    }

    pub(super) fn take_inventory(&mut self, worker: &WorkerKey, told: FenceInventory) {
        let home = told.home.clone();
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step), .. }) = self.adoptions.get_mut(&home) else {
            return self.take_late_inventory(worker, told);
        };
        if told.generation != step.generation {
            return;
        }
        step.answered.insert(worker.clone());
        step.inventory.merge(worker, told);
        self.finish_collected(&home);
    }

    fn take_late_inventory(&mut self, worker: &WorkerKey, told: FenceInventory) {
        match self.ledger.generation(&told.home) {
            Some(generation) if told.generation > generation => self.lose_home(&told.home),
            Some(_) => self.ledger.merge_inventory(worker, told),
            None => {}
        }
    }

    fn finish_collected(&mut self, home: &HomeKey) {
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step), prior }) = self.adoptions.get(home) else {
            return;
        };
        if !step.awaited.is_subset(&step.answered) && self.now < step.until {
            return;
        }
        let provable_from = self.find_provable(home, prior, &step.answered);
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step), .. }) = self.adoptions.remove(home) else {
            return;
        };
        let started: usize = step.inventory.started.values().map(|job| job.len()).sum();
        self.log("home_adopted", format!("home={home} generation={} started={started} provable_from={provable_from}", step.generation));
        self.counters.adopted += 1;
        let inventory = AdoptedInventory { provable_from, ..step.inventory };
        self.ledger.own(home.clone(), step.generation, Some(inventory));
        self.keep_until_expired(home.clone());
        self.wake_parked(home);
    }

    /// Returns the serial from which a task that no agent lists is proved never to have started.
    ///
    /// Every run that an earlier owner used must have answered, or have been lost before the job was accepted.
    fn find_provable(&self, home: &HomeKey, prior: &PriorOwners, answered: &BTreeSet<WorkerKey>) -> u64 {
        let missing = |notes: &[WorkerUsage]| {
            let unanswered = notes.iter().filter(|note| !answered.contains(&note.worker));
            unanswered.map(|note| note.unused_from.unwrap_or(u64::MAX)).max().unwrap_or(0)
        };
        let by_original = self.peers.workers_of(home).map_or(u64::MAX, |notes| missing(notes));
        match prior {
            PriorOwners::Original => by_original,
            PriorOwners::Unknown => u64::MAX,
            PriorOwners::Second(owner) => {
                let own_notes = (owner == self.home()).then(|| self.fleet.worker_usage());
                let notes = own_notes.or_else(|| self.peers.workers_of(owner).cloned());
                // A second owner's notes count its own tickets, so they prove nothing of this home's.
                let is_missing = notes.is_none_or(|notes| notes.iter().any(|note| !answered.contains(&note.worker)));
                if is_missing {
                    u64::MAX
                } else {
                    by_original
                }
            }
        }
    }

    pub(super) fn keep_until_expired(&mut self, home: HomeKey) {
        self.disown_at.push((self.now + self.policy.ticket_ms.to_duration(), home));
    }

    pub(super) fn disown_expired(&mut self) {
        let now = self.now;
        let due: Vec<HomeKey> = self.disown_at.iter().filter(|(at, _)| *at <= now).map(|(_, home)| home.clone()).collect();
        self.disown_at.retain(|(at, _)| *at > now);
        due.iter().for_each(|home| self.ledger.remove_home(home));
    }

    pub(super) fn advance_adoptions(&mut self) {
        let homes: Vec<HomeKey> = self.adoptions.keys().cloned().collect();
        for home in homes {
            let step = self.adoptions.get(&home).map(|flow| &flow.step);
            if let Some(AdoptionStep::Waiting { until, wanted }) = step {
                let (until, wanted) = (*until, *wanted);
                let is_wanted = self.parked.iter().any(|parked| parked.ticket.home == home);
                match (is_wanted || wanted.is_some(), self.now >= until) {
                    (true, true) => self.read_claim(&home, wanted),
                    (true, false) => {}
                    (false, _) => drop(self.adoptions.remove(&home)),
                }
                continue;
            }
            self.finish_collected(&home);
        }
    }

    pub(super) fn dump_adoptions(&self) -> serde_json::Value {
        let steps = self.adoptions.iter().map(|(home, flow)| (home.to_string(), serde_json::to_value(&flow.step).unwrap_or_default()));
        steps.collect::<serde_json::Map<_, _>>().into()
    }
}
