//! Executes the actions of entries and agents: sends frames and calls over a simulated network and runs started tasks. The
//! random generator of the simulation determines all delays and losses.

use std::time::Duration;

use rand::Rng;
use smol_str::SmolStr;
use vanillacleat_control::agent::{AgentAction, AgentEvent};
use vanillacleat_control::entry::{EntryAction, EntryEvent};
use vanillacleat_control::{CallId, ReplyId, SessionId};
use vanillacleat_core::frames::{Envelope, PeerCall, PeerReply};
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::units::MonoTime;

use super::super::trace::{format_agent_frame, format_entry_frame, format_peer_call, format_store_call};
use super::{entry_address, zone_name, DeploymentSimulation, ObservedStart, ReplyWaiter, SimulatedConnection, SimulationEvent};

impl DeploymentSimulation {
    /// Closes a session, if it is open. Both ends are notified after separate delays.
    pub(super) fn close_session(&mut self, session: SessionId) {
        let Some(connection) = self.connections.get_mut(&session).filter(|connection| connection.is_open) else {
            return;
        };
        connection.is_open = false;
        let (agent, agent_incarnation, entry, entry_incarnation) =
            (connection.agent, connection.agent_incarnation, connection.entry, connection.entry_incarnation);
        let (entry_at, agent_at) = (self.draw_arrival_time(), self.draw_arrival_time());
        self.schedule(
            entry_at,
            SimulationEvent::Entry { index: entry, incarnation: entry_incarnation, event: EntryEvent::SessionClosed { session } },
        );
        let event = AgentEvent::SessionClosed { session: Some(session), address: entry_address(entry) };
        self.schedule(agent_at, SimulationEvent::Agent { index: agent, incarnation: agent_incarnation, event });
    }

    /// Executes an action of an agent. A started task runs for 20 to 900 ms, and 2% of the tasks fail.
    pub(super) fn execute_agent_action(&mut self, index: usize, action: AgentAction) {
        let incarnation = self.agents[index].incarnation;
        match action {
            AgentAction::Dial(address) => {
                let at = self.draw_arrival_time();
                self.schedule(at, SimulationEvent::Dial { agent: index, incarnation, address });
            }
            AgentAction::Send { session, envelope } => {
                let Some(connection) = self.connections.get(&session).filter(|connection| connection.is_open) else {
                    return;
                };
                let (entry, entry_incarnation) = (connection.entry, connection.entry_incarnation);
                self.record_trace(format_agent_frame(&envelope.body), || format!("agent-{index} -> entry-{entry}"));
                for at in self.draw_delivery_times(session, true) {
                    let event = EntryEvent::Agent { session, frame: envelope.clone() };
                    self.schedule(at, SimulationEvent::Entry { index: entry, incarnation: entry_incarnation, event });
                }
            }
            AgentAction::Close(session) => self.close_session(session),
            AgentAction::Start(order) => {
                let zone = zone_name(index);
                self.starts.push(ObservedStart { key: order.key.clone(), agent: format!("agent-{index}"), zone, at: self.now });
                let run_time = Duration::from_millis(self.rng.random_range(20..900));
                let is_failed = self.rng.random_bool(0.02);
                let outcome =
                    if is_failed { TaskOutcome::Failed("failed".into()) } else { TaskOutcome::Done(format!("done {}", order.key)) };
                let event = AgentEvent::Ended { key: order.key, upstream: order.upstream, outcome, run_time };
                self.schedule(self.now + run_time, SimulationEvent::Agent { index, incarnation, event });
            }
            AgentAction::Drained => {}
        }
    }

    /// Draws the times at which a frame arrives. On a reliable session it arrives once and in order. On an unreliable one it
    /// may be lost, duplicated or delayed.
    pub(super) fn draw_delivery_times(&mut self, session: SessionId, is_for_entry: bool) -> Vec<MonoTime> {
        let mut at = self.draw_arrival_time();
        if self.options.is_unreliable {
            let late = self.now + Duration::from_millis(self.rng.random_range(1..1_500));
            return match self.rng.random_range(0..100) {
                0..3 => Vec::new(),
                3..10 => vec![at, late],
                10..16 => vec![late],
                _ => vec![at],
            };
        }
        if let Some(connection) = self.connections.get_mut(&session) {
            let last_delivery_at =
                if is_for_entry { &mut connection.last_entry_delivery_at } else { &mut connection.last_agent_delivery_at };
            at = at.max(*last_delivery_at);
            *last_delivery_at = at;
        }
        vec![at]
    }

