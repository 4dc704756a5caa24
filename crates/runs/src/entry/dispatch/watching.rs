//! What runs at work tell of their workers, and the runs that are moved away from slow ones.

use std::time::Duration;

use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{RunEnd, RunOutcome, RunProgress};

use super::DispatchControl;
use crate::entry::straggler_rule::RunForecast;

/// Time at work from which progress is a sound base for a forecast.
const FORECAST_AGE_MIN: Duration = Duration::from_millis(40);

impl DispatchControl {
    /// Logs each change of the set of slow workers.
    pub(super) fn record_slow_workers(&mut self) {
        let slow = self.board.compare_paces(self.now);
        if slow == self.slow {
            return;
        }
        let names: Vec<String> = slow.iter().map(AgentId::to_string).collect();
        self.log(format!("event=slow_workers agents={} workers={}", names.join(","), self.board.workers().count()));
        self.slow = slow;
    }

    /// Learns from a run that has ended.
    pub(super) fn record_end(&mut self, agent: &AgentId, end: &RunEnd) {
        let now = self.now;
        let Some((route, estimate, is_first_fault)) = self.book.get(&end.run.task.job).and_then(|job| {
            let step = job.job.steps.get(usize::from(end.run.task.step))?;
            Some((job.route.name.clone(), step.estimate.to_duration(), job.is_first_fault()))
        }) else {
            return;
        };
        let expected = self.times.expect(&route, estimate);
        let Some(performance) = self.board.performance_mut(agent) else {
            return;
        };
        match end.outcome {
            RunOutcome::Done => {
                let ran = end.ran.to_duration();
                performance.record_end(now, end.run.task.job, ran.as_secs_f64() / expected.as_secs_f64().max(0.001));
                if !self.slow.contains(agent) {
                    self.times.record(&route, estimate, ran);
                }
            }
            RunOutcome::Failed if is_first_fault => performance.record_fault(now),
            _ => {}
        }
    }

    /// Learns from runs at work; one that a sound worker would end sooner from the beginning is stopped to move.
    pub(super) fn record_progress(&mut self, agent: &AgentId, progress: &[RunProgress]) {
        for row in progress.iter().filter(|row| row.elapsed.to_duration() >= FORECAST_AGE_MIN) {
            let forecast = RunForecast::new(row.elapsed.to_duration(), row.percent);
            let Some(expected) = self.expect_run(&row.run) else {
                continue;
            };
            if let Some(performance) = self.board.performance_mut(agent) {
                performance.record_progress(self.now, row.run.task.job, forecast.total.as_secs_f64() / expected.as_secs_f64().max(0.001));
            }
            self.move_straggler(agent, &row.run, &forecast);
        }
    }

    fn expect_run(&self, run: &RunId) -> Option<Duration> {
        let job = self.book.get(&run.task.job)?;
        let step = job.job.steps.get(usize::from(run.task.step))?;
        Some(self.times.expect(&job.route.name, step.estimate.to_duration()))
    }

    fn move_straggler(&mut self, agent: &AgentId, run: &RunId, forecast: &RunForecast) {
        let slowness = self.board.get(agent).and_then(|room| room.performance.slowness(self.now));
        let Some(slowness) = slowness.filter(|_| self.slow.contains(agent)) else {
            return;
        };
        if !forecast.is_worth_moving(slowness) {
            return;
        }
        if let Some(effect) = self.book.relocate(run) {
            self.log(format!("event=run_moved run={run} agent={agent} slowness={slowness:.1} left_ms={}", forecast.left.as_millis()));
            self.apply(vec![effect]);
        }
    }
}
