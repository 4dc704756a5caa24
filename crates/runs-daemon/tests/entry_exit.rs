//! Exit of an entry with an open job. Some of the job's tasks may have run, so its caller must not receive a refusal,
//! which would guarantee that nothing has run.

use std::net::TcpListener;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::JobStep;
use vanillacleat_core::units::Millis;
use vanillacleat_daemon::GuardLimits;
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, JobDraft, RequestKind};
use vanillacleat_runs_daemon::{LeaseSettings, RunsEntry, RunsEntrySettings};

mod support;
use support::make_plan;

fn make_request() -> CallerRequest {
    let step = JobStep { count: 1, estimate: Millis(10), ..JobStep::default() };
    let draft = JobDraft { payload: SmolStr::new_static("text"), steps: vec![step], ..JobDraft::default() };
    CallerRequest {
        host: SmolStr::new_static("desk.example"),
        path: SmolStr::new_static("/bids/5c0e7a21d94b36f8"),
        caller_timeout: Some(Duration::from_secs(60)),
        kind: RequestKind::Submit(draft),
    }
}

#[test]
fn open_job_is_abandoned_when_the_entry_exits() {
    let mesh_address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let settings = RunsEntrySettings {
        id: "entry".parse().expect("a valid name"),
        zone: "zone-0".parse().expect("a valid name"),
        mesh_listen: mesh_address,
        leases: LeaseSettings::default(),
        mesh_limits: GuardLimits::default(),
    };
    let entry = RunsEntry::start(&settings).expect("the entry starts");
    let port = entry.port();
    port.update_plan(make_plan());
    let caller_runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let caller_port = port.clone();
    let answer = std::thread::spawn(move || caller_runtime.block_on(caller_port.submit_request(make_request())));
    let has_job =
        || entry.runtime_handle().block_on(port.dump()).is_some_and(|state| state["jobs"].as_array().is_some_and(|jobs| !jobs.is_empty()));
    while !has_job() {
        std::thread::yield_now();
    }
    drop(entry);
    assert_eq!(answer.join().expect("the caller is answered"), CallerAnswer::Abandoned("the entry has ended"));
}
