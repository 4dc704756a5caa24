//! Tests of states of an agent that the tests of the double runs do not enter.

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::{RunnerEvent, WorkerCall};
use vanillacleat_standin::WorkerModel;

mod support;
use support::agent_bench::{run, AgentBench, BORN, WORKER};

fn is_stop(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Stop { .. })
}

fn is_start(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. })
}

fn bench_with_listed_runs() -> AgentBench {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(300);
    assert!(bench.is_running(run(0, 1)));
    bench
}

fn open_again(bench: &mut AgentBench, session: u64) {
    bench.answering.insert(SessionId(session));
    bench.deliver(RunnerEvent::SessionOpened { session: SessionId(session), address: SmolStr::new_static("entry-1") });
}

// Guards against a run that outlives its entry because the next process at the entry's address renews the lease of a new session.
#[test]
fn run_of_a_lost_session_ends_although_its_stops_are_lost_and_a_new_session_opens() {
    let mut bench = bench_with_listed_runs();
    bench.is_lost = is_stop;
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(1)), address: SmolStr::new_static("entry-1") });
    bench.advance(400);
    open_again(&mut bench, 3);
    bench.advance(300 + 1_300);
    assert!(!bench.is_running(run(0, 1)), "the caller of a lost entry has submitted its job again");
}

// Guards against the loss of a live worker because the answer to a probe of one heartbeat is taken for that to another.
#[test]
fn answer_to_a_probe_confirms_only_the_heartbeat_that_it_was_sent_for() {
    let mut bench = bench_with_listed_runs();
    bench.beat(WORKER, BORN - 1);
    bench.beat("i-9", BORN + 1);
    bench.advance(320);
    let lost: Vec<_> = bench.log_lines.iter().filter(|(_, line)| line.contains("event=worker_lost")).cloned().collect();
    bench.advance(1_800);
    assert!(lost.is_empty() && bench.is_running(run(0, 1)), "lost: {lost:?}, ends: {:?}", bench.ends);
}

// Guards against a run that is given up after the usual lease, although a start that was computed with the clock of an earlier
// incarnation has given the worker its longest one.
#[test]
fn run_of_a_reborn_worker_is_given_up_no_sooner_than_the_lease_of_a_delayed_start() {
    let mut bench = AgentBench::new();
    bench.advance(3_000);
    bench.is_lost = is_start;
    bench.order_start(1, run(0, 1));
    bench.advance(3_002);
    let delayed = bench.lost_calls[0].clone();
    bench.worker = WorkerModel::new(MonoTime::from_millis(3_002), WORKER, BORN + 1, bench.worker.capacity);
    bench.fail_open_polls();
    bench.is_lost = |_| false;
    bench.execute(&delayed);
    bench.beat(WORKER, BORN + 1);
    bench.advance(3_120);
    bench.order_start(1, run(2, 1));
    bench.advance(3_125);
    assert!(bench.is_running(run(2, 1)), "{:?}", bench.log_lines);
    bench.is_lost = |_| true;
    bench.fail_open_polls();
    bench.advance(6_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a confirmed heartbeat that begins its incarnation twice, which raises the fencing token twice.
#[test]
fn confirmed_heartbeat_begins_one_incarnation() {
    let mut bench = AgentBench::new();
    bench.worker = WorkerModel::new(MonoTime::from_millis(bench.now()), "i-2", BORN + 1, bench.worker.capacity);
    bench.beat("i-2", BORN + 1);
    bench.advance(200);
    let found = bench.log_lines.iter().filter(|(_, line)| line.contains("event=worker_found")).count();
    assert_eq!(found, 2, "{:?}", bench.log_lines);
}

// Guards against ends that are not acknowledged, because the agent stops calling a worker that has deregistered as soon as its last run
// has ended.
#[test]
fn ends_after_a_deregistration_are_acknowledged() {
    let mut bench = AgentBench::new();
    bench.run_time = std::time::Duration::from_millis(300);
    bench.order_start(1, run(0, 1));
    bench.advance(100);
    bench.deliver(RunnerEvent::WorkerDeregistered(SmolStr::new_static(WORKER)));
    bench.advance(500);
    assert_eq!(bench.outcomes(run(0, 1)).len(), 1);
    assert_eq!(bench.worker.unacknowledged().count(), 0, "{:?}", bench.log_lines);
}
