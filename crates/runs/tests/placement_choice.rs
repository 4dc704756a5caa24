//! Compares the placement policy of [`WorkerRegistry::choose_worker`] with two common ones when several entries, which don't know
//! of each other's starts, place tasks on the same workers.
//!
//! A seeded replay drives a model. Each entry knows of its own starts and ends at once, and learns of those of the
//! other entries from reports every 45 ms. A worker without free capacity rejects a start. The model leaves out slow
//! and lost workers, leases, and the delays of frames and processes.

use std::collections::{BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ServiceName, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport, SessionOrder, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CapacityRequest, RoomClaim, WorkerCapacity, WorkerPool, WorkerRegistry};

const ENTRIES: usize = 3;
const WORKERS: usize = 12;
const ZONES: usize = 3;
/// Number of tasks that can be running at one worker.
const SLOTS: u64 = 10;
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_200, memory: Megabytes(64), accelerators: 0 };
/// Interval between two reports of a worker's use to each entry.
const REPORT_INTERVAL_MS: u64 = 45;
/// Simulated duration of a replay.
const REPLAY_MS: u64 = 20_000;

/// Chooses a worker for a task of an entry. The optional agent is that of the previous task, if it belongs to the same job.
type PlacementPolicy = fn(&WorkerRegistry, MonoTime, &ZoneName, &CapacityRequest<'_>, Option<&AgentId>, &mut ChaCha8Rng) -> Option<AgentId>;

/// Returns the workers with free capacity for a task, as far as the entry knows.
fn fitting_workers<'a>(
    registry: &'a WorkerRegistry,
    now: MonoTime,
    request: &'a CapacityRequest<'_>,
) -> impl Iterator<Item = &'a WorkerCapacity> {
    registry.workers().filter(move |worker| registry.is_usable(now, worker) && request.demand.fits(&worker.free_capacity()))
}

/// Chooses by the policy under test.
fn choose_by_registry(
    registry: &WorkerRegistry,
    now: MonoTime,
    zone: &ZoneName,
    request: &CapacityRequest<'_>,
    last: Option<&AgentId>,
    _: &mut ChaCha8Rng,
) -> Option<AgentId> {
    registry.choose_worker(now, zone, &BTreeSet::new(), request, last).cloned()
}

/// Chooses any worker with free capacity.
fn choose_random(
    registry: &WorkerRegistry,
    now: MonoTime,
    _: &ZoneName,
    request: &CapacityRequest<'_>,
    _: Option<&AgentId>,
    rng: &mut ChaCha8Rng,
) -> Option<AgentId> {
    let fitting: Vec<&WorkerCapacity> = fitting_workers(registry, now, request).collect();
    (!fitting.is_empty()).then(|| fitting[rng.random_range(0..fitting.len())].agent.clone())
}

/// Chooses the worker with the most free capacity.
fn choose_least_loaded(
    registry: &WorkerRegistry,
    now: MonoTime,
    _: &ZoneName,
    request: &CapacityRequest<'_>,
    _: Option<&AgentId>,
    _: &mut ChaCha8Rng,
) -> Option<AgentId> {
    fitting_workers(registry, now, request).max_by_key(|worker| worker.free_capacity().millicores).map(|worker| worker.agent.clone())
}

/// A task of the model: its job, when the job arrived, and its run time, in milliseconds.
#[derive(Clone, Debug)]
struct ModelTask {
    job: usize,
    arrived_at: u64,
    run_ms: u64,
}

/// The results of a replay.
#[derive(Debug, Default)]
struct ReplayOutcome {
    starts: usize,
    refused: usize,
    /// Response time of each job relative to the run time of its longest task, in percent.
    ratios: Vec<u64>,
}

impl ReplayOutcome {
    fn p99(&mut self) -> u64 {
        self.ratios.sort_unstable();
        self.ratios[self.ratios.len() * 99 / 100]
    }
}

