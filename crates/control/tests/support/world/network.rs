//! Carries out actions: frames, calls and starts, with seeded delays and losses.

use std::time::Duration;

use rand::Rng;
use smol_str::SmolStr;
use vanillacleat_control::agent::{AgentAction, AgentEvent};
use vanillacleat_control::entry::{EntryAction, EntryEvent};
use vanillacleat_control::{CallId, ReplyId, SessionId};
use vanillacleat_core::frames::{Envelope, PeerCall, PeerReply};
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::units::MonoTime;

use super::super::trace::{show_agent_frame, show_entry_frame, show_peer_call, show_store_call};
use super::{entry_address, zone_name, SessionLink, StartSeen, Waiter, World, WorldEvent};

impl World {
    pub(super) fn break_link(&mut self, session: SessionId) {
        let Some(link) = self.links.get_mut(&session).filter(|link| link.is_up) else {
            return;
        };
        link.is_up = false;
        let (agent, agent_run, entry, entry_run) = (link.agent, link.agent_run, link.entry, link.entry_run);
        let (at, later) = (self.soon(), self.soon());
        self.push(at, WorldEvent::Entry { index: entry, run: entry_run, event: EntryEvent::SessionClosed { session } });
        let event = AgentEvent::SessionClosed { session: Some(session), address: entry_address(entry) };
        self.push(later, WorldEvent::Agent { index: agent, run: agent_run, event });
    }

    pub(super) fn execute_agent(&mut self, index: usize, action: AgentAction) {
        let run = self.agents[index].run;
        match action {
            AgentAction::Dial(address) => {
                let at = self.soon();
                self.push(at, WorldEvent::Dial { agent: index, run, address });
            }
            AgentAction::Send { session, envelope } => {
                let Some(link) = self.links.get(&session).filter(|link| link.is_up) else {
                    return;
                };
                let (entry, entry_run) = (link.entry, link.entry_run);
                self.note(show_agent_frame(&envelope.body), || format!("agent-{index} -> entry-{entry}"));
                for at in self.deliveries(session, true) {
                    let event = EntryEvent::Agent { session, frame: envelope.clone() };
                    self.push(at, WorldEvent::Entry { index: entry, run: entry_run, event });
                }
            }
            AgentAction::Close(session) => self.break_link(session),
            AgentAction::Start(order) => {
                let zone = zone_name(index);
                self.starts.push(StartSeen { key: order.key.clone(), agent: format!("agent-{index}"), zone, at: self.now });
                let run_time = Duration::from_millis(self.rng.random_range(20..900));
                let is_failed = self.rng.random_bool(0.02);
                let outcome =
                    if is_failed { TaskOutcome::Failed("failed".into()) } else { TaskOutcome::Done(format!("done {}", order.key)) };
                let event = AgentEvent::Ended { key: order.key, upstream: order.upstream, outcome, run: run_time };
                self.push(self.now + run_time, WorldEvent::Agent { index, run, event });
            }
            AgentAction::Drained => {}
        }
    }

    /// Returns when a frame on a session arrives: once and in order, or in unruly worlds not at all, twice or late.
    pub(super) fn deliveries(&mut self, session: SessionId, is_to_entry: bool) -> Vec<MonoTime> {
        let mut at = self.soon();
        if self.options.is_unruly {
            let late = self.now + Duration::from_millis(self.rng.random_range(1..1_500));
            return match self.rng.random_range(0..100) {
                0..3 => Vec::new(),
                3..10 => vec![at, late],
                10..16 => vec![late],
                _ => vec![at],
            };
        }
        if let Some(link) = self.links.get_mut(&session) {
            let last = if is_to_entry { &mut link.to_entry_at } else { &mut link.to_agent_at };
            at = at.max(*last);
            *last = at;
        }
        vec![at]
    }

