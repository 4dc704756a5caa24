//! Tests that an agent reports the end of a run only when its worker can't run it any more. What an agent takes for the loss of
//! its worker may be wrong: the worker then goes on under its lease.

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::{LeasePollReply, RunnerEvent, StartReply, StopReply, WorkerCall, WorkerReply};
use vanillacleat_standin::WorkerModel;

mod support;
use support::agent_bench::{run, AgentBench, BORN, WORKER};
use support::site_bench::SiteBench;

/// Returns an agent whose worker runs two runs and has listed both.
fn bench_with_listed_runs() -> AgentBench {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.order_start(1, run(1, 1));
    bench.advance(300);
    assert!(bench.is_running(run(0, 1)) && bench.is_running(run(1, 1)));
    assert_eq!(bench.ends, vec![]);
    bench
}

fn is_stop(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Stop { .. })
}

fn is_start(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. })
}

fn is_poll(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::LeasePoll { .. })
}

// Guards against both tasks of a job running twice at once: the worker's list has shown their runs when the sign arrives that the agent
// takes for the loss of its worker.
#[rstest]
#[case::foreign_heartbeat(|agent: &mut AgentBench| agent.beat("i-9", BORN + 1))]
#[case::late_deregistration(|agent: &mut AgentBench| agent.deliver(RunnerEvent::WorkerDeregistered(SmolStr::new_static(WORKER))))]
fn sign_of_a_loss_doubles_no_task(#[case] deliver_sign: fn(&mut AgentBench)) {
    let mut site = SiteBench::new(2);
    site.open_session(0, 1);
    site.agents[0].run_time = Duration::from_millis(320);
    site.advance(1_000);
    site.request(1, 1);
    site.advance(1_300);
    site.agents[0].run_time = Duration::from_millis(150);
    site.width = 2;
    site.request(2, 2);
    site.open_session(1, 1);
    // The end of the first job's run answers the poll, whose list also shows the runs of the second job.
    site.advance(1_325);
    assert_eq!(site.agents[0].worker.running().count(), 2);
    deliver_sign(&mut site.agents[0]);
    site.advance(2_230);
    site.agents[0].beat(WORKER, BORN);
    site.advance(2_300);
    assert_eq!(site.double_runs(), vec![]);
}

