//! Tests that no value of a caller, an operator or an agent ends an entry's control thread.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::{
    CrashStage, CrashedRun, EndEvidence, OrderId, RouteSpeed, RunEnd, RunFrame, RunHello, RunOutcome, RunProgress, RunReport, SessionOrder,
    WorkerInfo,
};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime, Revision};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchAction, DispatchControl, DispatchEvent, RequestKind};

mod support;
use support::callers::CallerState;
use support::plans::{make_options, make_plan};

fn started_entry(slack_percent: u32) -> DispatchControl {
    let mut entry = DispatchControl::new(make_options(0));
    let mut plan = make_plan(2);
    let table = Arc::make_mut(plan.table.as_mut().expect("the plan has routes"));
    Arc::make_mut(&mut table.routes[0]).slack_percent = slack_percent;
    entry.handle(MonoTime::from_millis(1), DispatchEvent::PlanRead(plan));
    entry
}

fn open_session(entry: &mut DispatchControl) {
    let hello = RunHello {
        agent: "agent-1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
        order: SessionOrder::default(),
        zone: "zone-0".parse().expect("a valid name"),
        plan_version: u64::MAX,
        unsettled: Vec::new(),
    };
    entry.handle(MonoTime::from_millis(2), DispatchEvent::Frame { session: SessionId(1), frame: RunFrame::Hello(hello) });
}

