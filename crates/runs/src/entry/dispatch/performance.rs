//! Observation of workers' speed from the progress and the ends of runs, and relocation of runs from slow workers.

use std::time::Duration;

use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{OrderedRun, RunEnd, RunOutcome, RunProgress};

use super::DispatchControl;
use crate::entry::straggler_rule::RunForecast;

/// Minimum time that a run must have taken so far for its progress to give a reliable forecast.
const FORECAST_AGE_MIN: Duration = Duration::from_millis(40);

impl DispatchControl {
    /// Updates the set of slow workers and logs each change of it.
    pub(super) fn record_slow_workers(&mut self) {
        let slow = self.worker_registry.update_slow_workers(self.now);
        if slow == self.slow_agents {
            return;
        }
        let names: Vec<String> = slow.iter().map(AgentId::to_string).collect();
        self.log(format!("event=slow_workers agents={} workers={}", names.join(","), self.worker_registry.workers().count()));
        self.slow_agents = slow;
    }

    /// Updates the performance record of a worker, and the observed run times of the route, from a run that has ended.
    pub(super) fn record_run_performance(&mut self, agent: &AgentId, end: &RunEnd) {
        let now = self.now;
        let Some((route, estimate, is_first_failure)) = self.job_table.get(&end.run.task.job).and_then(|job| {
            let step = job.job.steps.get(usize::from(end.run.task.step))?;
            Some((job.route.name.clone(), step.estimate.to_duration(), job.has_no_failures()))
        }) else {
            return;
        };
        let expected = self.route_times.expected_run_time(&route, estimate);
        let Some(performance) = self.worker_registry.performance_mut(agent) else {
            return;
        };
        match end.outcome {
            RunOutcome::Done => {
                let ran = end.ran.to_duration();
                performance.record_end(now, end.run.task.job, ran.as_secs_f64() / expected.as_secs_f64().max(0.001));
                if !self.slow_agents.contains(agent) {
                    self.route_times.record(&route, estimate, ran);
                }
            }
            RunOutcome::Failed if is_first_failure => performance.record_failure(now),
            _ => {}
        }
    }

    /// Updates the performance record of a worker from runs in progress. If the worker is slow, relocates each run that
    /// a healthy worker would end sooner even if it started from the beginning.
    pub(super) fn record_progress(&mut self, agent: &AgentId, progress: &[RunProgress]) {
        for run_progress in progress.iter().filter(|run_progress| run_progress.elapsed.to_duration() >= FORECAST_AGE_MIN) {
            let run = OrderedRun { run: run_progress.run, order: run_progress.order };
            if !self.job_table.is_sent(agent, &run) {
                continue;
            }
            let forecast = RunForecast::new(run_progress.elapsed.to_duration(), run_progress.percent);
            let Some(expected) = self.expected_run_time(&run_progress.run) else {
                continue;
            };
            if let Some(performance) = self.worker_registry.performance_mut(agent) {
                performance.record_progress(
                    self.now,
                    run_progress.run.task.job,
                    forecast.total.as_secs_f64() / expected.as_secs_f64().max(0.001),
                );
            }
            self.relocate_straggler(agent, &run, &forecast);
        }
    }

    fn expected_run_time(&self, run: &RunId) -> Option<Duration> {
        let job = self.job_table.get(&run.task.job)?;
        let step = job.job.steps.get(usize::from(run.task.step))?;
        Some(self.route_times.expected_run_time(&job.route.name, step.estimate.to_duration()))
    }

    fn relocate_straggler(&mut self, agent: &AgentId, run: &OrderedRun, forecast: &RunForecast) {
        let slowness = self.worker_registry.get(agent).and_then(|worker| worker.performance.slowness(self.now));
        let Some(slowness) = slowness.filter(|_| self.slow_agents.contains(agent)) else {
            return;
        };
        if !forecast.should_relocate(slowness) {
            return;
        }
        if let Some(effect) = self.job_table.relocate(run) {
            let left_ms = forecast.remaining.as_millis();
            self.log(format!("event=run_moved run={} agent={agent} slowness={slowness:.1} left_ms={left_ms}", run.run));
            self.apply_effects(vec![effect]);
        }
    }
}
