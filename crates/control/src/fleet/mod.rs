//! The agents an entry knows, and the choice among them.

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

/// A `FleetView` is what one entry knows of the agents. Only sessions tell it who is there.
#[derive(Debug, Default)]
pub struct FleetView {
    agents: BTreeMap<AgentId, AgentView>,
    by_session: BTreeMap<SessionId, AgentId>,
    gone: Vec<WorkerUsage>,
    version: u64,
}

/// What a hello means for the agent's earlier tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The agent was not known.
    Joined,
    /// The same run is back.
    Returned,
    /// The process is new; the earlier run is gone.
    Restarted(WorkerKey),
}

impl FleetView {
    /// Notes an agent's hello on `session`, while no job from serial `unused_from` on has been accepted.
    pub fn record_hello(&mut self, now: MonoTime, session: SessionId, hello: &AgentHello, unused_from: u64) -> HelloOutcome {
        let agent = &hello.worker.agent;
        let earlier = self.agents.get_mut(agent);
        self.version += 1;
        self.by_session.insert(session, agent.clone());
        if let Some(view) = earlier.filter(|view| view.worker == hello.worker) {
            view.record_return(now, session, hello);
            // The others must hear that the run is used again before it is.
            view.joined_version = self.version;
            return HelloOutcome::Returned;
        }
        let view = AgentView::new(now, session, hello, self.version);
        match self.agents.insert(agent.clone(), view) {
            Some(view) => {
                self.record_exited(&view, unused_from);
                HelloOutcome::Restarted(view.worker)
            }
            None => HelloOutcome::Joined,
        }
    }

    /// Notes that `session` broke, while no job from serial `unused_from` on has been accepted; returns the agent run it belonged to.
    pub fn record_lost(&mut self, now: MonoTime, session: SessionId, unused_from: u64) -> Option<WorkerKey> {
        let agent = self.by_session.remove(&session)?;
        let view = self.agents.get_mut(&agent).filter(|view| view.session == Some(session))?;
        view.record_lost(now, unused_from);
        self.version += 1;
        Some(view.worker.clone())
    }

    /// Remembers a lost run until every ticket that may have used it has expired.
    fn record_exited(&mut self, view: &AgentView, unused_from: u64) {
        let unused_from = view.unused_from.unwrap_or(unused_from);
        self.gone.push(WorkerUsage { worker: view.worker.clone(), unused_from: Some(unused_from) });
    }

    /// Forgets lost runs that only expired tickets can have used.
    pub fn remove_exited(&mut self, expired_below: u64) {
        self.gone.retain(|note| note.unused_from.is_none_or(|serial| serial > expired_below));
    }

    /// Notes that the agent was heard.
    pub fn record_contact(&mut self, now: MonoTime, agent: &AgentId) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.last_received_at = now;
        }
    }

    /// Returns the sessions that have been silent for `busy_age` with unreported tasks, or for `idle_age` without any,
    /// counted from `resumed_at` at the earliest.
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

    /// Takes a load report of an agent.
    pub fn record_load(&mut self, agent: &AgentId, load: &LoadReport) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.record_load(load);
        }
    }

    /// Notes how many tasks of this entry an agent has.
    pub fn set_outstanding(&mut self, now: MonoTime, agent: &AgentId, count: usize) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.outstanding = count as u32;
            view.busy_since = (count > 0).then(|| view.busy_since.unwrap_or(now));
        }
    }

    /// Holds work back for a moment from an agent that bounced a task.
    pub fn record_rejection(&mut self, now: MonoTime, agent: &AgentId) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.record_rejection(now);
        }
    }

    /// Returns the agent run on `session`.
    pub fn worker_by_session(&self, session: SessionId) -> Option<&AgentView> {
        let agent = self.by_session.get(&session)?;
        self.agents.get(agent).filter(|view| view.session == Some(session))
    }

    /// Returns the session of an agent run.
    pub fn session_of(&self, worker: &WorkerKey) -> Option<SessionId> {
        self.agents.get(&worker.agent).filter(|view| view.worker == *worker).and_then(|view| view.session)
    }

    /// Returns the agents in order of their names.
    pub fn agents(&self) -> impl Iterator<Item = &AgentView> {
        self.agents.values()
    }

    /// Counts the changes of the set of agent runs.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns every agent run that tickets which have not expired may have used or may use.
    pub fn worker_usage(&self) -> Vec<WorkerUsage> {
        let known = self.agents.values().map(AgentView::to_note);
        self.gone.iter().cloned().chain(known).collect()
    }

    /// Returns the runs that have been lost for `grace` or longer.
    pub fn lost_at_least(&self, now: MonoTime, grace: Duration) -> Vec<WorkerKey> {
        let is_gone = |view: &&AgentView| view.lost_at.is_some_and(|at| now.since(at) >= grace);
        self.agents.values().filter(is_gone).map(|view| view.worker.clone()).collect()
    }

    /// Forgets agents lost for `age` or longer.
    pub fn remove_lost(&mut self, now: MonoTime, age: Duration) {
        let is_kept = |view: &AgentView| view.lost_at.is_none_or(|at| now.since(at) < age);
        let forgotten = self.agents.values().filter(|view| !is_kept(view));
        let notes = forgotten.map(AgentView::to_note);
        self.gone.extend(notes);
        self.agents.retain(|_, view| is_kept(view));
    }

    /// Returns how many agents serve `service`.
    pub fn servers_of(&self, service: &ServiceName) -> usize {
        self.agents.values().filter(|view| view.slots(service) > 0).count()
    }

    /// Returns the slots for `service` in availability zones that are in service.
    pub fn slots_of(&self, service: &ServiceName, config: &ConfigValue) -> u32 {
        let in_service = self.agents.values().filter(|view| view.session.is_some() && !config.zones_out.contains(&view.zone));
        in_service.map(|view| view.slots(service)).sum()
    }

    /// Returns whether some known worker of `service` could ever hold a task with `demand`.
    pub fn can_ever_run(&self, service: &ServiceName, demand: &TaskDemand) -> bool {
        self.agents.values().any(|view| view.slots(service) > 0 && demand.fits(&view.capacity))
    }
}
