//! Tests of frames of an agent's sessions that overtake each other: sessions are separate connections.

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::run_frames::{
    EntryRecord, OrderFrame, OrderId, OrderedRun, RunFrame, RunHello, RunOrders, RunOutcome, RunStart, SessionOrder,
};
use vanillacleat_core::units::Millis;
use vanillacleat_runs::agent::{RunnerEvent, WorkerCall};
use vanillacleat_runs::entry::DispatchEvent;

mod support;
use support::agent_bench::{run, AgentBench, DEMAND};
use support::site_bench::{Direction, SiteBench};

/// Time within which the runs of an agent that falls silent end.
const LOSS_TIMEOUT: u64 = 958;

/// Returns a site whose entry has sent a run to agent 0, which runs it, while agent 1 has room.
fn site_with_a_run() -> SiteBench {
    let mut site = SiteBench::new(2);
    site.open_session(0, 1);
    site.advance(1_000);
    site.request(1, 1);
    site.advance(1_100);
    assert_eq!(site.starts.len(), 1);
    assert_eq!(site.agents[0].worker.running().count(), 1);
    site.open_session(1, 1);
    site.advance(1_200);
    site
}

/// Returns a hello of agent 0 without unsettled runs. The agent's process has the incarnation 1 and started at 100.
fn make_hello(incarnation: u64, process_start: u64, number: u64) -> RunHello {
    RunHello {
        agent: "agent-1".parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
        order: SessionOrder { process_start: ProcessStart(process_start), number },
        zone: "zone-0".parse().expect("a valid name"),
        plan_version: 1,
        unsettled: Vec::new(),
    }
}

/// Delivers a hello of agent 0 on a new session.
fn deliver_hello(site: &mut SiteBench, session: SessionId, incarnation: u64, process_start: u64, number: u64) {
    let hello = make_hello(incarnation, process_start, number);
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::Frame { session, frame: RunFrame::Hello(hello) }]);
}

/// Returns the session with agent 0 that the entry uses.
fn used_session(site: &SiteBench) -> Option<SessionId> {
    site.entry.worker_registry().get(&"agent-1".parse().expect("a valid name")).and_then(|worker| worker.session)
}

// Guards against a hello that is delivered after that of a later session, when the entry has already sent starts on the later one.
// The late one comes from the same process of the agent, or from an earlier one.
#[rstest]
#[case::same_incarnation(1, 100, 0)]
#[case::earlier_incarnation(0, 99, 7)]
fn late_hello_of_an_earlier_session_ends_no_run(#[case] incarnation: u64, #[case] process_start: u64, #[case] number: u64) {
    let mut site = site_with_a_run();
    let session = SessionId(99);
    deliver_hello(&mut site, session, incarnation, process_start, number);
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::SessionClosed(session)]);
    site.advance(1_200 + LOSS_TIMEOUT - 200);
    assert_eq!(site.double_runs(), vec![]);
    assert_eq!(site.entry.outdated_hellos(), 1);
}

// Guards against the same hello when the entry has lost the later session, while the run still has a lease.
#[rstest]
#[case::same_incarnation(1, 100, 0)]
#[case::earlier_incarnation(0, 99, 7)]
fn late_hello_after_a_lost_session_ends_no_run(#[case] incarnation: u64, #[case] process_start: u64, #[case] number: u64) {
    let mut site = site_with_a_run();
    site.cut(SiteBench::session(0, 1));
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::SessionClosed(SiteBench::session(0, 1))]);
    deliver_hello(&mut site, SessionId(99), incarnation, process_start, number);
    site.advance(1_200 + LOSS_TIMEOUT - 200);
    assert_eq!(site.double_runs(), vec![]);
    assert_eq!(used_session(&site), None);
}

