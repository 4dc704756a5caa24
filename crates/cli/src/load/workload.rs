//! Generates the workload from a seed: the arrival time of each job and the run time of each task.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::units::Millis;
use vanillacleat_standin::TaskScript;

use super::makespan::ideal_makespan;
use super::settings::LoadSettings;
use crate::deployment::SERVICE;

/// Minimum and maximum run time of a long task, in milliseconds.
const LONG_TASK_MS: [u64; 2] = [2_000, 5_000];
/// Share of the arrivals of a period (a burst and the calm of the same length after it) that fall into the burst.
const BURST_SHARE: f64 = 0.8;

/// A generated job with its arrival time.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// Arrival time, counted from the start of the run.
    pub arrival: Duration,
    /// The job as it is submitted.
    pub spec: JobSpec,
    /// Sum of the tasks' run times.
    pub total_work: Duration,
    /// Time that the job would take with all slots to itself.
    pub ideal_makespan: Duration,
    /// Whether the caller submits the job a second time, through the next entry in turn.
    pub is_resubmitted: bool,
}

/// Returns the jobs of a run in order of arrival. Arrivals form a Poisson process. Its rate is chosen so that the
/// mean work of the arriving jobs is the share `load` of the capacity of all slots.
pub fn plan_jobs(settings: &LoadSettings, load: f64) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let slots = settings.agents * settings.slots as usize;
    let offered_slots = slots as f64 * load;
    let mean_work = mean_task_seconds(settings) * (settings.job_tasks[0] + settings.job_tasks[1]) as f64 / 2.0;
    let mean_interarrival = mean_work / offered_slots;
    let mut arrival = 0.0;
    let mut jobs = Vec::new();
    while arrival < settings.seconds as f64 {
        let index = jobs.len();
        jobs.push(plan_job(settings, &mut rng, index, compress_into_bursts(settings, arrival), slots));
        arrival += -mean_interarrival * (1.0 - rng.random::<f64>()).ln();
    }
    jobs
}

/// Returns the expected run time of a task, in seconds.
fn mean_task_seconds(settings: &LoadSettings) -> f64 {
    let ordinary = (settings.task_ms[0] + settings.task_ms[1]) as f64 / 2_000.0;
    let long = (LONG_TASK_MS[0] + LONG_TASK_MS[1]) as f64 / 2_000.0;
    ordinary * (1.0 - settings.long_share) + long * settings.long_share
}

/// Maps a steady arrival time, in seconds, to a bursty one: `BURST_SHARE` of the arrivals of each period are moved into
/// the period's first half. Returns it unchanged if the settings have no bursts.
fn compress_into_bursts(settings: &LoadSettings, arrival: f64) -> Duration {
    let period = settings.burst_seconds * 2.0;
    if period <= 0.0 {
        return Duration::from_secs_f64(arrival);
    }
    let (start, phase) = ((arrival / period).floor() * period, (arrival % period) / period);
    let bursty_phase = match phase < BURST_SHARE {
        true => phase / BURST_SHARE * 0.5,
        false => 0.5 + (phase - BURST_SHARE) / (1.0 - BURST_SHARE) * 0.5,
    };
    Duration::from_secs_f64(start + bursty_phase * period)
}

fn plan_job(settings: &LoadSettings, rng: &mut ChaCha8Rng, index: usize, arrival: Duration, slots: usize) -> PlannedJob {
    let count = rng.random_range(settings.job_tasks[0]..=settings.job_tasks[1]);
    let run_times: Vec<Duration> = (0..count).map(|_| Duration::from_millis(draw_run_ms(settings, rng))).collect();
    let make_task = |(task, run_time): (usize, &Duration)| {
        let run_ms = run_time.as_millis() as u64;
        let script = TaskScript { id: format!("{index}-{task}"), run_ms, fails: false };
        // Models callers whose estimates of run times are far off. The tasks declare alternately about a third and about
        // three times the mean run time of the default settings.
        let declared_ms = if (index + task).is_multiple_of(2) { 170 } else { 1_500 };
        TaskSpec { payload: script.to_payload(), declared_ms: Some(Millis(declared_ms)), ..TaskSpec::default() }
    };
    let spec = JobSpec {
        service: SERVICE.parse().expect("the name is valid"),
        team: format!("team-{}", index % settings.teams).parse().expect("the name is valid"),
        deadline_ms: Millis(settings.deadline_ms),
        tasks: run_times.iter().enumerate().map(make_task).collect(),
    };
    let ideal_makespan = ideal_makespan(&run_times, slots);
    let is_resubmitted = rng.random_bool(settings.resubmit_share.clamp(0.0, 1.0));
    PlannedJob { arrival, spec, total_work: run_times.iter().sum(), ideal_makespan, is_resubmitted }
}

/// Draws the run time of a task, in milliseconds.
fn draw_run_ms(settings: &LoadSettings, rng: &mut ChaCha8Rng) -> u64 {
    let [min, max] = if rng.random_bool(settings.long_share.clamp(0.0, 1.0)) { LONG_TASK_MS } else { settings.task_ms };
    rng.random_range(min..=max)
}
