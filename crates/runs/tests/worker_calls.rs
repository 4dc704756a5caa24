//! Calls of a worker that are lost, repeated or overtake each other, seen by one agent.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{OrderFrame, RunEnd, RunFrame, RunOrders, RunOutcome, RunStart};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    EndedRun, LeasePollReply, RunList, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, RunningTask, StartRefusal, StartReply,
    StopReply, WorkerCall, WorkerNotice, WorkerReply,
};
use vanillacleat_runs::LeaseTerms;

const SESSION: SessionId = SessionId(7);
const RUN: RunId = RunId { task: TaskId { job: CallerJobId(0xabc), step: 0, index: 1 }, run: 1 };

/// An agent with a settled worker and a session whose lease is valid.
struct Bench {
    agent: RunnerControl,
    incarnation: u64,
    calls: Vec<WorkerCall>,
    ends: Vec<RunEnd>,
    nonce: u64,
}

impl Bench {
    fn new() -> Self {
        let options = RunnerOptions {
            agent: "agent-1".parse().expect("a valid name"),
            incarnation: Incarnation(1),
            zone: "burgos".parse().expect("a valid name"),
            entries: vec![SmolStr::new_static("entry")],
            token: 100,
            terms: LeaseTerms::default(),
            drain_max: Duration::from_secs(5),
            seed: 1,
        };
        let mut bench = Self { agent: RunnerControl::new(options), incarnation: 0, calls: Vec::new(), ends: Vec::new(), nonce: 0 };
        bench.tell(1, RunnerEvent::Announced(notice(1)));
        bench.list(2, 1, &[], &[]);
        bench.tell(3, RunnerEvent::SessionOpened { session: SESSION, address: SmolStr::new_static("entry") });
        bench.renew(4);
        bench
    }

    fn tell(&mut self, at: u64, event: RunnerEvent) {
        for action in self.agent.handle(MonoTime::from_millis(at), event) {
            match action {
                RunnerAction::Call { incarnation, call, .. } => {
                    self.incarnation = incarnation;
                    self.calls.push(call);
                }
                RunnerAction::Send { frame: RunFrame::Report(report), .. } => {
                    self.nonce = report.nonce;
                    self.ends.extend(report.ends);
                }
                _ => {}
            }
        }
    }

