//! Tests of starts that wait at the agent until a run ends at their worker.

use std::time::Duration;

use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::run_frames::{OrderFrame, RunOutcome};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::Millis;
use vanillacleat_runs::agent::RunnerEvent;

mod support;
use support::agent_bench::{run, AgentBench, BORN, DEMAND, WORKER};

/// Run time of each run, in milliseconds.
const RUN_MS: u64 = 40;

/// Returns an agent whose worker is full: its only room was taken `age` milliseconds ago. Another start waits.
fn bench_with_queued_start(age: u64) -> AgentBench {
    let bench = bench_with_estimate(0, RUN_MS, age);
    assert!(bench.is_running(run(0, 1)));
    bench
}

// Guards against starts that were returned although a run ended at their worker a few milliseconds later.
#[test]
fn start_waits_for_a_run_that_ends_soon() {
    let mut bench = bench_with_queued_start(25);
    bench.advance(bench.now() + 30);
    assert!(bench.is_running(run(1, 1)));
    assert_eq!(bench.outcomes(run(1, 1)), vec![]);
}

// Guards against starts that are bound to a full worker while others have room.
#[test]
fn start_is_returned_if_no_run_ends_soon() {
    let mut bench = bench_with_queued_start(5);
    bench.advance(bench.now() + 30);
    assert_eq!(bench.outcomes(run(1, 1)), vec![RunOutcome::NoRoom]);
}

/// Returns an agent whose worker runs one task that was estimated to take `estimate` milliseconds and takes `run_ms`. Another start
/// follows after `age`.
fn bench_with_estimate(estimate: u64, run_ms: u64, age: u64) -> AgentBench {
    let mut bench = AgentBench::new();
    bench.run_time = Duration::from_millis(run_ms);
    bench.estimate = Millis(estimate);
    bench.worker.capacity = ResourceAmount { millicores: DEMAND.millicores, ..bench.worker.capacity };
    bench.beat(WORKER, BORN);
    bench.order_start(1, run(0, 1));
    bench.advance(bench.now() + age);
    bench.order_start(2, run(1, 1));
    bench
}

// Guards against wide jobs that are late because a task of theirs waited at a worker whose runs had just begun.
#[test]
fn start_is_returned_at_once_behind_a_run_that_goes_on() {
    let bench = bench_with_estimate(200, 200, 40);
    assert_eq!(bench.outcomes(run(1, 1)), vec![RunOutcome::NoRoom]);
}

// Guards against starts that are returned although the run before them is about to end.
#[test]
fn start_waits_for_a_run_that_is_expected_to_end() {
    let mut bench = bench_with_estimate(200, 200, 196);
    assert_eq!(bench.outcomes(run(1, 1)), vec![]);
    bench.advance(bench.now() + 12);
    assert!(bench.is_running(run(1, 1)));
}

// Guards against several starts that wait for the same room.
#[test]
fn expected_room_is_promised_once() {
    let mut bench = bench_with_estimate(200, 200, 196);
    bench.order_start(2, run(2, 1));
    assert_eq!(bench.outcomes(run(1, 1)), vec![]);
    assert_eq!(bench.outcomes(run(2, 1)), vec![RunOutcome::NoRoom]);
}

// Guards against starts that wait for a run of which the estimate was far too short.
#[test]
fn start_is_returned_behind_a_run_that_is_long_overdue() {
    let bench = bench_with_estimate(50, 1_000, 90);
    assert_eq!(bench.outcomes(run(1, 1)), vec![RunOutcome::NoRoom]);
}

// Guards against a start in a zone that was taken out of service while the start waited.
#[test]
fn waiting_start_is_returned_when_its_zone_is_taken_out() {
    let mut bench = bench_with_queued_start(25);
    let zones_out = ["zone-0".parse().expect("a valid name")].into();
    let plan = SitePlan { zones_out, zones_revision: 1, ..SitePlan::default() };
    bench.deliver(RunnerEvent::Frame { session: SessionId(1), frame: OrderFrame::Plan(Box::new(plan)) });
    bench.advance(bench.now() + RUN_MS);
    assert_eq!(bench.outcomes(run(1, 1)), vec![RunOutcome::Closed]);
}

// Guards against a start on a lease that ran out while the start waited at an agent whose process was paused.
#[test]
fn waiting_start_is_not_sent_after_a_pause() {
    let mut bench = bench_with_queued_start(25);
    bench.advance_paused(bench.now() + 2_000);
    bench.deliver(RunnerEvent::Tick);
    bench.advance(bench.now() + 100);
    let started = format!("event=run_started run={} ", run(1, 1));
    assert!(bench.log_lines.iter().all(|(_, line)| !line.starts_with(&started)));
}
