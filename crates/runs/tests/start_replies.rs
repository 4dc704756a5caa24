//! Tests that the reply to one start call says nothing about other calls for the same run, which may be executed later.

use rstest::rstest;
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_runs::agent::{StartRejection, StartReply, WorkerCall, WorkerReply};

mod support;
use support::agent_bench::{run, AgentBench, SentCall};

fn is_start(call: &WorkerCall) -> bool {
    matches!(call, WorkerCall::Start { .. })
}

/// Returns an agent that has sent the start of a run twice, and both calls, which the worker has not received.
fn bench_with_two_start_calls() -> (AgentBench, SentCall, SentCall) {
    let mut bench = AgentBench::new();
    bench.advance(1_000);
    bench.is_lost = is_start;
    bench.order_start(1, run(0, 1));
    bench.advance(1_032);
    bench.is_lost = |_| false;
    let calls = bench.lost_calls.clone();
    assert_eq!(calls.len(), 2);
    (bench, calls[0].clone(), calls[1].clone())
}

// Guards against a start that counts as rejected, because one of its calls was, while the other call is executed later.
#[rstest]
fn rejection_of_one_call_ends_no_run_that_another_call_starts(
    #[values(
        StartReply::Shed,
        StartReply::Rejected(StartRejection::NoRoom, 101_030),
        StartReply::Rejected(StartRejection::Late, 101_030),
        StartReply::Rejected(StartRejection::Fenced, 101_030),
        StartReply::Rejected(StartRejection::Malformed, 101_030),
        StartReply::OtherIncarnation
    )]
    reply: StartReply,
    #[values(true, false)] is_first_rejected: bool,
    #[values(1, 60, 150, 380)] delay: u64,
) {
    let (mut bench, first, second) = bench_with_two_start_calls();
    let (rejected, delayed) = if is_first_rejected { (first, second) } else { (second, first) };
    bench.reply(&rejected, WorkerReply::Start(run(0, 1), reply));
    bench.advance(bench.now() + delay);
    bench.execute(&delayed);
    bench.advance(bench.now() + 1_500);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against the reply to a call for a former order that is taken for the reply to a later order of the same run: the run was
// ended and ordered again while the call was open.
#[rstest]
fn reply_to_a_former_order_ends_no_run_of_a_later_one(#[values(0, 20)] delay: u64) {
    let (mut bench, first, second) = bench_with_two_start_calls();
    let shed = bench.execute(&second);
    bench.reply(&second, shed);
    // The second call has started the run; its end is listed while the first call is still open.
    bench.worker.slowness = 0;
    bench.advance(bench.now() + 10);
    assert_eq!(bench.outcomes(run(0, 1)), vec![RunOutcome::Done]);
    bench.worker.slowness = 1;
    bench.is_lost = is_start;
    bench.order_start(2, run(0, 1));
    bench.advance(bench.now() + 2 + delay);
    bench.reply(&first, WorkerReply::Start(run(0, 1), StartReply::Shed));
    let later = bench.lost_calls.last().cloned().expect("the later order was sent");
    bench.execute(&later);
    bench.advance(bench.now() + 1_500);
    assert_eq!(bench.outlived(), vec![]);
}
