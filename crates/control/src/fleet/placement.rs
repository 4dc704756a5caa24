//! The choice of a worker for one task.

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::ids::{ServiceName, ZoneName};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::settings::PlacementPolicy;
use vanillacleat_core::units::MonoTime;

use super::{AgentView, FleetView};
use crate::breaker::BreakerRegistry;

/// Maximum number of tasks beyond its slots that an early-binding policy queues at one agent.
const EARLY_BINDING_OVERCOMMIT: u32 = 16;
/// Number of steps into which a worker's utilization is divided. Within one step, a worker in the entry's own
/// availability zone is preferred.
const UTILIZATION_STEPS: u32 = 8;

/// An entry's parameters for choosing workers.
#[derive(Clone, Debug)]
pub struct PlacementRule {
    /// The placement policy.
    pub policy: PlacementPolicy,
    /// Number of tasks beyond its slots that late binding sends to one worker.
    pub overcommit: u32,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// The entry's rank among the live entries, and their number. Entries of different ranks break ties between workers
    /// differently.
    pub rank: (usize, usize),
}

/// A task for which a worker is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task's service.
    pub service: &'a ServiceName,
    /// The resources that the task needs.
    pub demand: &'a TaskDemand,
    /// The configuration in force.
    pub config: &'a ConfigValue,
    /// The newest fleet version announced to the peers that may adopt this entry's homes.
    ///
    /// Only agent incarnations that joined at this version or earlier may receive the task. An adopter with an older list
    /// of incarnations would conclude that the task never started, and could run it again.
    pub announced_version: u64,
}

impl FleetView {
    /// Chooses the worker for a task. Returns `None` while no worker has free capacity for it.
    pub fn choose(
        &self,
        now: MonoTime,
        rule: &PlacementRule,
        request: PlacementRequest<'_>,
        breakers: &BreakerRegistry,
        rng: &mut ChaCha8Rng,
    ) -> Option<&AgentView> {
        let usable = self.agents().enumerate().filter(|(_, view)| is_candidate(now, rule, &request, breakers, view));
        if rule.policy == PlacementPolicy::Random {
            let views: Vec<&AgentView> = usable.map(|(_, view)| view).collect();
            return views.choose(rng).copied();
        }
        usable.min_by_key(|(index, view)| score(rule, request.service, *index, view)).map(|(_, view)| view)
    }
}

fn is_candidate(now: MonoTime, rule: &PlacementRule, request: &PlacementRequest<'_>, breakers: &BreakerRegistry, view: &AgentView) -> bool {
    let slots = view.slots(request.service);
    let load_limit = match rule.policy {
        PlacementPolicy::LateBinding if view.outstanding < slots / entry_count(rule) => slots + entry_count(rule).max(rule.overcommit),
        PlacementPolicy::LateBinding => slots + rule.overcommit,
        _ => slots + EARLY_BINDING_OVERCOMMIT,
    };
    let load = match rule.policy {
        PlacementPolicy::Random | PlacementPolicy::LeastOutstanding => view.outstanding,
        PlacementPolicy::LeastReported | PlacementPolicy::LateBinding => view.load(),
    };
    slots > 0
        && load < load_limit
        && view.is_usable(now)
        && view.joined_version <= request.announced_version
        && !request.config.zones_out.contains(&view.zone)
        && request.demand.fits(&view.capacity)
        && breakers.allows(now, request.service, &view.worker.agent)
}

/// Returns how many entries share the workers.
///
/// Late binding raises the load limit for an entry that uses less than its even share of a worker's slots, so that it can
/// queue tasks there while other entries fill the slots. Otherwise the entry whose task has just ended would always take
/// the freed slot, because it learns of it first.
fn entry_count(rule: &PlacementRule) -> u32 {
    rule.rank.1.max(1) as u32
}

/// Returns the sort key of a worker; the lowest is preferred.
///
/// Workers are ordered by utilization step, then the entry's own availability zone, then exact utilization, then a
/// rotation that differs by entry. The rotation keeps entries that do not see each other's dispatches from all choosing
/// the same worker.
fn score(rule: &PlacementRule, service: &ServiceName, index: usize, view: &AgentView) -> (u32, bool, u32, usize) {
    let slots = view.slots(service).max(1);
    let load = match rule.policy {
        PlacementPolicy::LeastOutstanding => view.outstanding,
        _ => view.load(),
    };
    let (rank, entries) = rule.rank;
    let rotation = (index + entries - rank % entries.max(1)) % entries.max(1);
    (load * UTILIZATION_STEPS / slots, view.zone != rule.zone, load * 1_000 / slots, rotation)
}