/// Entries and workers under one policy.
struct PlacementModel {
    /// What each entry knows of the workers.
    registries: Vec<WorkerRegistry>,
    /// Tasks that wait at each entry for a worker.
    waiting: Vec<VecDeque<ModelTask>>,
    /// The job of the task that each entry placed last, and the agent that it was placed at.
    last_placed: Vec<Option<(usize, AgentId)>>,
    /// Running tasks: worker, entry, end and task.
    running: Vec<(usize, usize, u64, ModelTask)>,
    /// Number of unfinished tasks of each job.
    unfinished: Vec<usize>,
    /// Run time of the longest task of each job, in milliseconds.
    longest_ms: Vec<u64>,
    service: ServiceName,
    outcome: ReplayOutcome,
}

fn agent(worker: usize) -> AgentId {
    format!("agent-{worker:02}").parse().expect("a valid name")
}

fn zone(number: usize) -> ZoneName {
    format!("zone-{number}").parse().expect("a valid name")
}

impl PlacementModel {
    fn new() -> Self {
        let mut model = Self {
            registries: vec![(); ENTRIES].into_iter().map(|()| WorkerRegistry::default()).collect(),
            waiting: vec![VecDeque::new(); ENTRIES],
            last_placed: vec![None; ENTRIES],
            running: Vec::new(),
            unfinished: Vec::new(),
            longest_ms: Vec::new(),
            service: "desk".parse().expect("a valid name"),
            outcome: ReplayOutcome::default(),
        };
        for (entry, worker) in (0..ENTRIES).flat_map(|entry| (0..WORKERS).map(move |worker| (entry, worker))) {
            let zone = zone(worker % ZONES);
            let hello = RunHello {
                agent: agent(worker),
                incarnation: Incarnation(1),
                order: SessionOrder::default(),
                zone,
                plan_version: 0,
                unsettled: Vec::new(),
            };
            model.registries[entry].record_hello(MonoTime::ZERO, SessionId(worker as u64), &hello);
        }
        model
    }

    /// Returns what running tasks occupy at a worker: those of one entry, or of all.
    fn used_capacity(&self, worker: usize, entry: Option<usize>) -> ResourceAmount {
        let tasks = self
            .running
            .iter()
            .filter(|(task_worker, task_entry, _, _)| *task_worker == worker && entry.is_none_or(|entry| entry == *task_entry));
        tasks.fold(ResourceAmount::default(), |sum, _| sum + DEMAND)
    }

