//! Which entries an agent keeps sessions with.
//!
//! An agent keeps sessions with a bounded number of entries, so that its cost does not grow with the number of entries. It
//! prefers entries of its own zone and selects the rest from the other zones, so that the entries of one zone together reach
//! most agents of all zones. The choice is a weighted rendezvous hash: each agent ranks the entries independently, entries of
//! larger hosts are selected by more agents, and a change of the set of entries moves few sessions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use vanillacleat_control::agent::EntryDialer;
use vanillacleat_core::ids::{AgentId, ZoneName};
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_core::units::MonoTime;

/// Initial delay between two dials of an entry.
const REDIAL_MIN: Duration = Duration::from_millis(100);
/// Maximum delay between two dials of an entry.
const REDIAL_MAX: Duration = Duration::from_millis(800);
/// Number of dials at the initial delay. Entries that start at the same time as the agents take a little longer to
/// accept sessions, which must not make the agents back off.
const REDIALS_WITHOUT_BACKOFF: u32 = 8;
/// Number of consecutive failed dials from which an entry doesn't count as selected, so that another one is selected as well.
const FAILED_DIALS_MAX: u32 = 3;
/// Time for which a failing entry is dialed while other failing ones wait for its place.
const FAILING_DIAL_TIME: Duration = Duration::from_secs(5);
/// Weight of an entry whose host's capacity is unknown, in millicores.
const DEFAULT_MILLICORES: u64 = 250;

/// How many entries an agent selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionLimits {
    /// Number of reachable entries to select.
    pub total: usize,
    /// Number of these that are taken from the agent's own zone, if it has so many.
    pub local: usize,
    /// Maximum number of selected entries including unreachable ones, which are still dialed.
    pub dialed: usize,
}

impl Default for SelectionLimits {
    fn default() -> Self {
        Self { total: 12, local: 6, dialed: 24 }
    }
}

/// An entry that may be selected.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryCandidate {
    /// Where the entry accepts sessions.
    pub address: SmolStr,
    /// Whether the entry is in the agent's zone.
    pub is_local: bool,
    /// Since when the entry counts as failing; absent if its last dials didn't fail. Of two failing ones, the one with the earlier time is
    /// dialed first.
    pub failing_since: Option<MonoTime>,
    /// The entry's rank for this agent; higher ones are selected first.
    pub score: f64,
}

impl EntryCandidate {
    /// Returns a reachable candidate with its score for an agent in `zone`.
    pub fn new(agent: &AgentId, zone: &ZoneName, record: &EntryRecord) -> Self {
        let is_local = record.zone.as_ref() == Some(zone);
        let score = rendezvous_score(agent, &record.address, record.millicores);
        Self { address: record.address.clone(), is_local, failing_since: None, score }
    }
}

/// Returns the score of an entry for an agent. If each agent takes the entry with the highest score, the agents are distributed
/// in proportion to the entries' capacity.
fn rendezvous_score(agent: &AgentId, address: &SmolStr, millicores: u64) -> f64 {
    let digest = Sha256::new().chain_update(agent.as_str()).chain_update([0]).chain_update(address.as_str()).finalize();
    let bits = digest[..8].iter().fold(0_u64, |bits, byte| bits << 8 | u64::from(*byte));
    // Between zero and one, both excluded.
    let uniform = (bits as f64 + 0.5) / (u64::MAX as f64 + 1.0);
    let weight = if millicores == 0 { DEFAULT_MILLICORES } else { millicores };
    weight as f64 / -uniform.ln()
}

/// Returns the addresses of the entries to keep sessions with. Entries that fail to be reached don't count towards the limits
/// but for that on dialed ones, so that others replace them for as long as they fail. Within that limit, the others come first.
pub fn select_entries(mut candidates: Vec<EntryCandidate>, limits: &SelectionLimits) -> BTreeSet<SmolStr> {
    candidates.sort_by(|one, other| other.score.total_cmp(&one.score));
    let (local, remote): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|candidate| candidate.is_local);
    let remote_reachable = remote.iter().filter(|candidate| candidate.failing_since.is_none()).count();
    let local_max = limits.local.max(limits.total.saturating_sub(remote_reachable));
    let mut selected = BTreeSet::new();
    let local_taken = take_reachable(&local, local_max, limits.dialed / 2, &mut selected);
    let dialed_left = limits.dialed.saturating_sub(selected.len());
    take_reachable(&remote, limits.total.saturating_sub(local_taken), dialed_left, &mut selected);
    selected
}

