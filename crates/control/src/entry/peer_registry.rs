//! An entry's registry of the other entries: which are live, which homes they own, which agent incarnations they use,
//! and which of them may adopt this entry's homes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use vanillacleat_core::frames::{HomeFence, PeerHeartbeat, WorkerUsage};
use vanillacleat_core::ids::{EntryId, HomeKey};
use vanillacleat_core::units::MonoTime;

use super::platform::EntryPresence;
use crate::CallId;

/// Interval of the heartbeats to one peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which a peer is considered lost and its home may be adopted.
pub const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an echoed heartbeat, counted from its sending, proves that the peer has not adopted this entry's homes.
/// It is below [`PEER_SILENCE_TIMEOUT`], because the peer waits for that timeout after it has received the heartbeat.
const OWNERSHIP_LIFETIME: Duration = Duration::from_millis(4_500);
/// Maximum time between two renewals of this entry's own key. After a longer gap, other entries may have considered this
/// one lost.
const PRESENCE_GAP_MAX: Duration = Duration::from_secs(10);
/// Time that an entry waits after its first announcement before it adopts a home whose owner has never sent it a
/// heartbeat. A live owner thus has time to learn of this entry.
const ADOPTION_STARTUP_DELAY: Duration = Duration::from_secs(12);

/// Holds the state of another entry as this one knows it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PeerView {
    pub(super) home: Option<HomeKey>,
    pub(super) is_draining: bool,
    /// Whether the store's last list of entries contains the peer. A peer missing from a new list stays present if it sent a
    /// heartbeat after the list was requested.
    pub(super) is_present: bool,
    #[serde(rename = "heard_at")]
    pub(super) last_received_at: Option<MonoTime>,
    /// When the peer was added to the registry.
    pub(super) known_at: MonoTime,
    #[serde(rename = "next_at")]
    pub(super) next_heartbeat_at: MonoTime,
    /// Whether the next heartbeat carries a list of agent incarnations that the peer does not hold. Such a heartbeat is
    /// sent even if the peer is the one that usually calls.
    #[serde(rename = "next_at_news")]
    pub(super) has_unsent_update: bool,
    /// The heartbeat call that the peer has not answered.
    pub(super) pending: Option<CallId>,
    /// The last heartbeats sent to the peer, oldest first.
    pub(super) sent: VecDeque<SentHeartbeat>,
    #[serde(rename = "heard_nonce")]
    pub(super) last_received_nonce: u64,
    /// The version of the first list of agent incarnations that was sent to this incarnation of the peer, or that was sent
    /// since it lost the list it held; zero if none was sent.
    #[serde(rename = "told_version")]
    pub(super) first_sent_version: u64,
    /// The version of the list of agent incarnations that the peer holds; zero if it holds none.
    pub(super) acked_version: u64,
    /// The latest time before which the peer has provably not adopted this entry's homes.
    #[serde(rename = "promised_at")]
    pub(super) ownership_proved_at: Option<MonoTime>,
    /// The homes that the peer owns besides that of its own incarnation.
    pub(super) owned: Vec<HomeFence>,
}

/// Holds the nonce and the send time of a heartbeat sent to a peer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct SentHeartbeat {
    pub(super) nonce: u64,
    pub(super) at: MonoTime,
}

impl PeerView {
    /// Records that the peer echoed the heartbeat `nonce`, and so had not adopted this entry's homes before it was sent.
    /// Returns when the heartbeat was sent.
    pub(super) fn record_echo(&mut self, nonce: u64) -> Option<MonoTime> {
        let sent_at = self.sent.iter().find(|sent| sent.nonce == nonce).map(|sent| sent.at);
        self.ownership_proved_at = self.ownership_proved_at.max(sent_at);
        sent_at
    }

    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            home: None,
            is_draining: false,
            is_present: false,
            last_received_at: None,
            known_at: now,
            next_heartbeat_at: now,
            has_unsent_update: false,
            pending: None,
            sent: VecDeque::new(),
            last_received_nonce: 0,
            first_sent_version: 0,
            acked_version: 0,
            ownership_proved_at: None,
            owned: Vec::new(),
        }
    }

    pub(super) fn is_live(&self, now: MonoTime) -> bool {
        self.last_received_at.is_some_and(|at| now.since(at) < PEER_SILENCE_TIMEOUT)
    }

    /// Returns whether the peer may adopt this entry's homes: it is not draining, and the store lists it or its heartbeats
    /// are received.
    pub(super) fn may_adopt(&self, now: MonoTime) -> bool {
        !self.is_draining && self.home.is_some() && (self.is_present || self.is_live(now))
    }

    pub(super) fn owns(&self, home: &HomeKey) -> bool {
        self.home.as_ref() == Some(home) || self.owned.iter().any(|fence| fence.home == *home)
    }
}

