//! Seeded jobs: when each arrives and how long each task runs.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::units::Millis;
use vanillacleat_standin::TaskScript;

use super::ideal::ideal_time;
use super::settings::LoadSettings;
use crate::deployment::SERVICE;

/// Shortest and longest task of the long kind, in milliseconds.
const LONG_MS: [u64; 2] = [2_000, 5_000];
/// Share of the arrivals of a burst and its calm that fall into the burst.
const BURST_SHARE: f64 = 0.8;

/// A `PlannedJob` is a job with its arrival.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// When it arrives after the start.
    pub at: Duration,
    /// The job.
    pub spec: JobSpec,
    /// The tasks' own run times added up.
    pub work: Duration,
    /// How long it would take alone on all slots.
    pub ideal: Duration,
    /// Whether it is also submitted through another entry.
    pub is_doubled: bool,
}

/// Returns the jobs of a run with the given offered load, in order of arrival.
pub fn plan_jobs(settings: &LoadSettings, load: f64) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let slots = settings.agents * settings.slots as usize;
    let capacity = slots as f64 * load;
    let mean_work = mean_task_seconds(settings) * (settings.job_tasks[0] + settings.job_tasks[1]) as f64 / 2.0;
    let mean_gap = mean_work / capacity;
    let mut at = 0.0;
    let mut jobs = Vec::new();
    while at < settings.seconds as f64 {
        let index = jobs.len();
        jobs.push(plan_job(settings, &mut rng, index, spread_bursts(settings, at), slots));
        at += -mean_gap * (1.0 - rng.random::<f64>()).ln();
    }
    jobs
}

fn mean_task_seconds(settings: &LoadSettings) -> f64 {
    let ordinary = (settings.task_ms[0] + settings.task_ms[1]) as f64 / 2_000.0;
    let long = (LONG_MS[0] + LONG_MS[1]) as f64 / 2_000.0;
    ordinary * (1.0 - settings.long_share) + long * settings.long_share
}

/// Moves an arrival so that most of a burst and the calm after it fall into the burst.
fn spread_bursts(settings: &LoadSettings, at: f64) -> Duration {
    let period = settings.burst_seconds * 2.0;
    if period <= 0.0 {
        return Duration::from_secs_f64(at);
    }
    let (start, phase) = ((at / period).floor() * period, (at % period) / period);
    let moved = match phase < BURST_SHARE {
        true => phase / BURST_SHARE * 0.5,
        false => 0.5 + (phase - BURST_SHARE) / (1.0 - BURST_SHARE) * 0.5,
    };
    Duration::from_secs_f64(start + moved * period)
}

fn plan_job(settings: &LoadSettings, rng: &mut ChaCha8Rng, index: usize, at: Duration, slots: usize) -> PlannedJob {
    let count = rng.random_range(settings.job_tasks[0]..=settings.job_tasks[1]);
    let runs: Vec<Duration> = (0..count).map(|_| Duration::from_millis(plan_run(settings, rng))).collect();
    let make_task = |(task, run): (usize, &Duration)| {
        let run_ms = run.as_millis() as u64;
        let script = TaskScript { id: format!("{index}-{task}"), run_ms, fails: false };
        // Declared times are far off the truth: here always a third of the mean or three times it.
        let declared = if (index + task).is_multiple_of(2) { 170 } else { 1_500 };
        TaskSpec { payload: script.to_payload(), declared_ms: Some(Millis(declared)), ..TaskSpec::default() }
    };
    let spec = JobSpec {
        service: SERVICE.parse().expect("the name is valid"),
        team: format!("team-{}", index % settings.teams).parse().expect("the name is valid"),
        deadline_ms: Millis(settings.deadline_ms),
        tasks: runs.iter().enumerate().map(make_task).collect(),
    };
    let ideal = ideal_time(&runs, slots);
    let is_doubled = rng.random_bool(settings.resubmit_share.clamp(0.0, 1.0));
    PlannedJob { at, spec, work: runs.iter().sum(), ideal, is_doubled }
}

fn plan_run(settings: &LoadSettings, rng: &mut ChaCha8Rng) -> u64 {
    let [least, most] = if rng.random_bool(settings.long_share.clamp(0.0, 1.0)) { LONG_MS } else { settings.task_ms };
    rng.random_range(least..=most)
}
