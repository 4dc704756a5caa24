//! The other entries: heartbeats, what each owns and uses, and the hand-over when this entry leaves.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::{Envelope, HandedAnswer, HomeFence, HomeHandover, PeerCall, PeerGossip, PeerReply, WorkerNote};
use vanillacleat_core::ids::{EntryId, HomeKey, TeamName};
use vanillacleat_core::outcome::{CallRefusal, JobAnswer, RefusalCode};
use vanillacleat_core::units::{MonoTime, Revision};

use super::platform::{EntryPresence, HomeClaim, PendingOp, PlatformOp, PlatformReply, StoreVersion};
use super::routing::TicketCall;
use super::{EntryAction, EntryControl};
use crate::{CallId, ReplyId};

/// Time between two heartbeats to one peer.
pub const GOSSIP_PERIOD: Duration = Duration::from_secs(2);
/// Time without a heartbeat from which a peer counts as lost and its home may be adopted.
pub const PEER_SILENCE_MAX: Duration = Duration::from_secs(5);
/// Time after an answered heartbeat in which the peer certainly has not adopted this entry's homes.
const OWNERSHIP_LIFETIME: Duration = Duration::from_millis(4_500);
/// Bytes of answers in one hand-over.
const HANDED_BYTES_MAX: usize = 4_000_000;
/// Heartbeats whose echo is awaited, for each peer.
const SENT_KEPT: usize = 16;
/// Longest time between two renewals of the own key after which other entries may have counted this one as gone.
const PRESENCE_GAP_MAX: Duration = Duration::from_secs(10);
/// Time after its start in which an entry adopts no home that it never heard of, so that its owner sees it come.
const ARRIVAL_WAIT: Duration = Duration::from_secs(12);

/// A `PeerView` is what this entry knows of another.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PeerView {
    home: Option<HomeKey>,
    is_draining: bool,
    is_present: bool,
    heard_at: Option<MonoTime>,
    known_at: MonoTime,
    next_at: MonoTime,
    next_at_news: bool,
    pending: Option<CallId>,
    sent: VecDeque<SentGossip>,
    heard_nonce: u64,
    told_version: u64,
    acked_version: u64,
    promised_at: Option<MonoTime>,
    owned: Vec<HomeFence>,
}

/// A `SentGossip` is a heartbeat sent to a peer.
#[derive(Clone, Copy, Debug, Serialize)]
struct SentGossip {
    nonce: u64,
    at: MonoTime,
}

impl PeerView {
    /// Notes that the peer has heard the heartbeat `nonce`, and so did not adopt this entry's homes before it was sent.
    fn note_heard(&mut self, nonce: u64) {
        let Some(sent) = self.sent.iter().find(|sent| sent.nonce == nonce) else {
            return;
        };
        self.promised_at = self.promised_at.max(Some(sent.at));
    }

    fn new(now: MonoTime) -> Self {
        Self {
            home: None,
            is_draining: false,
            is_present: false,
            heard_at: None,
            known_at: now,
            next_at: now,
            next_at_news: false,
            pending: None,
            sent: VecDeque::new(),
            heard_nonce: 0,
            told_version: 0,
            acked_version: 0,
            promised_at: None,
            owned: Vec::new(),
        }
    }

    fn is_live(&self, now: MonoTime) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < PEER_SILENCE_MAX)
    }

    /// Returns whether the peer might adopt this entry's homes: it is present, or was heard and is not known to be gone.
    fn may_adopt(&self, now: MonoTime) -> bool {
        !self.is_draining && self.home.is_some() && (self.is_present || self.is_live(now))
    }

    fn owns(&self, home: &HomeKey) -> bool {
        self.home.as_ref() == Some(home) || self.owned.iter().any(|fence| fence.home == *home)
    }
}

/// A `WorkerList` is what an entry run told of the agent runs that it used or may use.
#[derive(Debug, Default)]
struct WorkerList {
    version: u64,
    heard_at: MonoTime,
    notes: Option<Vec<WorkerNote>>,
}

/// A `PeerBook` holds the other entries by address.
#[derive(Debug)]
pub(super) struct PeerBook {
    own_address: SmolStr,
    peers: BTreeMap<SmolStr, PeerView>,
    claims: BTreeMap<HomeKey, SmolStr>,
    lists: BTreeMap<HomeKey, WorkerList>,
    announced_at: Option<MonoTime>,
    first_announced_at: Option<MonoTime>,
}

