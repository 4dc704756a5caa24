//! Injects faults into a simulation.

use std::time::Duration;

use vanillacleat_control::entry::CallerCall;
use vanillacleat_control::entry::EntryEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::config::ConfigEdit;

use super::{zone_name, DeploymentSimulation, FaultKind, ReplyWaiter, SimulationEvent};

impl DeploymentSimulation {
    /// Injects a fault at the current time. Indices wrap around, so that each one selects an existing target.
    pub(super) fn apply_fault(&mut self, kind: FaultKind) {
        let (entries, agents) = (self.entries.len(), self.agents.len());
        let millis = Duration::from_millis;
        match kind {
            FaultKind::KillEntry(index) => {
                let running = self.entries.iter().filter(|node| node.control.is_some()).count();
                if running > 1 {
                    self.stop_entry(index % entries);
                }
            }
            FaultKind::RestartEntry(index) => {
                self.stop_entry(index % entries);
                let at = self.now + millis(700);
                self.schedule(at, SimulationEvent::StartEntry(index % entries));
            }
            FaultKind::PauseEntry(index, duration) => self.entries[index % entries].paused_until = self.now + millis(duration),
            FaultKind::RestartAgent(index) => {
                let index = index % agents;
                self.agents[index].control = None;
                self.agents[index].incarnation += 1;
                let sessions: Vec<SessionId> =
                    self.connections.iter().filter(|(_, connection)| connection.agent == index).map(|(session, _)| *session).collect();
                sessions.into_iter().for_each(|session| self.close_session(session));
                self.schedule(self.now + millis(400), SimulationEvent::StartAgent(index));
            }
            FaultKind::PauseAgent(index, duration) => self.agents[index % agents].paused_until = self.now + millis(duration),
            FaultKind::CloseSession(index) => {
                let open_sessions: Vec<SessionId> =
                    self.connections.iter().filter(|(_, connection)| connection.is_open).map(|(session, _)| *session).collect();
                if !open_sessions.is_empty() {
                    self.close_session(open_sessions[index % open_sessions.len()]);
                }
            }
            FaultKind::PartitionPeers(duration) => self.peers_partitioned_until = self.now + millis(duration),
            FaultKind::StoreDown(duration) => self.store.down_until = self.now + millis(duration),
            FaultKind::StoreRepliesLost(duration) => self.store.replies_lost_until = self.now + millis(duration),
            FaultKind::ZoneOut(index) => self.change(index % entries, ConfigEdit::ZoneOut(zone_name(index))),
            FaultKind::ZoneIn(index) => {
                let zone = zone_name(index);
                let now = self.now;
                self.zone_in_requests.insert(zone.clone(), now);
                self.zone_out_periods
                    .iter_mut()
                    .filter(|period| period.zone == zone)
                    .for_each(|period| period.zone_in_requested_at = period.zone_in_requested_at.or(Some(now)));
                self.change(index % entries, ConfigEdit::ZoneIn(zone));
            }
            FaultKind::CancelJob(index) => {
                let job = index % self.jobs.len();
                let entry = index % entries;
                if let (Some(ticket), true) = (self.jobs[job].ticket.clone(), self.entries[entry].control.is_some()) {
                    self.send_call(entry, CallerCall::Cancel(ticket), ReplyWaiter::Job(job));
                }
            }
            FaultKind::DrainEntry(index) => {
                let index = index % entries;
                let incarnation = self.entries[index].incarnation;
                let running = self.entries.iter().filter(|node| node.control.is_some()).count();
                if running > 1 {
                    self.schedule(self.now, SimulationEvent::Entry { index, incarnation, event: EntryEvent::Drain });
                }
            }
        }
    }
}
