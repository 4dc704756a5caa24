//! Divides each team's quota among the live entries without a message for each task.

use std::collections::BTreeMap;

use vanillacleat_core::ids::{EntryId, TeamName};

/// Computes this entry's share of each team's quota.
///
/// Entries report their demand for each team to each other with their heartbeats. The quota is divided in proportion to
/// demand. An entry without demand counts with a demand of one and keeps a share of at least one, so that its first task
/// need not wait for a heartbeat.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    peers: BTreeMap<EntryId, BTreeMap<TeamName, u32>>,
}

impl TeamLimits {
    /// Records the demand that a live peer reported.
    pub fn record_demand(&mut self, peer: &EntryId, demand: &[(TeamName, u32)]) {
        self.peers.insert(peer.clone(), demand.iter().cloned().collect());
    }

    /// Removes a peer that is no longer live; its share passes to the others.
    pub fn remove_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Returns how many tasks of `team` this entry may have in flight, given its own demand.
    ///
    /// The shares of entries that know the same demands add up to at most the quota, except that each entry always
    /// keeps a share of at least one.
    pub fn share(&self, team: &TeamName, quota: u32, own_demand: u32) -> u32 {
        if self.peers.is_empty() {
            return quota;
        }
        let others: u64 = self.peers.values().map(|demand| u64::from(demand.get(team).copied().unwrap_or(0).max(1))).sum();
        let own = u64::from(own_demand.max(1));
        let share = u64::from(quota) * own / (own + others);
        (share as u32).max(1)
    }
}
