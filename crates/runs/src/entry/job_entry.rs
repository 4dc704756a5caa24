//! One open job: its tasks, who waits for it and when it is due.

use std::collections::BTreeMap;
use std::sync::Arc;

use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJob, RunId, TaskId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::site_plan::RouteRule;
use vanillacleat_core::units::MonoTime;

use super::caller_calls::JobPhase;
use super::job_order::{JobRank, JobTimes};

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Waits for a worker, or for earlier steps.
    Waiting,
    /// Sent to an agent.
    Sent {
        /// The agent.
        agent: AgentId,
        /// Whether a stop was sent after it.
        is_stopping: bool,
    },
    /// Done.
    Done,
}

/// A `TaskSlot` is one task of an open job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSlot {
    /// Where it stands.
    pub state: SlotState,
    /// Starts so far; the number of the last run.
    pub runs: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Workers that it should not run on again.
    pub excluded: Vec<AgentId>,
}

/// A `JobEntry` is an open job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job.
    pub job: Arc<CallerJob>,
    /// The route it came by.
    pub route: Arc<RouteRule>,
    /// When it came.
    pub arrived_at: MonoTime,
    /// When it was asked for and is due.
    pub times: JobTimes,
    /// Who waits for the answer; nobody while the job is being wound down.
    pub waiters: Vec<ReplyId>,
    /// The tasks of each step.
    pub steps: Vec<Vec<TaskSlot>>,
    /// Whether a task of it may have run.
    pub has_run: bool,
    /// The answer, once it is decided and tasks are still being stopped.
    pub verdict: Option<JobPhase>,
    /// Whether it is given up and only waits for its runs to be stopped.
    pub is_winding_down: bool,
    /// The worker that its last task went to.
    pub last_agent: Option<AgentId>,
}

impl JobEntry {
    /// Returns a job of which nothing has run.
    pub fn new(job: Arc<CallerJob>, route: Arc<RouteRule>, now: MonoTime, times: JobTimes) -> Self {
        let slot = TaskSlot { state: SlotState::Waiting, runs: 0, failures: 0, excluded: Vec::new() };
        let steps = job.steps.iter().map(|step| vec![slot.clone(); usize::from(step.count)]).collect();
        Self {
            job,
            route,
            arrived_at: now,
            times,
            waiters: Vec::new(),
            steps,
            has_run: false,
            verdict: None,
            is_winding_down: false,
            last_agent: None,
        }
    }

    /// Returns a task's slot.
    pub fn slot_mut(&mut self, task: &TaskId) -> Option<&mut TaskSlot> {
        self.steps.get_mut(usize::from(task.step))?.get_mut(usize::from(task.index))
    }

    /// Returns the workers that a task should not go to: it failed there, or they run as many tasks of its step as they may.
    /// After it failed at all of the `workers`, none is better than another.
    pub fn excluded_agents(&self, task: &TaskId, workers: usize) -> Vec<AgentId> {
        let (step, slots) = (&self.job.steps[usize::from(task.step)], &self.steps[usize::from(task.step)]);
        let mut excluded = slots[usize::from(task.index)].excluded.clone();
        if excluded.len() >= workers {
            excluded.clear();
        }
        if step.per_worker_max > 0 {
            let mut running: BTreeMap<&AgentId, u32> = BTreeMap::new();
            for slot in slots {
                if let SlotState::Sent { agent, .. } = &slot.state {
                    *running.entry(agent).or_default() += 1;
                }
            }
            let full = running.into_iter().filter(|(_, count)| *count >= step.per_worker_max);
            excluded.extend(full.map(|(agent, _)| agent.clone()));
        }
        excluded
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.slots().all(|slot| slot.state == SlotState::Done)
    }

    /// Returns whether a task is at an agent.
    pub fn has_sent(&self) -> bool {
        self.slots().any(|slot| matches!(slot.state, SlotState::Sent { .. }))
    }

    /// Returns whether somebody waits for the job and it is not decided.
    pub fn is_live(&self) -> bool {
        !self.is_winding_down && self.verdict.is_none() && !self.waiters.is_empty()
    }

    /// Returns whether the tasks of a step may start.
    pub fn is_step_ready(&self, step: usize) -> bool {
        let is_done = |earlier: &u16| self.steps[usize::from(*earlier)].iter().all(|slot| slot.state == SlotState::Done);
        self.job.steps[step].after.iter().all(is_done)
    }

    /// Returns whether no run of the job has failed yet: a job that fails everywhere says nothing of the workers.
    pub fn is_first_fault(&self) -> bool {
        self.slots().all(|slot| slot.failures == 0)
    }

    /// Returns the tasks that wait for nothing but a worker.
    pub fn ready_tasks(&self) -> Vec<TaskId> {
        let steps = (0..self.steps.len()).filter(|step| self.is_step_ready(*step));
        let tasks = steps.flat_map(|step| {
            let waiting = self.steps[step].iter().enumerate().filter(|(_, slot)| slot.state == SlotState::Waiting);
            waiting.map(move |(index, _)| TaskId { job: self.job.id, step: step as u16, index: index as u16 })
        });
        tasks.collect()
    }

    /// Returns the runs at agents, with their agents.
    pub fn sent_runs(&self) -> Vec<(RunId, AgentId)> {
        let slots =
            self.steps.iter().enumerate().flat_map(|(step, slots)| slots.iter().enumerate().map(move |(index, slot)| (step, index, slot)));
        let sent = slots.filter_map(|(step, index, slot)| match &slot.state {
            SlotState::Sent { agent, .. } => {
                let task = TaskId { job: self.job.id, step: step as u16, index: index as u16 };
                Some((RunId { task, run: slot.runs }, agent.clone()))
            }
            SlotState::Waiting | SlotState::Done => None,
        });
        sent.collect()
    }

    /// Returns the job's place among the waiting ones; lower goes first.
    pub fn rank(&self, now: MonoTime) -> JobRank {
        self.times.rank(now, self.route.priority)
    }

    /// Returns the work of the tasks that wait for a worker, in core-seconds.
    pub fn waiting_work(&self) -> f64 {
        let cores: f64 =
            self.ready_tasks().iter().map(|task| self.job.steps[usize::from(task.step)].demand.millicores as f64 / 1_000.0).sum();
        cores * self.times.expected.as_secs_f64()
    }

    /// Returns what callers are told of the job.
    pub fn phase(&self) -> JobPhase {
        match self.verdict {
            Some(verdict) => verdict,
            None if self.has_run || self.has_sent() => JobPhase::Running,
            None => JobPhase::Queued,
        }
    }

    fn slots(&self) -> impl Iterator<Item = &TaskSlot> {
        self.steps.iter().flatten()
    }
}
