//! Pattern: entries that don't see each other place tasks on the same workers. A seeded replay against a model: each entry
//! hears at once of its own starts and ends, and of the others' every 45 ms; a worker without room refuses a start. The
//! model leaves out slow and lost workers, leases, and the time that frames and processes take.

use std::collections::{BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ServiceName, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CapacityRequest, WorkerCapacity, WorkerRegistry};

const ENTRIES: usize = 3;
const WORKERS: usize = 12;
const ZONES: usize = 3;
/// Tasks that fit on one worker.
const SLOTS: u64 = 10;
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_200, memory: Megabytes(64), accelerators: 0 };
/// Time between two reports of what others have taken.
const REPORT_MS: u64 = 45;
/// Length of a replay.
const SPAN_MS: u64 = 20_000;

/// How an entry chooses a worker for a task of a job whose last task went to `last`.
type Choice = fn(&WorkerRegistry, MonoTime, &ZoneName, &CapacityRequest<'_>, Option<&AgentId>, &mut ChaCha8Rng) -> Option<AgentId>;

/// Returns the workers that have room for a task, as far as the entry knows.
fn find_fitting<'a>(
    board: &'a WorkerRegistry,
    now: MonoTime,
    request: &'a CapacityRequest<'_>,
) -> impl Iterator<Item = &'a WorkerCapacity> {
    board.workers().filter(move |room| board.is_usable(now, room) && request.demand.fits(&room.free_capacity()))
}

fn choose_ours(
    board: &WorkerRegistry,
    now: MonoTime,
    zone: &ZoneName,
    request: &CapacityRequest<'_>,
    last: Option<&AgentId>,
    _: &mut ChaCha8Rng,
) -> Option<AgentId> {
    board.choose(now, zone, &BTreeSet::new(), request, last).cloned()
}

fn choose_random(
    board: &WorkerRegistry,
    now: MonoTime,
    _: &ZoneName,
    request: &CapacityRequest<'_>,
    _: Option<&AgentId>,
    rng: &mut ChaCha8Rng,
) -> Option<AgentId> {
    let fitting: Vec<&WorkerCapacity> = find_fitting(board, now, request).collect();
    (!fitting.is_empty()).then(|| fitting[rng.random_range(0..fitting.len())].agent.clone())
}

fn choose_least_loaded(
    board: &WorkerRegistry,
    now: MonoTime,
    _: &ZoneName,
    request: &CapacityRequest<'_>,
    _: Option<&AgentId>,
    _: &mut ChaCha8Rng,
) -> Option<AgentId> {
    find_fitting(board, now, request).max_by_key(|room| room.free_capacity().millicores).map(|room| room.agent.clone())
}

/// A task of the model: the job it belongs to, when that came, and its run time in milliseconds.
#[derive(Clone, Debug)]
struct ModelTask {
    job: usize,
    came_at: u64,
    work: u64,
}

/// What came of a replay.
#[derive(Debug, Default)]
struct Outcome {
    starts: usize,
    refused: usize,
    /// Response of each job over the run time of its longest task, in percent.
    ratios: Vec<u64>,
}

impl Outcome {
    fn p99(&mut self) -> u64 {
        self.ratios.sort_unstable();
        self.ratios[self.ratios.len() * 99 / 100]
    }
}

struct Model {
    boards: Vec<WorkerRegistry>,
    waiting: Vec<VecDeque<ModelTask>>,
    last: Vec<Option<(usize, AgentId)>>,
    /// Tasks at work: worker, entry, end, task.
    running: Vec<(usize, usize, u64, ModelTask)>,
    open: Vec<usize>,
    longest: Vec<u64>,
    service: ServiceName,
    outcome: Outcome,
}

fn agent(worker: usize) -> AgentId {
    format!("agent-{worker:02}").parse().expect("a valid name")
}

