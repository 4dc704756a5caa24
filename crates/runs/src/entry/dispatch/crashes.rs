//! Tasks that crash their workers.

use vanillacleat_control::SessionId;
use vanillacleat_core::run_frames::CrashedRun;

use super::DispatchControl;
use crate::entry::crash_log::CrashVerdict;

/// Maximum number of crashed runs that are read from one frame.
const CRASHED_RUNS_MAX: usize = 256;

impl DispatchControl {
    /// Records the runs that an agent's worker was running when it crashed, and gives up the jobs of tasks that have crashed too many.
    pub(super) fn record_crashes(&mut self, session: SessionId, runs: &[CrashedRun]) {
        let Some(agent) = self.worker_registry.agent_of(session).cloned() else {
            return self.log(format!("event=crashes_ignored session={session} runs={}", runs.len()));
        };
        for run in runs.iter().take(CRASHED_RUNS_MAX) {
            let Some(verdict) = self.crash_log.record(self.now, &agent, run) else {
                continue;
            };
            let is_open = self.job_table.get(&run.task.job).is_some();
            if is_open || verdict == CrashVerdict::Deadly {
                self.log(format!(
                    "event=task_crashed task={} agent={agent} born={} stage={:?} verdict={verdict:?} open={is_open}",
                    run.task, run.born, run.stage
                ));
            }
            if verdict == CrashVerdict::Deadly {
                let effects = self.job_table.fail(self.now, &run.task.job);
                self.apply_effects(effects);
            }
        }
    }
}
