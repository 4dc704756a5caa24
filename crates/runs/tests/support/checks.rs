//! Checks of the invariants, based only on what workers ran and what callers were answered.

use std::collections::BTreeMap;

use vanillacleat_core::caller_job::{CallerJobId, RunId, TaskId};
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{CallerAnswer, JobPhase};

use super::callers::CallerState;

/// A record of the runs at all workers.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    /// Running runs of each task, each with the index of its worker.
    running: BTreeMap<TaskId, Vec<(RunId, usize)>>,
    /// Jobs of which a task has started, with the time of the first start.
    pub started: BTreeMap<CallerJobId, MonoTime>,
    /// The tasks of each job that ended as `Done`, and how often workers listed this: repeated polls list an end again.
    pub done: BTreeMap<CallerJobId, BTreeMap<TaskId, u32>>,
    /// Tasks that had two runs at the same time, described in the order observed.
    pub violations: Vec<String>,
}

impl RunHistory {
    /// Updates the history from the runs that are `running` at a worker now. It is a violation if a run starts while another run
    /// of the same task is running.
    pub fn record_running(&mut self, now: MonoTime, worker: usize, running: &[RunId]) {
        for runs in self.running.values_mut() {
            runs.retain(|(run, running_at)| *running_at != worker || running.contains(run));
        }
        for run in running {
            let runs = self.running.entry(run.task).or_default();
            if runs.iter().any(|(other, running_at)| (other, *running_at) == (run, worker)) {
                continue;
            }
            if let Some((other, other_worker)) = runs.first() {
                self.violations.push(format!("{now}: {run} starts at worker {worker} while {other} is running at worker {other_worker}"));
            }
            runs.push((*run, worker));
            self.started.entry(run.task.job).or_insert(now);
        }
    }

    /// Records the end of a run that a worker listed.
    pub fn record_end(&mut self, run: RunId, outcome: RunOutcome) {
        if outcome == RunOutcome::Done {
            *self.done.entry(run.task.job).or_default().entry(run.task).or_default() += 1;
        }
    }
}

/// Returns a description of the first violated invariant: two concurrent runs of a task, a started task of a job that was
/// only ever refused, or a job reported as succeeded with unfinished tasks.
pub fn find_violation(history: &RunHistory, callers: &[CallerState]) -> Option<String> {
    if let Some(violation) = history.violations.first() {
        return Some(violation.clone());
    }
    callers.iter().find_map(|caller| {
        if caller.is_refused() && history.started.contains_key(&caller.id) {
            return Some(format!("job {} was refused as not run on every submission, but a task of it started", caller.id));
        }
        let is_success = |answer: &CallerAnswer| *answer == CallerAnswer::Ended(JobPhase::Succeeded);
        let width = usize::from(caller.draft.steps[0].count);
        let done = history.done.get(&caller.id).map_or(0, BTreeMap::len);
        let has_succeeded = caller.answers.iter().any(|(_, answer)| is_success(answer));
        (has_succeeded && done < width).then(|| format!("job {} succeeded with {done} of {width} tasks done", caller.id))
    })
}
