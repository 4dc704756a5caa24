//! The log lines from which an operator sees why a run counted as ended, and what a start relied on.

mod support;

use std::time::Duration;

use smol_str::SmolStr;
use support::plans::{make_options, make_plan};
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::run_frames::{
    EndEvidence, EndSign, OrderFrame, OrderId, RunEnd, RunFrame, RunHello, RunOrders, RunOutcome, RunReport, RunStart, SessionOrder,
    WorkerInfo,
};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    EndedRun, LeasePollReply, RunList, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, RunningTask, StartReply, WorkerCall,
    WorkerNotice, WorkerReply,
};
use vanillacleat_runs::entry::{CallerRequest, DispatchAction, DispatchControl, DispatchEvent, JobDraft, RequestKind};
use vanillacleat_runs::LeaseTerms;

const SESSION: SessionId = SessionId(7);
const RUN: RunId = run(1);
/// The incarnation of the entry in zone 0.
const ENTRY: Incarnation = Incarnation(0);
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };

const fn run(number: u32) -> RunId {
    RunId { task: TaskId { job: CallerJobId(0xab), step: 0, index: 0 }, run: number }
}

/// Returns the lines of an event, in order.
fn lines_of<'a>(lines: &'a [String], event: &str) -> Vec<&'a str> {
    let prefix = format!("event={event} ");
    lines.iter().filter(|line| line.starts_with(&prefix)).map(String::as_str).collect()
}

/// An agent with a settled worker and a session whose lease began at 4 ms.
struct AgentHarness {
    agent: RunnerControl,
    incarnation: u64,
    last_poll: u64,
    lines: Vec<String>,
    ends: Vec<RunEnd>,
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
        let mut harness = Self { agent: RunnerControl::new(options), incarnation: 0, last_poll: 0, lines: Vec::new(), ends: Vec::new() };
        harness.deliver(1, RunnerEvent::WorkerHeartbeat(notice(1)));
        harness.answer_poll(2, &[], &[]);
        harness.deliver(3, RunnerEvent::SessionOpened { session: SESSION, address: SmolStr::new_static("entry") });
        harness
    }

    fn deliver(&mut self, at: u64, event: RunnerEvent) {
        for action in self.agent.handle(MonoTime::from_millis(at), event) {
            match action {
                RunnerAction::Call { incarnation_number, call, .. } => {
                    self.incarnation = incarnation_number;
                    if let WorkerCall::LeasePoll { number, .. } = call {
                        self.last_poll = number;
                    }
                }
                RunnerAction::Send { frame: RunFrame::Report(report), .. } => self.ends.extend(report.ends),
                RunnerAction::Log(line) => self.lines.push(line),
                _ => {}
            }
        }
    }

    /// Delivers an order that leases the session from 4 ms.
    fn order_start(&mut self, at: u64) {
        let starts = vec![RunStart { run: RUN, order: order(1), demand: DEMAND, payload: 0, route: 0, estimate: Millis(0) }];
        let orders = RunOrders {
            leased_from: Millis(4),
            payloads: vec![SmolStr::new_static("text")],
            routes: Vec::new(),
            starts,
            stops: Vec::new(),
        };
        self.deliver(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    fn reply(&mut self, at: u64, reply: WorkerReply) {
        self.deliver(at, RunnerEvent::Replied { incarnation_number: self.incarnation, reply });
    }

    /// Delivers the worker's answer to the last lease poll.
    fn answer_poll(&mut self, at: u64, running: &[RunId], ended: &[(u64, RunId)]) {
        let running = running.iter().map(|run| RunningTask { run: *run, percent: 10 }).collect();
        let ended = ended.iter().map(|(number, run)| EndedRun { number: *number, run: Some(*run), outcome: RunOutcome::Done }).collect();
        let list = RunList { born: 1, clock: 50_000 + at, running, ended, ..RunList::default() };
        self.reply(at, WorkerReply::LeasePoll(self.last_poll, LeasePollReply::Runs(list)));
    }
}

/// Returns the order of this number of an entry.
fn order(number: u64) -> OrderId {
    OrderId { entry: ENTRY, number }
}

fn notice(sequence: u64) -> WorkerNotice {
    WorkerNotice {
        worker: SmolStr::new_static("i-1"),
        born: 1,
        sequence,
        service: "desk".parse().expect("a valid name"),
        capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(1_000), accelerators: 0 },
        labels: Vec::new(),
        is_ready: true,
        cold: Millis(0),
        leaves_in: None,
    }
}

