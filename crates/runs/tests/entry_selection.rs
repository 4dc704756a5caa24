//! Which entries agents keep sessions with, at the size of a deployment of hundreds of hosts: 35 entries, 20 of them small, and
//! 160 agents in 5 zones. The tests count sessions; they leave out frames and load.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use vanillacleat_core::ids::{AgentId, ZoneName};
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::{select_entries, EntryCandidate, SelectionLimits};

const ZONES: usize = 5;
const LARGE_PER_ZONE: usize = 3;
const SMALL_PER_ZONE: usize = 4;
const AGENTS_PER_ZONE: usize = 32;

fn zone(number: usize) -> ZoneName {
    format!("zone-{number}").parse().expect("a valid name")
}

/// Returns the entries of `zones` zones: in each, three of half a core and four of 0.12 cores.
fn make_entries(zones: usize) -> Vec<EntryRecord> {
    let per_zone = LARGE_PER_ZONE + SMALL_PER_ZONE;
    let record = |zone_number: usize, host: usize| EntryRecord {
        address: SmolStr::new(format!("10.{zone_number}.0.{host}:7720")),
        zone: Some(zone(zone_number)),
        millicores: if host < LARGE_PER_ZONE { 500 } else { 120 },
    };
    (0..zones).flat_map(|zone_number| (0..per_zone).map(move |host| record(zone_number, host))).collect()
}

fn agents(zones: usize) -> impl Iterator<Item = (AgentId, ZoneName)> {
    let agent = |zone_number, host| (format!("side-{zone_number}-{host}").parse().expect("a valid name"), zone(zone_number));
    (0..zones).flat_map(move |zone_number| (0..AGENTS_PER_ZONE).map(move |host| agent(zone_number, host)))
}

/// Returns what an agent selects while the entries in `failing` can't be reached.
fn select(agent: &AgentId, zone: &ZoneName, entries: &[EntryRecord], failing: &BTreeSet<SmolStr>) -> BTreeSet<SmolStr> {
    let candidates = entries.iter().map(|entry| {
        let candidate = EntryCandidate::new(agent, zone, entry);
        EntryCandidate { failing_since: failing.contains(&entry.address).then_some(MonoTime::ZERO), ..candidate }
    });
    select_entries(candidates.collect(), &SelectionLimits::default())
}

/// Returns the agents with a session, by entry.
fn agents_by_entry(zones: usize, failing: &BTreeSet<SmolStr>) -> BTreeMap<SmolStr, Vec<(AgentId, ZoneName)>> {
    let entries = make_entries(zones);
    let mut by_entry: BTreeMap<SmolStr, Vec<(AgentId, ZoneName)>> = BTreeMap::new();
    for (agent, zone) in agents(zones) {
        for address in select(&agent, &zone, &entries, failing) {
            by_entry.entry(address).or_default().push((agent.clone(), zone.clone()));
        }
    }
    by_entry
}

#[test]
fn sessions_don_t_grow_with_the_deployment() {
    let largest = |zones| agents_by_entry(zones, &BTreeSet::new()).values().map(Vec::len).max().unwrap_or(0);
    let (today, twice, fourfold) = (largest(ZONES), largest(ZONES * 2), largest(ZONES * 4));
    assert!(twice <= today * 5 / 4 && fourfold <= today * 5 / 4, "sessions of one entry: {today}, {twice}, {fourfold}");
}

#[test]
fn small_entries_get_fewer_sessions_but_enough() {
    let by_entry = agents_by_entry(ZONES, &BTreeSet::new());
    assert_eq!(by_entry.len(), ZONES * (LARGE_PER_ZONE + SMALL_PER_ZONE), "every entry is selected by some agent");
    let sessions = |millicores| {
        let entries = make_entries(ZONES).into_iter().filter(move |entry| entry.millicores == millicores);
        let counts = entries.map(|entry| by_entry[&entry.address].len());
        counts.collect::<Vec<_>>()
    };
    let (large, small) = (sessions(500), sessions(120));
    let mean = |counts: &[usize]| counts.iter().sum::<usize>() / counts.len();
    assert!(mean(&large) >= mean(&small) * 3 / 2, "large {large:?}, small {small:?}");
    assert!(small.iter().all(|count| *count >= 20), "small {small:?}");
}

#[test]
fn entries_of_one_zone_reach_most_workers_everywhere() {
    // All requests come to one zone. Its entries together must reach enough workers of the other zones.
    let by_entry = agents_by_entry(ZONES, &BTreeSet::new());
    for number in 0..ZONES {
        let entries = make_entries(ZONES).into_iter().filter(|entry| entry.zone == Some(zone(number)));
        let reached: BTreeSet<&AgentId> = entries.flat_map(|entry| by_entry[&entry.address].iter().map(|(agent, _)| agent)).collect();
        let total = ZONES * AGENTS_PER_ZONE;
        assert!(reached.len() * 10 >= total * 7, "zone {number} reaches {} of {total}", reached.len());
    }
}

#[test]
fn lost_zone_is_replaced_by_other_entries() {
    let failing: BTreeSet<SmolStr> =
        make_entries(ZONES).into_iter().filter(|entry| entry.zone == Some(zone(0))).map(|entry| entry.address).collect();
    let entries = make_entries(ZONES);
    for (agent, zone) in agents(ZONES) {
        let selected = select(&agent, &zone, &entries, &failing);
        let reachable = selected.difference(&failing).count();
        assert!(reachable >= SelectionLimits::default().total, "{agent} keeps {reachable} sessions");
        assert!(selected.len() <= SelectionLimits::default().dialed, "{agent} dials {}", selected.len());
    }
}

#[test]
fn all_entries_lost_keeps_the_dials_bounded() {
    let entries = make_entries(ZONES);
    let failing: BTreeSet<SmolStr> = entries.iter().map(|entry| entry.address.clone()).collect();
    for (agent, zone) in agents(ZONES) {
        assert_eq!(select(&agent, &zone, &entries, &failing).len(), SelectionLimits::default().dialed);
    }
}

#[test]
fn replaced_entry_moves_few_sessions() {
    let before = make_entries(ZONES);
    let mut after = before.clone();
    after[4].address = SmolStr::new_static("10.9.0.1:7720");
    let none = BTreeSet::new();
    let moved = agents(ZONES).map(|(agent, zone)| {
        let (old, new) = (select(&agent, &zone, &before, &none), select(&agent, &zone, &after, &none));
        new.difference(&old).filter(|address| *address != "10.9.0.1:7720").count()
    });
    // Each agent that had selected the old host needs one other entry at most.
    let (moved, had_old) = (moved.sum::<usize>(), agents_by_entry(ZONES, &none)[&before[4].address].len());
    assert!(moved <= had_old, "{moved} sessions moved, {had_old} agents had selected the old host");
}

#[test]
fn few_entries_are_all_selected() {
    let entries: Vec<EntryRecord> = make_entries(1);
    for (agent, zone) in agents(1) {
        assert_eq!(select(&agent, &zone, &entries, &BTreeSet::new()).len(), entries.len());
    }
}
