//! Compares the choice among workers of two kinds by expected end with the choice by free capacity alone, in a seeded replay
//! in which two thirds of the workers take 0.7 times the work of a task and the larger third 1.7 times.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{CapacityRequest, RoomClaim, TaskTiming, WorkerPool, WorkerRegistry};

use support::uneven_site::{draw_job, make_registry, make_workers, zone, ModelWork, ModelWorker, DEMAND, ROUTES};

const ENTRIES: usize = 3;
const WORKERS: usize = 18;
const REPORT_INTERVAL_MS: u64 = 45;
const REPLAY_MS: u64 = 20_000;
/// Time before the measurement, in which the agents learn.
const WARM_UP_MS: u64 = 3_000;
/// Target of a job: its work times this factor, and a constant.
const SLACK: f64 = 1.6;
const TARGET_MS: f64 = 60.0;

struct ModelJob {
    arrived_at: u64,
    longest_ms: f64,
    unfinished: usize,
}

struct ModelTask {
    job: usize,
    route: usize,
    work: ModelWork,
    due_at: u64,
}

struct ModelRun {
    worker: usize,
    entry: usize,
    end: u64,
    task: ModelTask,
}

/// The results of a replay.
#[derive(Debug, Default)]
struct ReplayOutcome {
    jobs: usize,
    late: usize,
    /// Response time relative to the work of the longest task on a fast worker: of all jobs, and of those of the last route.
    ratios: [Vec<f64>; 2],
}

impl ReplayOutcome {
    fn late_per_mille(&self) -> usize {
        self.late * 1_000 / self.jobs.max(1)
    }

    /// Returns the ninety-ninth percentile of the ratios of all jobs, and of the long ones.
    fn p99(&mut self) -> [f64; 2] {
        self.ratios.iter_mut().for_each(|ratios| ratios.sort_by(f64::total_cmp));
        [0, 1].map(|route| self.ratios[route][self.ratios[route].len() * 99 / 100])
    }
}

/// Runs the model at `load` percent of the work that all workers can do.
fn replay(seed: u64, load: u64, is_timed: bool) -> ReplayOutcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut workers = make_workers(WORKERS, ENTRIES);
    let mut registries: Vec<WorkerRegistry> = (0..ENTRIES).map(|_| make_registry(&workers)).collect();
    let (mut jobs, mut runs): (Vec<ModelJob>, Vec<ModelRun>) = (Vec::new(), Vec::new());
    let mut waiting: Vec<BTreeMap<(u64, usize, usize), ModelTask>> = (0..ENTRIES).map(|_| BTreeMap::new()).collect();
    let mut outcome = ReplayOutcome::default();
    // Work of each route is a third of all. Tails add 18 percent.
    let speed: f64 = workers.iter().map(|worker| (worker.info.capacity.millicores / DEMAND.millicores) as f64 / worker.slowness).sum();
    for now in 1..REPLAY_MS {
        let (ended, running) = runs.into_iter().partition(|run: &ModelRun| run.end <= now);
        runs = running;
        for ModelRun { worker, entry, task, .. } in ended {
            registries[entry].release(&workers[worker].agent.clone(), DEMAND);
            workers[worker].record_end(ROUTES[task.route].0, task.work);
            record_end(&mut jobs, &mut outcome, &task, now);
        }
        report_all(now, &mut workers, &mut registries, &runs);
        for (route, (_, width, usual_ms)) in ROUTES.iter().enumerate() {
            let probability = speed * load as f64 / 100.0 / 3.0 / (*width as f64 * *usual_ms as f64 * 1.18);
            if rng.random_bool(probability.min(1.0)) {
                let (works, longest_ms) = draw_job(&mut rng, *width, *usual_ms);
                let (entry, job) = (rng.random_range(0..ENTRIES), jobs.len());
                let due_at = now + (works[0].estimated_ms * SLACK + TARGET_MS) as u64;
                jobs.push(ModelJob { arrived_at: now, longest_ms, unfinished: works.len() });
                let tasks = works.into_iter().enumerate();
                waiting[entry].extend(tasks.map(|(index, work)| ((due_at, job, index), ModelTask { job, route, work, due_at })));
            }
        }
        for (entry, waiting) in waiting.iter_mut().enumerate() {
            place(now, entry, &mut registries[entry], &workers, waiting, &mut runs, is_timed);
        }
    }
    outcome
}

