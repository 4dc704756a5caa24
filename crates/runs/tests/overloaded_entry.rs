//! Tests of the sessions with an overloaded entry: an entry on a small host receives more requests than it can handle, so it
//! answers the reports of agents late. The runs must end with their leases, but the sessions must stay open for a while:
//! reopening them would cost the entry more than the requests do.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{OrderFrame, OrderId, RunFrame, RunHello, RunOrders, RunReport, RunStart, SessionOrder, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    LeasePollReply, RunList, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, StopReply, WorkerCall, WorkerNotice, WorkerReply,
};
use vanillacleat_runs::entry::{CapacityRequest, DispatchAction, DispatchControl, DispatchEvent, RoomClaim, WorkerPool};
use vanillacleat_runs::LeaseTerms;

mod support;
use support::plans::{make_options, make_plan};

const SESSION: SessionId = SessionId(7);
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };

/// Returns the first run of the task of this index.
fn run(index: u16) -> RunId {
    RunId { task: TaskId { job: CallerJobId(0xabc), step: 0, index }, run: 1 }
}

/// Returns the order that starts a run.
fn order(run: &RunId) -> OrderId {
    OrderId { entry: Incarnation(1), number: u64::from(run.task.index) }
}

/// An agent with a settled worker and one session. Records what the agent does.
struct AgentHarness {
    agent: RunnerControl,
    incarnation: u64,
    /// When the agent sent its last report.
    reported_at: Millis,
    /// Actions that followed the last event.
    actions: Vec<RunnerAction>,
}

impl AgentHarness {
    fn new() -> Self {
        let options = RunnerOptions {
            agent: "agent-1".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            zone: "zone-0".parse().expect("a valid name"),
            entries: vec![SmolStr::new_static("entry")],
            fencing_token: 100,
            lease_terms: LeaseTerms::default(),
            drain_timeout: Duration::from_secs(5),
            seed: 1,
        };
        let mut harness = Self { agent: RunnerControl::new(options), incarnation: 0, reported_at: Millis(0), actions: Vec::new() };
        let notice = WorkerNotice {
            worker: SmolStr::new_static("worker"),
            born: 1,
            sequence: 1,
            service: "desk".parse().expect("a valid name"),
            capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 },
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        harness.deliver(1, RunnerEvent::WorkerHeartbeat(notice));
        let list = RunList { born: 1, clock: 50_000, ..RunList::default() };
        let reply = WorkerReply::LeasePoll(1, LeasePollReply::Runs(list));
        harness.deliver(2, RunnerEvent::Replied { incarnation_number: harness.incarnation, reply });
        harness.deliver(3, RunnerEvent::SessionOpened { session: SESSION, address: SmolStr::new_static("entry") });
        harness
    }

    /// Delivers an event to the agent and records the resulting actions.
    fn deliver(&mut self, at: u64, event: RunnerEvent) {
        self.actions.clear();
        for action in self.agent.handle(MonoTime::from_millis(at), event) {
            match &action {
                RunnerAction::Call { incarnation_number, .. } => self.incarnation = *incarnation_number,
                RunnerAction::Send { frame: RunFrame::Report(report), .. } => self.reported_at = report.sent_at,
                _ => {}
            }
            self.actions.push(action);
        }
    }

    /// Delivers the entry's orders to start runs. They renew the lease from the time of a report.
    fn order_starts(&mut self, at: u64, leased_from: u64, starts: &[RunId]) {
        let starts = starts
            .iter()
            .map(|run| RunStart { run: *run, order: order(run), demand: DEMAND, payload: 0, route: 0, estimate: Millis(0) })
            .collect();
        let orders = RunOrders {
            leased_from: Millis(leased_from),
            payloads: vec![SmolStr::new_static("text")],
            routes: Vec::new(),
            starts,
            stops: Vec::new(),
        };
        self.deliver(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    /// Returns whether the agent closed the session after the last event.
    fn has_closed(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, RunnerAction::Close(SESSION)))
    }

    /// Returns the calls to the worker that followed the last event.
    fn calls(&self) -> Vec<WorkerCall> {
        let calls = self.actions.iter().filter_map(|action| match action {
            RunnerAction::Call { call, .. } => Some(call.clone()),
            _ => None,
        });
        calls.collect()
    }
}

