//! Tests of how an agent handles calls to its worker that are lost, repeated or answered out of order.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{OrderFrame, OrderId, OrderedRun, RunEnd, RunFrame, RunOrders, RunOutcome, RunStart};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    EndedRun, LeasePollReply, RunList, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, RunningTask, StartRejection, StartReply,
    StopReply, WorkerCall, WorkerNotice, WorkerReply,
};
use vanillacleat_runs::LeaseTerms;

const SESSION: SessionId = SessionId(7);
const RUN: RunId = RunId { task: TaskId { job: CallerJobId(0xabc), step: 0, index: 1 }, run: 1 };

/// The order that starts [`RUN`].
const ORDER: OrderId = OrderId { entry: Incarnation(1), number: 1 };

/// An agent with a settled worker and a session whose lease is valid. Records what the agent does.
struct AgentHarness {
    agent: RunnerControl,
    incarnation: u64,
    /// All calls to the worker.
    calls: Vec<WorkerCall>,
    /// All ends that were reported to the entry.
    ends: Vec<RunEnd>,
    /// Nonce of the last report.
    reported_at: Millis,
}

impl AgentHarness {
    fn new() -> Self {
        let options = RunnerOptions {
            agent: "agent-1".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            zone: "burgos".parse().expect("a valid name"),
            entries: vec![SmolStr::new_static("entry")],
            fencing_token: 100,
            lease_terms: LeaseTerms::default(),
            drain_timeout: Duration::from_secs(5),
            seed: 1,
        };
        let mut harness =
            Self { agent: RunnerControl::new(options), incarnation: 0, calls: Vec::new(), ends: Vec::new(), reported_at: Millis(0) };
        harness.deliver(1, RunnerEvent::WorkerHeartbeat(notice(1)));
        harness.answer_lease_poll(2, 1, &[], &[]);
        harness.deliver(3, RunnerEvent::SessionOpened { session: SESSION, address: SmolStr::new_static("entry") });
        harness.renew_lease(4);
        harness
    }

    /// Delivers an event to the agent and records its calls and reports.
    fn deliver(&mut self, at: u64, event: RunnerEvent) {
        for action in self.agent.handle(MonoTime::from_millis(at), event) {
            match action {
                RunnerAction::Call { incarnation_number, call, .. } => {
                    self.incarnation = incarnation_number;
                    self.calls.push(call);
                }
                RunnerAction::Send { frame: RunFrame::Report(report), .. } => {
                    self.reported_at = report.sent_at;
                    self.ends.extend(report.ends);
                }
                _ => {}
            }
        }
    }

