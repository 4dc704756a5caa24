//! The workers an entry knows, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, ServiceName, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport};
use vanillacleat_core::units::MonoTime;

use super::straggler_rule::slowness_threshold;
use super::worker_capacity::WorkerCapacity;
use super::worker_performance::WorkerPerformance;
use crate::LeaseTerms;

/// Agents of a zone that keep the routes for entries that can't reach the store.
const KEEPERS: usize = 2;

/// A `CapacityRequest` is a task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What the task occupies.
    pub demand: &'a ResourceAmount,
    /// A label that the worker must have.
    pub required_label: Option<&'a SmolStr>,
    /// The rack near the task's data.
    pub preferred_rack: Option<&'a SmolStr>,
    /// Workers on which the task failed.
    pub excluded: &'a [AgentId],
}

/// A `WorkerRegistry` is what one entry knows of the workers. Only sessions tell it who is there.
#[derive(Debug)]
pub struct WorkerRegistry {
    rooms: BTreeMap<AgentId, WorkerCapacity>,
    by_session: BTreeMap<SessionId, AgentId>,
    slow_from: f64,
    fresh_time: Duration,
}

impl Default for WorkerRegistry {
    fn default() -> Self {
        Self::new(LeaseTerms::default().session_lease)
    }
}

impl WorkerRegistry {
    /// Returns a registry without workers. Agents refuse starts under a lease that has ended: one whose last report is older
    /// than `fresh_time`, the lease's length, gets none.
    pub fn new(fresh_time: Duration) -> Self {
        Self { rooms: BTreeMap::new(), by_session: BTreeMap::new(), slow_from: f64::INFINITY, fresh_time }
    }

    /// Takes an agent's hello; returns whether it is another run of a known agent.
    pub fn record_hello(&mut self, now: MonoTime, session: SessionId, hello: &RunHello) -> bool {
        self.by_session.insert(session, hello.agent.clone());
        let mut room = WorkerCapacity::new(now, session, hello);
        let earlier = self.rooms.get(&hello.agent);
        let is_restarted = earlier.is_some_and(|earlier| earlier.incarnation != hello.incarnation);
        if let Some(earlier) = earlier {
            room.own = earlier.own;
            room.performance = earlier.performance.clone();
        }
        self.rooms.insert(hello.agent.clone(), room);
        is_restarted
    }

    /// Takes a report; returns the agent it came from.
    pub fn record_report(&mut self, now: MonoTime, session: SessionId, report: &RunReport) -> Option<AgentId> {
        let agent = self.by_session.get(&session)?;
        let room = self.rooms.get_mut(agent).filter(|room| room.session == Some(session))?;
        room.record_report(now, report);
        Some(agent.clone())
    }

    /// Notes that a session broke.
    pub fn record_lost(&mut self, now: MonoTime, session: SessionId) -> Option<AgentId> {
        let agent = self.by_session.remove(&session)?;
        let room = self.rooms.get_mut(&agent).filter(|room| room.session == Some(session))?;
        room.session = None;
        room.lost_at = Some(now);
        Some(agent)
    }

    /// Notes that a start was sent to an agent.
    pub fn reserve(&mut self, agent: &AgentId, demand: ResourceAmount) {
        if let Some(room) = self.rooms.get_mut(agent) {
            room.own += demand;
        }
    }

    /// Notes that a run at an agent has ended.
    pub fn release(&mut self, agent: &AgentId, demand: ResourceAmount) {
        if let Some(room) = self.rooms.get_mut(agent) {
            room.own -= demand;
        }
    }

    /// Holds starts back for a moment from an agent that refused one.
    pub fn record_refusal(&mut self, now: MonoTime, agent: &AgentId) {
        if let Some(room) = self.rooms.get_mut(agent) {
            room.record_refusal(now);
        }
    }

    /// Returns the worker's record of pace and faults.
    pub fn performance_mut(&mut self, agent: &AgentId) -> Option<&mut WorkerPerformance> {
        self.rooms.get_mut(agent).map(|room| &mut room.performance)
    }

    /// Compares the workers' paces anew; returns those that are slow.
    pub fn compare_paces(&mut self, now: MonoTime) -> Vec<AgentId> {
        self.slow_from = slowness_threshold(self.rooms.values().map(|room| room.performance.slowness(now)));
        let slow = self.rooms.values().filter(|room| self.is_slow(now, room));
        slow.map(|room| room.agent.clone()).collect()
    }

    fn is_slow(&self, now: MonoTime, room: &WorkerCapacity) -> bool {
        room.performance.slowness(now).is_some_and(|slowness| slowness >= self.slow_from)
    }

    /// Returns the worker of an agent.
    pub fn get(&self, agent: &AgentId) -> Option<&WorkerCapacity> {
        self.rooms.get(agent)
    }

    /// Returns the nonce of the last report on a session, or zero before the first.
    pub fn nonce_of(&self, session: SessionId) -> u64 {
        let room = self.by_session.get(&session).and_then(|agent| self.rooms.get(agent));
        room.filter(|room| room.session == Some(session)).map_or(0, |room| room.nonce)
    }