fn submit(entry: &mut DispatchControl, reply: u64, request: CallerRequest) -> Vec<CallerAnswer> {
    let actions = entry.handle(MonoTime::from_millis(10), DispatchEvent::Requested { reply: ReplyId(reply), request });
    let answers = actions.into_iter().filter_map(|action| match action {
        DispatchAction::Reply { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

// Guards against a caller whose estimates, added up along a chain of steps or multiplied by the route's slack, end the entry.
#[rstest]
#[case::chain_of_steps(2_000, u64::MAX, 160)]
#[case::slack(1, u64::MAX, u32::MAX)]
fn estimate_beyond_all_bounds_is_malformed(#[case] steps: u16, #[case] estimate: u64, #[case] slack_percent: u32) {
    let mut entry = started_entry(slack_percent);
    let mut request = CallerState::new(1, 1, estimate).request();
    if let RequestKind::Submit(draft) = &mut request.kind {
        let first = draft.steps[0].clone();
        draft.steps = (0..steps).map(|step| JobStep { after: (0..step).rev().take(1).collect(), ..first.clone() }).collect();
    }
    let answers = submit(&mut entry, 1, request);
    assert!(matches!(answers[..], [CallerAnswer::Malformed(_)]), "{answers:?}");
}

// Guards against a caller whose demand or patience is beyond what the entry can add up.
#[rstest]
fn demand_and_patience_beyond_all_bounds_are_answered(#[values(Some(Duration::from_millis(u64::MAX)), None)] timeout: Option<Duration>) {
    let mut entry = started_entry(160);
    let mut request = CallerState::new(1, 2, 100).request();
    request.caller_timeout = timeout;
    if let RequestKind::Submit(draft) = &mut request.kind {
        draft.steps[0].demand.millicores = u64::MAX;
        draft.steps[0].demand.memory = Megabytes(u64::MAX);
    }
    submit(&mut entry, 1, request.clone());
    submit(&mut entry, 2, request);
    entry.handle(MonoTime::from_millis(2_000), DispatchEvent::Tick);
}

// Guards against a caller whose numbers of tasks end the entry.
#[rstest]
fn number_of_tasks_at_its_bounds_is_answered(#[values(0, 1, 2_000, u16::MAX)] count: u16, #[values(0, 1, u32::MAX)] per_worker_max: u32) {
    let mut entry = started_entry(160);
    let mut request = CallerState::new(1, 2, 100).request();
    if let RequestKind::Submit(draft) = &mut request.kind {
        draft.steps[0].count = count;
        draft.steps[0].per_worker_max = per_worker_max;
        draft.steps.push(JobStep { after: vec![0, u16::MAX], ..draft.steps[0].clone() });
        draft.steps.push(JobStep { after: vec![2], ..draft.steps[0].clone() });
    }
    let answers = submit(&mut entry, 1, request);
    assert!(matches!(answers[..], [CallerAnswer::Malformed(_)]), "{answers:?}");
    entry.handle(MonoTime::from_millis(2_000), DispatchEvent::Tick);
}

// Guards against an operator whose figures end the entry, or make a caller's job late from the start.
#[rstest]
fn route_beyond_all_bounds_is_served(#[values(0, 1 << 61, u64::MAX)] millis: u64, #[values(0, u32::MAX)] number: u32) {
    let mut entry = started_entry(160);
    let mut plan = make_plan(2);
    let table = Arc::make_mut(plan.table.as_mut().expect("the plan has routes"));
    let route = Arc::make_mut(&mut table.routes[0]);
    (route.timeout, route.target_latency) = (Millis(millis), Millis(millis));
    (route.slack_percent, route.priority, route.attempts_max) = (number, number, number);
    (table.version, table.body_bytes_max, plan.zones_revision) = (Revision(u64::MAX), u64::MAX, u64::MAX);
    entry.handle(MonoTime::from_millis(1), DispatchEvent::PlanRead(plan));
    open_session(&mut entry);
    for (job, timeout) in [(1, None), (2, Some(Duration::from_secs(2))), (3, Some(Duration::from_millis(1 << 61)))] {
        let mut request = CallerState::new(1, job, 100).request();
        request.caller_timeout = timeout;
        submit(&mut entry, job.into(), request);
    }
    for at in [20, 500, 2_500] {
        entry.handle(MonoTime::from_millis(at), DispatchEvent::Tick);
    }
    entry.dump();
}

// Guards against a report whose figures end the entry.
#[test]
fn report_beyond_all_bounds_is_handled() {
    let mut entry = started_entry(160);
    open_session(&mut entry);
    let mut request = CallerState::new(1, 1, 100).request();
    request.caller_timeout = Some(Duration::from_secs(2));
    let run = RunId { task: TaskId { job: CallerState::new(1, 1, 100).id, step: u16::MAX, index: u16::MAX }, run: u32::MAX };
    let speed = |percent, runs| RouteSpeed { route: "bids".into(), typical_percent: percent, high_percent: percent, runs };
    let amount_max = ResourceAmount { millicores: u64::MAX, memory: Megabytes(u64::MAX), accelerators: u32::MAX };
    let report = RunReport {
        sent_at: Millis(u64::MAX),
        entries: u32::MAX,
        worker: Some(WorkerInfo {
            worker: "i-1".into(),
            service: "desk".parse().expect("a valid name"),
            capacity: amount_max,
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(u64::MAX),
            leaves_in: Some(Millis(u64::MAX)),
        }),
        progress: vec![RunProgress {
            run,
            order: OrderId { entry: Incarnation(1), number: 1 },
            percent: u8::MAX,
            elapsed: Millis(u64::MAX),
        }],
        speeds: [0, 1, u32::MAX].map(|runs| speed(u32::MAX, runs)).into_iter().chain([speed(0, u32::MAX)]).collect(),
        slowness_percent: u32::MAX,
        ends: vec![RunEnd {
            run,
            order: OrderId { entry: Incarnation(1), number: u64::MAX },
            outcome: RunOutcome::Done,
            ran: Millis(u64::MAX),
            evidence: EndEvidence { age: Some(Millis(u64::MAX)), lease_left: Millis(u64::MAX), ..EndEvidence::default() },
        }],
        used: amount_max,
        used_by_entry: amount_max,
        plan_version: u64::MAX,
        ..RunReport::default()
    };
    for at in [3, 4, 500, 2_000] {
        entry.handle(MonoTime::from_millis(at), DispatchEvent::Frame { session: SessionId(1), frame: RunFrame::Report(report.clone()) });
    }
    submit(&mut entry, 1, request);
    entry.handle(MonoTime::from_millis(2_500), DispatchEvent::Tick);
}

// Guards against an agent whose frames of crashes take the entry's memory, or end its control thread.
#[test]
fn crashes_without_bound_are_counted_up_to_a_limit() {
    let mut entry = started_entry(160);
    open_session(&mut entry);
    for round in 0..40 {
        let crashed = (0..2_000_u64).map(|number| CrashedRun {
            task: TaskId { job: CallerJobId(round * 2_000 + number), step: u16::MAX, index: u16::MAX },
            route: SmolStr::new(format!("route-{round}-{number}")),
            born: u64::MAX,
            stage: CrashStage::Starting,
        });
        let frame = RunFrame::Crashes(crashed.collect());
        entry.handle(MonoTime::from_millis(20 + round), DispatchEvent::Frame { session: SessionId(1), frame });
    }
    assert!(entry.dump()["crash_suspects"].as_u64().is_some_and(|suspects| suspects <= 4_096));
    let answers = submit(&mut entry, 1, CallerState::new(1, 1, 100).request());
    assert!(answers.is_empty(), "the job waits for a worker: {answers:?}");
}
