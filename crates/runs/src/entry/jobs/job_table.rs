//! The table of an entry's open jobs, with the final phases of those that ended recently.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{OrderId, OrderedRun, RunEnd, RunOutcome};
use vanillacleat_core::units::MonoTime;

use super::job_delay::JobDelay;
use super::open_job::{FormerRun, OpenJob, SlotState};
use crate::entry::caller_api::{CallerAnswer, JobPhase};
use crate::entry::order::job_order::JobRank;

/// Maximum time that the final phase of a job is kept for callers that resubmit or query it.
const FINAL_PHASE_AGE_MAX: Duration = Duration::from_secs(120);
/// Maximum number of final phases that are kept. The oldest are evicted first.
const FINAL_PHASES_MAX: usize = 20_000;

/// Number of lost runs of a task, whatever the evidence, from which its job is abandoned: the task may be what its workers are lost to.
const LOSSES_MAX: u32 = 5;

/// The reason that callers receive when a job is abandoned after tasks of it may have run.
const ABANDONED_REASON: &str = "no time was left";

/// An effect of a change of the table, to be executed by the caller of the method that returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEffect {
    /// Answers the callers that wait for a job.
    Answer {
        /// The job.
        job: CallerJobId,
        /// When the job arrived at this entry, and the priority and name of its route.
        arrival: JobArrival,
        /// The parts of the response time, if the job is done late.
        delay: Option<JobDelay>,
        /// Where the answer goes.
        waiters: Vec<ReplyId>,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Stops a run.
    Stop {
        /// The agent that the run was sent to.
        agent: AgentId,
        /// The run.
        run: OrderedRun,
    },
}

/// The arrival of a job at this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobArrival {
    /// When the job arrived.
    pub at: MonoTime,
    /// The priority of the job's route.
    pub priority: u32,
    /// The name of the job's route.
    pub route: SmolStr,
}

/// The result of recording the end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The resources that the run occupied.
    pub demand: ResourceAmount,
    /// The effects on its job.
    pub effects: Vec<JobEffect>,
}

/// Holds the open jobs and the final phases of recently ended ones.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<CallerJobId, OpenJob>,
    /// The active jobs with ready tasks.
    ready: BTreeSet<CallerJobId>,
    /// The job that each waiting caller waits for.
    waiters: BTreeMap<ReplyId, CallerJobId>,
    final_phases: BTreeMap<CallerJobId, JobPhase>,
    /// The ended jobs and when they ended, oldest first.
    final_phase_order: VecDeque<(MonoTime, CallerJobId)>,
}

impl JobTable {
    /// Returns the open job with this id.
    pub fn get(&self, id: &CallerJobId) -> Option<&OpenJob> {
        self.jobs.get(id)
    }