impl PeerBook {
    pub(super) fn new(own_address: SmolStr, seeds: Vec<SmolStr>) -> Self {
        let others = seeds.into_iter().filter(|seed| *seed != own_address);
        let peers = others.map(|seed| (seed, PeerView::new(MonoTime::ZERO))).collect();
        Self { own_address, peers, claims: BTreeMap::new(), lists: BTreeMap::new(), announced_at: None, first_announced_at: None }
    }

    /// Takes the store's list of entries, read by a question sent at `asked_at`.
    pub(super) fn note_presences(&mut self, now: MonoTime, asked_at: MonoTime, entries: Vec<EntryPresence>) {
        let is_gapped = self.announced_at.is_none_or(|at| now.since(at) > PRESENCE_GAP_MAX);
        if is_gapped {
            // Others may have counted this entry as gone and used agents without telling it.
            self.lists.values_mut().for_each(|list| list.notes = None);
        }
        self.announced_at = Some(now);
        self.first_announced_at.get_or_insert(now);
        for peer in self.peers.values_mut() {
            peer.is_present &= peer.heard_at.is_some_and(|at| at >= asked_at);
        }
        for presence in entries.into_iter().filter(|presence| presence.address != self.own_address) {
            let peer = self.peers.entry(presence.address).or_insert_with(|| PeerView::new(now));
            peer.is_present = true;
            peer.home.get_or_insert(presence.home);
        }
    }

    /// Returns the own place among the live entries in order of their names, and their number.
    pub(super) fn rank(&self, own: &EntryId, now: MonoTime) -> (usize, usize) {
        let live = self.live(now).filter_map(|(_, peer)| peer.home.as_ref());
        let (before, count) = live.fold((0, 1), |(before, count), home| (before + usize::from(home.entry < *own), count + 1));
        (before, count)
    }

    pub(super) fn live_count(&self, now: MonoTime) -> usize {
        self.live(now).count()
    }

    pub(super) fn addresses(&self, now: MonoTime) -> Vec<SmolStr> {
        let usable = self.peers.iter().filter(|(_, peer)| peer.is_present || peer.is_live(now));
        usable.map(|(address, _)| address.clone()).collect()
    }

    /// Returns where the live owner of `home` listens.
    pub(super) fn owner_address(&self, home: &HomeKey, now: MonoTime) -> Option<SmolStr> {
        let owner = self.live(now).find(|(_, peer)| peer.owns(home)).map(|(address, _)| address.clone());
        let claimed = || self.claims.get(home).filter(|address| self.peers.get(*address).is_some_and(|peer| peer.is_live(now)));
        owner.or_else(|| claimed().cloned())
    }

    /// Returns whether a peer that has not been silent for long enough may own `home`.
    pub(super) fn may_own(&self, home: &HomeKey, now: MonoTime, awake_at: MonoTime) -> bool {
        let is_young = |at: MonoTime| now.since(at.max(awake_at)) < PEER_SILENCE_MAX;
        self.peers.values().any(|peer| peer.owns(home) && is_young(peer.heard_at.unwrap_or(peer.known_at)))
    }

    /// Returns whether this entry has been present for long enough to adopt `home`.
    pub(super) fn may_adopt(&self, home: &HomeKey, now: MonoTime) -> bool {
        let is_current = self.announced_at.is_some_and(|at| now.since(at) <= PRESENCE_GAP_MAX);
        let was_heard = self.peers.values().any(|peer| peer.owns(home) && peer.heard_at.is_some());
        let has_arrived = self.first_announced_at.is_some_and(|at| now.since(at) >= ARRIVAL_WAIT);
        is_current && (was_heard || has_arrived)
    }

    pub(super) fn note_claim(&mut self, home: &HomeKey, address: SmolStr) {
        self.claims.insert(home.clone(), address);
    }

    pub(super) fn is_live_home(&self, home: &HomeKey, now: MonoTime) -> bool {
        self.live(now).any(|(_, peer)| peer.home.as_ref() == Some(home))
    }

    /// Returns the agent runs that the entry run `home` may have used, if it told this entry.
    pub(super) fn workers_of(&self, home: &HomeKey) -> Option<&Vec<WorkerNote>> {
        self.lists.get(home)?.notes.as_ref()
    }

    /// Forgets what was told by entry runs whose tickets have expired since.
    pub(super) fn forget_workers(&mut self, now: MonoTime, ticket_lifetime: Duration) {
        self.lists.retain(|_, list| now.since(list.heard_at) < ticket_lifetime * 2);
    }

