//! Tests that no figure of a worker or an entry ends an agent's control thread or keeps its worker out of use.

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{KnownSpeeds, OrderFrame, OrderId, OrderedRun, RouteSpeed, RunOrders, RunOutcome, RunStart};
use vanillacleat_core::units::{Megabytes, Millis};
use vanillacleat_runs::agent::{EndedRun, LeasePollReply, RunList, RunnerEvent, RunningTask, WorkerNotice, WorkerReply};

mod support;
use support::agent_bench::{run, AgentBench, BORN, DEMAND, WORKER};

/// An amount of resources at the end of its range.
const AMOUNT_MAX: ResourceAmount = ResourceAmount { millicores: u64::MAX, memory: Megabytes(u64::MAX), accelerators: u32::MAX };
/// Number of the sessions of the bench.
const SESSION: u64 = 1;

fn deliver_frame(bench: &mut AgentBench, frame: OrderFrame) {
    bench.deliver(RunnerEvent::Frame { session: SessionId(SESSION), frame });
}

/// Returns an order whose figures are at the end of their range.
fn extreme_start(index: u16, payload: u16, route: u16) -> RunStart {
    let order = OrderId { entry: Incarnation(u64::MAX), number: u64::MAX };
    RunStart { run: run(index, u32::MAX), order, demand: AMOUNT_MAX, payload, route, estimate: Millis(u64::MAX) }
}

// Guards against an entry whose figures end the agents of its site.
#[test]
fn orders_beyond_all_bounds_are_handled() {
    let mut bench = AgentBench::new();
    for leased_from in [0, u64::MAX / 1_000 + 1, u64::MAX] {
        let orders = RunOrders {
            leased_from: Millis(leased_from),
            payloads: vec![SmolStr::new_static("text")],
            routes: vec![SmolStr::new_static("route")],
            starts: vec![
                extreme_start(0, 0, 0),
                extreme_start(1, u16::MAX, 0),
                extreme_start(2, 0, u16::MAX),
                RunStart { demand: DEMAND, ..extreme_start(4, 0, 0) },
            ],
            stops: vec![OrderedRun { run: run(3, u32::MAX), order: OrderId { entry: Incarnation(0), number: 0 } }],
        };
        deliver_frame(&mut bench, OrderFrame::Orders(orders));
        let end = bench.now() + 50;
        bench.advance(end);
    }
    let speed = |runs| RouteSpeed { route: "route".into(), typical_percent: u32::MAX, high_percent: u32::MAX, runs };
    for runs in [0, 1, u32::MAX] {
        deliver_frame(&mut bench, OrderFrame::Speeds(KnownSpeeds { kind: None, routes: vec![speed(runs)] }));
    }
    bench.order_start(2, run(9, 1));
    let end = bench.now() + 200;
    bench.advance(end);
    assert!(bench.is_running(run(9, 1)), "{:?}", bench.log_lines);
}

// Guards against a heartbeat whose figures end the agent, or after which its worker is out of use.
#[rstest]
#[case::capacity(|notice: &mut WorkerNotice| notice.capacity = AMOUNT_MAX)]
#[case::cold(|notice: &mut WorkerNotice| notice.cold = Millis(u64::MAX))]
#[case::leaves_in(|notice: &mut WorkerNotice| notice.leaves_in = Some(Millis(u64::MAX)))]
#[case::other_name(|notice: &mut WorkerNotice| notice.worker = "i-2".into())]
#[case::later_start(|notice: &mut WorkerNotice| notice.born = u64::MAX)]
#[case::earlier_start(|notice: &mut WorkerNotice| notice.born = 0)]
fn heartbeat_beyond_all_bounds_leaves_the_worker_in_use(#[case] change: fn(&mut WorkerNotice)) {
    let mut bench = AgentBench::new();
    let mut notice = bench.notice(WORKER, BORN);
    change(&mut notice);
    bench.deliver(RunnerEvent::WorkerHeartbeat(notice));
    let end = bench.now() + 200;
    bench.advance(end);
    bench.beat(WORKER, BORN);
    bench.order_start(2, run(9, 1));
    let end = bench.now() + 200;
    bench.advance(end);
    assert!(bench.is_running(run(9, 1)), "{:?}", bench.log_lines);
}

// Guards against a list whose figures end the agent.
#[test]
fn list_beyond_all_bounds_is_handled() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(9, 1));
    bench.holds_calls = true;
    let end = bench.now() + 300;
    bench.advance(end);
    for clock in [0, 1, u64::MAX] {
        let list = RunList {
            born: BORN,
            clock,
            running: vec![RunningTask { run: run(9, 1), percent: u8::MAX }, RunningTask { run: run(7, u32::MAX), percent: 0 }],
            ended: vec![EndedRun { number: u64::MAX, run: Some(run(8, 0)), outcome: RunOutcome::Lost }],
            ..RunList::default()
        };
        let incarnation_number = bench.last_sent().incarnation_number;
        for number in 0..20 {
            let reply = WorkerReply::LeasePoll(number, LeasePollReply::Runs(list.clone()));
            bench.deliver(RunnerEvent::Replied { incarnation_number, reply });
        }
        let end = bench.now() + 100;
        bench.advance(end);
    }
    bench.deliver(RunnerEvent::HostSuspended(Duration::from_secs(u64::MAX)));
    let end = bench.now() + 100;
    bench.advance(end);
}
