//! One entry with model workers. Agents report ends at once, and otherwise at the intervals of real agents.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount};
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::run_frames::{
    EndEvidence, EndSign, OrderFrame, OrderedRun, RunEnd, RunFrame, RunHello, RunOrders, RunOutcome, RunProgress, RunReport, RunStart,
    SessionOrder, WorkerInfo,
};
use vanillacleat_core::site_plan::{RouteRule, RouteTable, SitePlan};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime, Revision};
use vanillacleat_runs::entry::{CallerRequest, DispatchAction, DispatchControl, DispatchEvent, DispatchOptions, JobDraft, RequestKind};
use vanillacleat_runs::LeaseTerms;

use crate::{thread_time, ActionDigest, TRACE_MS};

const ZONES: usize = 3;
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_000, memory: Megabytes(64), accelerators: 0 };
const CAPACITY: ResourceAmount = ResourceAmount { millicores: 32_000, memory: Megabytes(65_536), accelerators: 0 };
/// Numbers of tasks of the jobs, in turn.
const WIDTHS: [u16; 3] = [2, 4, 8];
/// Interval between an agent's reports while it has runs of the entry, and while it has none, in milliseconds.
const REPORT_INTERVALS_MS: (u64, u64) = (120, 1_000);

/// What an entry has to do.
pub struct EntryTraffic {
    /// The number of workers.
    pub workers: usize,
    /// The rate at which jobs are submitted.
    pub jobs_per_second: u64,
    /// The part of each worker's processors that other entries use, in percent.
    pub used_percent: u64,
}

/// The batches of events of an entry, with their times.
pub struct EntryTrace {
    /// The number of submitted jobs.
    pub jobs: u64,
    /// The actions that the events led to.
    pub digest: ActionDigest,
    batches: Vec<(MonoTime, Vec<DispatchEvent>)>,
}

/// An agent with its worker, as far as the entry sees it.
#[derive(Default)]
struct ModelAgent {
    /// The runs with when they started and end, in milliseconds.
    runs: BTreeMap<OrderedRun, (u64, u64)>,
    ends: Vec<RunEnd>,
    reported_at: u64,
    has_described: bool,
}

impl ModelAgent {
    fn handle_orders(&mut self, now: u64, orders: &RunOrders) {
        for RunStart { run, order, .. } in &orders.starts {
            // Run times of 40 to 200 ms, drawn from the order's number.
            let run_ms = 40 + order.number * 7_919 % 160;
            self.runs.insert(OrderedRun { run: *run, order: *order }, (now, now + run_ms));
        }
        for stopped in &orders.stops {
            if self.runs.remove(stopped).is_some() {
                self.ends.push(make_end(stopped, RunOutcome::Stopped, 50));
            }
        }
    }

    fn end_runs(&mut self, now: u64) {
        let ended: Vec<OrderedRun> = self.runs.iter().filter(|(_, (_, end))| *end <= now).map(|(run, _)| *run).collect();
        for run in ended {
            let (start, _) = self.runs.remove(&run).unwrap_or_default();
            self.ends.push(make_end(&run, RunOutcome::Done, now - start));
        }
    }

    /// Returns the report that is due, if one is.
    fn take_report(&mut self, now: u64, used_by_others: u64) -> Option<RunReport> {
        let interval = if self.runs.is_empty() { REPORT_INTERVALS_MS.1 } else { REPORT_INTERVALS_MS.0 };
        let needs_answer = now >= self.reported_at + interval;
        if !needs_answer && self.ends.is_empty() {
            return None;
        }
        if needs_answer {
            self.reported_at = now;
        }
        let own = ResourceAmount { millicores: DEMAND.millicores * self.runs.len() as u64, ..ResourceAmount::default() };
        let others = ResourceAmount { millicores: used_by_others, ..ResourceAmount::default() };
        let progress = self.runs.iter().map(|(run, (start, end))| {
            let percent = ((now - start) * 100 / (end - start)) as u8;
            RunProgress { run: run.run, order: run.order, percent, elapsed: Millis(now - start) }
        });
        Some(RunReport {
            sent_at: Millis(now),
            needs_answer,
            entries: 3,
            ends: std::mem::take(&mut self.ends),
            used: own + others,
            used_by_entry: own,
            worker: (!std::mem::replace(&mut self.has_described, true)).then(make_worker_info),
            progress: progress.collect(),
            ..RunReport::default()
        })
    }
}