    /// Returns the workers in order of their agents' names.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerCapacity> {
        self.rooms.values()
    }

    /// Returns the sessions whose agents have been silent for `age`.
    pub fn silent_sessions(&self, now: MonoTime, resumed_at: MonoTime, age: Duration) -> Vec<SessionId> {
        let is_silent = |room: &&WorkerCapacity| now.since(room.last_received_at.max(resumed_at)) >= age;
        self.rooms.values().filter(is_silent).filter_map(|room| room.session).collect()
    }

    /// Returns the agents that have nothing at work any more since they were not heard for `wait`, each once until they
    /// are heard again. What came while this process was stalled, until `resumed_at`, may still be read on open sessions.
    pub fn take_dead_agents(&mut self, now: MonoTime, resumed_at: MonoTime, wait: Duration) -> Vec<AgentId> {
        let last_received_at =
            |room: &WorkerCapacity| if room.session.is_some() { room.last_received_at.max(resumed_at) } else { room.last_received_at };
        let is_dead = |room: &&mut WorkerCapacity| !room.is_abandoned && now.since(last_received_at(room)) >= wait;
        let dead = self.rooms.values_mut().filter(is_dead).map(|room| {
            room.is_abandoned = true;
            room.agent.clone()
        });
        dead.collect()
    }

    /// Forgets agents that have been lost for `age`.
    pub fn remove_lost(&mut self, now: MonoTime, age: Duration) {
        self.rooms.retain(|_, room| room.lost_at.is_none_or(|at| room.session.is_some() || now.since(at) < age));
    }

    /// Returns the worker for a task, or nothing while none has room. The preferred one is the last that a task of the
    /// same job went to: a job that touches few workers is hit by few bad ones. Then the nearer zone goes first, so
    /// that entries that don't see each other's starts choose from different workers, then the larger room. The last
    /// free part of a worker in another zone is left to that zone's entries as long as there is room elsewhere.
    pub fn choose(
        &self,
        now: MonoTime,
        zone: &ZoneName,
        zones_out: &BTreeSet<ZoneName>,
        request: &CapacityRequest<'_>,
        last: Option<&AgentId>,
    ) -> Option<&AgentId> {
        let is_sound = |room: &&WorkerCapacity| !self.is_slow(now, room) && !room.performance.is_failing(now);
        let usable = self.rooms.values().filter(|room| self.is_usable(now, room));
        let candidates = usable.filter(|room| is_candidate(zones_out, request, room)).filter(is_sound);
        let best = candidates.min_by_key(|room| {
            let is_far = request.preferred_rack.is_some_and(|rack| !has_label(room, rack));
            let is_contended = room.zone != *zone && !request.demand.fits(&room.shared_room());
            let millicores = room.free_capacity().millicores;
            (is_far, is_contended, last != Some(&room.agent), room.zone != *zone, u64::MAX - millicores)
        });
        best.map(|room| &room.agent)
    }

    /// Returns whether any worker that may be used has room at all.
    pub fn has_room(&self, now: MonoTime) -> bool {
        self.rooms.values().any(|room| self.is_usable(now, room) && room.free_capacity().millicores > 0)
    }

    /// Returns whether starts may be sent to a worker at `now`.
    pub fn is_usable(&self, now: MonoTime, room: &WorkerCapacity) -> bool {
        room.is_usable(now) && now.since(room.last_received_at) < self.fresh_time
    }

    /// Returns the cores of the sound workers of a service in zones that are in service.
    pub fn capacity_of(&self, now: MonoTime, service: &ServiceName, zones_out: &BTreeSet<ZoneName>) -> f64 {
        let sound =
            self.rooms.values().filter(|room| !self.is_slow(now, room) && !zones_out.contains(&room.zone) && room.session.is_some());
        let workers = sound.filter_map(|room| room.worker.as_ref()).filter(|worker| worker.service == *service && worker.is_ready);
        workers.map(|worker| worker.capacity.millicores as f64 / 1_000.0).sum()
    }

    /// Returns the cores that runs of this entry occupy at the workers of a service.
    pub fn taken_of(&self, service: &ServiceName) -> f64 {
        let serves = |room: &&WorkerCapacity| room.worker.as_ref().is_some_and(|worker| worker.service == *service);
        self.rooms.values().filter(serves).map(|room| room.own.millicores as f64 / 1_000.0).sum()
    }

    /// Returns whether an agent keeps the routes for the entries of `zone`: the first few there by name do.
    pub fn is_keeper(&self, agent: &AgentId, zone: &ZoneName) -> bool {
        let connected = self.rooms.values().filter(|room| room.session.is_some() && room.zone == *zone);
        connected.take(KEEPERS).any(|room| room.agent == *agent)
    }

    /// Returns how many workers of a service are connected.
    pub fn count_serving(&self, service: &ServiceName) -> usize {
        let connected = self.rooms.values().filter(|room| room.session.is_some());
        connected.filter(|room| room.worker.as_ref().is_some_and(|worker| worker.service == *service)).count()
    }
}

fn is_candidate(zones_out: &BTreeSet<ZoneName>, request: &CapacityRequest<'_>, room: &WorkerCapacity) -> bool {
    let Some(worker) = &room.worker else {
        return false;
    };
    worker.service == *request.service
        && request.demand.fits(&room.free_capacity())
        && !zones_out.contains(&room.zone)
        && request.required_label.is_none_or(|label| has_label(room, label))
        && !request.excluded.contains(&room.agent)
}

fn has_label(room: &WorkerCapacity, label: &SmolStr) -> bool {
    room.worker.as_ref().is_some_and(|worker| worker.labels.contains(label))
}
