//! A model of workers of two kinds, `a` and `b`, with the speed tables of their agents and of one or more entries.
//!
//! Every third worker is of kind `b`: larger and slower. Callers' estimates are off by 40 percent (standard deviation), in the same
//! way for all tasks of a job; three percent of the tasks take seven times as long as the others. The model leaves out leases and the delays of frames.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ZoneName};
use vanillacleat_core::run_frames::{RouteSpeed, RunHello, RunReport, SessionOrder, WorkerInfo};
use vanillacleat_core::units::{Megabytes, Millis, MonoTime};
use vanillacleat_runs::agent::RunSpeeds;
use vanillacleat_runs::entry::WorkerRegistry;

/// What one task occupies.
pub const DEMAND: ResourceAmount = ResourceAmount { millicores: 2_700, memory: Megabytes(64), accelerators: 0 };
/// The routes: name, number of tasks of a job, and their usual work in milliseconds.
pub const ROUTES: [(&str, u64, u64); 3] = [("short", 8, 51), ("middle", 2, 170), ("long", 4, 760)];

/// One worker with its agent's table.
pub struct ModelWorker {
    /// The agent's name.
    pub agent: AgentId,
    /// The worker's description.
    pub info: WorkerInfo,
    /// Run time divided by work.
    pub slowness: f64,
    /// What its agent has learned.
    pub speeds: RunSpeeds,
    reported: Vec<BTreeMap<SmolStr, RouteSpeed>>,
}

/// The work of one task, and what its caller estimated.
#[derive(Clone, Copy, Debug)]
pub struct ModelWork {
    /// Work in milliseconds.
    pub work_ms: f64,
    /// Estimate in milliseconds.
    pub estimated_ms: f64,
}

/// Returns the zone of this number.
pub fn zone(number: usize) -> ZoneName {
    format!("zone-{number}").parse().expect("a valid name")
}

/// Returns workers in three zones, which `entries` entries know.
pub fn make_workers(count: usize, entries: usize) -> Vec<ModelWorker> {
    let workers = (0..count).map(|number| {
        let (kind, slowness, millicores) = if number % 3 == 2 { ("b", 1.7, 48_000) } else { ("a", 0.7, 32_000) };
        let kind = SmolStr::new_static(kind);
        let info = WorkerInfo {
            worker: SmolStr::new(format!("i-{number}")),
            service: "desk".parse().expect("a valid name"),
            capacity: ResourceAmount { millicores, memory: Megabytes(64_000), accelerators: 0 },
            labels: vec![kind.clone(), SmolStr::new(format!("r-{}", number / 8))],
            is_ready: true,
            cold: Millis(0),
            leaves_in: None,
        };
        let mut speeds = RunSpeeds::default();
        speeds.set_kind(Some(&kind));
        let agent = format!("agent-{number:02}").parse().expect("a valid name");
        ModelWorker { agent, info, slowness, speeds, reported: vec![BTreeMap::new(); entries] }
    });
    workers.collect()
}

/// Returns a registry of an entry that has opened its sessions with the workers.
pub fn make_registry(workers: &[ModelWorker]) -> WorkerRegistry {
    let mut registry = WorkerRegistry::default();
    for (number, worker) in workers.iter().enumerate() {
        let hello = RunHello {
            agent: worker.agent.clone(),
            incarnation: Incarnation(1),
            order: SessionOrder::default(),
            zone: zone(number / 3 % 3),
            plan_version: 0,
            unsettled: Vec::new(),
        };
        registry.record_hello(MonoTime::ZERO, SessionId(number as u64), &hello);
    }
    ROUTES.iter().for_each(|(route, ..)| registry.add_route(&SmolStr::new_static(route), |_| 1.0));
    registry
}

impl ModelWorker {
    /// Reports to an entry what the worker's runs use, and what has changed of its speeds.
    pub fn report(&mut self, now: u64, (entry, entries): (usize, usize), registry: &mut WorkerRegistry, used: [ResourceAmount; 2]) {
        let report = RunReport {
            sent_at: Millis(now),
            entries: entries as u32,
            used: used[0],
            used_by_entry: used[1],
            worker: Some(self.info.clone()),
            speeds: self.speeds.news(&mut self.reported[entry]),
            ..RunReport::default()
        };
        let number: u64 = self.agent.as_str().trim_start_matches("agent-").parse().expect("a name of the model");
        registry.record_report(MonoTime::from_millis(now), SessionId(number), &report);
        registry.update_speeds(MonoTime::from_millis(now), |_| 1.0);
    }

    /// Returns how long a task takes here, in milliseconds.
    pub fn run_ms(&self, work: ModelWork) -> f64 {
        work.work_ms * self.slowness
    }

    /// Records at the agent that a task is done.
    pub fn record_end(&mut self, route: &str, work: ModelWork) {
        let ran = Duration::from_secs_f64(self.run_ms(work) / 1_000.0);
        self.speeds.record(&SmolStr::new(route), Duration::from_secs_f64(work.estimated_ms / 1_000.0), ran);
    }
}

/// Returns the tasks of a job, and the work of its longest task.
pub fn draw_job(rng: &mut ChaCha8Rng, width: u64, usual_ms: u64) -> (Vec<ModelWork>, f64) {
    let job_ms = usual_ms as f64 * rng.random_range(0.6..1.4);
    let error: f64 = (0..3).map(|_| rng.random_range(-1.0..1.0)).sum();
    let estimated_ms = job_ms * (0.4 * error).exp();
    let draw_work = |_| job_ms * rng.random_range(0.85..1.15) * if rng.random_bool(0.03) { 7.0 } else { 1.0 };
    let works: Vec<ModelWork> = (0..width).map(draw_work).map(|work_ms| ModelWork { work_ms, estimated_ms }).collect();
    let longest = works.iter().map(|work| work.work_ms).fold(0.0, f64::max);
    (works, longest)
}