/// Selects the first `reachable_max` candidates that are reachable, and the failing ones that rank above the last of them, up to
/// `dialed_max` in total. Returns the number of reachable ones.
fn take_reachable(candidates: &[EntryCandidate], reachable_max: usize, dialed_max: usize, selected: &mut BTreeSet<SmolStr>) -> usize {
    let (mut reachable, mut failing) = (0, Vec::new());
    for candidate in candidates {
        if reachable >= reachable_max.min(dialed_max) {
            break;
        }
        if let Some(since) = candidate.failing_since {
            failing.push((since, &candidate.address));
        } else {
            reachable += 1;
            selected.insert(candidate.address.clone());
        }
    }
    // The sort is stable: failing ones of the same time keep their rank.
    failing.sort_by_key(|(since, _)| *since);
    selected.extend(failing.into_iter().take(dialed_max - reachable).map(|(_, address)| address.clone()));
    reachable
}

/// The entries that an agent knows, and the dialer of those that it has selected.
#[derive(Debug)]
pub(super) struct EntrySelection {
    agent: AgentId,
    zone: ZoneName,
    limits: SelectionLimits,
    known: BTreeMap<SmolStr, EntryCandidate>,
    /// The entries that the last list named. The others are forgotten once they fail.
    listed: BTreeSet<SmolStr>,
    /// Schedules the dials of the selected entries.
    pub dialer: EntryDialer,
}

impl EntrySelection {
    /// Returns a selection that knows only the addresses from the settings.
    pub fn new(agent: &AgentId, zone: &ZoneName, addresses: &[SmolStr]) -> Self {
        let dialer = EntryDialer::new(Vec::new()).with_redial(REDIAL_MIN, REDIAL_MAX, REDIALS_WITHOUT_BACKOFF);
        let (agent, zone) = (agent.clone(), zone.clone());
        let mut selection =
            Self { agent, zone, limits: SelectionLimits::default(), known: BTreeMap::new(), listed: BTreeSet::new(), dialer };
        selection
            .add_entries(addresses.iter().map(|address| EntryRecord { address: address.clone(), zone: None, millicores: 0 }).collect());
        selection.update(MonoTime::ZERO);
        selection
    }

    /// Adds or updates entries. A list with zones comes from the platform's store and replaces the previous one.
    pub fn add_entries(&mut self, entries: Vec<EntryRecord>) {
        let has_zones = entries.iter().any(|entry| entry.zone.is_some());
        if has_zones {
            self.listed = entries.iter().map(|entry| entry.address.clone()).collect();
        }
        for entry in entries {
            if entry.zone.is_some() || !self.known.contains_key(&entry.address) {
                let failing_since = self.known.get(&entry.address).and_then(|known| known.failing_since);
                let candidate = EntryCandidate { failing_since, ..EntryCandidate::new(&self.agent, &self.zone, &entry) };
                self.known.insert(entry.address.clone(), candidate);
            }
        }
    }

    /// Records that a session with the entry at `address` is open.
    pub fn record_connected(&mut self, address: &SmolStr) {
        self.dialer.record_connected(address);
        if let Some(known) = self.known.get_mut(address) {
            known.failing_since = None;
        }
    }

    /// Selects the entries again, from those that are known and from the outcome of the last dials.
    pub fn update(&mut self, now: MonoTime) {
        let (dialer, listed) = (&self.dialer, &self.listed);
        for (address, known) in &mut self.known {
            let has_failed = dialer.failed_dials(address) >= FAILED_DIALS_MAX;
            let is_due = known.failing_since.is_none_or(|since| now.since(since) >= FAILING_DIAL_TIME);
            if has_failed && is_due {
                known.failing_since = Some(now);
            }
        }
        self.known.retain(|address, known| listed.is_empty() || listed.contains(address) || known.failing_since.is_none());
        let selected = select_entries(self.known.values().cloned().collect(), &self.limits);
        self.dialer.retain_addresses(|address| selected.contains(address));
        selected.into_iter().for_each(|address| self.dialer.add_address(address));
    }
}