    /// Takes what the entry run `home` told of its agent runs. A list older than one that was held is no news.
    fn note_workers(&mut self, now: MonoTime, gossip: &mut PeerGossip) {
        let list = self.lists.entry(gossip.home.clone()).or_default();
        list.heard_at = now;
        if let Some(notes) = gossip.workers.take().filter(|_| gossip.version >= list.version) {
            list.version = gossip.version;
            list.notes = Some(notes);
        }
    }

    /// Returns the version of the list that is held of the entry run `home`.
    fn held_version(&self, home: Option<&HomeKey>) -> u64 {
        let list = home.and_then(|home| self.lists.get(home));
        list.filter(|list| list.notes.is_some()).map_or(0, |list| list.version)
    }

    /// Returns the newest fleet version of which every possible adopter has been told.
    pub(super) fn announced_version(&self, now: MonoTime, version: u64) -> u64 {
        let told = self.peers.values().filter(|peer| peer.may_adopt(now) && peer.told_version > 0);
        let limits = told.map(|peer| if peer.acked_version > 0 { peer.acked_version } else { peer.told_version });
        limits.min().unwrap_or(version).min(version)
    }

    /// Returns whether no other entry can have adopted this one's homes.
    pub(super) fn is_ownership_proven(&self, now: MonoTime) -> bool {
        let adopters = self.peers.values().filter(|peer| peer.may_adopt(now));
        let is_promised = |peer: &PeerView| peer.promised_at.is_some_and(|at| now.since(at) < OWNERSHIP_LIFETIME);
        adopters.into_iter().all(is_promised)
    }

    fn live(&self, now: MonoTime) -> impl Iterator<Item = (&SmolStr, &PeerView)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_live(now))
    }

    fn hand_over_target(&self, now: MonoTime) -> Option<(SmolStr, HomeKey)> {
        let mut usable = self.live(now).filter(|(_, peer)| !peer.is_draining);
        usable.find_map(|(address, peer)| peer.home.clone().map(|home| (address.clone(), home)))
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        serde_json::to_value(&self.peers).unwrap_or_default()
    }
}

/// Drops the texts of the oldest answers beyond what one frame carries; that the jobs were answered is still handed over.
fn bound_answers(mut answers: Vec<HandedAnswer>) -> Vec<HandedAnswer> {
    let mut bytes = 0;
    for handed in answers.iter_mut().rev() {
        bytes += handed.answer.as_ref().map_or(0, JobAnswer::text_bytes);
        if bytes > HANDED_BYTES_MAX {
            handed.answer = None;
        }
    }
    answers
}

/// How far a leaving entry is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) enum DrainStep {
    Working,
    Finishing,
    Claiming { address: SmolStr, fence: HomeFence },
    Handing(CallId),
    Done,
}

impl EntryControl {
    /// Returns whether no other entry can have adopted this one's homes.
    pub(super) fn is_proven(&self) -> bool {
        self.peers.is_ownership_proven(self.now)
    }

    pub(super) fn call_peers(&mut self) {
        let now = self.now;
        let own = &self.address;
        let is_due = |address: &SmolStr, peer: &PeerView| {
            // One of two entries calls; the other calls only when it has news or hears nothing.
            let is_caller = own < address || peer.heard_at.is_none_or(|at| now.since(at) >= GOSSIP_PERIOD * 4 / 3);
            now >= peer.next_at && peer.pending.is_none() && (is_caller || peer.next_at_news)
        };
        let due = self.peers.peers.iter().filter(|(address, peer)| is_due(address, peer));
        let due: Vec<SmolStr> = due.map(|(address, _)| address.clone()).collect();
        for address in due {
            self.call_peer_gossip(address);
        }
    }

    /// Tells the peers at the next tick, since the list of agent runs has changed.
    pub(super) fn hurry_gossip(&mut self) {
        let now = self.now;
        self.peers.peers.values_mut().filter(|peer| peer.is_live(now)).for_each(|peer| {
            peer.next_at = peer.next_at.min(now);
            peer.next_at_news = true;
        });
    }

    fn call_peer_gossip(&mut self, address: SmolStr) {
        let call = CallId(self.make_id());
        let gossip = self.make_gossip(&address);
        let peer = self.peers.peers.get_mut(&address).expect("the peer is known");
        peer.pending = Some(call);
        peer.next_at_news = false;
        self.counters.gossips += 1;
        self.call_peer(call, address, PeerCall::Gossip(gossip), false);
    }

    fn call_peer(&mut self, call: CallId, address: SmolStr, body: PeerCall, is_long: bool) {
        let envelope = Envelope { revision: self.config.revision(), body };
        self.actions.push(EntryAction::CallPeer { call, address, envelope, is_long });
    }

