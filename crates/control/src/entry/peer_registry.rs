//! What an entry knows of the others: who is there, what each owns and uses, and who might adopt this one's home.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use vanillacleat_core::frames::{HomeFence, PeerGossip, WorkerUsage};
use vanillacleat_core::ids::{EntryId, HomeKey};
use vanillacleat_core::units::MonoTime;

use super::platform::EntryPresence;
use crate::CallId;

/// Time between two heartbeats to one peer.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a heartbeat from which a peer counts as lost and its home may be adopted.
pub const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after an answered heartbeat in which the peer certainly has not adopted this entry's homes.
const OWNERSHIP_LIFETIME: Duration = Duration::from_millis(4_500);
/// Longest time between two renewals of the own key after which other entries may have counted this one as gone.
const PRESENCE_GAP_MAX: Duration = Duration::from_secs(10);
/// Time after its start in which an entry adopts no home that it never heard of, so that its owner sees it come.
const ARRIVAL_WAIT: Duration = Duration::from_secs(12);

/// A `PeerView` is what this entry knows of another.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PeerView {
    pub(super) home: Option<HomeKey>,
    pub(super) is_draining: bool,
    pub(super) is_present: bool,
    #[serde(rename = "heard_at")]
    pub(super) last_received_at: Option<MonoTime>,
    pub(super) known_at: MonoTime,
    pub(super) next_at: MonoTime,
    pub(super) next_at_news: bool,
    pub(super) pending: Option<CallId>,
    pub(super) sent: VecDeque<SentGossip>,
    pub(super) heard_nonce: u64,
    pub(super) told_version: u64,
    pub(super) acked_version: u64,
    pub(super) promised_at: Option<MonoTime>,
    pub(super) owned: Vec<HomeFence>,
}

/// A `SentGossip` is a heartbeat sent to a peer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct SentGossip {
    pub(super) nonce: u64,
    pub(super) at: MonoTime,
}

impl PeerView {
    /// Notes that the peer has heard the heartbeat `nonce`, and so did not adopt this entry's homes before it was sent.
    /// Returns when that was.
    pub(super) fn record_contact(&mut self, nonce: u64) -> Option<MonoTime> {
        let sent_at = self.sent.iter().find(|sent| sent.nonce == nonce).map(|sent| sent.at);
        self.promised_at = self.promised_at.max(sent_at);
        sent_at
    }

    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            home: None,
            is_draining: false,
            is_present: false,
            last_received_at: None,
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

    pub(super) fn is_live(&self, now: MonoTime) -> bool {
        self.last_received_at.is_some_and(|at| now.since(at) < PEER_SILENCE_TIMEOUT)
    }

    /// Returns whether the peer might adopt this entry's homes: it is present, or was heard and is not known to be gone.
    pub(super) fn may_adopt(&self, now: MonoTime) -> bool {
        !self.is_draining && self.home.is_some() && (self.is_present || self.is_live(now))
    }

    pub(super) fn owns(&self, home: &HomeKey) -> bool {
        self.home.as_ref() == Some(home) || self.owned.iter().any(|fence| fence.home == *home)
    }
}

/// A `WorkerList` is what an entry run told of the agent runs that it used or may use.
#[derive(Debug, Default)]
struct WorkerList {
    version: u64,
    last_received_at: MonoTime,
    notes: Option<Vec<WorkerUsage>>,
}

/// A `PeerRegistry` holds the other entries by address.
#[derive(Debug)]
pub(super) struct PeerRegistry {
    own_address: SmolStr,
    pub(super) peers: BTreeMap<SmolStr, PeerView>,
    claims: BTreeMap<HomeKey, SmolStr>,
    lists: BTreeMap<HomeKey, WorkerList>,
    announced_at: Option<MonoTime>,
    first_announced_at: Option<MonoTime>,
}

impl PeerRegistry {
    pub(super) fn new(own_address: SmolStr, seeds: Vec<SmolStr>) -> Self {
        let others = seeds.into_iter().filter(|seed| *seed != own_address);
        let peers = others.map(|seed| (seed, PeerView::new(MonoTime::ZERO))).collect();
        Self { own_address, peers, claims: BTreeMap::new(), lists: BTreeMap::new(), announced_at: None, first_announced_at: None }
    }