/// Holds the agent incarnations that an entry incarnation may have used or may still use, as it reported them.
#[derive(Debug, Default)]
struct WorkerList {
    version: u64,
    last_received_at: MonoTime,
    /// The agent incarnations; absent if no list was received or the received one may be out of date.
    workers: Option<Vec<WorkerUsage>>,
}

/// Holds the other entries by address.
#[derive(Debug)]
pub(super) struct PeerRegistry {
    own_address: SmolStr,
    pub(super) peers: BTreeMap<SmolStr, PeerView>,
    /// The addresses of the owners of adopted homes, read from the store.
    claims: BTreeMap<HomeKey, SmolStr>,
    /// The agent incarnations used by each entry incarnation. A list is kept after the entry incarnation is lost,
    /// because the adoption of its home needs it.
    worker_lists: BTreeMap<HomeKey, WorkerList>,
    /// When this entry's own key was last renewed.
    announced_at: Option<MonoTime>,
    first_announced_at: Option<MonoTime>,
}

impl PeerRegistry {
    pub(super) fn new(own_address: SmolStr, seeds: Vec<SmolStr>) -> Self {
        let others = seeds.into_iter().filter(|seed| *seed != own_address);
        let peers = others.map(|seed| (seed, PeerView::new(MonoTime::ZERO))).collect();
        Self { own_address, peers, claims: BTreeMap::new(), worker_lists: BTreeMap::new(), announced_at: None, first_announced_at: None }
    }

    /// Records the store's list of entries, read by a call made at `requested_at`.
    pub(super) fn record_presences(&mut self, now: MonoTime, requested_at: MonoTime, entries: Vec<EntryPresence>) {
        let had_gap = self.announced_at.is_none_or(|at| now.since(at) > PRESENCE_GAP_MAX);
        if had_gap {
            // Other entries may have considered this one lost and used agents without reporting them to it.
            self.worker_lists.values_mut().for_each(|list| list.workers = None);
        }
        self.announced_at = Some(now);
        self.first_announced_at.get_or_insert(now);
        for peer in self.peers.values_mut() {
            peer.is_present &= peer.last_received_at.is_some_and(|at| at >= requested_at);
        }
        for presence in entries.into_iter().filter(|presence| presence.address != self.own_address) {
            let peer = self.peers.entry(presence.address).or_insert_with(|| PeerView::new(now));
            peer.is_present = true;
            peer.home.get_or_insert(presence.home);
        }
    }

    /// Returns the position of the entry `own` among the live entries, ordered by name, and their number.
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

    /// Returns the address of the live owner of `home`.
    pub(super) fn owner_address(&self, home: &HomeKey, now: MonoTime) -> Option<SmolStr> {
        let owner = self.live(now).find(|(_, peer)| peer.owns(home)).map(|(address, _)| address.clone());
        let claimed = || self.claims.get(home).filter(|address| self.peers.get(*address).is_some_and(|peer| peer.is_live(now)));
        owner.or_else(|| claimed().cloned())
    }

    /// Returns whether `home` may be owned by a peer that has not been silent for long enough to be considered lost.
    pub(super) fn may_own(&self, home: &HomeKey, now: MonoTime, resumed_at: MonoTime) -> bool {
        let is_recent = |at: MonoTime| now.since(at.max(resumed_at)) < PEER_SILENCE_TIMEOUT;
        self.peers.values().any(|peer| peer.owns(home) && is_recent(peer.last_received_at.unwrap_or(peer.known_at)))
    }