    /// Returns the next heartbeat to the peer at `address`, with the list of agent runs unless it has heard the newest.
    fn make_gossip(&mut self, address: &SmolStr) -> PeerGossip {
        let nonce = self.make_id();
        let (now, version) = (self.now, self.fleet.version());
        let peer = self.peers.peers.entry(address.clone()).or_insert_with(|| PeerView::new(now));
        let is_news = peer.acked_version < version;
        if is_news && peer.told_version == 0 {
            peer.told_version = version;
        }
        peer.sent.push_back(SentGossip { nonce, at: now });
        if peer.sent.len() > SENT_KEPT {
            peer.sent.pop_front();
        }
        let (echoed, peer_home) = (peer.heard_nonce, peer.home.clone());
        let holds = self.peers.held_version(peer_home.as_ref());
        let own = self.home();
        let owned = self.ledger.owned_homes().filter(|(home, _)| *home != own);
        let has_quota = |team: &TeamName| self.config.value().teams.contains_key(team);
        PeerGossip {
            home: own.clone(),
            zone: self.zone.clone(),
            address: self.address.clone(),
            nonce,
            echoed,
            draining: self.is_draining,
            is_settled: self.is_settled,
            version,
            holds,
            workers: is_news.then(|| self.fleet.worker_notes()),
            owned: owned.map(|(home, generation)| HomeFence { home: home.clone(), generation }).collect(),
            demand: self.ledger.demand().into_iter().filter(|(team, _)| has_quota(team)).collect(),
        }
    }

    pub(super) fn take_peer_call(&mut self, reply: ReplyId, call: Envelope<PeerCall>) {
        self.hear_revision(call.revision);
        match call.body {
            PeerCall::Submit(ticket, spec) => self.serve(reply, &ticket, TicketCall::Submit(spec.into())),
            PeerCall::Query(ticket) => self.serve(reply, &ticket, TicketCall::Query),
            PeerCall::Cancel(ticket) => self.serve(reply, &ticket, TicketCall::Cancel),
            PeerCall::Config(value) => {
                self.offer_config(*value);
                self.reply_to_peer(reply, PeerReply::Accepted);
            }
            PeerCall::Gossip(gossip) => {
                let address = gossip.address.clone();
                self.take_gossip(call.revision, gossip);
                let body = PeerReply::Gossip(self.make_gossip(&address));
                self.reply_to_peer(reply, body);
            }
            PeerCall::Handover(handover) => self.take_handover(reply, *handover),
        }
    }

    pub(super) fn take_peer_reply(&mut self, call: CallId, reply: Option<Envelope<PeerReply>>) {
        if let Some(envelope) = &reply {
            self.hear_revision(envelope.revision);
        }
        if let Some(parked) = self.forwarded.remove(&call) {
            return self.take_forwarded(parked, reply.map(|envelope| envelope.body));
        }
        if self.drain_step == DrainStep::Handing(call) {
            return self.finish_drain();
        }
        let now = self.now;
        let Some((_, peer)) = self.peers.peers.iter_mut().find(|(_, peer)| peer.pending == Some(call)) else {
            return;
        };
        peer.pending = None;
        peer.next_at = now + GOSSIP_PERIOD;
        if let Some(Envelope { revision, body: PeerReply::Gossip(gossip) }) = reply {
            self.take_gossip(revision, gossip);
        }
    }

    fn take_gossip(&mut self, revision: Revision, mut gossip: PeerGossip) {
        let now = self.now;
        let name = gossip.home.entry.clone();
        let is_new_run = self.peers.peers.get(&gossip.address).is_some_and(|peer| peer.home.as_ref() != Some(&gossip.home));
        if is_new_run {
            self.witnesses.forget(name.as_str());
        }
        let peer = self.peers.peers.entry(gossip.address.clone()).or_insert_with(|| PeerView::new(now));
        if is_new_run {
            // A new run knows nothing of what was told to the earlier one.
            (peer.told_version, peer.acked_version, peer.promised_at) = (0, 0, None);
            peer.sent.clear();
        }
        peer.note_heard(gossip.echoed);
        peer.heard_nonce = gossip.nonce;
        let asked_at = peer.sent.iter().find(|sent| sent.nonce == gossip.echoed).map(|sent| sent.at);
        self.witnesses.note(now, name.as_str(), &gossip.zone, revision, asked_at.filter(|_| gossip.is_settled));
        if revision < self.config.revision() {
            self.send_config_to(gossip.address.clone());
        }
        for fence in &gossip.owned {
            let is_lost = self.ledger.generation(&fence.home).is_some_and(|generation| generation < fence.generation);
            if is_lost {
                self.lose_home(&fence.home);
            }
        }
        self.teams.note_demand(&name, &gossip.demand);
        let peer = self.peers.peers.entry(gossip.address.clone()).or_insert_with(|| PeerView::new(now));
        if peer.acked_version > 0 && gossip.holds == 0 {
            peer.told_version = 0;
        }
        peer.acked_version = gossip.holds;
        if peer.acked_version < self.fleet.version() {
            (peer.next_at, peer.next_at_news) = (now, true);
        }
        peer.home = Some(gossip.home.clone());
        peer.is_draining = gossip.draining;
        peer.heard_at = Some(now);
        peer.owned = std::mem::take(&mut gossip.owned);
        self.peers.note_workers(now, &mut gossip);
        self.forget_silent_demand();
    }

