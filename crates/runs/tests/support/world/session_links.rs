//! The sessions between agents and entries: their delays, cuts and ends.

use super::*;

impl World {
    pub(super) fn find_session(&self, matches: impl Fn(&WorldSession) -> bool) -> Option<usize> {
        self.sessions.iter().position(|session| session.is_open && matches(session))
    }

    /// Frames on a connection that is cut arrive when the cut ends; order is kept by the length of the wait.
    pub(super) fn transit(&mut self, agent: usize, entry: usize) -> Duration {
        let cut = self.cut_until.get(&(agent, entry)).copied().unwrap_or(MonoTime::ZERO);
        Duration::from_micros(800) + cut.since(self.now)
    }

    pub(super) fn send_order(&mut self, index: usize, frame: OrderFrame) {
        let (agent, entry, session) = (self.sessions[index].agent, self.sessions[index].entry, self.sessions[index].names.1);
        let (wait, run) = (self.transit(agent, entry), self.agents[agent].run);
        self.at(wait, Happening::ToAgent(agent, run, RunnerEvent::Frame { session, frame }));
    }

    pub(super) fn send_report(&mut self, index: usize, frame: RunFrame) {
        let (agent, entry, session) = (self.sessions[index].agent, self.sessions[index].entry, self.sessions[index].names.0);
        let (wait, run) = (self.transit(agent, entry), self.entries[entry].run);
        self.at(wait, Happening::ToEntry(entry, run, DispatchEvent::Frame { session, frame }));
    }

    pub(super) fn connect(&mut self, agent: usize, run: u64, entry: usize) {
        let address = entry_address(entry);
        let is_cut = self.cut_until.get(&(agent, entry)).is_some_and(|until| self.now < *until);
        if self.agents[agent].run != run {
            return;
        }
        if !self.entries[entry].is_up || is_cut || self.now < self.entries[entry].frozen_until {
            return self.reach_agent(agent, run, RunnerEvent::SessionClosed { session: None, address });
        }
        let number = self.sessions.len() as u64 + 1;
        let names = (SessionId(number * 2), SessionId(number * 2 + 1));
        self.sessions.push(WorldSession { agent, entry, names, is_open: true });
        self.reach_agent(agent, run, RunnerEvent::SessionOpened { session: names.1, address });
    }

    pub(super) fn end_session(&mut self, index: usize) {
        let session = &mut self.sessions[index];
        if !session.is_open {
            return;
        }
        session.is_open = false;
        let (agent, entry, names) = (session.agent, session.entry, session.names);
        let gone = RunnerEvent::SessionClosed { session: Some(names.1), address: entry_address(entry) };
        let wait = self.transit(agent, entry);
        let (agent_run, entry_run) = (self.agents[agent].run, self.entries[entry].run);
        self.at(wait, Happening::ToAgent(agent, agent_run, gone));
        self.at(wait, Happening::ToEntry(entry, entry_run, DispatchEvent::SessionClosed(names.0)));
    }

    pub(super) fn end_sessions(&mut self, matches: impl Fn(&WorldSession) -> bool) {
        let ended: Vec<usize> = (0..self.sessions.len()).filter(|index| matches(&self.sessions[*index])).collect();
        ended.into_iter().for_each(|index| self.end_session(index));
    }
}
