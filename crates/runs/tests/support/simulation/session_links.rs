//! The links between agents and entries: how sessions open, delay frames and close.

use super::*;

impl Simulation {
    /// Returns the index of the open session that matches, if there is one.
    pub(super) fn find_open_session(&self, matches: impl Fn(&SimulatedSession) -> bool) -> Option<usize> {
        self.sessions.iter().position(|session| session.is_open && matches(session))
    }

    /// Returns the delay of a frame between an agent and an entry. Frames on an interrupted link arrive when the interruption
    /// ends. The delay is otherwise constant, so frames arrive in the order in which they were sent.
    pub(super) fn transit_delay(&mut self, agent: usize, entry: usize) -> Duration {
        let cut = self.cut_until.get(&(agent, entry)).copied().unwrap_or(MonoTime::ZERO);
        Duration::from_micros(800) + cut.since(self.now)
    }

    /// Sends a frame to the agent of a session.
    pub(super) fn send_to_agent(&mut self, index: usize, frame: OrderFrame) {
        let (agent, entry, session) = (self.sessions[index].agent, self.sessions[index].entry, self.sessions[index].ids.1);
        let (delay, incarnation) = (self.transit_delay(agent, entry), self.agents[agent].incarnation);
        self.schedule(delay, SimulationEvent::DeliverToAgent(agent, incarnation, RunnerEvent::Frame { session, frame }));
    }

    /// Sends a frame to the entry of a session.
    pub(super) fn send_to_entry(&mut self, index: usize, frame: RunFrame) {
        let (agent, entry, session) = (self.sessions[index].agent, self.sessions[index].entry, self.sessions[index].ids.0);
        let (delay, incarnation) = (self.transit_delay(agent, entry), self.entries[entry].incarnation);
        self.schedule(delay, SimulationEvent::DeliverToEntry(entry, incarnation, DispatchEvent::Frame { session, frame }));
    }

    /// Opens a session that an agent dialed. Dialing fails if the entry is down or paused, or if the link is
    /// interrupted.
    pub(super) fn open_session(&mut self, agent: usize, incarnation: u64, entry: usize) {
        let address = entry_address(entry);
        let is_cut = self.cut_until.get(&(agent, entry)).is_some_and(|until| self.now < *until);
        if self.agents[agent].incarnation != incarnation {
            return;
        }
        if !self.entries[entry].is_up || is_cut || self.now < self.entries[entry].paused_until {
            return self.deliver_to_agent(agent, incarnation, RunnerEvent::SessionClosed { session: None, address });
        }
        let number = self.sessions.len() as u64 + 1;
        let ids = (SessionId(number * 2), SessionId(number * 2 + 1));
        self.sessions.push(SimulatedSession { agent, entry, ids, is_open: true });
        self.deliver_to_agent(agent, incarnation, RunnerEvent::SessionOpened { session: ids.1, address });
    }

    /// Closes a session, if it is open; both ends learn of it after the delay of a frame.
    pub(super) fn close_session(&mut self, index: usize) {
        let session = &mut self.sessions[index];
        if !session.is_open {
            return;
        }
        session.is_open = false;
        let (agent, entry, ids) = (session.agent, session.entry, session.ids);
        let closed = RunnerEvent::SessionClosed { session: Some(ids.1), address: entry_address(entry) };
        let delay = self.transit_delay(agent, entry);
        let (agent_incarnation, entry_incarnation) = (self.agents[agent].incarnation, self.entries[entry].incarnation);
        self.schedule(delay, SimulationEvent::DeliverToAgent(agent, agent_incarnation, closed));
        self.schedule(delay, SimulationEvent::DeliverToEntry(entry, entry_incarnation, DispatchEvent::SessionClosed(ids.0)));
    }

    /// Closes all sessions that match.
    pub(super) fn close_sessions(&mut self, matches: impl Fn(&SimulatedSession) -> bool) {
        let matching: Vec<usize> = (0..self.sessions.len()).filter(|index| matches(&self.sessions[*index])).collect();
        matching.into_iter().for_each(|index| self.close_session(index));
    }
}