#[test]
fn agent_logs_what_a_start_and_an_end_rely_on() {
    let mut harness = AgentHarness::new();
    harness.order_start(14);
    harness.deliver(39, RunnerEvent::Tick);
    harness.reply(44, WorkerReply::Start(RUN, StartReply::Started(50_044)));
    harness.answer_poll(64, &[], &[(1, RUN)]);
    let started = "run=00000000000000ab.0.0.0#1 entry=entry";
    assert_eq!(
        lines_of(&harness.lines, "run_started"),
        [format!("event=run_started {started} calls=1 order_age_ms=10 queued_ms=0 session_left_ms=390 lease_end=50413 clock_age_ms=12")]
    );
    assert_eq!(
        lines_of(&harness.lines, "start_repeated"),
        [format!(
            "event=start_repeated {started} calls=2 order_age_ms=35 queued_ms=25 session_left_ms=365 lease_end=50438 clock_age_ms=37"
        )]
    );
    let evidence = EndEvidence { sign: EndSign::Listed, age: Some(Millis(25)), lease_left: Millis(395) };
    assert_eq!(harness.ends, [RunEnd { run: RUN, order: order(1), outcome: RunOutcome::Done, ran: Millis(20), evidence }]);
    assert_eq!(lines_of(&harness.lines, "run_ended"), [format!("event=run_ended {started} outcome=Done ran_ms=20 {evidence}")]);
}

#[test]
fn agent_logs_lapsed_lease_and_its_stops() {
    let mut harness = AgentHarness::new();
    harness.order_start(14);
    harness.reply(15, WorkerReply::Start(RUN, StartReply::Started(50_015)));
    harness.deliver(414, RunnerEvent::Tick);
    harness.deliver(439, RunnerEvent::Tick);
    assert_eq!(
        lines_of(&harness.lines, "lease_lapsed"),
        ["event=lease_lapsed entry=entry runs=1 late_ms=10 asked_age_ms=411 received_age_ms=400"]
    );
    let stops = lines_of(&harness.lines, "stop_sent");
    assert_eq!(
        stops,
        [1, 2].map(|calls| format!("event=stop_sent run=00000000000000ab.0.0.0#1 cause=lease_lapsed calls={calls}")),
        "{:?}",
        harness.lines
    );
}

#[test]
fn agent_logs_that_the_same_incarnation_is_back() {
    let mut harness = AgentHarness::new();
    harness.deliver(20, RunnerEvent::WorkerDeregistered(SmolStr::new_static("i-1")));
    harness.deliver(50, RunnerEvent::WorkerHeartbeat(notice(2)));
    assert_eq!(
        lines_of(&harness.lines, "worker_lost"),
        ["event=worker_lost worker=i-1 born=1 cause=left runs=0 sign=deregistration answer_age_ms=18 lease_left_ms=0"]
    );
    assert_eq!(
        lines_of(&harness.lines, "worker_found")[1],
        "event=worker_found worker=i-1 born=1 ready=true heartbeat=2 same=true lost_ms=30"
    );
}

#[test]
fn agent_logs_signs_of_other_workers_that_it_ignores() {
    let mut harness = AgentHarness::new();
    harness.deliver(20, RunnerEvent::WorkerDeregistered(SmolStr::new_static("i-2")));
    harness.deliver(30, RunnerEvent::WorkerHeartbeat(WorkerNotice { born: 0, ..notice(9) }));
    assert_eq!(lines_of(&harness.lines, "deregistration_ignored"), ["event=deregistration_ignored worker=i-2 known=i-1"]);
    harness.answer_poll(40, &[], &[]);
    assert_eq!(lines_of(&harness.lines, "heartbeat_refuted"), ["event=heartbeat_refuted worker=i-1 born=0 known=i-1 known_born=1"]);
    assert_eq!(lines_of(&harness.lines, "worker_lost"), [""; 0]);
}