#[test]
fn late_answers_stop_the_runs_but_keep_the_session() {
    let mut harness = AgentHarness::new();
    harness.order_starts(4, 1, &[run(1)]);
    assert!(harness.calls().iter().any(|call| matches!(call, WorkerCall::Start { .. })));
    harness.deliver(450, RunnerEvent::Tick);
    assert!(harness.calls().iter().any(|call| matches!(call, WorkerCall::Stop { .. })), "the lease has expired");
    assert!(!harness.has_closed());
    let stopped = WorkerReply::Stop(run(1), StopReply::Accepted(50_500));
    harness.deliver(460, RunnerEvent::Replied { incarnation_number: harness.incarnation, reply: stopped });
    // A start is rejected under the expired lease and executed under a new one.
    harness.order_starts(470, 1, &[run(2)]);
    assert!(!harness.calls().iter().any(|call| matches!(call, WorkerCall::Start { .. })));
    harness.deliver(600, RunnerEvent::Tick);
    let reported_at = harness.reported_at;
    harness.order_starts(700, reported_at.0, &[run(3)]);
    assert!(harness.calls().iter().any(|call| matches!(call, WorkerCall::Start { run: started, .. } if *started == run(3))));
}

/// Delivers ticks every 50 ms; returns when the agent closed the session, if it did by `to`.
fn find_close(harness: &mut AgentHarness, from: u64, to: u64) -> Option<u64> {
    (from..=to).step_by(50).find(|at| {
        harness.deliver(*at, RunnerEvent::Tick);
        harness.has_closed()
    })
}

#[test]
fn session_with_a_silent_entry_is_closed() {
    // The report that is due 120 ms after the first one is not answered.
    let mut harness = AgentHarness::new();
    harness.order_starts(4, 1, &[run(1)]);
    assert_eq!(find_close(&mut harness, 50, 3_000), Some(1_150));
}

#[test]
fn idle_session_is_closed_after_one_more_report_interval() {
    let mut harness = AgentHarness::new();
    harness.order_starts(4, 1, &[]);
    assert_eq!(find_close(&mut harness, 50, 4_000), Some(2_050));
}

/// Returns an entry with one agent, whose last report was received at 10 ms.
fn make_entry() -> DispatchControl {
    let mut entry = DispatchControl::new(make_options(0));
    entry.handle(MonoTime::from_millis(1), DispatchEvent::PlanRead(make_plan(2)));
    let hello = RunHello {
        agent: "agent-1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
        order: SessionOrder::default(),
        zone: "zone-0".parse().expect("a valid name"),
        plan_version: 1,
        unsettled: Vec::new(),
    };
    entry.handle(MonoTime::from_millis(9), DispatchEvent::Frame { session: SESSION, frame: RunFrame::Hello(hello) });
    deliver_report(&mut entry, 10);
    entry
}

/// Delivers a report of the agent to the entry.
fn deliver_report(entry: &mut DispatchControl, at: u64) {
    let worker = WorkerInfo {
        worker: SmolStr::new_static("worker"),
        service: "desk".parse().expect("a valid name"),
        capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 },
        labels: Vec::new(),
        is_ready: true,
        cold: Millis(0),
        leaves_in: None,
    };
    let report = RunReport { sent_at: Millis(at), needs_answer: true, worker: Some(worker), ..RunReport::default() };
    entry.handle(MonoTime::from_millis(at), DispatchEvent::Frame { session: SESSION, frame: RunFrame::Report(report) });
}

/// Delivers a tick every 10 ms; returns the time at which the entry closed the session, if it did.
fn run_ticks(entry: &mut DispatchControl, from: u64, to: u64) -> Option<u64> {
    (from..=to).step_by(10).find(|at| {
        let actions = entry.handle(MonoTime::from_millis(*at), DispatchEvent::Tick);
        actions.iter().any(|action| matches!(action, DispatchAction::Close(SESSION)))
    })
}

/// Returns whether the entry would send a start to the worker.
fn is_usable(entry: &DispatchControl, at: u64) -> bool {
    let service = "desk".parse().expect("a valid name");
    let request = CapacityRequest {
        service: &service,
        demand: &DEMAND,
        required_label: None,
        preferred_rack: None,
        excluded: &[],
        claim: RoomClaim::Urgent,
        pool: WorkerPool::All,
        timing: None,
    };
    let zone = "zone-0".parse().expect("a valid name");
    entry.worker_registry().choose_worker(MonoTime::from_millis(at), &zone, &entry.plan().zones_out, &request, None).is_some()
}

