//! Tests of workers of unequal speed: which of them count as slow, who knows their speeds after a restart, and what happens to figures
//! that can't be true, to workers that have just started and to those that are about to leave.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::caller_job::{CallerJobId, JobStep, ResourceAmount, TaskId};
use vanillacleat_core::ids::{AgentId, Incarnation, ProcessStart};
use vanillacleat_core::run_frames::{
    KnownSpeeds, OrderFrame, RouteSpeed, RunFrame, RunHello, RunOrders, RunProgress, RunReport, SessionOrder, WorkerInfo,
};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::RunSpeeds;
use vanillacleat_runs::entry::{
    CallerRequest, CapacityRequest, DispatchAction, DispatchControl, DispatchEvent, JobDraft, RequestKind, RoomClaim, TaskTiming,
    WorkerPool, WorkerRegistry,
};

use support::plans::{make_options, make_plan};
use support::uneven_site::{draw_job, make_registry, make_workers, zone, ModelWork, ModelWorker, DEMAND, ROUTES};

/// Interval between two jobs of one worker.
const JOB_INTERVAL_MS: u64 = 250;

/// Twelve workers that one entry sends jobs to, so that each worker gets a job every quarter of a second.
struct SteadySite {
    workers: Vec<ModelWorker>,
    registry: WorkerRegistry,
    rng: ChaCha8Rng,
    now: u64,
    jobs: u64,
}

impl SteadySite {
    fn new(seed: u64) -> Self {
        let workers = make_workers(12, 1);
        let registry = make_registry(&workers);
        Self { workers, registry, rng: ChaCha8Rng::seed_from_u64(seed), now: 0, jobs: 0 }
    }

    /// Advances the time by 50 ms. Returns the workers that count as slow.
    fn advance(&mut self) -> Vec<AgentId> {
        self.now += 50;
        let at = MonoTime::from_millis(self.now);
        for (number, worker) in self.workers.iter_mut().enumerate() {
            if (self.now + number as u64 * 50).is_multiple_of(JOB_INTERVAL_MS) {
                let (route, width, usual_ms) = ROUTES[self.rng.random_range(0..ROUTES.len())];
                let (works, _) = draw_job(&mut self.rng, width.min(2), usual_ms);
                self.jobs += 1;
                for (index, work) in works.into_iter().enumerate() {
                    let task = TaskId { job: CallerJobId(self.jobs), step: 0, index: index as u16 };
                    let healthy =
                        self.registry.worker_ratio(at, &worker.agent, &SmolStr::new_static(route)).expect("a known worker").healthy;
                    let ratio = worker.run_ms(work) / (work.estimated_ms * healthy);
                    self.registry.performance_mut(&worker.agent).expect("a known worker").record_end(at, task, ratio);
                    worker.record_end(route, work);
                }
            }
            if self.now.is_multiple_of(500) {
                worker.report(self.now, (0, 1), &mut self.registry, [ResourceAmount::default(); 2]);
            }
        }
        self.registry.update_slow_workers(at)
    }
}

/// Load: workers of two kinds under steady load, with the usual errors of estimates and long tasks.
#[test]
fn healthy_workers_of_slow_kind_stay_in_use_for_an_hour() {
    let mut site = SteadySite::new(1);
    let mut excluded = Vec::new();
    while site.now < 3_600_000 {
        let slow = site.advance();
        if !slow.is_empty() && site.now > 5_000 {
            excluded.push((site.now, slow));
        }
    }
    assert!(site.jobs > 150_000, "{}", site.jobs);
    assert!(excluded.is_empty(), "{} times: {:?}", excluded.len(), excluded.first());
}

/// Load: one worker becomes five times slower after a minute.
#[test]
fn fast_worker_that_turns_slow_is_found_as_soon_as_slow_one() {
    let found_after = |number: usize, seed: u64| {
        let mut site = SteadySite::new(seed);
        while site.now < 60_000 {
            site.advance();
        }
        site.workers[number].slowness *= 5.0;
        let agent = site.workers[number].agent.clone();
        while !site.advance().contains(&agent) {
            assert!(site.now < 70_000, "{agent} was not found");
        }
        site.now - 60_000
    };
    let total = |number: usize| (0..5).map(|seed| found_after(number, seed)).sum::<u64>();
    let (fast, slow) = (total(0), total(2));
    println!("found after {} ms (fast), {} ms (slow) on average", fast / 5, slow / 5);
    assert!(fast <= slow + 5 * JOB_INTERVAL_MS && fast <= 5 * 2_000, "fast {fast}, slow {slow}");
}

