//! Entries of the store's list that nobody can reach, beside real ones.

use std::collections::BTreeMap;

use rstest::rstest;
use smol_str::{format_smolstr, SmolStr};
use vanillacleat_control::SessionId;
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_runs::agent::RunnerEvent;

mod support;
use support::agent_bench::AgentBench;

/// Time in which an agent finds its entries, in milliseconds.
const FIND_TIME: u64 = 60_000;
/// Interval at which the dials are answered, in milliseconds.
const DIAL_TIME: u64 = 5;

fn record(address: SmolStr, zone: &str, millicores: u64) -> EntryRecord {
    EntryRecord { address, zone: Some(zone.parse().expect("a valid name")), millicores }
}

/// Returns the real entries of each zone.
fn real_entries(zones: &[&str]) -> Vec<EntryRecord> {
    zones.iter().flat_map(|zone| (1..=2).map(move |host| record(format_smolstr!("real-{zone}-{host}"), zone, 250))).collect()
}

/// Returns the number of real entries with which an agent opens a session if they are reachable from a time on, and the number of all.
fn find_entries(odd: usize, odd_zone: &str, reachable_from: u64) -> (usize, usize) {
    let mut bench = AgentBench::settled(1);
    let odd = (0..odd).map(|host| record(format_smolstr!("odd-{host}"), odd_zone, 1_000_000));
    let real = real_entries(&["zone-0", "zone-1", "zone-2"]);
    let listed: Vec<EntryRecord> = odd.chain(real.iter().cloned()).collect();
    let mut sessions: BTreeMap<SmolStr, SessionId> = BTreeMap::new();
    let mut dials = 0;
    for at in (20..FIND_TIME).step_by(DIAL_TIME as usize) {
        if at % 2_000 == 20 {
            bench.deliver(RunnerEvent::EntriesRead(listed.clone()));
        }
        bench.advance(at + DIAL_TIME);
        for address in std::mem::take(&mut bench.dials) {
            dials += 1;
            if at >= reachable_from && real.iter().any(|entry| entry.address == address) {
                let session = SessionId(100 + dials);
                sessions.insert(address.clone(), session);
                bench.deliver(RunnerEvent::SessionOpened { session, address });
            } else {
                bench.deliver(RunnerEvent::SessionClosed { session: None, address });
            }
        }
    }
    (sessions.len(), real.len())
}

// Guards against an agent without a session, because entries of another writer take all places that it dials.
#[rstest]
fn agent_finds_the_real_entries(#[values(1, 11, 13, 25, 60, 400)] odd: usize, #[values("zone-0", "zone-1")] odd_zone: &str) {
    let (found, real) = find_entries(odd, odd_zone, 0);
    assert_eq!(found, real);
}

// Guards against an entry that was restarted and is not dialed again, because entries of another writer have failed as well.
#[rstest]
fn agent_finds_entries_that_were_unreachable(#[values(1, 13, 60)] odd: usize, #[values("zone-0", "zone-1")] odd_zone: &str) {
    let (found, real) = find_entries(odd, odd_zone, 15_000);
    assert_eq!(found, real);
}

/// Opens the sessions that an agent dials and closes those that it closes, until `end`. Entries that `is_reachable` rejects fail.
fn run_sessions(bench: &mut AgentBench, open: &mut BTreeMap<SmolStr, SessionId>, end: u64, is_reachable: impl Fn(&SmolStr) -> bool) {
    let mut last = 1_000 + bench.dials.len() as u64 + open.values().map(|session| session.0).max().unwrap_or_default();
    for at in (bench.now()..end).step_by(DIAL_TIME as usize) {
        bench.advance(at + DIAL_TIME);
        for session in std::mem::take(&mut bench.closed_sessions) {
            let closed = open.iter().find(|(_, open)| **open == session).map(|(address, _)| address.clone());
            if let Some(address) = closed {
                open.remove(&address);
                bench.deliver(RunnerEvent::SessionClosed { session: Some(session), address });
            }
        }
        for address in std::mem::take(&mut bench.dials) {
            if is_reachable(&address) {
                last += 1;
                open.insert(address.clone(), SessionId(last));
                bench.answering.insert(SessionId(last));
                bench.deliver(RunnerEvent::SessionOpened { session: SessionId(last), address });
            } else {
                bench.deliver(RunnerEvent::SessionClosed { session: None, address });
            }
        }
    }
}

// Guards against an entry that is not dialed any more, because the agent has closed its session while other entries were preferred.
#[test]
fn entry_whose_session_was_retired_is_dialed_again() {
    let mut bench = AgentBench::settled(1);
    let small: Vec<EntryRecord> = (0..12).map(|host| record(format_smolstr!("small-{host}"), "zone-0", 250)).collect();
    let large = (0..12).map(|host| record(format_smolstr!("large-{host}"), "zone-0", 1_000_000));
    let all: Vec<EntryRecord> = small.iter().cloned().chain(large).collect();
    let mut open = BTreeMap::new();
    bench.deliver(RunnerEvent::EntriesRead(small));
    run_sessions(&mut bench, &mut open, 5_000, |_| true);
    assert_eq!(open.len(), 12);
    bench.deliver(RunnerEvent::EntriesRead(all));
    run_sessions(&mut bench, &mut open, 15_000, |_| true);
    let count_small = |open: &BTreeMap<SmolStr, SessionId>| open.keys().filter(|address| address.starts_with("small")).count();
    assert_eq!((open.len(), count_small(&open)), (12, 0));
    for (address, session) in std::mem::take(&mut open) {
        bench.deliver(RunnerEvent::SessionClosed { session: Some(session), address });
    }
    run_sessions(&mut bench, &mut open, 40_000, |address| address.starts_with("small"));
    assert_eq!(count_small(&open), 12);
}
