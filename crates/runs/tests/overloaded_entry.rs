//! Pattern: an entry on a small host gets more than it can handle, and its answers to agents come late. Opening its
//! sessions anew would cost it more than the requests do.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{OrderFrame, RunFrame, RunHello, RunOrders, RunReport, RunStart, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    LeasePollReply, RunList, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, StopReply, WorkerCall, WorkerNotice, WorkerReply,
};
use vanillacleat_runs::entry::{CapacityRequest, DispatchAction, DispatchControl, DispatchEvent};
use vanillacleat_runs::LeaseTerms;

mod support;
use support::plans::{make_options, make_plan};

const SESSION: SessionId = SessionId(7);
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };

fn run(number: u32) -> RunId {
    RunId { task: TaskId { job: CallerJobId(0xabc), step: 0, index: 1 }, run: number }
}

/// An agent with a settled worker and one session.
struct Bench {
    agent: RunnerControl,
    incarnation: u64,
    nonce: u64,
    seen: Vec<RunnerAction>,
}

impl Bench {
    fn new() -> Self {
        let options = RunnerOptions {
            agent: "agent-1".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            zone: "zone-0".parse().expect("a valid name"),
            entries: Vec::new(),
            token: 100,
            terms: LeaseTerms::default(),
            drain_max: Duration::from_secs(5),
            seed: 1,
        };
        let mut bench = Self { agent: RunnerControl::new(options), incarnation: 0, nonce: 0, seen: Vec::new() };
        let notice = WorkerNotice {
            worker: SmolStr::new_static("worker"),
            born: 1,
            sequence: 1,
            service: "desk".parse().expect("a valid name"),
            capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 },
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
        };
        bench.tell(1, RunnerEvent::Announced(notice));
        let list = RunList { born: 1, clock: 50_000, running: Vec::new(), ended: Vec::new() };
        let reply = WorkerReply::LeasePoll(1, LeasePollReply::Listed(list));
        bench.tell(2, RunnerEvent::Replied { incarnation: bench.incarnation, reply });
        bench.tell(3, RunnerEvent::SessionOpened { session: SESSION, address: SmolStr::new_static("entry") });
        bench
    }

    fn tell(&mut self, at: u64, event: RunnerEvent) {
        self.seen.clear();
        for action in self.agent.handle(MonoTime::from_millis(at), event) {
            match &action {
                RunnerAction::Call { incarnation, .. } => self.incarnation = *incarnation,
                RunnerAction::Send { frame: RunFrame::Report(report), .. } => self.nonce = report.nonce,
                _ => {}
            }
            self.seen.push(action);
        }
    }

    fn order(&mut self, at: u64, echo: u64, starts: &[RunId]) {
        let starts = starts.iter().map(|run| RunStart { run: *run, demand: DEMAND, payload: 0 }).collect();
        let orders = RunOrders { echoed_nonce: echo, payloads: vec![SmolStr::new_static("text")], starts, stops: Vec::new() };
        self.tell(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    fn has_closed(&self) -> bool {
        self.seen.iter().any(|action| matches!(action, RunnerAction::Close(SESSION)))
    }

    fn calls(&self) -> Vec<WorkerCall> {
        let calls = self.seen.iter().filter_map(|action| match action {
            RunnerAction::Call { call, .. } => Some(call.clone()),
            _ => None,
        });
        calls.collect()
    }
}

#[test]
fn late_answers_end_the_runs_and_not_the_session() {
    let mut bench = Bench::new();
    bench.order(4, 1, &[run(1)]);
    assert!(bench.calls().iter().any(|call| matches!(call, WorkerCall::Start { .. })));
    bench.tell(450, RunnerEvent::Tick);
    assert!(bench.calls().iter().any(|call| matches!(call, WorkerCall::Stop { .. })), "the lease has ended");
    assert!(!bench.has_closed());
    let stopped = WorkerReply::Stop(run(1), StopReply::Taken(50_500));
    bench.tell(460, RunnerEvent::Replied { incarnation: bench.incarnation, reply: stopped });
    // A start under the ended lease is refused, and one under a new lease is called.
    bench.order(470, 1, &[run(2)]);
    assert!(!bench.calls().iter().any(|call| matches!(call, WorkerCall::Start { .. })));
    bench.tell(600, RunnerEvent::Tick);
    let asked_last = bench.nonce;
    bench.order(700, asked_last, &[run(3)]);
    assert!(bench.calls().iter().any(|call| matches!(call, WorkerCall::Start { run: started, .. } if *started == run(3))));
}

#[test]
fn a_silent_entry_is_left() {
    let mut bench = Bench::new();
    bench.order(4, 1, &[]);
    for at in (100..=1_000).step_by(50) {
        bench.tell(at, RunnerEvent::Tick);
        assert!(!bench.has_closed(), "closed at {at} ms");
    }
    bench.tell(1_004, RunnerEvent::Tick);
    assert!(bench.has_closed());
}

/// Returns an entry with one agent that was heard at 10 ms.
fn make_entry() -> DispatchControl {
    let mut entry = DispatchControl::new(make_options(0));
    entry.handle(MonoTime::from_millis(1), DispatchEvent::PlanRead(make_plan(2)));
    let hello = RunHello {
        agent: "agent-1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
        zone: "zone-0".parse().expect("a valid name"),
        plan_version: 1,
        unsettled: Vec::new(),
    };
    entry.handle(MonoTime::from_millis(9), DispatchEvent::Frame { session: SESSION, frame: RunFrame::Hello(hello) });
    report(&mut entry, 10);
    entry
}

fn report(entry: &mut DispatchControl, at: u64) {
    let offer = WorkerInfo {
        worker: SmolStr::new_static("worker"),
        service: "desk".parse().expect("a valid name"),
        capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 },
        labels: Vec::new(),
        is_ready: true,
        cold: Millis(0),
    };
    let report = RunReport { nonce: at, worker: Some(offer), ..RunReport::default() };
    entry.handle(MonoTime::from_millis(at), DispatchEvent::Frame { session: SESSION, frame: RunFrame::Report(report) });
}