    /// Takes the store's list of entries, read by a question sent at `asked_at`.
    pub(super) fn record_presences(&mut self, now: MonoTime, asked_at: MonoTime, entries: Vec<EntryPresence>) {
        let is_gapped = self.announced_at.is_none_or(|at| now.since(at) > PRESENCE_GAP_MAX);
        if is_gapped {
            // Others may have counted this entry as gone and used agents without telling it.
            self.lists.values_mut().for_each(|list| list.notes = None);
        }
        self.announced_at = Some(now);
        self.first_announced_at.get_or_insert(now);
        for peer in self.peers.values_mut() {
            peer.is_present &= peer.last_received_at.is_some_and(|at| at >= asked_at);
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
    pub(super) fn may_own(&self, home: &HomeKey, now: MonoTime, resumed_at: MonoTime) -> bool {
        let is_young = |at: MonoTime| now.since(at.max(resumed_at)) < PEER_SILENCE_TIMEOUT;
        self.peers.values().any(|peer| peer.owns(home) && is_young(peer.last_received_at.unwrap_or(peer.known_at)))
    }

    /// Returns whether this entry has been present for long enough to adopt `home`.
    pub(super) fn may_adopt(&self, home: &HomeKey, now: MonoTime) -> bool {
        let is_current = self.announced_at.is_some_and(|at| now.since(at) <= PRESENCE_GAP_MAX);
        let was_heard = self.peers.values().any(|peer| peer.owns(home) && peer.last_received_at.is_some());
        let has_arrived = self.first_announced_at.is_some_and(|at| now.since(at) >= ARRIVAL_WAIT);
        is_current && (was_heard || has_arrived)
    }

    pub(super) fn record_claim(&mut self, home: &HomeKey, address: SmolStr) {
        self.claims.insert(home.clone(), address);
    }

    pub(super) fn is_live_home(&self, home: &HomeKey, now: MonoTime) -> bool {
        self.live(now).any(|(_, peer)| peer.home.as_ref() == Some(home))
    }

    /// Returns the agent runs that the entry run `home` may have used, if it told this entry.
    pub(super) fn workers_of(&self, home: &HomeKey) -> Option<&Vec<WorkerUsage>> {
        self.lists.get(home)?.notes.as_ref()
    }

    /// Forgets what was told by entry runs whose tickets have expired since.
    pub(super) fn forget_workers(&mut self, now: MonoTime, ticket_lifetime: Duration) {
        self.lists.retain(|_, list| now.since(list.last_received_at) < ticket_lifetime * 2);
    }

    /// Takes what the entry run `home` told of its agent runs. A list older than one that was held is no news.
    pub(super) fn record_workers(&mut self, now: MonoTime, gossip: &mut PeerGossip) {
        let list = self.lists.entry(gossip.home.clone()).or_default();
        list.last_received_at = now;
        if let Some(notes) = gossip.workers.take().filter(|_| gossip.version >= list.version) {
            list.version = gossip.version;
            list.notes = Some(notes);
        }
    }

    /// Returns the version of the list that is held of the entry run `home`.
    pub(super) fn held_version(&self, home: Option<&HomeKey>) -> u64 {
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
        let mut adopters = self.peers.values().filter(|peer| peer.may_adopt(now));
        let is_promised = |peer: &PeerView| peer.promised_at.is_some_and(|at| now.since(at) < OWNERSHIP_LIFETIME);
        adopters.all(is_promised)
    }

    pub(super) fn live(&self, now: MonoTime) -> impl Iterator<Item = (&SmolStr, &PeerView)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_live(now))
    }

    pub(super) fn hand_over_target(&self, now: MonoTime) -> Option<(SmolStr, HomeKey)> {
        let mut usable = self.live(now).filter(|(_, peer)| !peer.is_draining);
        usable.find_map(|(address, peer)| peer.home.clone().map(|home| (address.clone(), home)))
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        serde_json::to_value(&self.peers).unwrap_or_default()
    }
}