    /// Delivers a report of a worker's use to every entry.
    fn send_reports(&mut self, now: u64, worker: usize) {
        let capacity = ResourceAmount { millicores: DEMAND.millicores * SLOTS, memory: Megabytes(10_000), accelerators: 0 };
        let worker_info = WorkerInfo {
            worker: SmolStr::new_static("worker"),
            service: self.service.clone(),
            capacity,
            labels: Vec::new(),
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        for entry in 0..ENTRIES {
            let (used, used_by_entry) = (self.used_capacity(worker, None), self.used_capacity(worker, Some(entry)));
            let report = RunReport {
                sent_at: Millis(now),
                needs_answer: true,
                used,
                used_by_entry,
                worker: Some(worker_info.clone()),
                ..RunReport::default()
            };
            self.registries[entry].record_report(MonoTime::from_millis(now), SessionId(worker as u64), &report);
        }
    }

    /// Ends the tasks that have run for their run time.
    fn end_tasks(&mut self, now: u64) {
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(|(_, _, end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(usize, usize, u64, ModelTask)> = ended;
        for (worker, entry, _, task) in ended {
            self.registries[entry].release(&agent(worker), DEMAND);
            self.unfinished[task.job] -= 1;
            if self.unfinished[task.job] == 0 {
                self.outcome.ratios.push((now - task.arrived_at) * 100 / self.longest_ms[task.job]);
            }
        }
    }

    /// Places the waiting tasks of an entry, in the order of arrival, until no worker is chosen.
    fn place_tasks(&mut self, now: u64, entry: usize, policy: PlacementPolicy, rng: &mut ChaCha8Rng) {
        while let Some(task) = self.waiting[entry].front().cloned() {
            let last = self.last_placed[entry].as_ref().filter(|(job, _)| *job == task.job).map(|(_, agent)| agent.clone());
            let service = self.service.clone();
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
            let at = MonoTime::from_millis(now);
            let Some(chosen) = policy(&self.registries[entry], at, &zone(entry % ZONES), &request, last.as_ref(), rng) else {
                return;
            };
            let worker = (0..WORKERS).find(|worker| agent(*worker) == chosen).expect("a known worker");
            self.outcome.starts += 1;
            if self.used_capacity(worker, None).millicores >= DEMAND.millicores * SLOTS {
                self.outcome.refused += 1;
                self.registries[entry].record_rejection(at, &chosen);
                continue;
            }
            self.waiting[entry].pop_front();
            self.registries[entry].reserve(at, &chosen, DEMAND);
            self.last_placed[entry] = Some((task.job, chosen));
            self.running.push((worker, entry, now + task.run_ms, task));
        }
    }

    /// Adds a job of one to seven tasks at a random entry.
    fn add_job(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        let (entry, width) = (rng.random_range(0..ENTRIES), rng.random_range(1..8));
        let typical_ms: u64 = if rng.random_bool(0.1) { 900 } else { rng.random_range(50..250) };
        let job = self.unfinished.len();
        let run_times: Vec<u64> = (0..width).map(|_| typical_ms * rng.random_range(85..115) / 100).collect();
        self.unfinished.push(run_times.len());
        self.longest_ms.push(run_times.iter().copied().max().unwrap_or(1));
        self.waiting[entry].extend(run_times.into_iter().map(|run_ms| ModelTask { job, arrived_at: now, run_ms }));
    }
}

/// Runs the model at `load` percent of the workers' capacity under one policy.
fn replay(seed: u64, load: u64, policy: PlacementPolicy) -> ReplayOutcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = ChaCha8Rng::seed_from_u64(seed + 1_000);
    let mut model = PlacementModel::new();
    // A job has four tasks of 225 ms on average.
    let arrival_probability = (WORKERS as u64 * SLOTS * load) as f64 / (100.0 * 4.0 * 225.0);
    for now in 1..REPLAY_MS {
        model.end_tasks(now);
        (0..WORKERS)
            .filter(|worker| (now + *worker as u64 * 4).is_multiple_of(REPORT_INTERVAL_MS) || now == 1)
            .for_each(|worker| model.send_reports(now, worker));
        if arrivals.random_bool(arrival_probability.min(1.0)) {
            model.add_job(now, &mut arrivals);
        }
        (0..ENTRIES).for_each(|entry| model.place_tasks(now, entry, policy, &mut rng));
    }
    model.outcome
}

#[rstest]
#[case::half_load(50)]
#[case::usual_load(75)]
#[case::heavy_load(90)]
fn registry_policy_is_refused_no_more_than_common_ones(#[case] load: u64) {
    let replay_seeds = |policy: PlacementPolicy| {
        let mut total = ReplayOutcome::default();
        for seed in 0..3 {
            let outcome = replay(seed, load, policy);
            total.starts += outcome.starts;
            total.refused += outcome.refused;
            total.ratios.extend(outcome.ratios);
        }
        (total.refused * 1_000 / total.starts, total.p99())
    };
    let (registry, random, least_loaded) =
        (replay_seeds(choose_by_registry), replay_seeds(choose_random), replay_seeds(choose_least_loaded));
    println!("load {load}%: refused per mille and p99 in percent: registry {registry:?}, random {random:?}, least loaded {least_loaded:?}");
    assert!(
        registry.0 <= random.0 && registry.0 <= least_loaded.0,
        "refused: registry {registry:?}, random {random:?}, least loaded {least_loaded:?}"
    );
}