// Guards against an agent that stays shut out because it has restarted after its wall clock was set back. The process that it
// replaced sends nothing more, and is then taken for the earlier one.
#[test]
fn agent_whose_clock_was_set_back_is_accepted_once_no_run_is_left() {
    let mut site = site_with_a_run();
    let former = SiteBench::session(0, 1);
    site.cut(former);
    deliver_hello(&mut site, SessionId(97), 2, 50, 1);
    assert_eq!(used_session(&site), Some(former), "the former process may be running the run");
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::SessionClosed(former)]);
    site.advance(1_200 + LOSS_TIMEOUT);
    deliver_hello(&mut site, SessionId(98), 2, 50, 2);
    assert_eq!(used_session(&site), Some(SessionId(98)));
    deliver_hello(&mut site, SessionId(99), 1, 100, 2);
    assert_eq!(used_session(&site), Some(SessionId(98)), "a late hello of the former process");
    deliver_hello(&mut site, SessionId(100), 3, 101, 1);
    assert_eq!(used_session(&site), Some(SessionId(100)));
}

// Guards against an agent that opens a second session with an entry while the first one is open, which happens if the entry is
// deselected and selected again during a dial: the hello has to list the runs of the first.
#[test]
fn second_session_with_the_same_entry_ends_no_run() {
    let mut site = site_with_a_run();
    site.open_session(0, 2);
    site.advance(1_200 + LOSS_TIMEOUT);
    assert_eq!(site.double_runs(), vec![]);
}

// Guards against a second session that is introduced although the first one is open, and against the loss of the first because the
// second one closes or its dial fails.
#[test]
fn surplus_session_is_closed_without_a_hello() {
    let mut bench = AgentBench::new();
    let address = SmolStr::new_static("entry-1");
    let (hellos, dials) = (bench.hellos.len(), dials_of_entry_1(&bench));
    bench.order_start(1, run(0, 1));
    bench.deliver(RunnerEvent::SessionOpened { session: SessionId(3), address: address.clone() });
    assert_eq!(bench.closed_sessions, vec![SessionId(3)]);
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(3)), address: address.clone() });
    bench.deliver(RunnerEvent::SessionClosed { session: None, address });
    bench.advance(2_000);
    assert_eq!(bench.hellos.len(), hellos);
    assert!(bench.is_running(run(0, 1)));
    assert_eq!(dials_of_entry_1(&bench), dials);
}

/// Returns an agent whose dial of `entry-1` is open although the entry was deselected meanwhile and selected again.
fn bench_with_a_dial_of_a_reselected_entry() -> AgentBench {
    let record = |number: u64, millicores: u64| EntryRecord {
        address: SmolStr::new(format!("entry-{number}")),
        zone: Some("zone-0".parse().expect("a valid name")),
        millicores,
    };
    let others = |millicores: u64| (3..40).map(move |number| record(number, millicores));
    let mut bench = AgentBench::settled(1);
    bench.advance(100);
    assert_eq!(dials_of_entry_1(&bench), 1);
    // The records of larger entries are read, and then they are replaced by smaller ones.
    bench.deliver(RunnerEvent::EntriesRead(others(1_000_000).chain([record(1, 1)]).collect()));
    bench.advance(200);
    bench.deliver(RunnerEvent::EntriesRead(others(1).chain([record(1, 1_000_000)]).collect()));
    bench.advance(600);
    bench
}

fn dials_of_entry_1(bench: &AgentBench) -> usize {
    bench.dials.iter().filter(|address| *address == "entry-1").count()
}

// Guards against the second session of the tests above: a dial that is open when its entry is deselected and selected again.
#[test]
fn entry_is_not_dialed_again_while_a_dial_is_open() {
    let bench = bench_with_a_dial_of_a_reselected_entry();
    assert_eq!(dials_of_entry_1(&bench), 1, "the first dial has neither succeeded nor failed");
}

// Guards against an entry that is not dialed any more because its dial was open when it was selected again.
#[test]
fn reselected_entry_is_dialed_again_once_its_dial_has_failed() {
    let mut bench = bench_with_a_dial_of_a_reselected_entry();
    bench.deliver(RunnerEvent::SessionClosed { session: None, address: SmolStr::new_static("entry-1") });
    bench.advance(800);
    assert_eq!(dials_of_entry_1(&bench), 2);
}