    fn forget_silent_demand(&mut self) {
        let now = self.now;
        let silent = self.peers.peers.values().filter(|peer| !peer.is_live(now)).filter_map(|peer| peer.home.as_ref());
        silent.for_each(|home| self.teams.forget_peer(&home.entry));
    }

    pub(super) fn send_config_to_peers(&mut self) {
        let now = self.now;
        let addresses: Vec<SmolStr> = self.peers.live(now).map(|(address, _)| address.clone()).collect();
        addresses.into_iter().for_each(|address| self.send_config_to(address));
    }

    fn send_config_to(&mut self, address: SmolStr) {
        let call = CallId(self.make_id());
        let value: Box<ConfigValue> = Box::new(self.config.value().clone());
        self.counters.configs += 1;
        self.call_peer(call, address, PeerCall::Config(value), false);
    }

    pub(super) fn start_drain(&mut self) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        self.drain_step = DrainStep::Finishing;
        self.log("drain_started", format!("open_jobs={}", self.ledger.open_jobs()));
        for peer in self.peers.peers.values_mut() {
            peer.next_at = self.now;
        }
    }

    pub(super) fn advance_drain(&mut self) {
        let is_idle = self.ledger.open_jobs() == 0 && self.requests.is_empty() && self.changes.is_empty();
        if self.drain_step != DrainStep::Finishing || !is_idle || !self.forwarded.is_empty() || !self.parked.is_empty() {
            return;
        }
        let home = self.home().clone();
        let (Some((address, owner)), Some(generation)) = (self.peers.hand_over_target(self.now), self.ledger.generation(&home)) else {
            return self.finish_drain();
        };
        let generation = generation.next();
        let claim = HomeClaim { owner, address: address.clone(), generation };
        self.drain_step = DrainStep::Claiming { address, fence: HomeFence { home: home.clone(), generation } };
        self.call_platform(PlatformOp::WriteClaim(home, StoreVersion(0), claim), PendingOp::Handover);
    }

    /// Hands the home over once the claim is stored; without it the peer can't be its owner for the others.
    pub(super) fn take_handover_reply(&mut self, reply: PlatformReply) {
        let DrainStep::Claiming { address, fence } = self.drain_step.clone() else {
            return;
        };
        if reply != PlatformReply::Written {
            self.log("handover_failed", format!("home={}", fence.home));
            return self.finish_drain();
        }
        let expired_below = self.mint.expired_below(self.now);
        let answers = bound_answers(self.ledger.handed_answers(&fence.home));
        let handover = HomeHandover { fence, next_serial: self.mint.next_serial(), expired_below, answers };
        self.ledger.fence(&handover.fence.home);
        let call = CallId(self.make_id());
        self.drain_step = DrainStep::Handing(call);
        self.call_peer(call, address, PeerCall::Handover(Box::new(handover)), true);
    }

    fn finish_drain(&mut self) {
        self.drain_step = DrainStep::Done;
        self.log("drain_finished", format!("home={}", self.home()));
        self.actions.push(EntryAction::Drained);
    }

    fn take_handover(&mut self, reply: ReplyId, handover: HomeHandover) {
        if self.is_draining {
            let refusal = CallRefusal::new(RefusalCode::Draining, "the entry is draining");
            return self.reply_to_peer(reply, PeerReply::Refused(refusal));
        }
        let HomeHandover { fence, expired_below, answers, .. } = handover;
        self.log("home_taken_over", format!("home={} generation={} answers={}", fence.home, fence.generation, answers.len()));
        self.ledger.take_over(fence.home.clone(), fence.generation, expired_below, answers);
        self.keep_until_expired(fence.home.clone());
        self.fence_agents(&fence);
        self.reply_to_peer(reply, PeerReply::Accepted);
        self.wake_parked(&fence.home);
    }
}