    /// Executes the actions of an entry.
    pub(super) fn execute_entry_actions(&mut self, index: usize, actions: Vec<EntryAction>) {
        let incarnation = self.entries[index].incarnation;
        for action in actions {
            match action {
                EntryAction::Reply { reply, body } => self.handle_reply(index, incarnation, reply, body),
                EntryAction::PeerReply { reply, envelope } => {
                    if let Some(ReplyWaiter::Peer { entry, incarnation, call }) = self.waiters.remove(&(index, incarnation, reply)) {
                        self.reply_to_peer(entry, incarnation, call, Some(envelope));
                    }
                }
                EntryAction::Send { session, envelope } => {
                    let Some(connection) = self.connections.get(&session).filter(|connection| connection.is_open) else {
                        continue;
                    };
                    let (agent, agent_incarnation) = (connection.agent, connection.agent_incarnation);
                    self.record_trace(format_entry_frame(&envelope.body), || format!("entry-{index} -> agent-{agent}"));
                    for at in self.draw_delivery_times(session, false) {
                        let event = AgentEvent::Frame { session, frame: envelope.clone() };
                        self.schedule(at, SimulationEvent::Agent { index: agent, incarnation: agent_incarnation, event });
                    }
                }
                EntryAction::Close { session } => self.close_session(session),
                EntryAction::CallPeer { call, address, envelope, .. } => {
                    self.record_trace(format_peer_call(&envelope.body), || format!("entry-{index} -> {address}"));
                    self.call_peer(index, incarnation, call, &address, envelope);
                }
                EntryAction::CallPlatform { call, op } => {
                    self.record_trace(format_store_call(&op), || format!("entry-{index} -> store"));
                    let at = self.now + Duration::from_millis(self.rng.random_range(1..8));
                    self.schedule(at, SimulationEvent::StoreCall { entry: index, incarnation, call, op });
                }
                EntryAction::Log(entry) => self.logs.push(format!("{} entry-{index} {} {}", self.now, entry.event, entry.fields)),
                EntryAction::Drained => {
                    self.stop_entry(index);
                    self.schedule(self.now + Duration::from_secs(1), SimulationEvent::StartEntry(index));
                }
            }
        }
    }

    /// Sends a call to the entry at `address`. The call fails during a partition and if that entry is not running.
    pub(super) fn call_peer(&mut self, index: usize, incarnation: u64, call: CallId, address: &str, envelope: Envelope<PeerCall>) {
        let target = (0..self.entries.len()).find(|target| entry_address(*target) == address);
        let target = target.filter(|target| self.entries[*target].control.is_some() && self.now >= self.peers_partitioned_until);
        let Some(target) = target else {
            let at = self.now + Duration::from_millis(30);
            let event = EntryEvent::PeerReplied { call, reply: None };
            return self.schedule(at, SimulationEvent::Entry { index, incarnation, event });
        };
        self.last_id += 1;
        let reply = ReplyId(self.last_id);
        let target_incarnation = self.entries[target].incarnation;
        self.waiters.insert((target, target_incarnation, reply), ReplyWaiter::Peer { entry: index, incarnation, call });
        let at = self.draw_arrival_time();
        self.schedule(
            at,
            SimulationEvent::Entry {
                index: target,
                incarnation: target_incarnation,
                event: EntryEvent::PeerCalled { reply, call: envelope },
            },
        );
    }

    /// Sends the reply to a peer's call. During a partition the reply is lost and the call fails.
    pub(super) fn reply_to_peer(&mut self, entry: usize, incarnation: u64, call: CallId, reply: Option<Envelope<PeerReply>>) {
        let at = self.draw_arrival_time();
        let reply = reply.filter(|_| self.now >= self.peers_partitioned_until);
        self.schedule(at, SimulationEvent::Entry { index: entry, incarnation, event: EntryEvent::PeerReplied { call, reply } });
    }

    /// Opens a session from an agent to the entry at `address`, if that entry is running.
    pub(super) fn dial(&mut self, agent: usize, incarnation: u64, address: SmolStr) {
        let entry = (0..self.entries.len()).find(|index| entry_address(*index) == address);
        let Some(entry) = entry.filter(|index| self.entries[*index].control.is_some()) else {
            let event = AgentEvent::SessionClosed { session: None, address };
            return self.schedule(self.now, SimulationEvent::Agent { index: agent, incarnation, event });
        };
        self.last_id += 1;
        let session = SessionId(self.last_id);
        let connection = SimulatedConnection {
            agent,
            entry,
            agent_incarnation: incarnation,
            entry_incarnation: self.entries[entry].incarnation,
            is_open: true,
            last_entry_delivery_at: self.now,
            last_agent_delivery_at: self.now,
        };
        self.connections.insert(session, connection);
        self.schedule(
            self.now,
            SimulationEvent::Agent { index: agent, incarnation, event: AgentEvent::SessionOpened { session, address } },
        );
    }
}