// Guards against runs reported as lost because a heartbeat of another writer arrives.
#[test]
fn heartbeat_of_another_name_ends_no_listed_run() {
    let mut bench = bench_with_listed_runs();
    bench.beat("i-9", BORN + 1);
    bench.advance(1_200);
    bench.beat(WORKER, BORN);
    bench.advance(2_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against runs reported as lost because a heartbeat of another writer has the same start time.
#[test]
fn heartbeat_of_another_name_with_the_same_start_ends_no_listed_run() {
    let mut bench = bench_with_listed_runs();
    bench.beat("i-9", BORN);
    bench.advance(1_200);
    bench.beat(WORKER, BORN);
    bench.advance(2_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against the end of a run whose start was only answered, or not even that, when a foreign heartbeat arrives and the
// first lease poll after the worker's own heartbeat is lost.
#[test]
fn unlisted_run_outlives_no_report_after_a_foreign_heartbeat() {
    let mut bench = AgentBench::new();
    bench.advance(1_000);
    bench.order_start(1, run(0, 1));
    bench.advance(1_005);
    bench.beat("i-9", BORN + 1);
    bench.advance(1_010);
    bench.is_lost = |call| is_poll(call) || is_stop(call);
    bench.beat(WORKER, BORN);
    bench.advance(2_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a deregistration that an earlier incarnation of the same name sent, and that arrives late.
#[test]
fn late_deregistration_of_an_earlier_incarnation_ends_no_run() {
    let mut bench = bench_with_listed_runs();
    bench.deliver(RunnerEvent::WorkerDeregistered(SmolStr::new_static(WORKER)));
    bench.advance(1_200);
    bench.beat(WORKER, BORN);
    bench.advance(2_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a worker that deregisters and ends only after it has received the answer, or seconds later without one.
#[test]
fn deregistered_worker_runs_no_run_that_was_reported_as_ended() {
    let mut bench = bench_with_listed_runs();
    bench.deliver(RunnerEvent::WorkerDeregistered(SmolStr::new_static(WORKER)));
    bench.advance(2_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against runs reported as lost because a poll was answered as misdirected while the worker goes on.
#[test]
fn misdirected_poll_ends_no_listed_run() {
    let mut bench = bench_with_listed_runs();
    let sent = bench.last_sent();
    let WorkerCall::LeasePoll { number, .. } = sent.call else {
        panic!("the last call is the poll that is pending");
    };
    bench.reply(&sent, WorkerReply::LeasePoll(number, LeasePollReply::OtherIncarnation));
    bench.advance(1_200);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against runs reported as lost because the stop of another run was answered as misdirected.
#[test]
fn misdirected_stop_ends_no_listed_run() {
    let mut bench = bench_with_listed_runs();
    let sent = bench.last_sent();
    bench.reply(&sent, WorkerReply::Stop(run(5, 1), StopReply::OtherIncarnation));
    bench.advance(1_200);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against runs reported as lost because the start of another run was answered as misdirected.
#[test]
fn misdirected_start_ends_no_listed_run() {
    let mut bench = bench_with_listed_runs();
    bench.is_lost = is_start;
    bench.order_start(1, run(2, 1));
    bench.advance(bench.now() + 2);
    let sent = bench.lost_calls[0].clone();
    bench.reply(&sent, WorkerReply::Start(run(2, 1), StartReply::OtherIncarnation));
    bench.advance(1_200);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a repeated start that is delayed and executed by the worker's next incarnation of the same name, after the
// run was reported as lost with the earlier one.
#[test]
fn delayed_start_runs_at_no_later_incarnation_after_its_end_was_reported() {
    let mut bench = AgentBench::new();
    bench.is_lost = is_start;
    bench.order_start(1, run(0, 1));
    bench.advance(30);
    bench.is_lost = |_| false;
    let delayed = bench.lost_calls[0].clone();
    bench.advance(300);
    assert!(bench.is_running(run(0, 1)), "the second call has started the run");
    let (now, capacity) = (bench.now(), bench.worker.capacity);
    bench.worker = WorkerModel::new(MonoTime::from_millis(now), WORKER, BORN + 1, capacity);
    bench.beat(WORKER, BORN + 1);
    bench.execute(&delayed);
    bench.advance(600);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a start that is in transit when a silent worker is given up, and is executed by its next incarnation.
#[test]
fn delayed_start_runs_at_no_later_incarnation_after_the_worker_was_given_up() {
    let mut bench = AgentBench::new();
    bench.is_lost = |_| true;
    bench.order_start(1, run(0, 1));
    bench.advance(1_000);
    let (now, capacity) = (bench.now(), bench.worker.capacity);
    bench.worker = WorkerModel::new(MonoTime::from_millis(now), WORKER, BORN + 1, capacity);
    let delayed = bench.lost_calls[0].clone();
    bench.execute(&delayed);
    bench.is_lost = |_| false;
    bench.advance(bench.now() + 20);
    bench.beat(WORKER, BORN + 1);
    bench.advance(bench.now() + 500);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against leases that are longer than meant at an incarnation that began at an earlier wall-clock time, because the clock was
// set back: its heartbeats count as late, and its clock is below the estimate of the former one.
#[test]
fn incarnation_with_an_earlier_start_time_gets_no_longer_leases() {
    let mut bench = AgentBench::new();
    bench.advance(3_000);
    let (now, capacity) = (bench.now(), bench.worker.capacity);
    bench.worker = WorkerModel::new(MonoTime::from_millis(now), WORKER, BORN - 1, capacity);
    bench.beat(WORKER, BORN - 1);
    bench.order_start(1, run(0, 1));
    bench.advance(3_200);
    bench.is_lost = |_| true;
    bench.advance(6_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a run that is never reported as ended, because its worker left before it listed the run, and did not return.
#[test]
fn run_of_a_worker_that_does_not_return_ends() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(22);
    bench.deliver(RunnerEvent::WorkerDeregistered(SmolStr::new_static(WORKER)));
    bench.is_lost = |_| true;
    bench.advance(3_000);
    assert_eq!(bench.outcomes(run(0, 1)), vec![RunOutcome::Lost]);
}

// Guards against an agent that reaches the end of its drain and reports the runs of a worker that goes on under its lease.
#[test]
fn drain_timeout_ends_no_run_at_the_worker() {
    let mut bench = bench_with_listed_runs();
    bench.deliver(RunnerEvent::Drain);
    bench.advance(5_000);
    assert!(bench.is_drained);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against an agent that exits while a start call is unanswered and may still be executed.
#[test]
fn drained_agent_leaves_no_start_that_may_be_executed() {
    let mut bench = AgentBench::new();
    bench.deliver(RunnerEvent::Drain);
    bench.is_lost = |_| true;
    bench.advance(30);
    assert_eq!(bench.outlived(), vec![]);
    let mut bench = AgentBench::new();
    bench.is_lost = |_| true;
    bench.order_start(1, run(0, 1));
    bench.deliver(RunnerEvent::Drain);
    while !bench.is_drained && bench.now() < 6_000 {
        bench.advance(bench.now() + 1);
    }
    let last_start = bench.lost_calls.iter().rfind(|sent| is_start(&sent.call)).cloned().expect("a start was sent");
    bench.execute(&last_start);
    bench.advance(bench.now() + 1_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a run that outlives its entry because its stops are lost while polls for other runs renew the worker's lease.
#[test]
fn run_of_a_lapsed_session_ends_although_its_stops_are_lost() {
    let mut bench = bench_with_listed_runs();
    bench.order_start(2, run(2, 1));
    bench.advance(400);
    bench.is_lost = is_stop;
    bench.answering.remove(&SessionId(1));
    bench.advance(400 + 958);
    assert!(!bench.is_running(run(0, 1)), "the entry of session 1 may have placed the run again");
}

// Guards against the same run if the session was lost and no other entry has runs at the worker.
#[test]
fn run_of_a_lost_session_ends_although_its_stops_are_lost() {
    let mut bench = bench_with_listed_runs();
    bench.is_lost = is_stop;
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(1)), address: SmolStr::new_static("entry-1") });
    bench.advance(300 + 958);
    assert!(!bench.is_running(run(0, 1)), "the entry of session 1 may have placed the run again");
}

// Guards against tasks of a worker that is lost for good, which are placed again later than its lease requires: the ends of runs that
// it had confirmed are held back by nothing, and starts that no connection carried to it come back at once.
#[test]
fn runs_of_a_lost_worker_end_with_its_lease() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(2_000);
    assert!(bench.is_running(run(0, 1)));
    bench.refuses_connections = true;
    bench.order_start(1, run(1, 1));
    bench.advance(2_000 + 150 + 520);
    let reported = |run| bench.ends.iter().find(|(_, _, end)| end.run == run).map(|(_, at, end)| (*at, end.outcome));
    assert_eq!(reported(run(0, 1)).map(|(_, outcome)| outcome), Some(RunOutcome::Lost));
    assert_eq!(reported(run(1, 1)), Some((2_001, RunOutcome::Closed)));
}

// Guards against a run that is never reported as ended because its start was not answered and its worker does not return.
#[test]
fn unanswered_start_of_a_lost_worker_ends_after_its_transit_time() {
    let mut bench = AgentBench::new();
    bench.is_lost = |_| true;
    bench.order_start(1, run(0, 1));
    bench.advance(20 + 125 + 520 + 1_980);
    assert_eq!(bench.outcomes(run(0, 1)), vec![]);
    bench.advance(20 + 150 + 520 + 2_020);
    assert_eq!(bench.outcomes(run(0, 1)), vec![RunOutcome::Lost]);
    let line = bench.log_lines.iter().rfind(|(_, line)| line.starts_with("event=run_ended")).expect("the end is logged");
    assert!(line.1.contains("evidence=start_unresolved"), "{line:?}");
}

// Guards against a run whose end is held back for longer than its worker's silence, or whose start is executed after its end.
#[test]
fn unanswered_start_of_a_worker_that_answers_again_is_stopped_there() {
    let mut bench = AgentBench::new();
    bench.is_lost = |_| true;
    bench.order_start(1, run(0, 1));
    bench.advance(1_000);
    let start = bench.lost_calls[0].clone();
    bench.is_lost = |_| false;
    bench.advance(1_250);
    assert_eq!(bench.outcomes(run(0, 1)).len(), 1, "its worker has shown that it does not run");
    bench.execute(&start);
    assert!(!bench.is_running(run(0, 1)));
    bench.order_start(1, run(1, 1));
    bench.advance(1_300);
    assert!(bench.is_running(run(1, 1)), "the worker accepts starts again");
}
