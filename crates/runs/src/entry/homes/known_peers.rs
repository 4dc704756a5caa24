//! The other entries that may run a job, with or without a link to them.
//!
//! An entry without a link may go on with its jobs: its agents may still hear it. Only the hello of a new process at its address, or its
//! absence from the store's list for longer than a live entry needs to announce itself again, shows that it has none.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::units::MonoTime;

/// Time for which an entry that is not listed is remembered after it was last heard. The store may have dropped a live entry, which
/// announces itself again within seconds.
const UNLISTED_AGE_MAX: Duration = Duration::from_secs(10);

/// Maximum number of known entries that are not listed. The hellos of further ones are refused.
const UNLISTED_MAX: usize = 128;

/// What is known of an entry.
#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    is_listed: bool,
    /// The process that has last said hello.
    incarnation: Option<Incarnation>,
    /// When the entry was first listed, or later if its link was lost since.
    heard_at: MonoTime,
}

/// Holds the other entries by their addresses.
#[derive(Debug, Default)]
pub(super) struct KnownPeers {
    peers: BTreeMap<SmolStr, KnownPeer>,
    /// Addresses that lead to this entry itself.
    own_addresses: Vec<SmolStr>,
    /// Whether a list of the platform's store was read that names this entry. An earlier one may lack others that have started with it.
    is_list_read: bool,
}

impl KnownPeers {
    /// Returns what an entry knows that has just started.
    pub fn new(own_address: SmolStr) -> Self {
        Self { own_addresses: vec![own_address], ..Self::default() }
    }

    /// Records the addresses that the platform's store lists. Returns those that were not known.
    pub fn record_list(&mut self, now: MonoTime, listed: impl Iterator<Item = SmolStr>) -> Vec<SmolStr> {
        let listed: Vec<SmolStr> = listed.collect();
        self.is_list_read |= listed.iter().any(|address| self.own_addresses.contains(address));
        self.peers.values_mut().for_each(|peer| peer.is_listed = false);
        let mut new = Vec::new();
        for address in listed.into_iter().filter(|address| !self.own_addresses.contains(address)) {
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.is_listed = true;
            } else {
                self.peers.insert(address.clone(), KnownPeer { is_listed: true, incarnation: None, heard_at: now });
                new.push(address);
            }
        }
        new
    }

    /// Returns whether an entry that said hello can be remembered.
    pub fn has_room(&self, address: &SmolStr) -> bool {
        self.peers.contains_key(address) || self.peers.values().filter(|peer| !peer.is_listed).count() < UNLISTED_MAX
    }

    /// Records the hello of an entry. Returns whether its process is not the one that has last said hello.
    pub fn record_hello(&mut self, now: MonoTime, address: &SmolStr, incarnation: Incarnation) -> bool {
        let unlisted = KnownPeer { is_listed: false, incarnation: None, heard_at: now };
        let peer = self.peers.entry(address.clone()).or_insert(unlisted);
        peer.heard_at = now;
        peer.incarnation.replace(incarnation) != Some(incarnation)
    }

    /// Records that the link to an entry was lost.
    pub fn record_lost(&mut self, now: MonoTime, address: &SmolStr) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.heard_at = now;
        }
    }

    /// Records that an address leads to this entry itself.
    pub fn record_own(&mut self, address: &SmolStr) {
        if self.peers.remove(address).is_some() {
            self.own_addresses.push(address.clone());
        }
    }

    /// Forgets the entries that are neither listed nor linked and have not been heard for [`UNLISTED_AGE_MAX`]. Returns their addresses.
    pub fn forget_gone(&mut self, now: MonoTime, is_linked: impl Fn(&SmolStr) -> bool) -> Vec<SmolStr> {
        let is_gone = |peer: &KnownPeer| !peer.is_listed && now.since(peer.heard_at) >= UNLISTED_AGE_MAX;
        let gone = self.peers.iter().filter(|(address, peer)| is_gone(peer) && !is_linked(address));
        let gone: Vec<SmolStr> = gone.map(|(address, _)| address.clone()).collect();
        self.peers.retain(|address, _| !gone.contains(address));
        gone
    }

    /// Returns the addresses of all known entries.
    pub fn addresses(&self) -> impl Iterator<Item = &SmolStr> {
        self.peers.keys()
    }

    /// Returns whether a list of the platform's store was read that names this entry. Before that, other entries may be unknown.
    pub fn is_list_read(&self) -> bool {
        self.is_list_read
    }
}