fn record_end(jobs: &mut [ModelJob], outcome: &mut ReplayOutcome, task: &ModelTask, now: u64) {
    let job = &mut jobs[task.job];
    job.unfinished -= 1;
    if job.unfinished == 0 && job.arrived_at >= WARM_UP_MS {
        let response = (now - job.arrived_at) as f64;
        outcome.jobs += 1;
        outcome.late += usize::from(response > job.longest_ms * SLACK + TARGET_MS);
        let ratio = response / (job.longest_ms * 0.7);
        outcome.ratios[0].push(ratio);
        if task.route == ROUTES.len() - 1 {
            outcome.ratios[1].push(ratio);
        }
    }
}

fn used(runs: &[ModelRun], worker: usize, entry: Option<usize>) -> ResourceAmount {
    let runs = runs.iter().filter(|run| run.worker == worker && entry.is_none_or(|entry| entry == run.entry));
    runs.fold(ResourceAmount::default(), |sum, _| sum + DEMAND)
}

fn report_all(now: u64, workers: &mut [ModelWorker], registries: &mut [WorkerRegistry], runs: &[ModelRun]) {
    for (number, worker) in workers.iter_mut().enumerate() {
        if (now + number as u64 * 4).is_multiple_of(REPORT_INTERVAL_MS) || now == 1 {
            for (entry, registry) in registries.iter_mut().enumerate() {
                worker.report(now, (entry, ENTRIES), registry, [used(runs, number, None), used(runs, number, Some(entry))]);
            }
        }
    }
}

/// Places waiting tasks in the order of their targets until there is no free capacity. A worker without room rejects a start.
fn place(
    now: u64,
    entry: usize,
    registry: &mut WorkerRegistry,
    workers: &[ModelWorker],
    waiting: &mut BTreeMap<(u64, usize, usize), ModelTask>,
    runs: &mut Vec<ModelRun>,
    is_timed: bool,
) {
    let at = MonoTime::from_millis(now);
    while let Some((key, task)) = waiting.pop_first() {
        let route = registry.speed_table().index(&SmolStr::new_static(ROUTES[task.route].0)).expect("a known route");
        let estimate = Duration::from_secs_f64(task.work.estimated_ms / 1_000.0);
        let timing = TaskTiming { route, estimate, due_at: MonoTime::from_millis(task.due_at) };
        let request = CapacityRequest {
            service: &workers[0].info.service,
            demand: &DEMAND,
            required_label: None,
            preferred_rack: None,
            excluded: &[],
            claim: RoomClaim::Urgent,
            pool: WorkerPool::All,
            timing: is_timed.then_some(timing),
        };
        let Some(agent) = registry.choose_worker(at, &zone(entry % 3), &BTreeSet::new(), &request, None).cloned() else {
            waiting.insert(key, task);
            return;
        };
        let worker = workers.iter().position(|worker| worker.agent == agent).expect("a known worker");
        if !DEMAND.fits(&workers[worker].info.capacity.saturating_sub(&used(runs, worker, None))) {
            registry.record_rejection(at, &agent);
            waiting.insert(key, task);
            continue;
        }
        registry.reserve(at, &agent, DEMAND);
        let end = now + workers[worker].run_ms(task.work).ceil() as u64;
        runs.push(ModelRun { worker, entry, end, task });
    }
}

#[rstest]
#[case::quiet(30)]
#[case::half_load(50)]
#[case::usual_load(70)]
fn late_jobs_become_fewer_at(#[case] load: u64) {
    let (mut timed, mut untimed) = (ReplayOutcome::default(), ReplayOutcome::default());
    for seed in 0..2 {
        for (is_timed, total) in [(true, &mut timed), (false, &mut untimed)] {
            let outcome = replay(seed, load, is_timed);
            total.jobs += outcome.jobs;
            total.late += outcome.late;
            total.ratios.iter_mut().zip(outcome.ratios).for_each(|(total, ratios)| total.extend(ratios));
        }
    }
    let (timed_p99, untimed_p99) = (timed.p99(), untimed.p99());
    println!(
        "load {load}%: late per mille {} against {}, p99 of response over ideal, of all and of long jobs, {timed_p99:.2?} against \
         {untimed_p99:.2?}, jobs {}",
        timed.late_per_mille(),
        untimed.late_per_mille(),
        timed.jobs
    );
    assert!(timed.late * 2 < untimed.late, "late: {} against {}", timed.late, untimed.late);
    assert!(timed_p99[1] < untimed_p99[1], "long jobs: {timed_p99:?} against {untimed_p99:?}");
    // A job that has time may run on a slow worker, which takes 2.4 times as long as a fast one.
    assert!(timed_p99[0] <= untimed_p99[0] * 1.02, "all jobs: {timed_p99:?} against {untimed_p99:?}");
}
