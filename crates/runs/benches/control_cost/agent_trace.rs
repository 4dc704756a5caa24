//! One agent with a model worker and sessions with entries that order runs in turn. Calls are answered after a millisecond, and
//! reports after another.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{OrderFrame, OrderId, RunFrame, RunOrders, RunStart};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::{
    LeasePollReply, RunnerAction, RunnerControl, RunnerEvent, RunnerOptions, WorkerCall, WorkerNotice, WorkerReply,
};
use vanillacleat_runs::LeaseTerms;
use vanillacleat_standin::WorkerModel;

use crate::{thread_time, ActionDigest, TRACE_MS};

const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
const CAPACITY: ResourceAmount = ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 };
const WORKER: &str = "w-1";
/// Start of the worker, in Unix milliseconds.
const BORN: u64 = 1_000;
/// Interval between two heartbeats of the worker, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// What an agent has to do.
pub struct AgentLoad {
    /// The number of its sessions.
    pub sessions: u64,
    /// The rate at which entries order runs.
    pub runs_per_second: u64,
}

/// The events of an agent, with their times.
pub struct AgentTrace {
    /// The number of ordered runs.
    pub runs: u64,
    /// The actions that the events led to.
    pub digest: ActionDigest,
    events: Vec<(MonoTime, RunnerEvent)>,
    sessions: u64,
}

/// A call that the worker has not answered.
struct OpenCall {
    sent_at: u64,
    incarnation_number: u64,
    token: u64,
    call: WorkerCall,
}

/// The agent with its surroundings, while the events are recorded.
struct AgentModel {
    now: u64,
    control: RunnerControl,
    worker: WorkerModel,
    open_calls: Vec<OpenCall>,
    /// Sessions whose reports have to be answered, with the agent's clock in the report.
    asked: Vec<(SessionId, Millis)>,
    trace: AgentTrace,
}

impl AgentModel {
    fn deliver(&mut self, event: RunnerEvent) {
        let at = MonoTime::from_millis(self.now);
        for action in self.control.handle(at, event.clone()) {
            self.trace.digest.record(&action);
            match action {
                RunnerAction::Call { incarnation_number, fencing_token, call, .. } => {
                    self.open_calls.push(OpenCall { sent_at: self.now, incarnation_number, token: fencing_token, call });
                }
                RunnerAction::Send { session, frame: RunFrame::Report(report) } if report.needs_answer => {
                    self.asked.push((session, report.sent_at));
                }
                _ => {}
            }
        }
        self.trace.events.push((at, event));
    }

    fn advance(&mut self, load: &AgentLoad) {
        self.now += 1;
        self.worker.advance(MonoTime::from_millis(self.now));
        for (session, leased_from) in std::mem::take(&mut self.asked) {
            let orders = RunOrders { leased_from, ..RunOrders::default() };
            self.deliver(RunnerEvent::Frame { session, frame: OrderFrame::Orders(orders) });
        }
        self.answer_calls();
        if self.now > 100 && self.now * load.runs_per_second / 1_000 > self.trace.runs {
            self.order_run();
        }
        if self.now.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.deliver(RunnerEvent::WorkerHeartbeat(make_notice(self.now)));
        }
        if self.now.is_multiple_of(10) {
            self.deliver(RunnerEvent::Tick);
        }
    }

    fn answer_calls(&mut self) {
        for open_call in std::mem::take(&mut self.open_calls) {
            let (now, token) = (MonoTime::from_millis(self.now), open_call.token);
            let reply = match &open_call.call {
                WorkerCall::LeasePoll { wait, observed, .. }
                    if self.now < open_call.sent_at + wait.as_millis() as u64 && !self.worker.has_ended(*observed) =>
                {
                    self.open_calls.push(open_call);
                    continue;
                }
                WorkerCall::LeasePoll { number, lease_end, observed, .. } => {
                    let reply: LeasePollReply = self.worker.lease_poll(now, token, *lease_end, *observed);
                    WorkerReply::LeasePoll(*number, reply)
                }
                WorkerCall::Start { run, lease_end, .. } => {
                    let run_time = Duration::from_millis(40 + u64::from(run.task.index) * 7_919 % 160);
                    WorkerReply::Start(*run, self.worker.start(now, token, *run, *lease_end, (DEMAND, run_time, false)))
                }
                WorkerCall::Stop { run } => WorkerReply::Stop(*run, self.worker.stop(now, token, *run)),
            };
            self.deliver(RunnerEvent::Replied { incarnation_number: open_call.incarnation_number, reply });
        }
    }

    fn order_run(&mut self) {
        self.trace.runs += 1;
        let number = self.trace.runs;
        let session = SessionId(1 + number % self.trace.sessions);
        let run = RunId { task: TaskId { job: CallerJobId(number), step: 0, index: number as u16 }, run: 1 };
        let order = OrderId { entry: Incarnation(session.0), number };
        let starts = vec![RunStart { run, order, demand: DEMAND, payload: 0, route: 0, estimate: Millis(120) }];
        let payloads = vec![SmolStr::new(format!("job-{number}"))];
        let routes = vec![SmolStr::new_static("bids")];
        let orders = RunOrders { leased_from: Millis(self.now - 1), payloads, routes, starts, stops: Vec::new() };
        self.deliver(RunnerEvent::Frame { session, frame: OrderFrame::Orders(orders) });
    }
}

/// Simulates the load and records the events of the agent.
pub fn record_agent_trace(load: &AgentLoad) -> AgentTrace {
    let trace = AgentTrace { runs: 0, digest: ActionDigest::default(), events: Vec::new(), sessions: load.sessions };
    let mut model = AgentModel {
        now: 0,
        control: RunnerControl::new(make_options(load.sessions)),
        worker: WorkerModel::new(MonoTime::ZERO, WORKER, BORN, CAPACITY),
        open_calls: Vec::new(),
        asked: Vec::new(),
        trace,
    };
    model.deliver(RunnerEvent::WorkerHeartbeat(make_notice(0)));
    (0..20).for_each(|_| model.advance(load));
    for session in 1..=load.sessions {
        model.deliver(RunnerEvent::SessionOpened { session: SessionId(session), address: entry_address(session) });
    }
    while model.now < TRACE_MS {
        model.advance(load);
    }
    model.trace
}

/// Handles the events once more and returns the processor time that this took.
pub fn replay_agent_trace(trace: &AgentTrace) -> Duration {
    let events = trace.events.clone();
    let mut control = RunnerControl::new(make_options(trace.sessions));
    let started_at = thread_time();
    for (at, event) in events {
        std::hint::black_box(control.handle(at, event));
    }
    thread_time() - started_at
}

fn entry_address(number: u64) -> SmolStr {
    SmolStr::new(format!("10.0.0.{number}:7400"))
}

fn make_notice(sequence: u64) -> WorkerNotice {
    WorkerNotice {
        worker: SmolStr::new_static(WORKER),
        born: BORN,
        sequence,
        service: "desk".parse().expect("a valid name"),
        capacity: CAPACITY,
        labels: vec![SmolStr::new_static("kind-a"), SmolStr::new_static("rack-7")],
        is_ready: true,
        cold: Millis(0),
        leaves_in: None,
    }
}

fn make_options(sessions: u64) -> RunnerOptions {
    RunnerOptions {
        agent: "region-1-host-001".parse().expect("a valid name"),
        incarnation: Incarnation(1),
        zone: "region-1-0".parse().expect("a valid name"),
        entries: (1..=sessions).map(entry_address).collect(),
        fencing_token: 100,
        lease_terms: LeaseTerms::default(),
        drain_timeout: Duration::from_secs(3),
        seed: 1,
    }
}