    /// Returns whether this entry may adopt `home`: its own key was renewed in time, and either it has received a heartbeat
    /// from the owner or [`ADOPTION_STARTUP_DELAY`] has passed.
    pub(super) fn may_adopt(&self, home: &HomeKey, now: MonoTime) -> bool {
        let is_current = self.announced_at.is_some_and(|at| now.since(at) <= PRESENCE_GAP_MAX);
        let had_contact = self.peers.values().any(|peer| peer.owns(home) && peer.last_received_at.is_some());
        let is_delay_over = self.first_announced_at.is_some_and(|at| now.since(at) >= ADOPTION_STARTUP_DELAY);
        is_current && (had_contact || is_delay_over)
    }

    /// Records the address of the entry that claimed `home` in the store.
    pub(super) fn record_claim(&mut self, home: &HomeKey, address: SmolStr) {
        self.claims.insert(home.clone(), address);
    }

    pub(super) fn is_live_home(&self, home: &HomeKey, now: MonoTime) -> bool {
        self.live(now).any(|(_, peer)| peer.home.as_ref() == Some(home))
    }

    /// Returns the agent incarnations that the entry incarnation `home` may have used, if it reported them to this
    /// entry.
    pub(super) fn workers_of(&self, home: &HomeKey) -> Option<&Vec<WorkerUsage>> {
        self.worker_lists.get(home)?.workers.as_ref()
    }

    /// Removes the lists of entry incarnations that have been silent for so long that all their tickets have expired.
    pub(super) fn remove_expired_lists(&mut self, now: MonoTime, ticket_lifetime: Duration) {
        self.worker_lists.retain(|_, list| now.since(list.last_received_at) < ticket_lifetime * 2);
    }

    /// Records the agent incarnations in a heartbeat's list. Ignores a list that is older than one received before.
    pub(super) fn record_workers(&mut self, now: MonoTime, heartbeat: &mut PeerHeartbeat) {
        let list = self.worker_lists.entry(heartbeat.home.clone()).or_default();
        list.last_received_at = now;
        if let Some(usages) = heartbeat.workers.take().filter(|_| heartbeat.version >= list.version) {
            list.version = heartbeat.version;
            list.workers = Some(usages);
        }
    }

    /// Returns the version of the list held for the entry incarnation `home`; zero if none is held.
    pub(super) fn held_version(&self, home: Option<&HomeKey>) -> u64 {
        let list = home.and_then(|home| self.worker_lists.get(home));
        list.filter(|list| list.workers.is_some()).map_or(0, |list| list.version)
    }

    /// Returns the newest fleet version whose agent incarnations may receive tasks. No possible adopter of this entry's
    /// homes holds a list of agent incarnations that is older.
    ///
    /// An adopter without a list cannot prove of any task that it never started, so it is safe to ignore. A peer that has
    /// acknowledged no list may hold the first one sent to it, which therefore counts. A peer to which none was sent does
    /// not count.
    pub(super) fn announced_version(&self, now: MonoTime, version: u64) -> u64 {
        let adopters = self.peers.values().filter(|peer| peer.may_adopt(now) && peer.first_sent_version > 0);
        let versions = adopters.map(|peer| if peer.acked_version > 0 { peer.acked_version } else { peer.first_sent_version });
        versions.min().unwrap_or(version).min(version)
    }

    /// Returns whether no other entry can have adopted this one's homes.
    pub(super) fn is_ownership_proven(&self, now: MonoTime) -> bool {
        let mut adopters = self.peers.values().filter(|peer| peer.may_adopt(now));
        let is_proven = |peer: &PeerView| peer.ownership_proved_at.is_some_and(|at| now.since(at) < OWNERSHIP_LIFETIME);
        adopters.all(is_proven)
    }

    pub(super) fn live(&self, now: MonoTime) -> impl Iterator<Item = (&SmolStr, &PeerView)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_live(now))
    }

    /// Returns the address and the incarnation of a live peer that is not draining.
    pub(super) fn handover_target(&self, now: MonoTime) -> Option<(SmolStr, HomeKey)> {
        let mut usable = self.live(now).filter(|(_, peer)| !peer.is_draining);
        usable.find_map(|(address, peer)| peer.home.clone().map(|home| (address.clone(), home)))
    }

    pub(super) fn dump(&self) -> serde_json::Value {
        serde_json::to_value(&self.peers).unwrap_or_default()
    }
}
