//! Adopts the home of a lost entry: writes a claim to the platform's store, then fences the home at every agent.

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

/// Maximum wait for the agents' inventories.
pub const ADOPTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed read or write of the claim is retried.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Holds the state of an adoption in progress.
#[derive(Debug)]
pub(super) struct AdoptionFlow {
    step: AdoptionStep,
    prior: PriorOwners,
}

/// The earlier owners of an adopted home, as far as the stored claim shows them.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PriorOwners {
    /// Only the entry incarnation that issued the home's tickets.
    Original,
    /// The entry incarnation that issued the home's tickets, then the given one.
    Second(HomeKey),
    /// Not known: the claim has not been read yet, or there were more than two owners, of which it names only the last.
    Unknown,
}

/// A step of an adoption. `attempted` is the generation of this entry's last write of the claim, if the result of that
/// write is not known.
#[derive(Debug, Serialize)]
enum AdoptionStep {
    /// Waits before the claim is read again.
    Waiting {
        until: MonoTime,
        #[serde(rename = "wanted")]
        attempted: Option<Generation>,
    },
    /// Reads the stored claim.
    Reading {
        #[serde(rename = "wanted")]
        attempted: Option<Generation>,
    },
    /// Writes this entry's claim.
    Claiming { generation: Generation },
    /// Collects the agents' inventories.
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
        let flow = AdoptionFlow { step: AdoptionStep::Reading { attempted: None }, prior: PriorOwners::Unknown };
        self.adoptions.insert(home.clone(), flow);
        self.read_claim(home, None);
    }

    fn set_step(&mut self, home: &HomeKey, step: AdoptionStep) {
        if let Some(flow) = self.adoptions.get_mut(home) {
            flow.step = step;
        }
    }

    fn read_claim(&mut self, home: &HomeKey, attempted: Option<Generation>) {
        self.set_step(home, AdoptionStep::Reading { attempted });
        self.call_platform(PlatformOp::ReadClaim(home.clone()), PendingOp::Adoption(home.clone()));
    }

    pub(super) fn handle_adoption_reply(&mut self, home: &HomeKey, reply: PlatformReply) {
        let Some(flow) = self.adoptions.get(home) else {
            return;
        };
        match (&flow.step, reply) {
            (AdoptionStep::Reading { attempted }, PlatformReply::Claim(version, claim)) => {
                let attempted = *attempted;
                self.handle_claim(home, attempted, version, claim);
            }
            (AdoptionStep::Claiming { generation }, PlatformReply::Written) => {
                let generation = *generation;
                self.collect_inventories(home, generation);
            }
            // The claim may have been stored although the call failed. The next read shows whether it was.
            (AdoptionStep::Claiming { generation }, _) => self.schedule_claim_retry(home, Some(*generation)),
            (AdoptionStep::Reading { attempted }, _) => self.schedule_claim_retry(home, *attempted),
            _ => {}
        }
    }

    fn schedule_claim_retry(&mut self, home: &HomeKey, attempted: Option<Generation>) {
        self.set_step(home, AdoptionStep::Waiting { until: self.now + CLAIM_RETRY_INTERVAL, attempted });
    }

    /// Handles the stored claim. A live owner of the home keeps it; otherwise this entry claims the next generation.
    ///
    /// If the stored claim is this entry's own attempt, the write succeeded and the adoption continues.
    fn handle_claim(&mut self, home: &HomeKey, attempted: Option<Generation>, version: StoreVersion, claim: Option<HomeClaim>) {
        let own = self.home().clone();
        let stored = claim.as_ref().map_or(Generation(0), |claim| claim.generation);
        let prior = match (stored.0, claim.as_ref()) {
            (0, _) => PriorOwners::Original,
            (1, Some(claim)) => PriorOwners::Second(claim.owner.clone()),
            _ => PriorOwners::Unknown,
        };
        if let Some(claim) = claim {
            let is_own = claim.owner == own;
            if is_own && attempted == Some(stored) {
                return self.collect_inventories(home, stored);
            }
            if !is_own && self.peers.is_live_home(&claim.owner, self.now) {
                self.peers.record_claim(home, claim.address);
                self.adoptions.remove(home);
                return self.retry_parked_for(home);
            }
        }
        let generation = stored.next();
        let claim = HomeClaim { owner: own, address: self.address.clone(), generation };
        self.adoptions.insert(home.clone(), AdoptionFlow { step: AdoptionStep::Claiming { generation }, prior });
        self.call_platform(PlatformOp::WriteClaim(home.clone(), version, claim), PendingOp::Adoption(home.clone()));
    }

    fn collect_inventories(&mut self, home: &HomeKey, generation: Generation) {
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
        self.finish_collection(home);
    }

    pub(super) fn fence_agents(&mut self, fence: &HomeFence) {
        let sessions: Vec<SessionId> = self.fleet.agents().filter_map(|view| view.session).collect();
        for session in sessions {
            self.send(session, EntryFrame::Fence(fence.clone()));
        }
    }

    /// Fences the adopted homes, and those being adopted, at an agent that connects after the fences were sent.
    pub(super) fn send_missed_fences(&mut self, session: SessionId, worker: &WorkerKey) {
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

    pub(super) fn handle_inventory(&mut self, worker: &WorkerKey, inventory: FenceInventory) {
        let home = inventory.home.clone();
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step), .. }) = self.adoptions.get_mut(&home) else {
            return self.handle_late_inventory(worker, inventory);
        };
        if inventory.generation != step.generation {
            return;
        }
        step.answered.insert(worker.clone());
        step.inventory.merge(worker, inventory);
        self.finish_collection(&home);
    }

    /// Handles an inventory of a home that is not being adopted. A higher generation means that the home has a newer owner.
    fn handle_late_inventory(&mut self, worker: &WorkerKey, inventory: FenceInventory) {
        match self.ledger.generation(&inventory.home) {
            Some(generation) if inventory.generation > generation => self.relinquish_home(&inventory.home),
            Some(_) => self.ledger.merge_inventory(worker, inventory),
            None => {}
        }
    }

    /// Takes ownership of `home` once every awaited agent has answered or the wait is over.
    fn finish_collection(&mut self, home: &HomeKey) {
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step), prior }) = self.adoptions.get(home) else {
            return;
        };
        if !step.awaited.is_subset(&step.answered) && self.now < step.until {
            return;
        }
        let provable_from = self.compute_provable_from(home, prior, &step.answered);
        let Some(AdoptionFlow { step: AdoptionStep::Collecting(step), .. }) = self.adoptions.remove(home) else {
            return;
        };
        let started: usize = step.inventory.started.values().map(|job| job.len()).sum();
        self.log("home_adopted", format!("home={home} generation={} started={started} provable_from={provable_from}", step.generation));
        self.counters.adopted += 1;
        let inventory = AdoptedInventory { provable_from, ..step.inventory };
        self.ledger.take_ownership(home.clone(), step.generation, Some(inventory));
        self.schedule_home_removal(home.clone());
        self.retry_parked_for(home);
    }

    /// Returns the lowest serial from which on a task that no agent lists is proved never to have started.
    ///
    /// The proof requires that every agent incarnation used by an earlier owner has answered, or was lost before the
    /// job was accepted.
    fn compute_provable_from(&self, home: &HomeKey, prior: &PriorOwners, answered: &BTreeSet<WorkerKey>) -> u64 {
        let provable_by = |usages: &[WorkerUsage]| {
            let unanswered = usages.iter().filter(|usage| !answered.contains(&usage.worker));
            unanswered.map(|usage| usage.unused_from.unwrap_or(u64::MAX)).max().unwrap_or(0)
        };
        let by_original = self.peers.workers_of(home).map_or(u64::MAX, |usages| provable_by(usages));
        match prior {
            PriorOwners::Original => by_original,
            PriorOwners::Unknown => u64::MAX,
            PriorOwners::Second(owner) => {
                let own_usages = (owner == self.home()).then(|| self.fleet.worker_usage());
                let usages = own_usages.or_else(|| self.peers.workers_of(owner).cloned());
                // `unused_from` in a second owner's list refers to the tickets of that owner's own home, so it proves
                // nothing about this home. All agents in that list must have answered.
                let is_missing = usages.is_none_or(|usages| usages.iter().any(|usage| !answered.contains(&usage.worker)));
                if is_missing {
                    u64::MAX
                } else {
                    by_original
                }
            }
        }
    }

    /// Schedules the removal of a taken-over `home` for when the last of its tickets has expired.
    pub(super) fn schedule_home_removal(&mut self, home: HomeKey) {
        self.home_removals.push((self.now + self.policy.ticket_ms.to_duration(), home));
    }

    pub(super) fn remove_expired_homes(&mut self) {
        let now = self.now;
        let due: Vec<HomeKey> = self.home_removals.iter().filter(|(at, _)| *at <= now).map(|(_, home)| home.clone()).collect();
        self.home_removals.retain(|(at, _)| *at > now);
        due.iter().for_each(|home| self.ledger.remove_home(home));
    }

    pub(super) fn advance_adoptions(&mut self) {
        let homes: Vec<HomeKey> = self.adoptions.keys().cloned().collect();
        for home in homes {
            let step = self.adoptions.get(&home).map(|flow| &flow.step);
            if let Some(AdoptionStep::Waiting { until, attempted }) = step {
                // Without a waiting call, the adoption is dropped, unless the claim may already have been stored.
                let (until, attempted) = (*until, *attempted);
                let has_calls = self.parked.iter().any(|parked| parked.ticket.home == home);
                match (has_calls || attempted.is_some(), self.now >= until) {
                    (true, true) => self.read_claim(&home, attempted),
                    (true, false) => {}
                    (false, _) => drop(self.adoptions.remove(&home)),
                }
                continue;
            }
            self.finish_collection(&home);
        }
    }

    pub(super) fn dump_adoptions(&self) -> serde_json::Value {
        let steps = self.adoptions.iter().map(|(home, flow)| (home.to_string(), serde_json::to_value(&flow.step).unwrap_or_default()));
        steps.collect::<serde_json::Map<_, _>>().into()
    }
}
