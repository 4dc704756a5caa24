//! Tests that no start brings a worker over its capacity, which may shrink and grow again while it runs (LIMIT).

use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::run_frames::{RunFrame, RunOutcome, WorkerInfo};
use vanillacleat_runs::agent::RunnerEvent;

mod support;
use support::agent_bench::{run, AgentBench, BORN, DEMAND, WORKER};

/// Returns an agent whose worker has room for `runs` runs, as its last heartbeat says.
fn bench_with_room(runs: u64) -> AgentBench {
    let mut bench = AgentBench::new();
    set_room(&mut bench, runs);
    bench
}

/// Changes the worker's capacity and delivers a heartbeat that says so.
fn set_room(bench: &mut AgentBench, runs: u64) {
    bench.worker.capacity = ResourceAmount { millicores: DEMAND.millicores * runs, ..bench.worker.capacity };
    bench.beat(WORKER, BORN);
}

fn order_starts(bench: &mut AgentBench, indexes: std::ops::Range<u16>) {
    indexes.for_each(|index| bench.order_start(1, run(index, 1)));
    bench.advance(bench.now() + 30);
}

/// Returns the worker as the agent has last described it to an entry.
fn reported_worker(bench: &AgentBench) -> Option<&WorkerInfo> {
    let reports = bench.sent_frames.iter().filter_map(|(_, frame)| if let RunFrame::Report(report) = frame { Some(report) } else { None });
    reports.filter_map(|report| report.worker.as_ref()).next_back()
}

// Guards against starts at a worker whose room has shrunk below what runs there, and against room that is not used again.
#[test]
fn shrunk_worker_gets_starts_once_it_has_grown_again() {
    let mut bench = bench_with_room(4);
    order_starts(&mut bench, 0..4);
    assert_eq!(bench.worker.running().count(), 4);
    set_room(&mut bench, 2);
    order_starts(&mut bench, 4..6);
    assert_eq!(bench.worker.running().count(), 4);
    assert_eq!(reported_worker(&bench).map(|info| info.capacity.millicores), Some(2 * DEMAND.millicores));
    set_room(&mut bench, 5);
    order_starts(&mut bench, 6..8);
    assert_eq!(bench.worker.running().count(), 5);
}

// Guards against a start that takes the room of a run which is being stopped and still occupies it.
#[test]
fn stopping_run_occupies_its_room_until_it_has_ended() {
    let mut bench = bench_with_room(2);
    order_starts(&mut bench, 0..2);
    bench.order_stop(1, run(0, 1));
    bench.order_start(1, run(2, 1));
    bench.advance(bench.now() + 45);
    assert!(bench.is_running(run(0, 1)) && !bench.is_running(run(2, 1)));
    bench.advance(bench.now() + 100);
    order_starts(&mut bench, 3..4);
    assert!(bench.is_running(run(3, 1)));
}

// Guards against an old heartbeat, delivered after a newer one, that gives room back which the worker no longer has.
#[test]
fn late_heartbeat_gives_no_room_back() {
    let mut bench = bench_with_room(4);
    let late = bench.notice(WORKER, BORN);
    bench.advance(200);
    set_room(&mut bench, 1);
    bench.deliver(RunnerEvent::WorkerHeartbeat(late));
    order_starts(&mut bench, 0..2);
    let (first, second) = (bench.outcomes(run(0, 1)), bench.outcomes(run(1, 1)));
    assert_eq!((first, second), (vec![], vec![RunOutcome::NoRoom]));
}

// Guards against starts that are rejected one after the other because the worker has less room than its last heartbeat said.
#[test]
fn rejection_for_lack_of_room_is_believed_until_the_next_heartbeat() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(300);
    bench.worker.capacity.millicores = 4_000;
    for index in 1..=10 {
        bench.order_start(1, run(index, 1));
        bench.advance(bench.now() + 50);
        assert_eq!(bench.outcomes(run(index, 1)), vec![RunOutcome::NoRoom]);
    }
    let rejected = bench.ends.iter().filter(|(_, _, end)| end.evidence.sign.as_str() == "rejected").count();
    assert_eq!(rejected, 1);
}
