//! An entry's view of the agents, and the choice of a worker for each task.

mod agent_view;
mod placement;

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::{AgentHello, LoadReport, WorkerUsage};
use vanillacleat_core::ids::{AgentId, ServiceName, WorkerKey};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::units::MonoTime;

use crate::SessionId;

pub use agent_view::AgentView;
pub use placement::{PlacementRequest, PlacementRule};

/// What one entry knows of the agents.
///
/// Agents are discovered only by the sessions that they open.
#[derive(Debug, Default)]
pub struct FleetView {
    agents: BTreeMap<AgentId, AgentView>,
    by_session: BTreeMap<SessionId, AgentId>,
    /// Incarnations that are no longer in `agents` but that unexpired tickets may have used.
    former_incarnations: Vec<WorkerUsage>,
    version: u64,
}

/// What an agent's hello shows about the tasks that were sent to it earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The agent was not known, so it has no outstanding tasks.
    Joined,
    /// The same incarnation has reconnected and may still hold the tasks.
    Reconnected,
    /// The agent process has restarted; the value is the earlier incarnation, which has exited.
    Restarted(WorkerKey),
    /// The agent has opened a later session. The hello says nothing of its tasks now.
    Outdated,
}

impl FleetView {
    /// Records an agent's hello on `session`, unless it is that of an earlier session than the agent's last one. No job with the
    /// serial `unused_from` or a higher one has been accepted yet.
    pub fn record_hello(&mut self, now: MonoTime, session: SessionId, hello: &AgentHello, unused_from: u64) -> HelloOutcome {
        let agent = &hello.worker.agent;
        let earlier = self.agents.get_mut(agent);
        if earlier.as_ref().is_some_and(|view| !view.precedes(session, hello)) {
            return HelloOutcome::Outdated;
        }
        let earlier_start = earlier.as_ref().map(|view| view.latest_start);
        self.version += 1;
        self.by_session.insert(session, agent.clone());
        if let Some(view) = earlier.filter(|view| view.worker == hello.worker) {
            view.record_reconnected(now, session, hello);
            // Peers must know that the incarnation is in use again before it receives tasks: an adopter of this entry's
            // home concludes from their list of incarnations which tasks can never have started.
            view.joined_version = self.version;
            return HelloOutcome::Reconnected;
        }
        let mut view = AgentView::new(now, session, hello, self.version);
        view.latest_start = view.latest_start.max(earlier_start.unwrap_or_default());
        match self.agents.insert(agent.clone(), view) {
            Some(view) => {
                self.retain_exited_incarnation(&view, unused_from);
                HelloOutcome::Restarted(view.worker)
            }
            None => HelloOutcome::Joined,
        }
    }

    /// Records that `session` was lost. No job with the serial `unused_from` or a higher one has been accepted yet.
    ///
    /// Returns the agent incarnation that the session belonged to.
    pub fn record_lost(&mut self, now: MonoTime, session: SessionId, unused_from: u64) -> Option<WorkerKey> {
        let agent = self.by_session.remove(&session)?;
        let view = self.agents.get_mut(&agent).filter(|view| view.session == Some(session))?;
        view.record_lost(now, unused_from);
        self.version += 1;
        Some(view.worker.clone())
    }

    /// Keeps an exited incarnation until every ticket that may have used it has expired.
    fn retain_exited_incarnation(&mut self, view: &AgentView, unused_from: u64) {
        let unused_from = view.unused_from.unwrap_or(unused_from);
        self.former_incarnations.push(WorkerUsage { worker: view.worker.clone(), unused_from: Some(unused_from) });
    }

    /// Removes former incarnations that only expired tickets can have used.
    pub fn remove_exited_incarnations(&mut self, expired_below: u64) {
        self.former_incarnations.retain(|usage| usage.unused_from.is_none_or(|serial| serial > expired_below));
    }

