//! Tests that an agent gives up a silent worker only when the worker's lease has ended, although the agent was paused and calls
//! that it made before are sent after the pause.

use rstest::rstest;
use vanillacleat_core::run_frames::{OrderFrame, OrderedRun, RunOrders};
use vanillacleat_runs::agent::{RunnerEvent, WorkerCall};
use vanillacleat_runs::LeaseTerms;

mod support;
use support::agent_bench::{run, AgentBench, SentCall};

fn is_start(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. })
}

/// Returns an agent with a listed run on a worker whose clock has this rate, in percent, and with a lease poll and the start of a
/// second run that the agent has made and not yet sent.
fn bench_with_unsent_calls(clock_percent: u32) -> AgentBench {
    let mut bench = AgentBench::new();
    bench.worker.clock_percent = clock_percent;
    bench.advance(2_000);
    bench.order_start(1, run(0, 1));
    bench.advance(2_305);
    assert!(bench.is_running(run(0, 1)));
    bench.order_start(1, run(1, 1));
    bench
}

// Guards against a start that was created before a pause of the agent, is sent after it, and is accepted although the agent has
// given up the worker meanwhile, because the answer to its poll was lost.
#[rstest]
fn start_sent_after_a_pause_is_not_accepted_once_the_worker_was_given_up(
    #[values(100, 98)] clock_percent: u32,
    #[values(450, 520, 600, 1_000, 2_000)] pause: u64,
) {
    let mut bench = bench_with_unsent_calls(clock_percent);
    let unsent = bench.take_calls();
    assert!(unsent.iter().any(|sent| is_start(&sent.call)));
    bench.advance_paused(2_305 + pause);
    bench.fail_open_polls();
    let is_given_up = !bench.outcomes(run(0, 1)).is_empty();
    assert_eq!(is_given_up, pause >= 520);
    for sent in &unsent {
        let reply = bench.execute(sent);
        bench.reply(sent, reply);
    }
    bench.advance(bench.now() + 1_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against the same if the start is executed by the worker and its answer is lost too, and a stop overtakes it.
#[rstest]
fn start_that_is_overtaken_by_its_stop_does_not_run(#[values(100, 98)] clock_percent: u32, #[values(100, 300, 390)] delay: u64) {
    let mut bench = bench_with_unsent_calls(clock_percent);
    let unsent = bench.take_calls();
    let stops = RunOrders { stops: vec![OrderedRun { run: run(1, 1), order: bench.orders[&run(1, 1)] }], ..RunOrders::default() };
    bench.deliver(RunnerEvent::Frame { session: vanillacleat_control::SessionId(1), frame: OrderFrame::Orders(stops) });
    bench.advance(bench.now() + delay);
    for sent in unsent.iter().filter(|sent| is_start(&sent.call)) {
        bench.execute(sent);
    }
    bench.advance(bench.now() + 1_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a worker whose steady clock stands still while the host is suspended, so that its lease goes on afterwards. The
// agent's clock counts the suspension.
#[test]
fn worker_that_was_suspended_is_not_given_up_while_its_lease_goes_on() {
    let mut bench = bench_with_unsent_calls(100);
    bench.advance(2_310);
    bench.advance_suspended(3_310);
    bench.fail_open_polls();
    bench.is_lost = |_| true;
    bench.advance(bench.now() + 2_000);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against leases that are longer than meant after the worker's clock stood still: the estimate of it is then no lower
// bound any more.
#[rstest]
#[case::noticed(AgentBench::advance_suspended)]
#[case::unnoticed(AgentBench::advance_unnoticed)]
fn lease_after_a_suspension_is_not_longer_than_before(#[case] suspend: fn(&mut AgentBench, u64)) {
    let mut bench = bench_with_unsent_calls(100);
    bench.advance(2_310);
    suspend(&mut bench, 3_310);
    bench.advance(4_000);
    assert!(bench.is_running(run(0, 1)) || !bench.outcomes(run(0, 1)).is_empty());
    bench.order_start(1, run(2, 1));
    bench.advance(bench.now() + 150);
    assert!(bench.is_running(run(2, 1)));
    bench.take_calls();
    bench.advance_paused(bench.now() + 408 + 50);
    assert!(!bench.is_running(run(2, 1)), "the agent is silent for longer than a lease");
}

// Guards against a first call after a suspension that asks for a lease which is longer than meant by the time of the suspension.
#[test]
fn first_lease_after_a_suspension_is_not_longer_than_meant() {
    let mut bench = bench_with_unsent_calls(100);
    bench.advance(2_310);
    bench.take_calls();
    bench.advance_suspended(2_800);
    bench.order_start(1, run(2, 1));
    let lease_end = |sent: SentCall| match sent.call {
        WorkerCall::Start { lease_end, .. } | WorkerCall::LeasePoll { lease_end: Some(lease_end), .. } => Some(lease_end),
        _ => None,
    };
    let lease_ends: Vec<u64> = bench.take_calls().into_iter().filter_map(lease_end).collect();
    let latest = bench.worker.clock(bench.worker_time()) + LeaseTerms::default().worker_lease.as_millis() as u64;
    assert!(!lease_ends.is_empty() && lease_ends.iter().all(|end| *end <= latest), "{lease_ends:?}, {latest} at the latest");
}
