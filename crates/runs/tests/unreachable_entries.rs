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