    fn renew(&mut self, at: u64) {
        let orders = RunOrders { echoed_nonce: self.nonce, ..RunOrders::default() };
        self.tell(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    fn order(&mut self, at: u64) {
        let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
        let orders = RunOrders {
            echoed_nonce: self.nonce,
            payloads: vec![SmolStr::new_static("text")],
            starts: vec![RunStart { run: RUN, demand, payload: 0 }],
            stops: Vec::new(),
        };
        self.tell(at, RunnerEvent::Frame { session: SESSION, frame: OrderFrame::Orders(orders) });
    }

    fn list(&mut self, at: u64, hold: u64, running: &[RunId], ended: &[(u64, RunOutcome)]) {
        let running = running.iter().map(|run| RunningTask { run: *run, percent: 10 }).collect();
        let ended = ended.iter().map(|(number, outcome)| EndedRun { number: *number, run: Some(RUN), outcome: *outcome }).collect();
        let list = RunList { born: 1, clock: 50_000 + at, running, ended };
        let reply = WorkerReply::LeasePoll(hold, LeasePollReply::Listed(list));
        self.tell(at, RunnerEvent::Replied { incarnation: self.incarnation, reply });
    }

    fn answer_start(&mut self, at: u64, reply: StartReply) {
        self.tell(at, RunnerEvent::Replied { incarnation: self.incarnation, reply: WorkerReply::Start(RUN, reply) });
    }

    fn last_hold(&self) -> u64 {
        let numbers =
            self.calls.iter().filter_map(|call| if let WorkerCall::LeasePoll { number, .. } = call { Some(*number) } else { None });
        numbers.max().expect("a hold was made")
    }

    fn starts(&self) -> usize {
        self.calls.iter().filter(|call| matches!(call, WorkerCall::Start { .. })).count()
    }

    fn outcomes(&self) -> Vec<RunOutcome> {
        self.ends.iter().map(|end| end.outcome).collect()
    }
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
    }
}

#[test]
fn unanswered_starts_are_called_again() {
    let mut bench = Bench::new();
    bench.order(10);
    assert_eq!(bench.starts(), 1);
    bench.tell(30, RunnerEvent::Tick);
    assert_eq!(bench.starts(), 1);
    bench.tell(36, RunnerEvent::Tick);
    assert_eq!(bench.starts(), 2);
    bench.answer_start(40, StartReply::Started(50_040));
    bench.tell(100, RunnerEvent::Tick);
    assert_eq!((bench.starts(), bench.outcomes()), (2, vec![]));
}

#[test]
fn an_earlier_hold_that_arrives_late_loses_no_run() {
    let mut bench = Bench::new();
    bench.order(10);
    bench.tell(36, RunnerEvent::Tick);
    let early = bench.last_hold();
    bench.tell(150, RunnerEvent::Tick);
    let late = bench.last_hold();
    assert_ne!(early, late, "a hold that is not answered is made again");
    bench.list(160, late, &[RUN], &[]);
    bench.list(161, early, &[], &[]);
    bench.list(162, bench.last_hold(), &[RUN], &[]);
    assert_eq!(bench.outcomes(), vec![]);
}

#[test]
fn a_repeated_start_after_the_end_is_no_failure() {
    let mut bench = Bench::new();
    bench.order(10);
    bench.tell(36, RunnerEvent::Tick);
    bench.answer_start(40, StartReply::Refused(StartRefusal::Outdated, 50_040));
    assert_eq!(bench.outcomes(), vec![]);
    bench.list(45, bench.last_hold(), &[], &[(1, RunOutcome::Done)]);
    assert_eq!(bench.outcomes(), vec![RunOutcome::Done]);
}

#[test]
fn a_lost_session_stops_its_runs() {
    let mut bench = Bench::new();
    bench.order(10);
    bench.answer_start(12, StartReply::Started(50_012));
    bench.tell(900, RunnerEvent::Tick);
    assert!(bench.calls.contains(&WorkerCall::Stop { run: RUN }));
}

#[test]
fn an_earlier_hold_makes_no_ended_run_a_stranger() {
    let mut bench = Bench::new();
    bench.order(10);
    bench.tell(36, RunnerEvent::Tick);
    let early = bench.last_hold();
    bench.tell(150, RunnerEvent::Tick);
    bench.list(160, bench.last_hold(), &[], &[(1, RunOutcome::Done)]);
    bench.list(161, early, &[RUN], &[]);
    assert_eq!(bench.outcomes(), vec![RunOutcome::Done]);
    assert!(!bench.calls.contains(&WorkerCall::Stop { run: RUN }));
}

#[test]
fn strangers_are_stopped() {
    let mut bench = Bench::new();
    bench.order(10);
    bench.answer_start(12, StartReply::Started(50_012));
    let stranger = RunId { run: 9, ..RUN };
    bench.list(60, bench.last_hold(), &[RUN, stranger], &[]);
    assert!(bench.calls.contains(&WorkerCall::Stop { run: stranger }));
}

#[test]
fn a_run_of_an_earlier_life_may_have_run() {
    let mut bench = Bench::new();
    bench.order(10);
    bench.answer_start(12, StartReply::Started(50_012));
    bench.tell(14, RunnerEvent::Announced(notice(2)));
    let stop = WorkerReply::Stop(RUN, StopReply::Taken(60_000));
    bench.tell(16, RunnerEvent::Replied { incarnation: bench.incarnation, reply: stop });
    let list = RunList { born: 2, clock: 60_020, running: Vec::new(), ended: Vec::new() };
    bench.tell(
        17,
        RunnerEvent::Replied {
            incarnation: bench.incarnation,
            reply: WorkerReply::LeasePoll(bench.last_hold(), LeasePollReply::Listed(list.clone())),
        },
    );
    bench.tell(90, RunnerEvent::Tick);
    bench.tell(
        95,
        RunnerEvent::Replied {
            incarnation: bench.incarnation,
            reply: WorkerReply::LeasePoll(bench.last_hold(), LeasePollReply::Listed(list)),
        },
    );
    assert_eq!(bench.outcomes(), vec![RunOutcome::Stopped]);
}
