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

/// Tasks that an early-binding policy queues at one agent beyond its slots.
const EARLY_BINDING_QUEUE: u32 = 16;
/// Steps into which a worker's utilization is divided; within one step the nearer worker is taken.
const UTILIZATION_STEPS: u32 = 8;

/// A `PlacementRule` is how workers are chosen.
#[derive(Clone, Debug)]
pub struct PlacementRule {
    /// The policy.
    pub policy: PlacementPolicy,
    /// Tasks beyond its slots that late binding sends to one worker.
    pub overcommit: u32,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// The entry's rank among the live entries, and their number; it spreads ties.
    pub rank: (usize, usize),
}

/// A `PlacementRequest` is a task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What the task needs.
    pub demand: &'a TaskDemand,
    /// The configuration in force.
    pub config: &'a ConfigValue,
    /// Only runs that joined at this fleet version or before may be used.
    pub announced_version: u64,
}

impl FleetView {
    /// Returns the worker for a task, or nothing while none has room.
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
    let room = match rule.policy {
        PlacementPolicy::LateBinding if view.outstanding < slots / entries_of(rule) => slots + entries_of(rule).max(rule.overcommit),
        PlacementPolicy::LateBinding => slots + rule.overcommit,
        _ => slots + EARLY_BINDING_QUEUE,
    };
    let load = match rule.policy {
        PlacementPolicy::Random | PlacementPolicy::LeastOutstanding => view.outstanding,
        PlacementPolicy::LeastReported | PlacementPolicy::LateBinding => view.load(),
    };
    slots > 0
        && load < room
        && view.is_usable(now)
        && view.joined_version <= request.announced_version
        && !request.config.zones_out.contains(&view.zone)
        && request.demand.fits(&view.capacity)
        && breakers.allows(now, request.service, &view.worker.agent)
}

/// Returns how many entries share the workers. An entry below its even share of a worker's slots may queue there even
/// when the others fill them, since it hears of a freed slot later than the entry whose task has ended.
fn entries_of(rule: &PlacementRule) -> u32 {
    rule.rank.1.max(1) as u32
}

/// Returns the order of preference: the lower utilization step, the own zone, then a rotation that differs by entry,
/// so that entries that don't see each other's dispatches don't all choose the same worker.
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