// Guards against an order that arrives on a session that the agent has closed, after the hello of the next one.
#[test]
fn order_on_a_closed_session_starts_nothing() {
    let mut bench = AgentBench::new();
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(1)), address: SmolStr::new_static("entry-1") });
    bench.deliver(RunnerEvent::SessionOpened { session: SessionId(3), address: SmolStr::new_static("entry-1") });
    bench.order_start(1, run(0, 1));
    bench.advance(300);
    assert!(!bench.is_running(run(0, 1)));
}

// Guards against a run that the agent still has when it opens the next session, but does not list.
#[test]
fn hello_lists_the_runs_that_are_being_stopped() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(30);
    bench.is_lost = |call| matches!(call, WorkerCall::Stop { .. });
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(1)), address: SmolStr::new_static("entry-1") });
    bench.deliver(RunnerEvent::SessionOpened { session: SessionId(3), address: SmolStr::new_static("entry-1") });
    let (_, hello) = bench.hellos.last().expect("a hello was sent");
    assert_eq!(hello.unsettled, vec![OrderedRun { run: run(0, 1), order: bench.orders[&run(0, 1)] }]);
}

// Guards against the end of an order that the entry had given up, which is taken for the end of a later order of the same number:
// the job was removed and submitted again, and its runs are counted from one again. After an interruption of the link its
// two directions resume at different times.
#[rstest]
fn end_of_a_former_order_is_not_taken_for_that_of_a_later_one(#[values(0, 5, 100)] delay: u64) {
    let mut site = SiteBench::new(2);
    site.open_session(0, 1);
    site.advance(1_100);
    let session = SiteBench::session(0, 1);
    site.cut(session);
    site.request(1, 1);
    site.advance(1_200);
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::CallerDisconnected(ReplyId(1))]);
    site.advance(1_200 + 1_300);
    assert_eq!(site.entry.job_table().jobs().count(), 0, "the run was given up, and the job removed");
    site.open_session(1, 1);
    site.held.remove(&(session, Direction::ToEntry));
    site.advance(site.now() + delay);
    site.request(1, 2);
    site.advance(site.now() + delay);
    site.restore(session);
    site.advance(3_500);
    assert!(site.starts.len() >= 2);
    assert_eq!(site.double_runs(), vec![]);
}

// Guards against a hello that lists a former order of a run, which is taken for the later order of the same number: the later one was
// lost with its session, and its entry would wait for its end for ever.
#[rstest]
#[case::later_order_is_listed(0, 1)]
#[case::former_order_is_listed(1, 0)]
fn unsettled_run_of_a_former_order_is_not_that_of_a_later_one(#[case] orders_before: u64, #[case] sent_after: usize) {
    let mut site = site_with_a_run();
    let sent_runs = |site: &SiteBench| site.entry.job_table().jobs().flat_map(|job| job.sent_runs()).collect::<Vec<_>>();
    let (OrderedRun { run, order }, _) = sent_runs(&site)[0].clone();
    let listed = OrderedRun { run, order: OrderId { number: order.number - orders_before, ..order } };
    let hello = RunHello { unsettled: vec![listed], ..make_hello(1, 100, 2) };
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::Frame { session: SessionId(98), frame: RunFrame::Hello(hello) }]);
    assert_eq!(sent_runs(&site).iter().filter(|(sent, _)| sent.order == order).count(), sent_after);
}

// Guards against an order that is ignored because the agent still has a run of the same number for another entry: the entry that
// sent it would wait for its end for ever.
#[test]
fn order_for_a_run_of_another_entry_is_answered() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(30);
    bench.is_lost = |call| matches!(call, WorkerCall::Stop { .. });
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(1)), address: SmolStr::new_static("entry-1") });
    bench.advance(50);
    bench.order_start(2, run(0, 1));
    bench.is_lost = |_| false;
    bench.advance(2_000);
    let is_answered = bench.ends.iter().any(|(session, _, end)| *session == SessionId(2) && end.run == run(0, 1));
    assert!(is_answered || bench.is_running(run(0, 1)), "entry 2 learns nothing of its order");
}

