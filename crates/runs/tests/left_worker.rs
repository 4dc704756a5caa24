//! Late messages of a worker that has left.

use rstest::rstest;
use vanillacleat_runs::agent::{RunnerEvent, WorkerNotice};

mod support;
use support::agent_bench::{run, AgentBench, BORN, WORKER};

// Guards against a worker that is in use again after it has left, because a heartbeat from before its notice is delivered late.
#[rstest]
#[case::from_before_the_notice(3, true, BORN)]
#[case::of_the_notice(5, false, BORN)]
#[case::repeated(4, true, BORN)]
fn late_heartbeat_brings_no_worker_back(#[case] sequence: u64, #[case] is_ready: bool, #[case] born: u64) {
    let mut bench = AgentBench::new();
    let notice = bench.notice(WORKER, BORN);
    bench.deliver(RunnerEvent::WorkerHeartbeat(WorkerNotice { sequence: 4, ..notice.clone() }));
    bench.deliver(RunnerEvent::WorkerHeartbeat(WorkerNotice { sequence: 5, is_ready: false, ..notice.clone() }));
    bench.deliver(RunnerEvent::WorkerDeregistered(WORKER.into()));
    bench.advance(300);
    assert!(bench.log_lines.iter().any(|(_, line)| line.contains("event=worker_lost")), "{:?}", bench.log_lines);
    bench.deliver(RunnerEvent::WorkerHeartbeat(WorkerNotice { sequence, is_ready, born, ..notice }));
    bench.advance(500);
    bench.order_start(1, run(9, 1));
    bench.advance(700);
    assert!(!bench.is_running(run(9, 1)), "{:?}", bench.log_lines);
}

// Guards against a worker that stays out of use, although it goes on after a deregistration of another writer.
#[test]
fn later_heartbeat_brings_the_worker_back() {
    let mut bench = AgentBench::new();
    let notice = bench.notice(WORKER, BORN);
    bench.deliver(RunnerEvent::WorkerHeartbeat(WorkerNotice { sequence: 4, ..notice.clone() }));
    bench.deliver(RunnerEvent::WorkerDeregistered(WORKER.into()));
    bench.advance(300);
    bench.deliver(RunnerEvent::WorkerHeartbeat(WorkerNotice { sequence: 5, ..notice }));
    bench.advance(500);
    bench.order_start(1, run(9, 1));
    bench.advance(700);
    assert!(bench.is_running(run(9, 1)), "{:?}", bench.log_lines);
}
