//! The promises, checked from what workers and callers saw.

use std::collections::BTreeMap;

use vanillacleat_core::caller_job::{CallerJobId, RunId, TaskId};
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{CallerAnswer, JobPhase};

use super::callers::CallerState;

/// A `WorkLog` is what the workers did.
#[derive(Clone, Debug, Default)]
pub struct WorkLog {
    /// Where each task is at work.
    at_work: BTreeMap<TaskId, Vec<(RunId, usize)>>,
    /// Tasks that were ever at work, with the first moment.
    pub started: BTreeMap<CallerJobId, MonoTime>,
    /// Ends as `Done` of each job's tasks.
    pub done: BTreeMap<CallerJobId, BTreeMap<TaskId, u32>>,
    /// What was broken, in order.
    pub broken: Vec<String>,
}

impl WorkLog {
    /// Compares what a worker runs now with what it ran before.
    pub fn record_running(&mut self, now: MonoTime, worker: usize, running: &[RunId]) {
        for runs in self.at_work.values_mut() {
            runs.retain(|(run, at)| *at != worker || running.contains(run));
        }
        for run in running {
            let runs = self.at_work.entry(run.task).or_default();
            if runs.iter().any(|(other, at)| (other, *at) == (run, worker)) {
                continue;
            }
            if let Some((other, at)) = runs.first() {
                self.broken.push(format!("{now}: {run} starts at worker {worker} while {other} is at work at worker {at}"));
            }
            runs.push((*run, worker));
            self.started.entry(run.task.job).or_insert(now);
        }
    }

    /// Notes an end.
    pub fn record_end(&mut self, run: RunId, outcome: RunOutcome) {
        if outcome == RunOutcome::Done {
            *self.done.entry(run.task.job).or_default().entry(run.task).or_default() += 1;
        }
    }
}

/// Returns the first broken promise of the callers' answers.
pub fn find_false_answer(log: &WorkLog, callers: &[CallerState]) -> Option<String> {
    if let Some(broken) = log.broken.first() {
        return Some(broken.clone());
    }
    callers.iter().find_map(|caller| {
        if caller.is_refused() && log.started.contains_key(&caller.id) {
            return Some(format!("job {} was refused as not run each time, and ran", caller.id));
        }
        let is_success = |answer: &CallerAnswer| *answer == CallerAnswer::Ended(JobPhase::Succeeded);
        let width = usize::from(caller.draft.steps[0].count);
        let done = log.done.get(&caller.id).map_or(0, BTreeMap::len);
        let has_succeeded = caller.answers.iter().any(|(_, answer)| is_success(answer));
        (has_succeeded && done < width).then(|| format!("job {} succeeded with {done} of {width} tasks done", caller.id))
    })
}
