//! One open job: its tasks, its waiting callers and its times.

use std::collections::BTreeMap;
use std::sync::Arc;

use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJob, RunId, TaskId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{EndEvidence, OrderId, OrderedRun, RunOutcome};
use vanillacleat_core::site_plan::RouteRule;
use vanillacleat_core::units::MonoTime;

use super::job_delay::SendRecord;
use crate::entry::caller_api::JobPhase;
use crate::entry::order::job_order::{JobRank, JobTimes};

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The task waits for a worker, or for earlier steps.
    Waiting,
    /// The task was sent to an agent and its end has not been reported.
    Sent {
        /// The agent.
        agent: AgentId,
        /// The order that was sent.
        order: OrderId,
        /// Whether the run was ordered to stop.
        is_stopping: bool,
    },
    /// The task is done.
    Done,
}

/// How a run of a task ended, for the log line of the next run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerRun {
    /// The outcome.
    pub outcome: RunOutcome,
    /// Why the run counts as ended.
    pub evidence: EndEvidence,
    /// When this entry recorded the end.
    pub ended_at: MonoTime,
}

/// The state and history of one task of an open job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSlot {
    /// The current state.
    pub state: SlotState,
    /// The number of starts so far, which is also the number of the last run.
    pub runs: u32,
    /// The number of runs that failed.
    pub failures: u32,
    /// The number of runs that were lost with their workers or agents.
    pub losses: u32,
    /// Agents that should not run the task again: it failed there or was relocated from there.
    pub excluded: Vec<AgentId>,
    /// The last run that ended.
    pub former_run: Option<FormerRun>,
}

/// Holds an accepted job until it is answered and all its runs have ended.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// The job as submitted.
    pub job: Arc<CallerJob>,
    /// The route that the job was submitted to.
    pub route: Arc<RouteRule>,
    /// When this entry received the job.
    pub arrived_at: MonoTime,
    /// The times that decide the job's rank and when it expires.
    pub times: JobTimes,
    /// The callers that wait for the answer. Empty once they have disconnected or been answered.
    pub waiters: Vec<ReplyId>,
    /// The tasks, by step.
    pub steps: Vec<Vec<TaskSlot>>,
    /// Whether a task of the job may have run.
    pub has_run: bool,
    /// The phase in which the job has ended, while runs of it are still being stopped.
    pub final_phase: Option<JobPhase>,
    /// Whether the job has ended or was abandoned and only waits for its runs to stop.
    pub is_stopping: bool,
    /// The agent that the last started task was sent to.
    pub last_agent: Option<AgentId>,
    /// When the tasks were sent.
    pub sends: SendRecord,
    /// Whether the other entries were told of the job.
    pub is_announced: bool,
    /// Whether the job was given up because another entry may run it. It is not continued here.
    pub is_given_up: bool,
}

impl OpenJob {
    /// Returns an open job whose tasks all wait for their first run.
    pub fn new(job: Arc<CallerJob>, route: Arc<RouteRule>, now: MonoTime, times: JobTimes) -> Self {
        let slot = TaskSlot { state: SlotState::Waiting, runs: 0, failures: 0, losses: 0, excluded: Vec::new(), former_run: None };
        let steps = job.steps.iter().map(|step| vec![slot.clone(); usize::from(step.count)]).collect();
        Self {
            job,
            route,
            arrived_at: now,
            times,
            waiters: Vec::new(),
            steps,
            has_run: false,
            final_phase: None,
            is_stopping: false,
            last_agent: None,
            sends: SendRecord::default(),
            is_announced: false,
            is_given_up: false,
        }
    }

    /// Returns a task's slot, or `None` if the job has no such task.
    pub fn slot_mut(&mut self, task: &TaskId) -> Option<&mut TaskSlot> {
        self.steps.get_mut(usize::from(task.step))?.get_mut(usize::from(task.index))
    }

    /// Returns how the last run of a task ended, or `None` if none has.
    pub fn former_run(&self, task: &TaskId) -> Option<&FormerRun> {
        self.steps.get(usize::from(task.step))?.get(usize::from(task.index))?.former_run.as_ref()
    }