/// Failure: an entry restarts and knows nothing of the workers.
#[test]
fn restarted_entry_knows_speeds_at_first_reports() {
    let mut site = SteadySite::new(3);
    while site.now < 20_000 {
        site.advance();
    }
    let mut workers = make_workers(12, 1);
    workers.iter_mut().zip(site.workers).for_each(|(worker, learned)| worker.speeds = learned.speeds);
    let mut registry = make_registry(&workers);
    workers.iter_mut().for_each(|worker| worker.report(200, (0, 1), &mut registry, [ResourceAmount::default(); 2]));
    registry.update_speeds(MonoTime::from_millis(400), |_| 1.0);
    let ratio = |number: usize| {
        let ratio = registry.worker_ratio(MonoTime::from_millis(400), &workers[number].agent, &SmolStr::new_static("long"));
        ratio.expect("a known worker").expected
    };
    assert!((0.6..0.85).contains(&ratio(0)) && (1.5..2.0).contains(&ratio(2)), "{} and {}", ratio(0), ratio(2));
    // A worker of which nothing is known is expected to be like the others of its kind.
    let mut newcomer = make_workers(15, 1).pop().expect("a worker");
    let hello = hello_of(&newcomer.agent, 1);
    registry.record_hello(MonoTime::from_millis(500), SessionId(14), &hello);
    newcomer.report(500, (0, 1), &mut registry, [ResourceAmount::default(); 2]);
    let ratio = registry.worker_ratio(MonoTime::from_millis(500), &newcomer.agent, &SmolStr::new_static("long"));
    assert!((1.5..2.0).contains(&ratio.expect("a known worker").expected));
}

/// Failure: all agents and entries restart at once. The fast workers are known before the slow ones.
#[test]
fn workers_of_unknown_kind_are_judged_leniently() {
    let mut workers = make_workers(12, 1);
    let mut registry = make_registry(&workers);
    let work = ModelWork { work_ms: 170.0, estimated_ms: 170.0 };
    workers.iter_mut().filter(|worker| worker.slowness < 1.0).for_each(|worker| (0..20).for_each(|_| worker.record_end("middle", work)));
    workers.iter_mut().for_each(|worker| worker.report(200, (0, 1), &mut registry, [ResourceAmount::default(); 2]));
    let at = MonoTime::from_millis(400);
    registry.update_speeds(at, |_| 1.0);
    let healthy =
        |number: usize| registry.worker_ratio(at, &workers[number].agent, &SmolStr::new_static("middle")).map(|ratio| ratio.healthy);
    assert!(workers[2].run_ms(work) / 170.0 < 2.0 * healthy(2).expect("a known worker"), "{:?}", healthy(2));
}

/// Load: work is admitted for a third of slow workers, which can do less with their cores.
#[test]
fn expected_cores_count_work_that_can_be_done() {
    let mut site = SteadySite::new(4);
    while site.now < 20_000 {
        site.advance();
    }
    let (service, at) = (&site.workers[0].info.service, MonoTime::from_millis(site.now));
    let cores = |route| site.registry.expected_cores(at, service, &BTreeSet::new(), Some(&SmolStr::new_static(route)));
    // Eight fast workers of 32 cores, and four of 48 that do 0.7 / 1.7 of the work with each.
    let expected = 256.0 + 192.0 * 0.7 / 1.7;
    assert!((cores("long") - expected).abs() < expected * 0.1, "{} instead of {expected}", cores("long"));
    assert!((cores("unknown") - 448.0).abs() < 1.0, "a route without runs counts cores");
}

fn speed(route: &str, typical_percent: u32, high_percent: u32) -> RouteSpeed {
    RouteSpeed { route: SmolStr::new(route), typical_percent, high_percent, runs: 200 }
}

