//! An agent notices from the runs of all entries that its worker has become slow, and entries that have seen none of it turn to others.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::{AgentId, Incarnation, ServiceName, ZoneName};
use vanillacleat_core::run_frames::{RunFrame, RunHello, RunReport, SessionOrder, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CapacityRequest, RoomClaim, WorkerPool, WorkerRegistry};

mod support;
use support::agent_bench::{AgentBench, BORN, DEMAND, WORKER};

/// The callers' estimate of each run, in milliseconds.
const ESTIMATE_MS: u64 = 60;

/// Returns an agent with two entries that has learned the usual run time of a route from the runs of the first one.
fn bench_with_usual_runs() -> AgentBench {
    let mut bench = AgentBench::new();
    bench.route = Some(SmolStr::new_static("bids"));
    bench.estimate = Millis(ESTIMATE_MS);
    bench.worker.capacity = ResourceAmount { millicores: 8 * DEMAND.millicores, ..bench.worker.capacity };
    bench.beat(WORKER, BORN);
    order_jobs(&mut bench, ESTIMATE_MS, 1..21);
    bench
}

/// Lets the first entry order a job of one task after the other, each of which runs for `run_ms`.
fn order_jobs(bench: &mut AgentBench, run_ms: u64, jobs: std::ops::Range<u64>) {
    bench.run_time = Duration::from_millis(run_ms);
    for job in jobs {
        bench.order_start(1, RunId { task: TaskId { job: CallerJobId(job), step: 0, index: 0 }, run: 1 });
        bench.advance(bench.now() + 40);
    }
    bench.advance(bench.now() + run_ms + 20);
}

/// Returns the slowness that the second entry was told last.
fn reported_slowness(bench: &AgentBench) -> Option<u32> {
    let reports = bench.sent_frames.iter().rev().filter_map(|(session, frame)| match frame {
        RunFrame::Report(report) if *session == SessionId(2) => Some(report.slowness_percent),
        _ => None,
    });
    reports.take(1).next()
}

// Guards against slow workers that each entry has to find out by runs of its own.
#[test]
fn entry_without_runs_learns_of_a_slow_worker() {
    let mut bench = bench_with_usual_runs();
    assert_eq!(reported_slowness(&bench), Some(0));
    order_jobs(&mut bench, 5 * ESTIMATE_MS, 21..31);
    assert!(reported_slowness(&bench).is_some_and(|percent| (300..=700).contains(&percent)), "{:?}", reported_slowness(&bench));
}

// Guards against a worker that is given no more runs because it once was slow.
#[test]
fn slowness_is_forgotten_without_runs() {
    let mut bench = bench_with_usual_runs();
    order_jobs(&mut bench, 5 * ESTIMATE_MS, 21..31);
    bench.advance(bench.now() + 3_000);
    assert_eq!(reported_slowness(&bench), Some(0));
}

// Guards against workers that count as slow because of one job whose estimate was wrong.
#[test]
fn one_slow_job_is_no_slowness() {
    let mut bench = bench_with_usual_runs();
    order_jobs(&mut bench, 5 * ESTIMATE_MS, 21..22);
    order_jobs(&mut bench, ESTIMATE_MS, 22..30);
    assert_eq!(reported_slowness(&bench), Some(0));
}

/// Returns the registry of an entry that knows three idle workers, of which the first reports this slowness.
fn registry_with_report(slowness_percent: u32) -> WorkerRegistry {
    let mut registry = WorkerRegistry::default();
    for (number, slowness_percent) in [(1, slowness_percent), (2, 0), (3, 0)] {
        let (session, zone) = (SessionId(number), "zone-0".parse().expect("a valid name"));
        let agent = format!("agent-{number}").parse().expect("a valid name");
        let hello =
            RunHello { agent, incarnation: Incarnation(1), order: SessionOrder::default(), zone, plan_version: 0, unsettled: Vec::new() };
        registry.record_hello(MonoTime::from_millis(1_000), session, &hello);
        let worker = WorkerInfo {
            worker: SmolStr::new_static(WORKER),
            service: "desk".parse().expect("a valid name"),
            // The first worker has more room, so that it is chosen unless it is slow.
            capacity: ResourceAmount { millicores: 30_000 / number, memory: Megabytes(1_000), accelerators: 0 },
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        let report = RunReport { sent_at: Millis(1_000), worker: Some(worker), slowness_percent, ..RunReport::default() };
        registry.record_report(MonoTime::from_millis(1_000), session, &report);
    }
    registry.update_slow_workers(MonoTime::from_millis(1_000));
    registry
}

fn choose(registry: &WorkerRegistry) -> Option<AgentId> {
    let (service, zone): (ServiceName, ZoneName) = ("desk".parse().expect("a valid name"), "zone-0".parse().expect("a valid name"));
    let request = CapacityRequest {
        service: &service,
        demand: &DEMAND,
        required_label: None,
        preferred_rack: None,
        excluded: &[],
        claim: RoomClaim::Urgent,
        pool: WorkerPool::All,
        timing: None,
    };
    registry.choose_worker(MonoTime::from_millis(1_000), &zone, &BTreeSet::new(), &request, None).cloned()
}

#[rstest]
#[case::usual(0, "agent-1")]
#[case::slow(500, "agent-2")]
#[case::below_the_threshold(150, "agent-1")]
#[case::damaged(u32::MAX, "agent-1")]
fn choice_follows_a_plausible_report(#[case] slowness_percent: u32, #[case] chosen: &str) {
    let registry = registry_with_report(slowness_percent);
    assert_eq!(choose(&registry), Some(chosen.parse().expect("a valid name")));
}

// Guards against a worker whose host was suspended counting as slow, so that its runs are started again elsewhere.
#[test]
fn suspended_worker_is_not_slow() {
    let mut bench = bench_with_usual_runs();
    for job in 21..29 {
        bench.order_start(1, RunId { task: TaskId { job: CallerJobId(job), step: 0, index: 0 }, run: 1 });
    }
    bench.advance(bench.now() + 30);
    bench.advance_suspended(bench.now() + 300);
    for _ in 0..20 {
        bench.advance(bench.now() + 10);
        assert_eq!(reported_slowness(&bench), Some(0));
    }
}
