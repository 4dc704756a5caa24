//! Jobs that can no longer be answered in time leave a part of each worker to jobs that can (trunk reservation). Entries don't
//! see each other's waiting jobs: without the reservation, late jobs of one entry take the room that another entry's jobs in time
//! need, and under a load slightly above the capacity nearly all jobs become late.
//!
//! A seeded replay drives a model of 3 entries and 8 workers of 10 slots, at 110% of the slots for six seconds. Each entry places
//! its waiting jobs in the order of their ranks. The model leaves out rejected starts: entries know each worker's use exactly.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ServiceName, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport, SessionOrder, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::entry::{CapacityRequest, JobTimes, WorkerPool, WorkerRegistry};

const ENTRIES: usize = 3;
const WORKERS: usize = 8;
const SLOTS: u64 = 10;
const DEMAND: ResourceAmount = ResourceAmount { millicores: 3_200, memory: Megabytes(64), accelerators: 0 };
const REPLAY_MS: u64 = 9_000;
const LOAD_MS: u64 = 6_000;
/// Load during [`LOAD_MS`], in percent of the slots.
const LOAD_PERCENT: u64 = 110;

/// A waiting job: its times and the tasks that have not been placed.
struct WaitingJob {
    times: JobTimes,
    unplaced: u32,
    /// When the last of the placed tasks ends.
    ends_at: u64,
    has_begun: bool,
}

struct LateJobsModel {
    registry: WorkerRegistry,
    waiting: Vec<Vec<WaitingJob>>,
    /// Running tasks: the worker and the end.
    running: Vec<(usize, u64)>,
    service: ServiceName,
    zone: ZoneName,
    in_time: usize,
}

fn agent(worker: usize) -> AgentId {
    format!("agent-{worker}").parse().expect("a valid name")
}

impl LateJobsModel {
    fn new() -> Self {
        let zone: ZoneName = "zone-0".parse().expect("a valid name");
        let mut registry = WorkerRegistry::default();
        for worker in 0..WORKERS {
            let hello = RunHello {
                agent: agent(worker),
                incarnation: Incarnation(1),
                order: SessionOrder::default(),
                zone: zone.clone(),
                plan_version: 0,
                unsettled: Vec::new(),
            };
            registry.record_hello(MonoTime::ZERO, SessionId(worker as u64), &hello);
        }
        let service = "desk".parse().expect("a valid name");
        let waiting = (0..ENTRIES).map(|_| Vec::new()).collect();
        Self { registry, waiting, running: Vec::new(), service, zone, in_time: 0 }
    }

    /// Reports the use of all workers, by which the reservations of running tasks are replaced.
    fn report_use(&mut self, now: u64) {
        for worker in 0..WORKERS {
            let running = self.running.iter().filter(|(other, _)| *other == worker).count() as u64;
            let used = ResourceAmount { millicores: DEMAND.millicores * running, ..ResourceAmount::default() };
            let info = WorkerInfo {
                worker: SmolStr::new_static("worker"),
                service: self.service.clone(),
                capacity: ResourceAmount { millicores: DEMAND.millicores * SLOTS, memory: Megabytes(10_000), accelerators: 0 },
                labels: Vec::new(),
                is_ready: true,
                cold: Millis(0),
                leaves_in: None,
            };
            let report = RunReport { sent_at: Millis(now), used, worker: Some(info), ..RunReport::default() };
            self.registry.record_report(MonoTime::from_millis(now), SessionId(worker as u64), &report);
        }
    }

    fn add_job(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        let expected = Duration::from_millis(rng.random_range(80..320));
        let submitted_at = MonoTime::from_millis(now);
        let target_at = submitted_at + expected * 160 / 100 + Duration::from_millis(60);
        let times = JobTimes { submitted_at, target_at, abandon_at: submitted_at + Duration::from_millis(2_000), expected };
        let job = WaitingJob { times, unplaced: rng.random_range(1..8), ends_at: 0, has_begun: false };
        self.waiting[rng.random_range(0..ENTRIES)].push(job);
    }

    /// Places an entry's waiting tasks. Late jobs leave a part of each worker free if `reserves`.
    fn place_jobs(&mut self, now: u64, entry: usize, reserves: bool) {
        let at = MonoTime::from_millis(now);
        let mut jobs = std::mem::take(&mut self.waiting[entry]);
        jobs.retain(|job| job.has_begun || !job.times.is_too_late(at, Duration::ZERO));
        jobs.sort_by_key(|job| job.times.rank(at, 0));
        for job in &mut jobs {
            let is_late = reserves && job.times.is_late(at) && !job.has_begun;
            while job.unplaced > 0 {
                let request = CapacityRequest {
                    service: &self.service,
                    demand: &DEMAND,
                    required_label: None,
                    preferred_rack: None,
                    excluded: &[],
                    is_late,
                    pool: WorkerPool::All,
                    timing: None,
                };
                let Some(chosen) = self.registry.choose_worker(at, &self.zone, &BTreeSet::new(), &request, None).cloned() else {
                    break;
                };
                let worker = (0..WORKERS).find(|worker| agent(*worker) == chosen).expect("a known worker");
                (job.unplaced, job.has_begun) = (job.unplaced - 1, true);
                job.ends_at = now + job.times.expected.as_millis() as u64;
                self.running.push((worker, job.ends_at));
                self.report_use(now);
            }
        }
        let (placed, waiting): (Vec<_>, Vec<_>) = jobs.into_iter().partition(|job| job.unplaced == 0);
        self.in_time += placed.iter().filter(|job| MonoTime::from_millis(job.ends_at) <= job.times.target_at).count();
        self.waiting[entry] = waiting;
    }
}

/// Returns the number of jobs that were answered in time.
fn replay(seed: u64, reserves: bool) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut model = LateJobsModel::new();
    // A job has four tasks of 200 ms on average.
    let per_step = (WORKERS as u64 * SLOTS * LOAD_PERCENT) as f64 / (100.0 * 4.0 * 200.0);
    for now in 1..REPLAY_MS {
        model.running.retain(|(_, ends_at)| *ends_at > now);
        model.report_use(now);
        if now < LOAD_MS && rng.random_bool(per_step) {
            model.add_job(now, &mut rng);
        }
        // Each entry learns of free room first in turn.
        (0..ENTRIES).for_each(|turn| model.place_jobs(now, (now as usize + turn) % ENTRIES, reserves));
    }
    model.in_time
}

#[test]
fn reservation_keeps_more_jobs_in_time_under_overload() {
    let (mut reserved, mut unreserved) = (0, 0);
    for seed in 0..4 {
        let (with, without) = (replay(seed, true), replay(seed, false));
        println!("seed {seed}: {with} in time with the reservation, {without} without");
        (reserved, unreserved) = (reserved + with, unreserved + without);
    }
    assert!(reserved > unreserved, "{reserved} in time with the reservation, {unreserved} without");
}