#[test]
fn agent_with_late_reports_receives_no_starts_but_keeps_its_session() {
    let mut entry = make_entry();
    let request = support::callers::CallerState::new(1, 2, 100).request();
    entry.handle(MonoTime::from_millis(20), DispatchEvent::Requested { reply: vanillacleat_control::ReplyId(1), request });
    assert!(is_usable(&entry, 200));
    assert_eq!(run_ticks(&mut entry, 30, 700), None);
    assert!(!is_usable(&entry, 700), "its lease may have expired");
    deliver_report(&mut entry, 705);
    assert!(is_usable(&entry, 710));
    assert_eq!(run_ticks(&mut entry, 720, 4_000), Some(3_210));
}

#[test]
fn idle_agent_receives_starts_between_two_of_its_reports() {
    let mut entry = make_entry();
    assert_eq!(run_ticks(&mut entry, 20, 1_400), None);
    assert!(is_usable(&entry, 1_400));
    assert!(!is_usable(&entry, 1_520), "a report is overdue");
}

#[test]
fn start_at_an_idle_agent_leases_from_a_time_that_has_passed_there() {
    let mut entry = make_entry();
    run_ticks(&mut entry, 20, 900);
    let request = support::callers::CallerState::new(1, 2, 100).request();
    let event = DispatchEvent::Requested { reply: vanillacleat_control::ReplyId(1), request };
    let actions = entry.handle(MonoTime::from_millis(910), event);
    let leased_from = actions.iter().find_map(|action| match action {
        DispatchAction::Send { frame: OrderFrame::Orders(orders), .. } => Some(orders.leased_from),
        _ => None,
    });
    // The last report, at 10 ms on both clocks, is 900 ms old, and the agent's clock may be 2% slow.
    assert_eq!(leased_from, Some(Millis(892)));
}

#[test]
fn runs_at_an_agent_with_late_reports_are_abandoned_after_their_leases() {
    let mut entry = make_entry();
    let request = support::callers::CallerState::new(1, 2, 100).request();
    entry.handle(MonoTime::from_millis(20), DispatchEvent::Requested { reply: vanillacleat_control::ReplyId(1), request });
    let sent_runs = |entry: &DispatchControl| entry.job_table().jobs().map(|job| job.sent_runs().len()).sum::<usize>();
    assert!(sent_runs(&entry) > 0);
    // The last report was received at 10 ms, and the runs of an agent end within 958 ms of its last report.
    run_ticks(&mut entry, 30, 960);
    assert!(sent_runs(&entry) > 0, "the runs may be running until 968 ms");
    run_ticks(&mut entry, 970, 990);
    assert_eq!(sent_runs(&entry), 0);
}

/// Delivers a request to the entry in one batch with the events that waited for `lag`; returns whether it was admitted.
fn is_admitted(entry: &mut DispatchControl, at: u64, lag: u64, job: u64) -> bool {
    let request = support::callers::CallerState::new(job, 2, 100).request();
    let event = DispatchEvent::Requested { reply: vanillacleat_control::ReplyId(job), request };
    let actions = entry.handle_batch(MonoTime::from_millis(at), Duration::from_millis(lag), vec![event]);
    !actions.iter().any(|action| matches!(action, DispatchAction::Reply { .. }))
}

#[test]
fn entry_that_is_behind_refuses_at_once_until_it_has_caught_up() {
    let mut entry = make_entry();
    run_ticks(&mut entry, 20, 100);
    assert!(is_admitted(&mut entry, 105, 90, 1));
    assert!(!is_admitted(&mut entry, 110, 150, 2), "events wait for more than a quarter of the session lease");
    run_ticks(&mut entry, 120, 200);
    assert!(is_admitted(&mut entry, 205, 0, 3));
}

#[test]
fn entry_that_was_paused_admits_what_has_waited() {
    let mut entry = make_entry();
    run_ticks(&mut entry, 20, 100);
    assert!(is_admitted(&mut entry, 1_600, 1_490, 1), "it was paused, and has not too much to do");
}

#[test]
fn late_reports_of_most_agents_show_that_the_entry_is_behind() {
    let mut entry = make_entry();
    for at in (20..=500).step_by(10) {
        entry.handle(MonoTime::from_millis(at), DispatchEvent::Tick);
    }
    // The report was sent 150 ms before, while the first one took no time.
    let report = RunReport { sent_at: Millis(360), needs_answer: true, ..RunReport::default() };
    entry.handle(MonoTime::from_millis(510), DispatchEvent::Frame { session: SESSION, frame: RunFrame::Report(report) });
    run_ticks(&mut entry, 520, 530);
    assert!(!is_admitted(&mut entry, 535, 0, 1));
    deliver_report(&mut entry, 540);
    run_ticks(&mut entry, 550, 560);
    assert!(is_admitted(&mut entry, 565, 0, 2));
}