    /// Delivers the entry's answer to the last report, which renews the session's lease.
    fn renew_lease(&mut self, at: u64) {
        let orders = RunOrders { leased_from: self.reported_at, ..RunOrders::default() };
        self.deliver(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    /// Delivers the entry's order to start [`RUN`].
    fn order_start(&mut self, at: u64) {
        let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
        let orders = RunOrders {
            leased_from: self.reported_at,
            payloads: vec![SmolStr::new_static("text")],
            routes: Vec::new(),
            starts: vec![RunStart { run: RUN, order: ORDER, demand, payload: 0, route: 0, estimate: Millis(0) }],
            stops: Vec::new(),
        };
        self.deliver(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    /// Delivers the worker's answer to a lease poll, with its lists of runs.
    fn answer_lease_poll(&mut self, at: u64, poll: u64, running: &[RunId], ended: &[(u64, RunOutcome)]) {
        let ended = ended.iter().map(|(number, outcome)| EndedRun { number: *number, run: Some(RUN), outcome: *outcome }).collect();
        self.answer_with_list(at, poll, RunList { running: list_runs(running), ended, ..RunList::default() });
    }

    /// Delivers the worker's answer to a lease poll, with lists of which the clock and the start are set.
    fn answer_with_list(&mut self, at: u64, poll: u64, list: RunList) {
        let list = RunList { born: 1, clock: 50_000 + at, ..list };
        let reply = WorkerReply::LeasePoll(poll, LeasePollReply::Runs(list));
        self.deliver(at, RunnerEvent::Replied { incarnation_number: self.incarnation, reply });
    }

    /// Delivers the worker's answer to the start of [`RUN`].
    fn answer_start(&mut self, at: u64, reply: StartReply) {
        self.deliver(at, RunnerEvent::Replied { incarnation_number: self.incarnation, reply: WorkerReply::Start(RUN, reply) });
    }

    /// Returns the number of the last lease poll.
    fn last_poll(&self) -> u64 {
        let mut numbers =
            self.calls.iter().filter_map(|call| if let WorkerCall::LeasePoll { number, .. } = call { Some(*number) } else { None });
        numbers.next_back().expect("a lease poll was sent")
    }

    /// Returns the number of start calls.
    fn start_calls(&self) -> usize {
        self.calls.iter().filter(|call| matches!(call, WorkerCall::Start { .. })).count()
    }

    /// Returns the reported outcomes, in order.
    fn outcomes(&self) -> Vec<RunOutcome> {
        self.ends.iter().map(|end| end.outcome).collect()
    }
}

fn list_runs(runs: &[RunId]) -> Vec<RunningTask> {
    runs.iter().map(|run| RunningTask { run: *run, percent: 10 }).collect()
}

fn notice(born: u64) -> WorkerNotice {
    WorkerNotice {
        worker: SmolStr::new_static("i-1"),
        born,
        sequence: 1,
        service: "desk".parse().expect("a valid name"),
        capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(1_000), accelerators: 0 },
        labels: Vec::new(),
        is_ready: true,
        cold: Millis(0),
        leaves_in: None,
    }
}

#[test]
fn unanswered_starts_are_retried() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    assert_eq!(harness.start_calls(), 1);
    harness.deliver(30, RunnerEvent::Tick);
    assert_eq!(harness.start_calls(), 1);
    harness.deliver(36, RunnerEvent::Tick);
    assert_eq!(harness.start_calls(), 2);
    harness.answer_start(40, StartReply::Started(50_040));
    harness.deliver(100, RunnerEvent::Tick);
    assert_eq!((harness.start_calls(), harness.outcomes()), (2, vec![]));
}

// The answer to an earlier poll, from before the run started, arrives after a newer answer that lists the run. The run must
// not be reported as lost because the earlier answer does not list it.
#[test]
fn overtaken_lease_poll_answer_does_not_lose_a_run() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.deliver(36, RunnerEvent::Tick);
    let early = harness.last_poll();
    harness.deliver(150, RunnerEvent::Tick);
    let late = harness.last_poll();
    assert_ne!(early, late, "an unanswered lease poll is repeated");
    harness.answer_lease_poll(160, late, &[RUN], &[]);
    harness.answer_lease_poll(161, early, &[], &[]);
    harness.answer_lease_poll(162, harness.last_poll(), &[RUN], &[]);
    assert_eq!(harness.outcomes(), vec![]);
}

// The answer to the first start call was lost. The retry is rejected because the run has already ended; only the worker's
// list shows its outcome.
#[test]
fn retried_start_after_the_end_is_not_a_failure() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.deliver(36, RunnerEvent::Tick);
    harness.answer_start(40, StartReply::Rejected(StartRejection::Outdated, 50_040));
    assert_eq!(harness.outcomes(), vec![]);
    harness.answer_lease_poll(45, harness.last_poll(), &[], &[(1, RunOutcome::Done)]);
    assert_eq!(harness.outcomes(), vec![RunOutcome::Done]);
}

#[test]
fn runs_of_a_lost_session_are_stopped() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.answer_start(12, StartReply::Started(50_012));
    harness.deliver(900, RunnerEvent::Tick);
    assert!(harness.calls.contains(&WorkerCall::Stop { run: RUN }));
}

// The answer to an earlier poll still lists a run whose end was reported by a newer answer. The run must not be stopped as
// one that the agent never started.
#[test]
fn overtaken_lease_poll_answer_does_not_make_an_ended_run_unknown() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.deliver(36, RunnerEvent::Tick);
    let early = harness.last_poll();
    harness.deliver(150, RunnerEvent::Tick);
    harness.answer_lease_poll(160, harness.last_poll(), &[], &[(1, RunOutcome::Done)]);
    harness.answer_lease_poll(161, early, &[RUN], &[]);
    assert_eq!(harness.outcomes(), vec![RunOutcome::Done]);
    assert!(!harness.calls.contains(&WorkerCall::Stop { run: RUN }));
}

#[test]
fn unknown_runs_are_stopped() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.answer_start(12, StartReply::Started(50_012));
    let unknown_run = RunId { run: 9, ..RUN };
    harness.answer_lease_poll(60, harness.last_poll(), &[RUN, unknown_run], &[]);
    assert!(harness.calls.contains(&WorkerCall::Stop { run: unknown_run }));
}