#[test]
fn agent_logs_listed_runs_that_it_does_not_know() {
    let mut harness = AgentHarness::new();
    harness.deliver(20, RunnerEvent::WorkerDeregistered(SmolStr::new_static("i-1")));
    harness.deliver(50, RunnerEvent::WorkerHeartbeat(notice(2)));
    harness.answer_poll(60, &[run(3)], &[(1, run(1)), (2, run(2))]);
    let (first, second, third) = ("00000000000000ab.0.0.0#1", "00000000000000ab.0.0.0#2", "00000000000000ab.0.0.0#3");
    assert_eq!(lines_of(&harness.lines, "ends_unknown"), [format!("event=ends_unknown runs=2 ends={first}:Done,{second}:Done")]);
    assert_eq!(lines_of(&harness.lines, "strangers_stopped"), [format!("event=strangers_stopped runs=1 first={third} listed={third}")]);
}

/// An entry in zone 0 with a plan. Records its log lines and the sessions that starts were sent on.
struct EntryHarness {
    entry: DispatchControl,
    lines: Vec<String>,
    started_on: Vec<SessionId>,
}

impl EntryHarness {
    fn new() -> Self {
        let mut harness = Self { entry: DispatchControl::new(make_options(0)), lines: Vec::new(), started_on: Vec::new() };
        harness.deliver(1, DispatchEvent::PlanRead(make_plan(9)));
        harness
    }

    fn deliver(&mut self, at: u64, event: DispatchEvent) {
        for action in self.entry.handle(MonoTime::from_millis(at), event) {
            match action {
                DispatchAction::Send { session, frame: OrderFrame::Orders(orders) } if !orders.starts.is_empty() => {
                    self.started_on.push(session);
                }
                DispatchAction::Log(line) => self.lines.push(line),
                _ => {}
            }
        }
    }

    /// Opens a session of `agent-N`, whose process has this incarnation, and reports its worker.
    fn open_session(&mut self, at: u64, number: u64, session: u64, incarnation: u64) {
        let hello = RunHello {
            agent: format!("agent-{number}").parse().expect("a valid name"),
            incarnation: Incarnation(incarnation),
            zone: "zone-0".parse().expect("a valid name"),
            plan_version: 0,
            order: SessionOrder { process_start: ProcessStart(incarnation), number: session },
            unsettled: Vec::new(),
        };
        let worker = WorkerInfo {
            worker: SmolStr::new(format!("i-{number}")),
            service: "desk".parse().expect("a valid name"),
            capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(1_000), accelerators: 0 },
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        self.deliver(at, DispatchEvent::Frame { session: SessionId(session), frame: RunFrame::Hello(hello) });
        self.report(at, session, Some(worker), Vec::new());
    }

    fn report(&mut self, at: u64, session: u64, worker: Option<WorkerInfo>, ends: Vec<RunEnd>) {
        let report = RunReport { sent_at: Millis(1_000 + at), needs_answer: true, worker, ends, ..RunReport::default() };
        self.deliver(at, DispatchEvent::Frame { session: SessionId(session), frame: RunFrame::Report(report) });
    }

    /// Submits a job with one task.
    fn submit(&mut self, at: u64) {
        let step = JobStep { count: 1, demand: DEMAND, estimate: Millis(100), ..JobStep::default() };
        let request = CallerRequest {
            host: SmolStr::new_static("desk.example"),
            path: SmolStr::new_static("/bids/00000000000000ab"),
            caller_timeout: Some(Duration::from_secs(2)),
            kind: RequestKind::Submit(JobDraft { steps: vec![step], ..JobDraft::default() }),
        };
        self.deliver(at, DispatchEvent::Requested { reply: ReplyId(1), request });
    }
}

fn lost(number: u32) -> RunEnd {
    let evidence = EndEvidence { sign: EndSign::WorkerSilent, age: Some(Millis(530)), lease_left: Millis(0) };
    RunEnd { run: run(number), order: order(number.into()), outcome: RunOutcome::Lost, ran: Millis(500), evidence }
}