// Guards against an entry that stops a run which another entry ordered under the same number.
#[test]
fn stop_of_another_entry_stops_no_run() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(30);
    let order = OrderId { entry: Incarnation(2), number: 1 };
    let orders = RunOrders {
        leased_from: Millis(bench.now()),
        payloads: vec![SmolStr::new_static("text")],
        routes: Vec::new(),
        starts: vec![RunStart { run: run(0, 1), order, demand: DEMAND, payload: 0, route: 0, estimate: Millis(0) }],
        stops: vec![OrderedRun { run: run(0, 1), order }],
    };
    bench.deliver(RunnerEvent::Frame { session: SessionId(2), frame: OrderFrame::Orders(orders) });
    bench.advance(500);
    assert!(bench.is_running(run(0, 1)), "{:?}", bench.outcomes(run(0, 1)));
    assert!(!bench.outcomes(run(0, 1)).contains(&RunOutcome::Stopped));
}

/// Returns an agent that runs run 1 of a task for entry 1, for which entry 2 has ordered run 2 of the same task.
fn bench_with_a_shared_run() -> AgentBench {
    let mut bench = AgentBench::new();
    bench.run_time = Duration::from_millis(300);
    bench.order_start(1, run(0, 1));
    bench.advance(30);
    bench.order_start(2, run(0, 2));
    bench.advance(100);
    assert!(bench.is_running(run(0, 1)) && !bench.is_running(run(0, 2)), "the worker must not run the task twice");
    assert_eq!(bench.ends, vec![], "entry 2 would place its task elsewhere");
    bench
}

/// Returns the ends that were reported on a session, with their runs.
fn ends_on(bench: &AgentBench, session: u64) -> Vec<(RunId, RunOutcome)> {
    let ends = bench.ends.iter().filter(|(reported_on, _, _)| *reported_on == SessionId(session));
    ends.map(|(_, _, end)| (end.run, end.outcome)).collect()
}

// Guards against two runs of a task at one worker for two entries, and against an entry that is not told of the end.
#[test]
fn run_that_two_entries_ordered_ends_for_both_when_it_ends() {
    let mut bench = bench_with_a_shared_run();
    bench.advance(1_000);
    assert_eq!(ends_on(&bench, 1), vec![(run(0, 1), RunOutcome::Done)]);
    assert_eq!(ends_on(&bench, 2), vec![(run(0, 2), RunOutcome::Done)]);
}

// Guards against the stop of one of two entries: it stops nothing while the other one has not stopped its order, and tells it of no
// end while the run goes on.
#[rstest]
#[case::first_entry_stops(1)]
#[case::second_entry_stops(2)]
fn run_that_two_entries_ordered_stops_once_both_have_stopped_it(#[case] first: u64) {
    let mut bench = bench_with_a_shared_run();
    bench.order_stop(first, run(0, first as u32));
    bench.advance(200);
    assert!(bench.is_running(run(0, 1)));
    assert_eq!(bench.ends, vec![]);
    bench.order_stop(3 - first, run(0, 3 - first as u32));
    bench.advance(300);
    assert_eq!(ends_on(&bench, 1), vec![(run(0, 1), RunOutcome::Stopped)]);
    assert_eq!(ends_on(&bench, 2), vec![(run(0, 2), RunOutcome::Stopped)]);
    assert_eq!(bench.outlived(), vec![]);
}

// Guards against a run that goes on for one entry after the other one has lost the agent and placed the task again.
#[rstest]
#[case::first_entry_lost(1)]
#[case::second_entry_lost(2)]
fn run_that_two_entries_ordered_stops_if_one_is_lost(#[case] lost: u64) {
    let mut bench = bench_with_a_shared_run();
    let address = SmolStr::new(format!("entry-{lost}"));
    bench.deliver(RunnerEvent::SessionClosed { session: Some(SessionId(lost)), address });
    bench.advance(200);
    assert!(!bench.is_running(run(0, 1)));
    assert_eq!(ends_on(&bench, 3 - lost), vec![(run(0, 3 - lost as u32), RunOutcome::Stopped)]);
    assert_eq!(bench.outlived(), vec![]);
}
