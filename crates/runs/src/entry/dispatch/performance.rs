//! Observation of workers' speed from the progress and the ends of runs, and relocation of runs from slow workers.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{OrderedRun, RunEnd, RunOutcome, RunProgress};

use super::DispatchControl;
use crate::entry::workers::worker_speeds::RouteSummary;
use crate::RunForecast;

impl DispatchControl {
    /// Updates the expected speeds of the workers and logs each noticeable change.
    pub(super) fn update_speeds(&mut self) {
        for (route, summary) in self.worker_registry.update_speeds(self.now, |route| self.route_times.ratio(route)) {
            let RouteSummary { typical_percent, quick_percent, is_uneven } = summary;
            self.log(format!(
                "event=speeds_changed route={route} typical_percent={typical_percent} quick_percent={quick_percent} uneven={is_uneven}"
            ));
        }
    }

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
        let expected = self.healthy_run_time(agent, &route, estimate);
        let is_cold = self.worker_registry.get(agent).is_some_and(|worker| now < worker.cold_until);
        let Some(performance) = self.worker_registry.performance_mut(agent) else {
            return;
        };
        match end.outcome {
            RunOutcome::Done => {
                let ran = end.ran.to_duration();
                let ratio = ran.as_secs_f64() / expected.as_secs_f64().max(0.001);
                performance.record_end(now, end.run.task, ratio);
                if is_cold {
                    self.worker_registry.record_cold_ratio(ratio * self.worker_registry.speed_table().cold_factor());
                } else if !self.slow_agents.contains(agent) {
                    self.route_times.record(&route, estimate, ran);
                }
            }
            RunOutcome::Failed if is_first_failure => performance.record_failure(now),
            _ => {}
        }
    }

    /// Updates the performance record of a worker from runs in progress. Relocates each run that another worker would end
    /// sooner even if it started from the beginning, because this one is slow or is about to leave.
    pub(super) fn record_progress(&mut self, agent: &AgentId, progress: &[RunProgress]) {
        for run_progress in progress.iter().filter(|run_progress| run_progress.elapsed.to_duration() >= RunForecast::AGE_MIN) {
            let run = OrderedRun { run: run_progress.run, order: run_progress.order };
            if !self.job_table.is_sent(agent, &run) {
                continue;
            }
            let forecast = RunForecast::new(run_progress.elapsed.to_duration(), run_progress.percent);
            let Some((route, estimate)) = self.route_and_estimate(&run_progress.run) else {
                continue;
            };
            let expected = self.healthy_run_time(agent, &route, estimate);
            if let Some(performance) = self.worker_registry.performance_mut(agent) {
                let ratio = forecast.total.as_secs_f64() / expected.as_secs_f64().max(0.001);
                performance.record_progress(self.now, run_progress.run.task, ratio);
            }
            if !self.relocate_leaving(agent, &run, &forecast) {
                self.relocate_straggler(agent, &run, &forecast);
            }
        }
    }

    fn route_and_estimate(&self, run: &RunId) -> Option<(SmolStr, Duration)> {
        let job = self.job_table.get(&run.task.job)?;
        let step = job.job.steps.get(usize::from(run.task.step))?;
        Some((job.route.name.clone(), step.estimate.to_duration()))
    }

    /// Returns the run time that a task with this estimate should have on an agent's worker.
    fn healthy_run_time(&self, agent: &AgentId, route: &SmolStr, estimate: Duration) -> Duration {
        let ratio = self.worker_registry.worker_ratio(self.now, agent, route);
        estimate.mul_f64(ratio.map_or_else(|| self.route_times.ratio(route), |ratio| ratio.healthy))
    }

    /// Relocates a run that can't end before its worker leaves. Returns whether it did.
    fn relocate_leaving(&mut self, agent: &AgentId, run: &OrderedRun, forecast: &RunForecast) -> bool {
        let leaves_at = self.worker_registry.get(agent).and_then(|worker| worker.leaves_at);
        let Some(left) = leaves_at.map(|at| at.since(self.now)).filter(|left| forecast.ends_after(*left)) else {
            return false;
        };
        self.move_run(agent, run, format!("cause=leaving worker_left_ms={}", left.as_millis()), forecast)
    }

    fn relocate_straggler(&mut self, agent: &AgentId, run: &OrderedRun, forecast: &RunForecast) {
        let slowness = self.worker_registry.get(agent).and_then(|worker| worker.slowness(self.now));
        let Some(slowness) = slowness.filter(|_| self.slow_agents.contains(agent)) else {
            return;
        };
        if forecast.should_relocate(slowness) {
            self.move_run(agent, run, format!("slowness={slowness:.1}"), forecast);
        }
    }

    fn move_run(&mut self, agent: &AgentId, run: &OrderedRun, cause: String, forecast: &RunForecast) -> bool {
        let Some(effect) = self.job_table.relocate(run) else {
            return false;
        };
        self.log(format!("event=run_moved run={} agent={agent} {cause} left_ms={}", run.run, forecast.remaining.as_millis()));
        self.apply_effects(vec![effect]);
        true
    }
}