    pub(super) fn execute_entry(&mut self, index: usize, actions: Vec<EntryAction>) {
        let run = self.entries[index].run;
        for action in actions {
            match action {
                EntryAction::Reply { reply, body } => self.take_reply(index, run, reply, body),
                EntryAction::PeerReply { reply, envelope } => {
                    if let Some(Waiter::Peer { entry, run, call }) = self.waiters.remove(&(index, run, reply)) {
                        self.answer_peer(entry, run, call, Some(envelope));
                    }
                }
                EntryAction::Send { session, envelope } => {
                    let Some(link) = self.links.get(&session).filter(|link| link.is_up) else {
                        continue;
                    };
                    let (agent, agent_run) = (link.agent, link.agent_run);
                    self.note(show_entry_frame(&envelope.body), || format!("entry-{index} -> agent-{agent}"));
                    for at in self.deliveries(session, false) {
                        let event = AgentEvent::Frame { session, frame: envelope.clone() };
                        self.push(at, WorldEvent::Agent { index: agent, run: agent_run, event });
                    }
                }
                EntryAction::Close { session } => self.break_link(session),
                EntryAction::CallPeer { call, address, envelope, .. } => {
                    self.note(show_peer_call(&envelope.body), || format!("entry-{index} -> {address}"));
                    self.call_peer(index, run, call, &address, envelope);
                }
                EntryAction::CallPlatform { call, op } => {
                    self.note(show_store_call(&op), || format!("entry-{index} -> store"));
                    let at = self.now + Duration::from_millis(self.rng.random_range(1..8));
                    self.push(at, WorldEvent::StoreCall { entry: index, run, call, op });
                }
                EntryAction::Log(entry) => self.logs.push(format!("{} entry-{index} {} {}", self.now, entry.event, entry.fields)),
                EntryAction::Drained => {
                    self.stop_entry(index);
                    self.push(self.now + Duration::from_secs(1), WorldEvent::StartEntry(index));
                }
            }
        }
    }

    pub(super) fn call_peer(&mut self, index: usize, run: u64, call: CallId, address: &str, envelope: Envelope<PeerCall>) {
        let target = (0..self.entries.len()).find(|target| entry_address(*target) == address);
        let target = target.filter(|target| self.entries[*target].control.is_some() && self.now >= self.peers_cut_until);
        let Some(target) = target else {
            let at = self.now + Duration::from_millis(30);
            let event = EntryEvent::PeerReplied { call, reply: None };
            return self.push(at, WorldEvent::Entry { index, run, event });
        };
        self.next += 1;
        let reply = ReplyId(self.next);
        let target_run = self.entries[target].run;
        self.waiters.insert((target, target_run, reply), Waiter::Peer { entry: index, run, call });
        let at = self.soon();
        self.push(at, WorldEvent::Entry { index: target, run: target_run, event: EntryEvent::PeerCalled { reply, call: envelope } });
    }

    pub(super) fn answer_peer(&mut self, entry: usize, run: u64, call: CallId, reply: Option<Envelope<PeerReply>>) {
        let at = self.soon();
        let reply = reply.filter(|_| self.now >= self.peers_cut_until);
        self.push(at, WorldEvent::Entry { index: entry, run, event: EntryEvent::PeerReplied { call, reply } });
    }

    pub(super) fn dial(&mut self, agent: usize, run: u64, address: SmolStr) {
        let entry = (0..self.entries.len()).find(|index| entry_address(*index) == address);
        let Some(entry) = entry.filter(|index| self.entries[*index].control.is_some()) else {
            let event = AgentEvent::SessionClosed { session: None, address };
            return self.push(self.now, WorldEvent::Agent { index: agent, run, event });
        };
        self.next += 1;
        let session = SessionId(self.next);
        let link = SessionLink {
            agent,
            entry,
            agent_run: run,
            entry_run: self.entries[entry].run,
            is_up: true,
            to_entry_at: self.now,
            to_agent_at: self.now,
        };
        self.links.insert(session, link);
        self.push(self.now, WorldEvent::Agent { index: agent, run, event: AgentEvent::SessionOpened { session, address } });
    }
}