#[test]
fn entry_logs_why_a_task_is_placed_again() {
    let mut harness = EntryHarness::new();
    harness.open_session(10, 1, 11, 1);
    harness.submit(20);
    harness.report(30, 11, None, vec![lost(1)]);
    let evidence = "evidence=worker_silent evidence_age_ms=530 lease_left_ms=0";
    assert_eq!(
        lines_of(&harness.lines, "run_sent"),
        [
            "event=run_sent run=00000000000000ab.0.0.0#1 agent=agent-1 report_age_ms=10 leased_from_ms=1019 idle=true".to_owned(),
            format!(
                "event=run_sent run=00000000000000ab.0.0.0#2 agent=agent-1 report_age_ms=0 leased_from_ms=1030 idle=true after=Lost \
                 ended_ms=0 {evidence}"
            )
        ]
    );
    assert_eq!(
        lines_of(&harness.lines, "run_back"),
        [format!("event=run_back run=00000000000000ab.0.0.0#1 agent=agent-1 outcome=Lost ran_ms=500 {evidence}")]
    );
}

#[test]
fn entry_logs_ends_that_it_no_longer_expects() {
    let mut harness = EntryHarness::new();
    harness.open_session(10, 1, 11, 1);
    harness.submit(20);
    harness.report(30, 11, None, vec![lost(1)]);
    harness.report(40, 11, None, vec![lost(1)]);
    harness.open_session(50, 1, 12, 1);
    harness.report(60, 11, None, vec![lost(2)]);
    let stale: Vec<_> = lines_of(&harness.lines, "run_back").into_iter().filter(|line| line.contains(" stale=true ")).collect();
    assert_eq!(
        stale,
        ["event=run_back run=00000000000000ab.0.0.0#1 agent=agent-1 outcome=Lost ran_ms=500 evidence=worker_silent evidence_age_ms=530 \
          lease_left_ms=0 stale=true order=0000000000000000.1 expected=2@agent-1"]
    );
    assert_eq!(lines_of(&harness.lines, "report_ignored"), ["event=report_ignored session=11 ends=1 runs=00000000000000ab.0.0.0#2"]);
}

#[test]
fn entry_logs_the_runs_that_a_hello_and_the_loss_timeout_end() {
    let mut harness = EntryHarness::new();
    harness.open_session(10, 1, 11, 1);
    harness.submit(20);
    harness.open_session(70, 1, 12, 1);
    let found = lines_of(&harness.lines, "agent_found")[1];
    assert!(found.ends_with(" ended=1 contact_age_ms=50 unsettled_runs=none"), "{found}");
    harness.deliver(71, DispatchEvent::SessionClosed(SessionId(12)));
    (1..=100).for_each(|step| harness.deliver(71 + 10 * step, DispatchEvent::Tick));
    let backs = lines_of(&harness.lines, "run_back");
    assert!(
        backs[0].ends_with("#1 agent=agent-1 outcome=Lost ran_ms=0 evidence=not_unsettled evidence_age_ms=50 lease_left_ms=908"),
        "{backs:?}"
    );
    let expired = lines_of(&harness.lines, "agent_expired");
    assert_eq!(expired.len(), 1, "{:?}", harness.lines);
    assert!(expired[0].starts_with("event=agent_expired agent=agent-1 runs=1 connected=false contact_age_ms=9"), "{expired:?}");
    assert!(backs[1].contains("#2 agent=agent-1 outcome=Lost ran_ms=0 evidence=agent_expired evidence_age_ms=9"), "{backs:?}");
}

#[test]
fn entry_logs_what_a_disconnected_caller_stops() {
    let mut harness = EntryHarness::new();
    harness.open_session(10, 1, 11, 1);
    harness.submit(20);
    harness.deliver(30, DispatchEvent::CallerDisconnected(ReplyId(1)));
    assert_eq!(
        lines_of(&harness.lines, "caller_disconnected"),
        ["event=caller_disconnected job=00000000000000ab waiters=0 stopped=00000000000000ab.0.0.0#1 unreachable=none"]
    );
    let request = CallerRequest {
        host: SmolStr::new_static("desk.example"),
        path: SmolStr::new_static("/bids/00000000000000cd"),
        caller_timeout: None,
        kind: RequestKind::Query,
    };
    let events = vec![DispatchEvent::Requested { reply: ReplyId(2), request }, DispatchEvent::CallerDisconnected(ReplyId(2))];
    let actions = harness.entry.handle_batch(MonoTime::from_millis(40), Duration::ZERO, events);
    let is_withdrawn = |action: &DispatchAction| matches!(action, DispatchAction::Log(line) if line == "event=request_withdrawn host=desk.example path=/bids/00000000000000cd");
    assert!(actions.iter().any(is_withdrawn), "{actions:?}");
}
