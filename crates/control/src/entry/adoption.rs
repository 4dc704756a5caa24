//! Adoption of the home of a lost entry: one claim in the platform's store, then a fence at every agent.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::frames::{EntryFrame, FenceInventory, HomeFence};
use vanillacleat_core::ids::{HomeKey, WorkerKey};
use vanillacleat_core::units::{Generation, MonoTime};

use super::platform::{HomeClaim, PendingOp, PlatformOp, PlatformReply, StoreVersion};
use super::EntryControl;
use crate::ledger::AdoptedInventory;
use crate::SessionId;

/// Longest wait for the agents' inventories.
pub const ADOPTION_WAIT: Duration = Duration::from_secs(2);
/// Time between two tries of the platform.
const CLAIM_RETRY: Duration = Duration::from_millis(500);

/// An `AdoptionFlow` is an adoption under way.
#[derive(Debug)]
pub(super) struct AdoptionFlow {
    step: AdoptionStep,
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
        self.read_claim(home, None);
    }

    fn read_claim(&mut self, home: &HomeKey, wanted: Option<Generation>) {
        self.adoptions.insert(home.clone(), AdoptionFlow { step: AdoptionStep::Reading { wanted } });
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
        let step = AdoptionStep::Waiting { until: self.now + CLAIM_RETRY, wanted };
        self.adoptions.insert(home.clone(), AdoptionFlow { step });
    }

    fn take_claim(&mut self, home: &HomeKey, wanted: Option<Generation>, version: StoreVersion, claim: Option<HomeClaim>) {
        let own = self.home().clone();
        let stored = claim.as_ref().map_or(Generation(0), |claim| claim.generation);
        if let Some(claim) = claim {
            let is_mine = claim.owner == own;
            if is_mine && wanted == Some(stored) {
                return self.collect(home, stored);
            }
            if !is_mine && self.peers.is_live_home(&claim.owner, self.now) {
                self.peers.note_claim(home, claim.address);
                self.adoptions.remove(home);
                return self.wake_parked(home);
            }
        }
        let generation = stored.next();
        let claim = HomeClaim { owner: own, address: self.address.clone(), generation };
        self.adoptions.insert(home.clone(), AdoptionFlow { step: AdoptionStep::Claiming { generation } });
        self.call_platform(PlatformOp::WriteClaim(home.clone(), version, claim), PendingOp::Adoption(home.clone()));
    }

    fn collect(&mut self, home: &HomeKey, generation: Generation) {
        let awaited = self.fleet.agents().filter(|view| view.session.is_some()).map(|view| view.worker.clone()).collect();
        let step = CollectStep {
            generation,
            until: self.now + ADOPTION_WAIT,
            awaited,
            answered: BTreeSet::new(),
            inventory: AdoptedInventory::default(),
        };
        self.adoptions.insert(home.clone(), AdoptionFlow { step: AdoptionStep::Collecting(step) });
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
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step) }) = self.adoptions.get_mut(&home) else {
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
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step) }) = self.adoptions.get(home) else {
            return;
        };
        if !step.awaited.is_subset(&step.answered) && self.now < step.until {
            return;
        }
        let used = self.peers.workers_of(home);
        let is_whole = used.is_some_and(|used| used.iter().all(|worker| step.answered.contains(worker)));
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step) }) = self.adoptions.remove(home) else {
            return;
        };
        let started: usize = step.inventory.started.values().map(|job| job.len()).sum();
        self.log("home_adopted", format!("home={home} generation={} started={started} whole={is_whole}", step.generation));
        self.counters.adopted += 1;
        let inventory = AdoptedInventory { is_whole, ..step.inventory };
        self.ledger.own(home.clone(), step.generation, Some(inventory));
        self.keep_until_expired(home.clone());
        self.wake_parked(home);
    }

    pub(super) fn keep_until_expired(&mut self, home: HomeKey) {
        self.disown_at.push((self.now + self.policy.ticket_ms.to_duration(), home));
    }

    pub(super) fn disown_expired(&mut self) {
        let now = self.now;
        let due: Vec<HomeKey> = self.disown_at.iter().filter(|(at, _)| *at <= now).map(|(_, home)| home.clone()).collect();
        self.disown_at.retain(|(at, _)| *at > now);
        due.iter().for_each(|home| self.ledger.disown(home));
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