    /// Returns the open jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = &OpenJob> {
        self.jobs.values()
    }

    /// Returns the open jobs that were submitted `age_min` ago or earlier, except those that it has returned before.
    pub fn take_unannounced(&mut self, now: MonoTime, age_min: Duration) -> Vec<CallerJobId> {
        let is_due = |job: &&mut OpenJob| !job.is_announced && now.since(job.times.submitted_at) >= age_min;
        let due = self.jobs.values_mut().filter(is_due).map(|job| {
            job.is_announced = true;
            job.job.id
        });
        due.collect()
    }

    /// Returns the final phase of a job that has ended, unless it has been evicted.
    pub fn final_phase(&self, id: &CallerJobId) -> Option<JobPhase> {
        self.final_phases.get(id).copied()
    }

    /// Adds a job with its first waiting caller. If the job is already open, adds the caller to it.
    pub fn submit(&mut self, open_job: OpenJob, waiter: ReplyId) {
        let id = open_job.job.id;
        self.waiters.insert(waiter, id);
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_stopping) {
            // A resubmission continues a job that is being stopped.
            job.times = open_job.times;
            job.is_stopping = false;
            job.final_phase = None;
        }
        self.jobs.entry(id).or_insert(open_job).waiters.push(waiter);
        self.update_ready(&id);
    }

    /// Extends the time until an open job is abandoned, and continues the job if it is being stopped. Adds a waiter if `is_new`. Returns
    /// whether the job is open and has not ended.
    pub fn join(&mut self, id: &CallerJobId, waiter: ReplyId, abandon_at: MonoTime, is_new: bool) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.final_phase.is_none() && !job.is_given_up) else {
            return false;
        };
        job.is_stopping = false;
        job.times.abandon_at = job.times.abandon_at.max(abandon_at);
        if is_new {
            job.waiters.push(waiter);
            self.waiters.insert(waiter, *id);
        }
        self.update_ready(id);
        true
    }

    /// Returns the job that a caller waits for, or `None` if it was answered.
    pub fn awaited_job(&self, waiter: ReplyId) -> Option<CallerJobId> {
        self.waiters.get(&waiter).copied()
    }

    /// Removes a caller that has disconnected. Stops its job if no other caller waits for it.
    pub fn remove_waiter(&mut self, waiter: ReplyId) -> Vec<JobEffect> {
        let Some(id) = self.waiters.remove(&waiter) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        job.waiters.retain(|other| *other != waiter);
        if job.waiters.is_empty() {
            return self.stop_job(&id);
        }
        Vec::new()
    }

    /// Cancels a job. Returns `None` if it is not open.
    pub fn cancel(&mut self, now: MonoTime, id: &CallerJobId) -> Option<Vec<JobEffect>> {
        self.jobs.get(id)?;
        Some(self.end_job(now, id, JobPhase::Cancelled, CallerAnswer::Cancelled))
    }

    /// Ends a job as failed, unless it has ended or is not open.
    pub fn fail(&mut self, now: MonoTime, id: &CallerJobId) -> Vec<JobEffect> {
        if self.jobs.get(id).is_none_or(|job| job.final_phase.is_some()) {
            return Vec::new();
        }
        self.end_job(now, id, JobPhase::Failed, CallerAnswer::Ended(JobPhase::Failed))
    }

    /// Refuses and removes a job of which no task has run.
    pub fn refuse(&mut self, id: &CallerJobId, reason: &'static str, retry_after: Duration) -> Vec<JobEffect> {
        let (waiters, arrival) = (self.take_waiters(id), self.arrival(id));
        self.remove(id);
        vec![JobEffect::Answer { job: *id, arrival, delay: None, waiters, answer: CallerAnswer::Refused { reason, retry_after } }]
    }

    /// Returns the jobs with ready tasks in the order in which to place them.
    pub fn ready_jobs(&self, now: MonoTime) -> Vec<CallerJobId> {
        let mut ready: Vec<(JobRank, CallerJobId)> = self.iter_ready().map(|job| (job.rank(now), job.job.id)).collect();
        ready.sort_unstable();
        ready.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the work of ready tasks that is placed before a job of this rank, in core-seconds. Only the jobs count that `competes`
    /// selects.
    pub fn work_ahead(&self, now: MonoTime, rank: JobRank, competes: impl Fn(&OpenJob) -> bool) -> f64 {
        self.iter_ready().filter(|job| job.rank(now) < rank && competes(job)).map(OpenJob::waiting_work).sum()
    }

    /// Returns whether any task is ready to be placed.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    fn iter_ready(&self) -> impl Iterator<Item = &OpenJob> {
        self.ready.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Records that a waiting task is sent to an agent with an order. Returns the run, or `None` if the task is not waiting.
    pub fn mark_sent(&mut self, now: MonoTime, task: &TaskId, agent: &AgentId, order: OrderId) -> Option<RunId> {
        let job = self.jobs.get_mut(&task.job)?;
        job.last_agent = Some(agent.clone());
        let slot = job.slot_mut(task).filter(|slot| slot.state == SlotState::Waiting)?;
        slot.runs += 1;
        slot.state = SlotState::Sent { agent: agent.clone(), order, is_stopping: false };
        let run = RunId { task: *task, run: slot.runs };
        let former = slot.former_run.map(|former| former.outcome);
        job.sends.record(now, former);
        self.update_ready(&task.job);
        Some(run)
    }

    /// Returns whether a run was sent to an agent with an order whose end has not been reported.
    pub fn is_sent(&self, agent: &AgentId, run: &OrderedRun) -> bool {
        let task = &run.run.task;
        let steps = self.jobs.get(&task.job).map(|job| &job.steps);
        let slot = steps.and_then(|steps| steps.get(usize::from(task.step))?.get(usize::from(task.index)));
        slot.is_some_and(
            |slot| matches!(&slot.state, SlotState::Sent { agent: sent_to, order, .. } if sent_to == agent && *order == run.order),
        )
    }

    /// Records the end of a run as reported by an agent. Ignores the report and returns `None` if the agent does not have the
    /// run by this order: the run may have ended for this entry and have been ordered again since.
    pub fn record_run_end(&mut self, now: MonoTime, agent: &AgentId, end: &RunEnd) -> Option<EndedRun> {
        if !self.is_sent(agent, &OrderedRun { run: end.run, order: end.order }) {
            return None;
        }
        let id = end.run.task.job;
        let job = self.jobs.get_mut(&id)?;
        let demand = job.job.steps.get(usize::from(end.run.task.step))?.demand;
        let slot = job.slot_mut(&end.run.task)?;
        slot.state = if end.outcome == RunOutcome::Done { SlotState::Done } else { SlotState::Waiting };
        slot.former_run = Some(FormerRun { outcome: end.outcome, evidence: end.evidence, ended_at: now });
        if end.outcome == RunOutcome::Failed {
            slot.failures += 1;
            slot.excluded.push(agent.clone());
        }
        if end.outcome == RunOutcome::Lost {
            slot.losses += 1;
        }
        let (failures, losses) = (slot.failures, slot.losses);
        job.has_run |= end.outcome.has_run();
        let has_too_many_failures = failures >= job.route.attempts_max.max(1);
        let effects = match (job.is_active(), job.is_done()) {
            (_, true) => self.end_job(now, &id, JobPhase::Succeeded, CallerAnswer::Ended(JobPhase::Succeeded)),
            (true, false) if has_too_many_failures => self.end_job(now, &id, JobPhase::Failed, CallerAnswer::Ended(JobPhase::Failed)),
            (true, false) if losses >= LOSSES_MAX => self.stop_job(&id),
            (true, false) => {
                self.update_ready(&id);
                Vec::new()
            }
            (false, false) => self.finish_stop(&id),
        };
        Some(EndedRun { demand, effects })
    }

    /// Returns the last run of a task and the agent that it was sent to, or `None` if its job is not open. The agent is
    /// absent if the run has ended or was never sent.
    pub fn last_run(&self, task: &TaskId) -> Option<(u32, Option<&AgentId>)> {
        let slot = self.jobs.get(&task.job)?.steps.get(usize::from(task.step))?.get(usize::from(task.index))?;
        let agent = if let SlotState::Sent { agent, .. } = &slot.state { Some(agent) } else { None };
        Some((slot.runs, agent))
    }

    /// Returns the runs that were sent to an agent and whose ends have not been reported.
    pub fn runs_at(&self, agent: &AgentId) -> Vec<OrderedRun> {
        let sent = self.jobs.values().flat_map(OpenJob::iter_sent);
        sent.filter(|(_, sent_to)| *sent_to == agent).map(|(run, _)| run).collect()
    }

    /// Stops a run and excludes its agent, so that the task is placed on another worker. Returns `None` if the run has
    /// ended or is already being stopped.
    pub fn relocate(&mut self, run: &OrderedRun) -> Option<JobEffect> {
        let slot = self.jobs.get_mut(&run.run.task.job)?.slot_mut(&run.run.task)?;
        let SlotState::Sent { agent, order, is_stopping: is_stopping @ false } = &mut slot.state else {
            return None;
        };
        if *order != run.order {
            return None;
        }
        *is_stopping = true;
        let agent = agent.clone();
        slot.excluded.push(agent.clone());
        Some(JobEffect::Stop { agent, run: *run })
    }

    /// Removes final phases that are too old, and the oldest of those beyond the maximum number.
    pub fn evict_final_phases(&mut self, now: MonoTime) {
        while let Some((at, id)) = self.final_phase_order.front().copied() {
            if now.since(at) < FINAL_PHASE_AGE_MAX && self.final_phase_order.len() <= FINAL_PHASES_MAX {
                return;
            }
            self.final_phase_order.pop_front();
            self.final_phases.remove(&id);
        }
    }

    /// Ends a job in `phase`: answers its callers, keeps the phase for later queries and stops the remaining runs.
    fn end_job(&mut self, now: MonoTime, id: &CallerJobId, phase: JobPhase, answer: CallerAnswer) -> Vec<JobEffect> {
        let (waiters, arrival) = (self.take_waiters(id), self.arrival(id));
        let mut delay = None;
        if let Some(job) = self.jobs.get_mut(id) {
            job.final_phase = Some(phase);
            let is_done = phase == JobPhase::Succeeded;
            delay = JobDelay::new(now, job.arrived_at, &job.times, &job.sends).filter(|_| is_done);
        }
        self.final_phases.insert(*id, phase);
        self.final_phase_order.push_back((now, *id));
        let mut effects = self.stop_job(id);
        effects.push(JobEffect::Answer { job: *id, arrival, delay, waiters, answer });
        effects
    }

    /// Stops a job that another entry may run. It is not continued if a caller comes back before its runs have ended.
    pub fn give_up_job(&mut self, id: &CallerJobId) -> Vec<JobEffect> {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_given_up = true;
        }
        self.stop_job(id)
    }

    /// Stops all runs of a job. Once none is left, the job is removed, and callers that still wait receive the answer that
    /// it was abandoned.
    pub fn stop_job(&mut self, id: &CallerJobId) -> Vec<JobEffect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        job.is_stopping = true;
        let mut effects = Vec::new();
        for slot in job.steps.iter_mut().flatten() {
            if let SlotState::Sent { is_stopping, .. } = &mut slot.state {
                *is_stopping = true;
            }
        }
        effects.extend(job.sent_runs().into_iter().map(|(run, agent)| JobEffect::Stop { agent, run }));
        self.update_ready(id);
        effects.extend(self.finish_stop(id));
        effects
    }

    /// Removes a job if none of its runs is left. Callers that still wait receive the answer that it was abandoned.
    fn finish_stop(&mut self, id: &CallerJobId) -> Vec<JobEffect> {
        if self.jobs.get(id).is_none_or(OpenJob::has_sent_runs) {
            return Vec::new();
        }
        let (waiters, arrival) = (self.take_waiters(id), self.arrival(id));
        self.remove(id);
        if waiters.is_empty() {
            return Vec::new();
        }
        vec![JobEffect::Answer { job: *id, arrival, delay: None, waiters, answer: CallerAnswer::Abandoned(ABANDONED_REASON) }]
    }

    fn arrival(&self, id: &CallerJobId) -> JobArrival {
        let arrival = |job: &OpenJob| JobArrival { at: job.arrived_at, priority: job.route.priority, route: job.route.name.clone() };
        self.jobs.get(id).map(arrival).unwrap_or_default()
    }

    fn take_waiters(&mut self, id: &CallerJobId) -> Vec<ReplyId> {
        let waiters = self.jobs.get_mut(id).map(|job| std::mem::take(&mut job.waiters)).unwrap_or_default();
        for waiter in &waiters {
            self.waiters.remove(waiter);
        }
        waiters
    }

    fn remove(&mut self, id: &CallerJobId) {
        self.jobs.remove(id);
        self.ready.remove(id);
    }

    /// Updates the set of ready jobs after a change of one job.
    fn update_ready(&mut self, id: &CallerJobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.is_active() && job.ready_tasks().next().is_some() {
            self.ready.insert(*id);
        } else {
            self.ready.remove(id);
        }
    }
}
