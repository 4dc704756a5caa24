//! Heartbeats and calls between entries.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::{Envelope, HomeFence, PeerCall, PeerHeartbeat, PeerReply};
use vanillacleat_core::ids::TeamName;
use vanillacleat_core::units::Revision;

use super::draining::DrainStep;
use super::peer_registry::{PeerView, SentHeartbeat, HEARTBEAT_INTERVAL};
use super::routing::TicketCall;
use super::{EntryAction, EntryControl};
use crate::{CallId, ReplyId};

/// Number of sent heartbeats kept for each peer, so that its echoes can be matched to their send times.
const SENT_HEARTBEATS_MAX: usize = 16;

impl EntryControl {
    /// Returns whether no other entry can have adopted this one's homes.
    pub(super) fn is_ownership_proven(&self) -> bool {
        self.peers.is_ownership_proven(self.now)
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_due_heartbeats(&mut self) {
        let now = self.now;
        let own = &self.address;
        let is_due = |address: &SmolStr, peer: &PeerView| {
            // Of two entries, the one with the lower address calls. The other calls only when it has an update to send or
            // receives no heartbeats.
            let is_caller = own < address || peer.last_received_at.is_none_or(|at| now.since(at) >= HEARTBEAT_INTERVAL * 4 / 3);
            now >= peer.next_heartbeat_at && peer.pending.is_none() && (is_caller || peer.has_unsent_update)
        };
        let due = self.peers.peers.iter().filter(|(address, peer)| is_due(address, peer));
        let due: Vec<SmolStr> = due.map(|(address, _)| address.clone()).collect();
        for address in due {
            self.send_heartbeat(address);
        }
    }

    /// Makes the heartbeats to all live peers due at once, because the list of agent incarnations has changed.
    pub(super) fn expedite_heartbeats(&mut self) {
        let now = self.now;
        self.peers.peers.values_mut().filter(|peer| peer.is_live(now)).for_each(|peer| {
            peer.next_heartbeat_at = peer.next_heartbeat_at.min(now);
            peer.has_unsent_update = true;
        });
    }

    fn send_heartbeat(&mut self, address: SmolStr) {
        let call = CallId(self.make_id());
        let heartbeat = self.next_heartbeat(&address);
        let peer = self.peers.peers.get_mut(&address).expect("the peer is known");
        peer.pending = Some(call);
        peer.has_unsent_update = false;
        self.counters.gossips += 1;
        self.call_peer(call, address, PeerCall::Heartbeat(heartbeat), false);
    }

    pub(super) fn call_peer(&mut self, call: CallId, address: SmolStr, body: PeerCall, forwards_job: bool) {
        let envelope = Envelope { revision: self.config.revision(), body };
        self.actions.push(EntryAction::CallPeer { call, address, envelope, forwards_job });
    }

    /// Returns the next heartbeat to the peer at `address` and records it as sent. It carries the list of agent
    /// incarnations unless the peer holds the newest one.
    fn next_heartbeat(&mut self, address: &SmolStr) -> PeerHeartbeat {
        let nonce = self.make_id();
        let (now, version) = (self.now, self.fleet.version());
        let peer = self.peers.peers.entry(address.clone()).or_insert_with(|| PeerView::new(now));
        let is_outdated = peer.acked_version < version;
        if is_outdated && peer.first_sent_version == 0 {
            peer.first_sent_version = version;
        }
        peer.sent.push_back(SentHeartbeat { nonce, at: now });
        if peer.sent.len() > SENT_HEARTBEATS_MAX {
            peer.sent.pop_front();
        }
        let (echoed_nonce, peer_home) = (peer.last_received_nonce, peer.home.clone());
        let held_version = self.peers.held_version(peer_home.as_ref());
        let own = self.home();
        let owned = self.ledger.owned_homes().filter(|(home, _)| *home != own);
        let has_quota = |team: &TeamName| self.config.value().teams.contains_key(team);
        PeerHeartbeat {
            home: own.clone(),
            zone: self.zone.clone(),
            address: self.address.clone(),
            nonce,
            echoed_nonce,
            draining: self.is_draining,
            is_settled: self.is_settled,
            version,
            held_version,
            workers: is_outdated.then(|| self.fleet.worker_usage()),
            owned: owned.map(|(home, generation)| HomeFence { home: home.clone(), generation }).collect(),
            demand: self.ledger.demand().into_iter().filter(|(team, _)| has_quota(team)).collect(),
        }
    }

    pub(super) fn handle_peer_call(&mut self, reply: ReplyId, call: Envelope<PeerCall>) {
        self.record_revision(call.revision);
        match call.body {
            PeerCall::Submit(ticket, spec) => self.serve(reply, &ticket, TicketCall::Submit(spec.into())),
            PeerCall::Query(ticket) => self.serve(reply, &ticket, TicketCall::Query),
            PeerCall::Cancel(ticket) => self.serve(reply, &ticket, TicketCall::Cancel),
            PeerCall::Config(value) => {
                self.update_config(*value);
                self.reply_to_peer(reply, PeerReply::Accepted);
            }
            PeerCall::Heartbeat(heartbeat) => {
                let address = heartbeat.address.clone();
                self.handle_heartbeat(call.revision, heartbeat);
                let body = PeerReply::Heartbeat(self.next_heartbeat(&address));
                self.reply_to_peer(reply, body);
            }
            PeerCall::Handover(handover) => self.handle_handover(reply, *handover),
        }
    }

    pub(super) fn handle_peer_reply(&mut self, call: CallId, reply: Option<Envelope<PeerReply>>) {
        if let Some(envelope) = &reply {
            self.record_revision(envelope.revision);
        }
        if let Some(parked) = self.forwarded.remove(&call) {
            return self.handle_forwarded_reply(parked, reply.map(|envelope| envelope.body));
        }
        if self.drain_step == DrainStep::HandingOver(call) {
            return self.finish_drain();
        }
        let now = self.now;
        if let Some(address) = self.config_calls.remove(&call) {
            return self.record_config_held(&address, reply.map(|envelope| envelope.revision));
        }
        let Some((_, peer)) = self.peers.peers.iter_mut().find(|(_, peer)| peer.pending == Some(call)) else {
            return;
        };
        peer.pending = None;
        peer.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        if let Some(Envelope { revision, body: PeerReply::Heartbeat(heartbeat) }) = reply {
            self.handle_heartbeat(revision, heartbeat);
        }
    }

    fn handle_heartbeat(&mut self, revision: Revision, mut heartbeat: PeerHeartbeat) {
        let now = self.now;
        let name = heartbeat.home.entry.clone();
        let is_new_incarnation = self.peers.peers.get(&heartbeat.address).is_some_and(|peer| peer.home.as_ref() != Some(&heartbeat.home));
        if is_new_incarnation {
            self.witnesses.remove(name.as_str());
        }
        let peer = self.peers.peers.entry(heartbeat.address.clone()).or_insert_with(|| PeerView::new(now));
        if is_new_incarnation {
            // A new incarnation holds nothing of what was sent to the earlier one.
            (peer.first_sent_version, peer.acked_version, peer.ownership_proved_at) = (0, 0, None);
            peer.sent.clear();
        }
        let requested_at = peer.record_echo(heartbeat.echoed_nonce);
        peer.last_received_nonce = heartbeat.nonce;
        self.witnesses.record(now, name.as_str(), &heartbeat.zone, revision, requested_at.filter(|_| heartbeat.is_settled));
        if revision < self.config.revision() {
            self.send_config_to(heartbeat.address.clone());
        }
        for fence in &heartbeat.owned {
            let is_lost = self.ledger.generation(&fence.home).is_some_and(|generation| generation < fence.generation);
            if is_lost {
                self.relinquish_home(&fence.home);
            }
        }
        self.teams.record_demand(&name, &heartbeat.demand);
        let peer = self.peers.peers.entry(heartbeat.address.clone()).or_insert_with(|| PeerView::new(now));
        if peer.acked_version > 0 && heartbeat.held_version == 0 {
            peer.first_sent_version = 0;
        }
        peer.acked_version = heartbeat.held_version;
        if peer.acked_version < self.fleet.version() {
            (peer.next_heartbeat_at, peer.has_unsent_update) = (now, true);
        }
        peer.home = Some(heartbeat.home.clone());
        peer.is_draining = heartbeat.draining;
        peer.last_received_at = Some(now);
        peer.owned = std::mem::take(&mut heartbeat.owned);
        self.peers.record_workers(now, &mut heartbeat);
        self.remove_silent_demand();
    }

    /// Removes the demand of silent peers, so that their share of the team quotas falls to the live entries.
    fn remove_silent_demand(&mut self) {
        let now = self.now;
        let silent = self.peers.peers.values().filter(|peer| !peer.is_live(now)).filter_map(|peer| peer.home.as_ref());
        silent.for_each(|home| self.teams.remove_peer(&home.entry));
    }

    /// Sends the configuration to the live peers whose names are in `missing`.
    pub(super) fn send_config_to_peers(&mut self, missing: &BTreeSet<SmolStr>) {
        let now = self.now;
        let is_outdated = |peer: &PeerView| peer.home.as_ref().is_some_and(|home| missing.contains(home.entry.as_str()));
        let behind = self.peers.live(now).filter(|(_, peer)| is_outdated(peer));
        let addresses: Vec<SmolStr> = behind.map(|(address, _)| address.clone()).collect();
        addresses.into_iter().for_each(|address| self.send_config_to(address));
    }

    fn send_config_to(&mut self, address: SmolStr) {
        let call = CallId(self.make_id());
        let value: Box<ConfigValue> = Box::new(self.config.value().clone());
        self.counters.configs += 1;
        self.config_calls.insert(call, address.clone());
        self.call_peer(call, address, PeerCall::Config(value), false);
    }

    /// Records the revision with which the peer at `address` answered after it received the configuration.
    fn record_config_held(&mut self, address: &SmolStr, revision: Option<Revision>) {
        let home = self.peers.peers.get(address).and_then(|peer| peer.home.as_ref());
        if let (Some(home), Some(revision)) = (home, revision) {
            self.witnesses.record_revision(home.entry.as_str(), revision);
            self.advance_changes();
        }
    }
}