fn zone(number: usize) -> ZoneName {
    format!("zone-{number}").parse().expect("a valid name")
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            boards: vec![(); ENTRIES].into_iter().map(|()| WorkerRegistry::default()).collect(),
            waiting: vec![VecDeque::new(); ENTRIES],
            last: vec![None; ENTRIES],
            running: Vec::new(),
            open: Vec::new(),
            longest: Vec::new(),
            service: "desk".parse().expect("a valid name"),
            outcome: Outcome::default(),
        };
        for (entry, worker) in (0..ENTRIES).flat_map(|entry| (0..WORKERS).map(move |worker| (entry, worker))) {
            let zone = zone(worker % ZONES);
            let hello = RunHello { agent: agent(worker), incarnation: Incarnation(1), zone, plan_version: 0, unsettled: Vec::new() };
            model.boards[entry].record_hello(MonoTime::ZERO, SessionId(worker as u64), &hello);
        }
        model
    }

    fn taken(&self, worker: usize, entry: Option<usize>) -> ResourceAmount {
        let tasks = self.running.iter().filter(|(at, by, _, _)| *at == worker && entry.is_none_or(|entry| entry == *by));
        tasks.fold(ResourceAmount::default(), |sum, _| sum + DEMAND)
    }

    fn report(&mut self, now: u64, worker: usize) {
        let capacity = ResourceAmount { millicores: DEMAND.millicores * SLOTS, memory: Megabytes(10_000), accelerators: 0 };
        let offer = WorkerInfo {
            worker: SmolStr::new_static("worker"),
            service: self.service.clone(),
            capacity,
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
        };
        for entry in 0..ENTRIES {
            let (used, used_by_entry) = (self.taken(worker, None), self.taken(worker, Some(entry)));
            let report = RunReport { nonce: now, used, used_by_entry, worker: Some(offer.clone()), ..RunReport::default() };
            self.boards[entry].record_report(MonoTime::from_millis(now), SessionId(worker as u64), &report);
        }
    }

    fn end_tasks(&mut self, now: u64) {
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(|(_, _, end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(usize, usize, u64, ModelTask)> = ended;
        for (worker, entry, _, task) in ended {
            self.boards[entry].release(&agent(worker), DEMAND);
            self.open[task.job] -= 1;
            if self.open[task.job] == 0 {
                self.outcome.ratios.push((now - task.came_at) * 100 / self.longest[task.job]);
            }
        }
    }

    fn place(&mut self, now: u64, entry: usize, choice: Choice, rng: &mut ChaCha8Rng) {
        while let Some(task) = self.waiting[entry].front().cloned() {
            let last = self.last[entry].as_ref().filter(|(job, _)| *job == task.job).map(|(_, agent)| agent.clone());
            let service = self.service.clone();
            let request = CapacityRequest { service: &service, demand: &DEMAND, required_label: None, preferred_rack: None, excluded: &[] };
            let at = MonoTime::from_millis(now);
            let Some(chosen) = choice(&self.boards[entry], at, &zone(entry % ZONES), &request, last.as_ref(), rng) else {
                return;
            };
            let worker = (0..WORKERS).find(|worker| agent(*worker) == chosen).expect("a known worker");
            self.outcome.starts += 1;
            if self.taken(worker, None).millicores >= DEMAND.millicores * SLOTS {
                self.outcome.refused += 1;
                self.boards[entry].record_refusal(at, &chosen);
                continue;
            }
            self.waiting[entry].pop_front();
            self.boards[entry].reserve(&chosen, DEMAND);
            self.last[entry] = Some((task.job, chosen));
            self.running.push((worker, entry, now + task.work, task));
        }
    }

    fn arrive(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        let (entry, width) = (rng.random_range(0..ENTRIES), rng.random_range(1..8));
        let work: u64 = if rng.random_bool(0.1) { 900 } else { rng.random_range(50..250) };
        let job = self.open.len();
        let works: Vec<u64> = (0..width).map(|_| work * rng.random_range(85..115) / 100).collect();
        self.open.push(works.len());
        self.longest.push(works.iter().copied().max().unwrap_or(1));
        self.waiting[entry].extend(works.into_iter().map(|work| ModelTask { job, came_at: now, work }));
    }
}

/// Plays `load` percent of the workers' room with one way of choosing.
fn replay(seed: u64, load: u64, choice: Choice) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut model = Model::new();
    // A job is four tasks of 225 ms in the mean.
    let chance = (WORKERS as u64 * SLOTS * load) as f64 / (100.0 * 4.0 * 225.0);
    for now in 1..SPAN_MS {
        model.end_tasks(now);
        (0..WORKERS)
            .filter(|worker| (now + *worker as u64 * 4).is_multiple_of(REPORT_MS) || now == 1)
            .for_each(|worker| model.report(now, worker));
        if arrivals.random_bool(chance.min(1.0)) {
            model.arrive(now, &mut arrivals);
        }
        (0..ENTRIES).for_each(|entry| model.place(now, entry, choice, &mut rng));
    }
    model.outcome
}

#[rstest]
#[case::half(50)]
#[case::usual(75)]
#[case::busy(90)]
fn our_choice_is_refused_less_than_the_usual_ones(#[case] load: u64) {
    let play = |choice: Choice| {
        let mut sum = Outcome::default();
        for seed in 0..3 {
            let outcome = replay(seed, load, choice);
            sum.starts += outcome.starts;
            sum.refused += outcome.refused;
            sum.ratios.extend(outcome.ratios);
        }
        (sum.refused * 1_000 / sum.starts, sum.p99())
    };
    let (ours, random, least_loaded) = (play(choose_ours), play(choose_random), play(choose_least_loaded));
    println!("load {load}%: refused per mille and p99 in percent: ours {ours:?}, random {random:?}, least loaded {least_loaded:?}");
    assert!(ours.0 <= random.0 && ours.0 <= least_loaded.0, "refused: ours {ours:?}, random {random:?}, least loaded {least_loaded:?}");
}
