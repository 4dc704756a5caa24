//! Which tasks have crashed their workers, as the agents report it to all entries.
//!
//! A crash takes all runs at the worker along, and only one of them may have caused it. Most tasks that crash a worker do so when they
//! start, so that a run which the worker had just started counts for more than one that had survived its start, or that the worker may
//! never have received.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use vanillacleat_core::caller_job::{CallerJobId, TaskId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{CrashStage, CrashedRun};
use vanillacleat_core::units::MonoTime;

/// Number of workers that crashed when they had just started a task from which the task is given up.
const STARTING_CRASHES_MAX: usize = 2;
/// Number of workers that crashed while they ran a task from which the task is given up.
const CONFIRMED_CRASHES_MAX: usize = 3;
/// The same with the workers that may not have received the task.
const CRASHES_MAX: usize = 4;
/// How long the crashes under a task are retained.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of tasks whose crashes are retained. The oldest are evicted first.
const TASKS_MAX: usize = 4_096;

/// What the crashes under a task show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// No worker is known to have crashed when it had just started the task.
    Harmless,
    /// A worker has crashed when it had just started the task.
    Suspect,
    /// So many workers have crashed under the task that it is not started again.
    Deadly,
}

/// One worker that crashed under a task.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WorkerCrash {
    agent: AgentId,
    /// Start of the worker's incarnation, in Unix milliseconds.
    born: u64,
    stage: CrashStage,
}

/// Holds the crashes under recent tasks, of all entries.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: BTreeMap<TaskId, Vec<WorkerCrash>>,
    /// The tasks in the order of their first crashes.
    order: VecDeque<(MonoTime, TaskId)>,
    deadly_count: u64,
}

impl CrashLog {
    /// Records a run that an agent's worker was running when it crashed. Returns the verdict on its task, or `None` if the crash was
    /// known before.
    pub fn record(&mut self, now: MonoTime, agent: &AgentId, run: &CrashedRun) -> Option<CrashVerdict> {
        self.expire(now);
        if !self.crashes.contains_key(&run.task) {
            self.order.push_back((now, run.task));
        }
        let crashes = self.crashes.entry(run.task).or_default();
        let is_known = |crash: &WorkerCrash| crash.agent == *agent && crash.born == run.born;
        if crashes.len() >= CRASHES_MAX || crashes.iter().any(is_known) {
            return None;
        }
        let was_deadly = judge(crashes) == CrashVerdict::Deadly;
        crashes.push(WorkerCrash { agent: agent.clone(), born: run.born, stage: run.stage });
        let verdict = judge(crashes);
        self.deadly_count += u64::from(verdict == CrashVerdict::Deadly && !was_deadly);
        Some(verdict)
    }

    /// Returns the number of tasks so far that are not started again because of crashes.
    pub fn deadly_count(&self) -> u64 {
        self.deadly_count
    }

    /// Returns what the crashes under a task show.
    pub fn verdict(&self, task: &TaskId) -> CrashVerdict {
        self.crashes.get(task).map_or(CrashVerdict::Harmless, |crashes| judge(crashes))
    }

    /// Returns the worst verdict on the tasks of a job.
    pub fn job_verdict(&self, job: CallerJobId) -> CrashVerdict {
        let (first, last) = (TaskId { job, step: 0, index: 0 }, TaskId { job, step: u16::MAX, index: u16::MAX });
        let verdicts = self.crashes.range(first..=last).map(|(_, crashes)| judge(crashes));
        verdicts.max().unwrap_or(CrashVerdict::Harmless)
    }

    /// Returns the number of tasks under which workers have crashed recently.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no worker has crashed recently.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn expire(&mut self, now: MonoTime) {
        let is_due = |order: &VecDeque<(MonoTime, TaskId)>| {
            order.len() >= TASKS_MAX || order.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION)
        };
        while is_due(&self.order) {
            if let Some((_, task)) = self.order.pop_front() {
                self.crashes.remove(&task);
            }
        }
    }
}

fn judge(crashes: &[WorkerCrash]) -> CrashVerdict {
    let starting = crashes.iter().filter(|crash| crash.stage == CrashStage::Starting).count();
    let confirmed = crashes.iter().filter(|crash| crash.stage != CrashStage::Unconfirmed).count();
    if starting >= STARTING_CRASHES_MAX || confirmed >= CONFIRMED_CRASHES_MAX || crashes.len() >= CRASHES_MAX {
        CrashVerdict::Deadly
    } else if starting > 0 {
        CrashVerdict::Suspect
    } else {
        CrashVerdict::Harmless
    }
}