// The run may have worked before its worker restarted, so it must not be reported with an outcome that means it never ran.
#[test]
fn run_of_an_earlier_incarnation_is_reported_as_stopped() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.answer_start(12, StartReply::Started(50_012));
    harness.deliver(14, RunnerEvent::WorkerHeartbeat(notice(2)));
    let list = RunList { born: 2, clock: 60_020, ..RunList::default() };
    // The new incarnation confirms its heartbeat.
    harness.deliver(
        15,
        RunnerEvent::Replied {
            incarnation_number: harness.incarnation,
            reply: WorkerReply::LeasePoll(harness.last_poll(), LeasePollReply::Runs(list.clone())),
        },
    );
    let stop = WorkerReply::Stop(RUN, StopReply::Accepted(60_000));
    harness.deliver(16, RunnerEvent::Replied { incarnation_number: harness.incarnation, reply: stop });
    harness.deliver(
        17,
        RunnerEvent::Replied {
            incarnation_number: harness.incarnation,
            reply: WorkerReply::LeasePoll(harness.last_poll(), LeasePollReply::Runs(list.clone())),
        },
    );
    harness.deliver(90, RunnerEvent::Tick);
    harness.deliver(
        95,
        RunnerEvent::Replied {
            incarnation_number: harness.incarnation,
            reply: WorkerReply::LeasePoll(harness.last_poll(), LeasePollReply::Runs(list)),
        },
    );
    assert_eq!(harness.outcomes(), vec![RunOutcome::Stopped]);
}

/// Returns a list of running runs of which a row could not be read.
fn incomplete_list(running: &[RunId]) -> RunList {
    RunList { running: list_runs(running), is_complete: false, ..RunList::default() }
}

// Guards against a run that is placed again while it is running, because the row of the list that names it is malformed.
#[test]
fn run_that_an_incomplete_list_does_not_name_is_not_lost() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.answer_start(12, StartReply::Started(50_012));
    harness.answer_lease_poll(60, harness.last_poll(), &[RUN], &[]);
    harness.answer_with_list(90, harness.last_poll(), incomplete_list(&[]));
    assert_eq!(harness.outcomes(), vec![]);
    harness.deliver(140, RunnerEvent::Tick);
    harness.answer_lease_poll(145, harness.last_poll(), &[], &[]);
    harness.deliver(146, RunnerEvent::Tick);
    assert_eq!(harness.outcomes(), vec![RunOutcome::Lost]);
}

// Guards against a stop that never ends, because a malformed row stays in the list.
#[test]
fn stopped_run_that_incomplete_lists_do_not_name_ends_after_the_stop_timeout() {
    let mut harness = AgentHarness::new();
    harness.order_start(10);
    harness.answer_start(12, StartReply::Started(50_012));
    harness.answer_lease_poll(60, harness.last_poll(), &[RUN], &[]);
    harness.renew_lease(61);
    let stops = RunOrders { leased_from: harness.reported_at, stops: vec![OrderedRun { run: RUN, order: ORDER }], ..RunOrders::default() };
    harness.deliver(62, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(stops) });
    let stop = WorkerReply::Stop(RUN, StopReply::Accepted(50_063));
    harness.deliver(63, RunnerEvent::Replied { incarnation_number: harness.incarnation, reply: stop });
    let stop_time = LeaseTerms::default().stop_timeout.as_millis() as u64;
    let mut ended_at = None;
    for at in (70..2_000).step_by(5) {
        harness.deliver(at, RunnerEvent::Tick);
        harness.answer_with_list(at + 1, harness.last_poll(), incomplete_list(&[]));
        ended_at = ended_at.or((!harness.ends.is_empty()).then_some(at));
    }
    assert_eq!(harness.outcomes(), vec![RunOutcome::Stopped]);
    assert!(ended_at.is_some_and(|at| at > 63 + stop_time), "{ended_at:?}");
}

// Guards against a start at a worker that may be running what the agent doesn't know.
#[test]
fn worker_with_an_incomplete_list_is_not_settled() {
    let mut harness = AgentHarness::new();
    harness.deliver(10, RunnerEvent::WorkerHeartbeat(notice(2)));
    let list = |is_complete| RunList { born: 2, clock: 60_020, is_complete, ..RunList::default() };
    for (at, is_complete) in [(12, false), (60, false), (120, true), (180, true)] {
        let reply = WorkerReply::LeasePoll(harness.last_poll(), LeasePollReply::Runs(list(is_complete)));
        harness.deliver(at, RunnerEvent::Replied { incarnation_number: harness.incarnation, reply });
        harness.renew_lease(at + 1);
        harness.order_start(at + 2);
        harness.deliver(at + 30, RunnerEvent::Tick);
        assert!(is_complete || harness.start_calls() == 0, "a start at {at} ms");
    }
    assert!(harness.start_calls() > 0);
}