    /// Records that a frame of `agent` was received.
    pub fn record_contact(&mut self, now: MonoTime, agent: &AgentId) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.last_received_at = now;
        }
    }

    /// Returns the sessions on which nothing has been received for `busy_age` while tasks are unreported, or for
    /// `idle_age` otherwise.
    ///
    /// Silence before `resumed_at`, when this process resumed after a stall, does not count.
    pub fn silent_sessions(&self, now: MonoTime, resumed_at: MonoTime, busy_age: Duration, idle_age: Duration) -> Vec<SessionId> {
        let is_silent = |view: &&AgentView| {
            let (since, age) = match view.busy_since {
                Some(busy_since) => (view.last_received_at.max(busy_since), busy_age),
                None => (view.last_received_at, idle_age),
            };
            now.since(since.max(resumed_at)) >= age
        };
        self.agents.values().filter(is_silent).filter_map(|view| view.session).collect()
    }

    /// Records a load report of `agent`.
    pub fn record_load(&mut self, agent: &AgentId, load: &LoadReport) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.record_load(load);
        }
    }

    /// Sets how many tasks of this entry are outstanding at `agent`.
    pub fn set_outstanding(&mut self, now: MonoTime, agent: &AgentId, count: usize) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.outstanding = count as u32;
            view.busy_since = (count > 0).then(|| view.busy_since.unwrap_or(now));
        }
    }

    /// Backs `agent` off for a moment after it rejected a task.
    pub fn record_rejection(&mut self, now: MonoTime, agent: &AgentId) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.record_rejection(now);
        }
    }

    /// Returns the agent that is connected on `session`.
    pub fn worker_by_session(&self, session: SessionId) -> Option<&AgentView> {
        let agent = self.by_session.get(&session)?;
        self.agents.get(agent).filter(|view| view.session == Some(session))
    }

    /// Returns the session of an agent incarnation, if it is connected.
    pub fn session_of(&self, worker: &WorkerKey) -> Option<SessionId> {
        self.agents.get(&worker.agent).filter(|view| view.worker == *worker).and_then(|view| view.session)
    }

    /// Returns the agents, ordered by their identifiers.
    pub fn agents(&self) -> impl Iterator<Item = &AgentView> {
        self.agents.values()
    }

    /// Returns the number of changes to the set of connected agent incarnations so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns every agent incarnation that unexpired tickets may have used or may still use.
    pub fn worker_usage(&self) -> Vec<WorkerUsage> {
        let known = self.agents.values().map(AgentView::to_usage);
        self.former_incarnations.iter().cloned().chain(known).collect()
    }

    /// Returns the agent incarnations whose sessions were lost at least `grace` ago.
    pub fn lost_incarnations(&self, now: MonoTime, grace: Duration) -> Vec<WorkerKey> {
        let is_expired = |view: &&AgentView| view.lost_at.is_some_and(|at| now.since(at) >= grace);
        self.agents.values().filter(is_expired).map(|view| view.worker.clone()).collect()
    }

    /// Removes agents whose sessions were lost at least `age` ago.
    pub fn remove_lost(&mut self, now: MonoTime, age: Duration) {
        let is_retained = |view: &AgentView| view.lost_at.is_none_or(|at| now.since(at) < age);
        let removed = self.agents.values().filter(|view| !is_retained(view));
        let usages = removed.map(AgentView::to_usage);
        self.former_incarnations.extend(usages);
        self.agents.retain(|_, view| is_retained(view));
    }

    /// Returns how many agents have slots for `service`.
    pub fn worker_count(&self, service: &ServiceName) -> usize {
        self.agents.values().filter(|view| view.slots(service) > 0).count()
    }

    /// Returns the number of slots for `service` at connected agents whose availability zones are in service.
    pub fn usable_slots(&self, service: &ServiceName, config: &ConfigValue) -> u32 {
        let in_service = self.agents.values().filter(|view| view.session.is_some() && !config.zones_out.contains(&view.zone));
        in_service.map(|view| view.slots(service)).sum()
    }

    /// Returns whether a task with `demand` fits the total capacity of some worker of `service`.
    pub fn can_ever_run(&self, service: &ServiceName, demand: &TaskDemand) -> bool {
        self.agents.values().any(|view| view.slots(service) > 0 && demand.fits(&view.capacity))
    }
}
