//! Tests of the workers to which an entry sends the tasks of a job.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{
    EndEvidence, OrderFrame, OrderId, RunEnd, RunFrame, RunHello, RunOutcome, RunReport, SessionOrder, WorkerInfo,
};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchAction, DispatchControl, DispatchEvent, JobDraft, RequestKind};

use support::plans::{make_options, make_plan};

/// An entry in zone 0 with one worker in each of three zones. Records what the entry sends.
struct EntryHarness {
    entry: DispatchControl,
    /// Number of starts sent on each session.
    starts: BTreeMap<u64, usize>,
    answers: Vec<CallerAnswer>,
    /// The last order to start a run, with its session.
    last_order: Option<(SessionId, OrderId)>,
}

impl EntryHarness {
    fn new() -> Self {
        let mut harness =
            Self { entry: DispatchControl::new(make_options(0)), starts: BTreeMap::new(), answers: Vec::new(), last_order: None };
        harness.deliver(DispatchEvent::PlanRead(make_plan(9)));
        (0..3).for_each(|number| harness.add_worker(number));
        harness
    }

    fn add_worker(&mut self, number: u64) {
        let session = SessionId(number);
        let hello = RunHello {
            agent: format!("agent-{number}").parse().expect("a valid name"),
            incarnation: Incarnation(1),
            order: SessionOrder::default(),
            zone: format!("zone-{number}").parse().expect("a valid name"),
            plan_version: 0,
            unsettled: Vec::new(),
        };
        let worker = WorkerInfo {
            worker: SmolStr::new(format!("i-{number}")),
            service: "desk".parse().expect("a valid name"),
            capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(1_000), accelerators: 0 },
            labels: vec![SmolStr::new(format!("r-{number}"))],
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        let report = RunReport { sent_at: Millis(1), needs_answer: true, worker: Some(worker), ..RunReport::default() };
        self.deliver(DispatchEvent::Frame { session, frame: RunFrame::Hello(hello) });
        self.deliver(DispatchEvent::Frame { session, frame: RunFrame::Report(report) });
    }

    /// Delivers an event to the entry and records the starts and answers that it sends.
    fn deliver(&mut self, event: DispatchEvent) {
        for action in self.entry.handle(MonoTime::from_millis(10), event) {
            match action {
                DispatchAction::Send { session, frame: OrderFrame::Orders(orders) } => {
                    *self.starts.entry(session.0).or_default() += orders.starts.len();
                    if let Some(start) = orders.starts.last() {
                        self.last_order = Some((session, start.order));
                    }
                }
                DispatchAction::Reply { answer, .. } => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn submit(&mut self, step: JobStep) {
        self.submit_as(CallerJobId(0xab), step);
    }

    fn submit_as(&mut self, id: CallerJobId, step: JobStep) {
        let draft = JobDraft { steps: vec![step], ..JobDraft::default() };
        let request = CallerRequest {
            host: SmolStr::new_static("desk.example"),
            path: SmolStr::new(format!("/bids/{id}")),
            caller_timeout: Some(Duration::from_secs(2)),
            kind: RequestKind::Submit(draft),
        };
        self.deliver(DispatchEvent::Requested { reply: ReplyId(id.0), request });
    }

    /// Returns the number of starts sent to each worker.
    fn starts_per_worker(&self) -> Vec<usize> {
        (0..3).map(|number| self.starts.get(&number).copied().unwrap_or_default()).collect()
    }
}

fn step(count: u16) -> JobStep {
    let demand = ResourceAmount { millicores: 3_000, memory: Megabytes(10), accelerators: 0 };
    JobStep { count, demand, estimate: Millis(100), ..JobStep::default() }
}

#[rstest]
#[case::fits_on_one_worker(step(8), vec![8, 0, 0])]
#[case::wider_than_one_worker(step(14), vec![10, 4, 0])]
#[case::limit_per_worker(JobStep { per_worker_max: 2, ..step(5) }, vec![2, 2, 1])]
#[case::limit_below_task_count(JobStep { per_worker_max: 1, ..step(5) }, vec![1, 1, 1])]
#[case::required_label(JobStep { required_label: Some(SmolStr::new_static("r-2")), ..step(3) }, vec![0, 0, 3])]
#[case::preferred_rack(JobStep { preferred_rack: Some(SmolStr::new_static("r-1")), ..step(3) }, vec![0, 3, 0])]
#[case::label_of_no_worker(JobStep { required_label: Some(SmolStr::new_static("x")), ..step(3) }, vec![0, 0, 0])]
fn tasks_are_sent_to_eligible_workers(#[case] step: JobStep, #[case] starts: Vec<usize>) {
    let mut harness = EntryHarness::new();
    harness.submit(step);
    assert_eq!(harness.starts_per_worker(), starts);
    assert!(harness.answers.is_empty());
}

/// Guards against a request that no worker meets being taken as a sign that none meets a lesser one.
#[rstest]
#[case::more_than_any_worker_has(JobStep { demand: ResourceAmount { millicores: 40_000, ..ResourceAmount::default() }, ..step(1) })]
#[case::label_of_no_worker(JobStep { required_label: Some(SmolStr::new_static("x")), ..step(1) })]
fn unmet_job_delays_no_lesser_one(#[case] unmet: JobStep) {
    let mut harness = EntryHarness::new();
    harness.submit_as(CallerJobId(1), unmet);
    harness.submit_as(CallerJobId(2), step(2));
    assert_eq!(harness.starts_per_worker(), vec![2, 0, 0]);
}

#[test]
fn failed_task_is_sent_to_every_worker_before_repeating_one() {
    let mut harness = EntryHarness::new();
    harness.submit(step(1));
    for run in 1..=4 {
        assert_eq!(harness.starts_per_worker().iter().sum::<usize>(), run, "{:?}", harness.starts);
        let (session, order) = harness.last_order.expect("a start was sent");
        let task = TaskId { job: CallerJobId(0xab), step: 0, index: 0 };
        let end = RunEnd {
            run: RunId { task, run: run as u32 },
            order,
            outcome: RunOutcome::Failed,
            ran: Millis(10),
            evidence: EndEvidence::default(),
        };
        let report = RunReport { sent_at: Millis(2), needs_answer: true, ends: vec![end], ..RunReport::default() };
        harness.deliver(DispatchEvent::Frame { session, frame: RunFrame::Report(report) });
    }
    assert!(harness.starts_per_worker().iter().all(|starts| *starts >= 1));
}