fn hello_of(agent: &AgentId, incarnation: u64) -> RunHello {
    RunHello {
        agent: agent.clone(),
        incarnation: Incarnation(incarnation),
        order: SessionOrder { process_start: ProcessStart(incarnation), number: 1 },
        zone: zone(0),
        plan_version: 0,
        unsettled: Vec::new(),
    }
}

/// One entry and one agent in its zone.
struct EntryHarness {
    entry: DispatchControl,
    now: u64,
    sent: Vec<OrderFrame>,
}

impl EntryHarness {
    fn new() -> Self {
        let mut harness = Self { entry: DispatchControl::new(make_options(0)), now: 10, sent: Vec::new() };
        harness.deliver(DispatchEvent::PlanRead(make_plan(9)));
        harness.open(1);
        harness
    }

    fn deliver(&mut self, event: DispatchEvent) {
        self.now += 20;
        for action in self.entry.handle(MonoTime::from_millis(self.now), event) {
            if let DispatchAction::Send { frame, .. } = action {
                self.sent.push(frame);
            }
        }
    }

    fn open(&mut self, incarnation: u64) {
        let hello = hello_of(&"agent-00".parse().expect("a valid name"), incarnation);
        self.deliver(DispatchEvent::Frame { session: SessionId(incarnation), frame: RunFrame::Hello(hello) });
    }

    fn report(&mut self, report: RunReport) {
        let report = RunReport { sent_at: Millis(self.now), needs_answer: true, ..report };
        self.deliver(DispatchEvent::Frame { session: SessionId(1), frame: RunFrame::Report(report) });
    }

    fn submit(&mut self, estimate: u64) {
        let step = JobStep { count: 1, demand: DEMAND, estimate: Millis(estimate), ..JobStep::default() };
        let request = CallerRequest {
            host: SmolStr::new_static("desk.example"),
            path: SmolStr::new_static("/bids/00000000000000ab"),
            caller_timeout: Some(Duration::from_secs(5)),
            kind: RequestKind::Submit(JobDraft { steps: vec![step], ..JobDraft::default() }),
        };
        self.deliver(DispatchEvent::Requested { reply: ReplyId(1), request });
    }

    fn orders(&self) -> impl Iterator<Item = &RunOrders> {
        self.sent.iter().filter_map(|frame| if let OrderFrame::Orders(orders) = frame { Some(orders) } else { None })
    }
}

fn worker_info(leaves_in: Option<Millis>) -> WorkerInfo {
    WorkerInfo {
        worker: SmolStr::new_static("i-0"),
        service: "desk".parse().expect("a valid name"),
        capacity: ResourceAmount { millicores: 32_000, memory: Megabytes(64_000), accelerators: 0 },
        labels: vec![SmolStr::new_static("a")],
        is_ready: leaves_in.is_none(),
        cold: Millis(0),
        leaves_in,
    }
}

/// Failure: an agent restarts and has lost its table.
#[test]
fn restarted_agent_learns_speeds_from_entries() {
    let mut harness = EntryHarness::new();
    let speeds = vec![speed("bids", 170, 240)];
    harness.report(RunReport { worker: Some(worker_info(None)), speeds, ..RunReport::default() });
    harness.open(2);
    let known = harness.sent.iter().find_map(|frame| if let OrderFrame::Speeds(known) = frame { Some(known) } else { None });
    let known = known.expect("the entry tells what it knows");
    let mut agent = RunSpeeds::default();
    agent.set_kind(Some(&SmolStr::new_static("a")));
    agent.merge(known);
    let learned: Vec<RouteSpeed> = agent.speeds().cloned().collect();
    assert_eq!((learned.len(), learned[0].typical_percent, learned[0].high_percent), (1, 170, 240), "{learned:?}");
    // Runs of its own outweigh what it was told.
    let route = SmolStr::new_static("bids");
    (0..64).for_each(|_| agent.record(&route, Duration::from_millis(100), Duration::from_millis(70)));
    assert_eq!(agent.speeds().next().map(|speed| speed.typical_percent), Some(70));
    // What was learned at a worker of another kind says nothing of the next one.
    assert!(agent.set_kind(Some(&SmolStr::new_static("b"))) && agent.speeds().next().is_none());
    agent.merge(known);
    assert_eq!((agent.speeds().count(), agent.refused()), (0, 1));
}