/// Lets time pass in ticks; returns the moment at which the session was closed, if it was.
fn pass(entry: &mut DispatchControl, from: u64, to: u64) -> Option<u64> {
    (from..=to).step_by(10).find(|at| {
        let actions = entry.handle(MonoTime::from_millis(*at), DispatchEvent::Tick);
        actions.iter().any(|action| matches!(action, DispatchAction::Close(SESSION)))
    })
}

fn is_usable(entry: &DispatchControl, at: u64) -> bool {
    let service = "desk".parse().expect("a valid name");
    let request = CapacityRequest { service: &service, demand: &DEMAND, required_label: None, preferred_rack: None, excluded: &[] };
    let zone = "zone-0".parse().expect("a valid name");
    entry.worker_registry().choose(MonoTime::from_millis(at), &zone, &entry.plan().zones_out, &request, None).is_some()
}

#[test]
fn a_late_agent_gets_nothing_and_keeps_its_session() {
    let mut entry = make_entry();
    assert!(is_usable(&entry, 200));
    assert_eq!(pass(&mut entry, 20, 700), None);
    assert!(!is_usable(&entry, 700), "its lease may have ended");
    report(&mut entry, 705);
    assert!(is_usable(&entry, 710));
    assert_eq!(pass(&mut entry, 720, 3_000), Some(1_710));
}

#[test]
fn runs_at_a_late_agent_are_given_up_once_they_are_over() {
    let mut entry = make_entry();
    let job = support::callers::CallerState::new(1, 2, 100).request();
    entry.handle(MonoTime::from_millis(20), DispatchEvent::Requested { reply: vanillacleat_control::ReplyId(1), request: job });
    let sent = |entry: &DispatchControl| entry.job_table().jobs().map(|job| job.sent_runs().len()).sum::<usize>();
    assert!(sent(&entry) > 0);
    pass(&mut entry, 30, 960);
    assert!(sent(&entry) > 0, "the runs may be at work until 968 ms");
    pass(&mut entry, 970, 990);
    assert_eq!(sent(&entry), 0);
}