    /// Returns the agents that a task should not be sent to: those excluded after earlier runs, and those that already
    /// run as many tasks of its step as the step allows for one worker. Exclusions after earlier runs are ignored once
    /// they number as many as the `workers`, which are counted only if there are any, since then no worker is better than another.
    pub fn excluded_agents(&self, task: &TaskId, workers: impl FnOnce() -> usize) -> Vec<AgentId> {
        let (step, slots) = (&self.job.steps[usize::from(task.step)], &self.steps[usize::from(task.step)]);
        let mut excluded = slots[usize::from(task.index)].excluded.clone();
        if !excluded.is_empty() && excluded.len() >= workers() {
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

    /// Returns whether a task was sent to an agent and its end has not been reported.
    pub fn has_sent_runs(&self) -> bool {
        self.slots().any(|slot| matches!(slot.state, SlotState::Sent { .. }))
    }

    /// Returns whether a task of the job has run or was sent to an agent.
    pub fn has_begun(&self) -> bool {
        self.has_run || self.has_sent_runs()
    }

    /// Returns whether a caller waits for the job and it has neither ended nor been abandoned.
    pub fn is_active(&self) -> bool {
        !self.is_stopping && self.final_phase.is_none() && !self.waiters.is_empty()
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_step_ready(&self, step: usize) -> bool {
        let is_done = |earlier: &u16| self.steps[usize::from(*earlier)].iter().all(|slot| slot.state == SlotState::Done);
        self.job.steps[step].after.iter().all(is_done)
    }

    /// Returns whether no run of the job has failed yet. Only a job's first failure counts against a worker, because a
    /// job that fails everywhere says nothing about the workers.
    pub fn has_no_failures(&self) -> bool {
        self.slots().all(|slot| slot.failures == 0)
    }

    /// Returns the waiting tasks whose steps are ready.
    pub fn ready_tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        let steps = (0..self.steps.len()).filter(|step| self.is_step_ready(*step));
        steps.flat_map(move |step| {
            let waiting = self.steps[step].iter().enumerate().filter(|(_, slot)| slot.state == SlotState::Waiting);
            waiting.map(move |(index, _)| TaskId { job: self.job.id, step: step as u16, index: index as u16 })
        })
    }

    /// Returns the runs that were sent and whose ends have not been reported, with their agents.
    pub fn sent_runs(&self) -> Vec<(OrderedRun, AgentId)> {
        self.iter_sent().map(|(run, agent)| (run, agent.clone())).collect()
    }

    /// Iterates over [`Self::sent_runs`].
    pub(super) fn iter_sent(&self) -> impl Iterator<Item = (OrderedRun, &AgentId)> {
        let slots =
            self.steps.iter().enumerate().flat_map(|(step, slots)| slots.iter().enumerate().map(move |(index, slot)| (step, index, slot)));
        slots.filter_map(|(step, index, slot)| match &slot.state {
            SlotState::Sent { agent, order, .. } => {
                let task = TaskId { job: self.job.id, step: step as u16, index: index as u16 };
                Some((OrderedRun { run: RunId { task, run: slot.runs }, order: *order }, agent))
            }
            SlotState::Waiting | SlotState::Done => None,
        })
    }

    /// Returns the job's rank among the waiting jobs. The lowest is placed first.
    pub fn rank(&self, now: MonoTime) -> JobRank {
        self.times.rank(now, self.route.priority)
    }

    /// Returns the expected work of the ready tasks, in core-seconds.
    pub fn waiting_work(&self) -> f64 {
        let cores: f64 = self.ready_tasks().map(|task| self.job.steps[usize::from(task.step)].demand.millicores as f64 / 1_000.0).sum();
        cores * self.times.expected.as_secs_f64()
    }

    /// Returns the phase that is reported to callers.
    pub fn phase(&self) -> JobPhase {
        match self.final_phase {
            Some(phase) => phase,
            None if self.has_begun() => JobPhase::Running,
            None => JobPhase::Queued,
        }
    }

    fn slots(&self) -> impl Iterator<Item = &TaskSlot> {
        self.steps.iter().flatten()
    }
}
