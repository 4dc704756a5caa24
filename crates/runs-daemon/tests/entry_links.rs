//! Two entries in real processes' threads that find each other, and a resubmitted job that stays with the first of them.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};
use vanillacleat_core::caller_job::JobStep;
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_core::units::Millis;
use vanillacleat_daemon::GuardLimits;
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, JobDraft, JobPhase, RequestKind};
use vanillacleat_runs_daemon::{EntryPort, LeaseSettings, RunsEntry, RunsEntrySettings};

mod support;
use support::{make_plan, ROUTE_TIMEOUT};

/// Time within which each step of the test must happen.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn make_request(kind: RequestKind, caller_timeout: Duration) -> CallerRequest {
    let (host, path) = (SmolStr::new_static("desk.example"), SmolStr::new_static("/bids/5c0e7a21d94b36f8"));
    CallerRequest { host, path, caller_timeout: Some(caller_timeout), kind }
}

fn make_submission(caller_timeout: Duration) -> CallerRequest {
    let step = JobStep { count: 1, estimate: Millis(10), ..JobStep::default() };
    let draft = JobDraft { payload: SmolStr::new_static("text"), steps: vec![step], ..JobDraft::default() };
    make_request(RequestKind::Submit(draft), caller_timeout)
}

/// Starts two entries that are told of each other.
fn start_entries() -> Vec<RunsEntry> {
    let listeners: Vec<TcpListener> = (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect();
    drop(listeners);
    let start = |(number, address): (usize, &SocketAddr)| {
        let settings = RunsEntrySettings {
            id: format!("entry-{number}").parse().expect("a valid name"),
            zone: "zone-0".parse().expect("a valid name"),
            mesh_listen: *address,
            leases: LeaseSettings::default(),
            mesh_limits: GuardLimits::default(),
        };
        let entry = RunsEntry::start(&settings).expect("the entry starts");
        entry.port().update_plan(make_plan());
        let record = |address: &SocketAddr| EntryRecord { address: address.to_smolstr(), zone: None, millicores: 0 };
        entry.port().update_entries(addresses.iter().map(record).collect());
        entry
    };
    addresses.iter().enumerate().map(start).collect()
}

/// Waits until the dump of an entry satisfies `is_expected`.
fn wait_for(entry: &RunsEntry, is_expected: impl Fn(&Value) -> bool) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let dump = entry.runtime_handle().block_on(entry.port().dump()).expect("the entry runs");
        if is_expected(&dump) {
            return;
        }
        assert!(Instant::now() < deadline, "{dump}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn has_items(dump: &Value, key: &str) -> bool {
    dump[key].as_array().is_some_and(|items| !items.is_empty())
}

fn submit(port: EntryPort, request: CallerRequest) -> std::thread::JoinHandle<CallerAnswer> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    std::thread::spawn(move || runtime.block_on(port.submit_request(request)))
}

#[test]
fn resubmitted_job_is_answered_by_the_entry_that_holds_it() {
    let entries = start_entries();
    entries.iter().for_each(|entry| wait_for(entry, |dump| has_items(dump, "peers")));
    let first = submit(entries[0].port(), make_submission(ROUTE_TIMEOUT));
    wait_for(&entries[0], |dump| has_items(dump, "jobs"));
    let second = submit(entries[1].port(), make_submission(ROUTE_TIMEOUT / 2));
    wait_for(&entries[1], |dump| dump["claims"].as_array().is_some_and(|claims| claims.iter().any(|claim| has_items(claim, "homes"))));
    let cancelled = submit(entries[0].port(), make_request(RequestKind::Cancel, ROUTE_TIMEOUT));
    let answers = [cancelled, first, second].map(|caller| caller.join().expect("the caller is answered"));
    assert_eq!(answers, [CallerAnswer::Cancelled, CallerAnswer::Cancelled, CallerAnswer::Ended(JobPhase::Cancelled)]);
}

#[test]
fn link_of_an_entry_that_has_ended_is_lost() {
    let mut entries = start_entries();
    entries.iter().for_each(|entry| wait_for(entry, |dump| has_items(dump, "peers")));
    drop(entries.remove(0));
    wait_for(&entries[0], |dump| !has_items(dump, "peers"));
}