/// Simulates the traffic and records the events of the entry.
pub fn record_entry_trace(traffic: &EntryTraffic) -> EntryTrace {
    let mut control = DispatchControl::new(make_options());
    let mut agents: Vec<ModelAgent> = (0..traffic.workers).map(|_| ModelAgent::default()).collect();
    let mut trace = EntryTrace { jobs: 0, digest: ActionDigest::default(), batches: Vec::new() };
    let mut first: Vec<DispatchEvent> = vec![DispatchEvent::PlanRead(make_plan())];
    first.extend((0..traffic.workers).map(|number| DispatchEvent::Frame { session: session(number), frame: make_hello(number) }));
    let used_by_others = CAPACITY.millicores * traffic.used_percent / 100;
    for now in 1..=TRACE_MS {
        let mut events = std::mem::take(&mut first);
        for (number, agent) in agents.iter_mut().enumerate() {
            agent.end_runs(now);
            if let Some(report) = agent.take_report(now, used_by_others) {
                events.push(DispatchEvent::Frame { session: session(number), frame: RunFrame::Report(report) });
            }
        }
        if now > 100 && now * traffic.jobs_per_second / 1_000 > trace.jobs {
            trace.jobs += 1;
            events.push(make_submission(trace.jobs));
        }
        if now.is_multiple_of(10) {
            events.push(DispatchEvent::Tick);
        }
        if events.is_empty() {
            continue;
        }
        let at = MonoTime::from_millis(now);
        for action in control.handle_batch(at, Duration::ZERO, events.clone()) {
            trace.digest.record(&action);
            if let DispatchAction::Send { session, frame: OrderFrame::Orders(orders) } = &action {
                agents[session.0 as usize - 1].handle_orders(now, orders);
            }
        }
        trace.batches.push((at, events));
    }
    trace
}

/// Handles the events once more and returns the processor time that this took.
pub fn replay_entry_trace(trace: &EntryTrace) -> Duration {
    let batches = trace.batches.clone();
    let mut control = DispatchControl::new(make_options());
    let started_at = thread_time();
    for (at, events) in batches {
        std::hint::black_box(control.handle_batch(at, Duration::ZERO, events));
    }
    thread_time() - started_at
}

fn session(agent: usize) -> SessionId {
    SessionId(agent as u64 + 1)
}

fn make_end(run: &OrderedRun, outcome: RunOutcome, ran: u64) -> RunEnd {
    let evidence = EndEvidence { sign: EndSign::Listed, age: Some(Millis(2)), lease_left: Millis(380) };
    RunEnd { run: run.run, order: run.order, outcome, ran: Millis(ran), evidence }
}

fn make_hello(number: usize) -> RunFrame {
    RunFrame::Hello(RunHello {
        agent: format!("region-1-host-{number:03}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        order: SessionOrder::default(),
        zone: format!("region-1-{}", number % ZONES).parse().expect("a valid name"),
        plan_version: 1,
        unsettled: Vec::new(),
    })
}

fn make_worker_info() -> WorkerInfo {
    WorkerInfo {
        worker: SmolStr::new_static("w-1"),
        service: "desk".parse().expect("a valid name"),
        capacity: CAPACITY,
        labels: vec![SmolStr::new_static("kind-a"), SmolStr::new_static("rack-7")],
        is_ready: true,
        cold: Millis(0),
        leaves_in: None,
    }
}

fn make_submission(number: u64) -> DispatchEvent {
    let count = WIDTHS[number as usize % WIDTHS.len()];
    let step = JobStep { count, demand: DEMAND, estimate: Millis(120), ..JobStep::default() };
    let draft = JobDraft { payload: SmolStr::new(format!("job-{number}")), steps: vec![step], ..JobDraft::default() };
    // Callers draw the ids of their jobs at random.
    let id = CallerJobId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let request = CallerRequest {
        host: SmolStr::new_static("desk.example"),
        path: SmolStr::new(format!("/bids/{id}")),
        caller_timeout: Some(Duration::from_millis(2_500)),
        kind: RequestKind::Submit(draft),
    };
    DispatchEvent::Requested { reply: ReplyId(number), request }
}

fn make_plan() -> SitePlan {
    let routes = ["asks", "bids", "notes"].map(|name| {
        Arc::new(RouteRule {
            name: SmolStr::new_static(name),
            host: SmolStr::new_static("desk.example"),
            prefix: SmolStr::new(format!("/{name}/")),
            service: "desk".parse().expect("a valid name"),
            timeout: Millis(1_500),
            target_latency: Millis(60),
            slack_percent: 160,
            priority: 1,
            attempts_max: 3,
        })
    });
    let table = RouteTable { version: Revision(1), routes: routes.to_vec(), body_bytes_max: 100_000 };
    SitePlan { table: Some(Arc::new(table)), zones_revision: 1, ..SitePlan::default() }
}

fn make_options() -> DispatchOptions {
    DispatchOptions {
        incarnation: Incarnation(0xabcd_ef01_2345_6789),
        process_start: ProcessStart(1),
        address: SmolStr::new_static("10.0.0.1:7400"),
        zone: "region-1-0".parse().expect("a valid name"),
        lease_terms: LeaseTerms::default(),
        resubmit_after: Duration::from_millis(1_300),
        drain_delay: Duration::from_secs(3),
        drain_timeout: Duration::from_secs(5),
    }
}