/// Failure: figures that are forged, or were damaged on their way.
#[rstest]
#[case::zero(speed("bids", 0, 0))]
#[case::absurdly_fast(speed("bids", 1, 1))]
#[case::absurdly_slow(speed("bids", u32::MAX, u32::MAX))]
#[case::high_below_typical(speed("bids", 150, 100))]
#[case::from_no_run(RouteSpeed { runs: 0, ..speed("bids", 100, 100) })]
#[case::long_name(speed(&"x".repeat(5_000), 100, 100))]
fn impossible_speeds_are_refused(#[case] forged: RouteSpeed) {
    let mut harness = EntryHarness::new();
    harness.report(RunReport { worker: Some(worker_info(None)), speeds: vec![forged.clone()], ..RunReport::default() });
    assert_eq!(harness.entry.refused_speeds(), 1);
    let mut agent = RunSpeeds::default();
    agent.merge(&KnownSpeeds { kind: None, routes: vec![forged] });
    assert_eq!((agent.speeds().count(), agent.refused()), (0, 1));
}

/// Failure: a peer sends more routes than there can be.
#[test]
fn tables_of_speeds_stay_bounded() {
    let many: Vec<RouteSpeed> = (0..1_000).map(|number| speed(&format!("r-{number}"), 100, 150)).collect();
    let mut harness = EntryHarness::new();
    harness.report(RunReport { worker: Some(worker_info(None)), speeds: many.clone(), ..RunReport::default() });
    let worker = harness.entry.worker_registry().workers().next().expect("a known worker");
    assert!(worker.speeds.len() <= 32 && harness.entry.refused_speeds() >= 900, "{}", worker.speeds.len());
    let mut agent = RunSpeeds::default();
    agent.merge(&KnownSpeeds { kind: None, routes: many });
    assert!(agent.speeds().count() <= 32);
}

/// Failure: a worker gives notice that it leaves in 400 ms while a run is under way.
#[rstest]
#[case::ends_in_time(100, 70, false)]
#[case::would_be_lost(100, 10, true)]
fn run_that_outlasts_its_worker_is_moved(#[case] elapsed: u64, #[case] percent: u8, #[case] is_moved: bool) {
    let mut harness = EntryHarness::new();
    harness.report(RunReport { worker: Some(worker_info(None)), ..RunReport::default() });
    harness.submit(1_000);
    let start = harness.orders().flat_map(|orders| &orders.starts).next().copied().expect("the task was started");
    let progress = vec![RunProgress { run: start.run, order: start.order, percent, elapsed: Millis(elapsed) }];
    harness.report(RunReport { worker: Some(worker_info(Some(Millis(400)))), is_closed: true, progress, ..RunReport::default() });
    assert_eq!(harness.orders().any(|orders| !orders.stops.is_empty()), is_moved);
}

/// Load: one of two equal workers has just started and is still slow.
#[rstest]
#[case::urgent(300, false)]
#[case::patient(2_000, true)]
fn cold_workers_get_patient_work_only(#[case] left_ms: u64, #[case] is_cold_chosen: bool) {
    let mut workers = make_workers(2, 1);
    workers[1].info.capacity.millicores = 64_000;
    workers[1].info.cold = Millis(3_000);
    let mut registry = make_registry(&workers);
    workers.iter_mut().for_each(|worker| worker.report(200, (0, 1), &mut registry, [ResourceAmount::default(); 2]));
    if is_cold_chosen {
        registry.reserve(MonoTime::from_millis(200), &workers[0].agent.clone(), ResourceAmount { millicores: 31_000, ..DEMAND });
    }
    let route = registry.speed_table().index(&SmolStr::new_static("middle")).expect("a known route");
    let timing = TaskTiming { route, estimate: Duration::from_millis(200), due_at: MonoTime::from_millis(200 + left_ms) };
    let request = CapacityRequest {
        service: &workers[0].info.service,
        demand: &DEMAND,
        required_label: None,
        preferred_rack: None,
        excluded: &[],
        claim: RoomClaim::Urgent,
        pool: WorkerPool::All,
        timing: Some(timing),
    };
    let chosen = registry.choose_worker(MonoTime::from_millis(200), &zone(0), &BTreeSet::new(), &request, None);
    assert_eq!(chosen, Some(&workers[usize::from(is_cold_chosen)].agent));
}
