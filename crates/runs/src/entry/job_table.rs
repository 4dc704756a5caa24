//! The open jobs of an entry and the answers it still remembers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJobId, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{RunEnd, RunOutcome};
use vanillacleat_core::units::MonoTime;

use super::caller_calls::{CallerAnswer, JobPhase};
use super::job_entry::{JobEntry, SlotState};
use super::job_order::JobRank;

/// How long the end of a job is remembered for callers who ask again.
const VERDICT_AGE_MAX: Duration = Duration::from_secs(120);
/// Most ends that are remembered; the oldest are dropped first.
const VERDICTS_MAX: usize = 20_000;

/// Why a job is given up after some of it may have run.
const ABANDONED: &str = "no time was left";

/// A `JobEffect` is what the table wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEffect {
    /// Answers callers.
    Answer {
        /// The job.
        job: CallerJobId,
        /// Who waits.
        waiters: Vec<ReplyId>,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Stops a run.
    Stop {
        /// Where it was sent.
        agent: AgentId,
        /// The run.
        run: RunId,
    },
}

/// A `SettledRun` is a run whose end the table recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledRun {
    /// What it occupied.
    pub demand: ResourceAmount,
    /// What follows.
    pub effects: Vec<JobEffect>,
}

/// A `JobTable` holds the open jobs.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<CallerJobId, JobEntry>,
    ready: BTreeSet<CallerJobId>,
    waiters: BTreeMap<ReplyId, CallerJobId>,
    verdicts: BTreeMap<CallerJobId, JobPhase>,
    verdict_ages: VecDeque<(MonoTime, CallerJobId)>,
}

impl JobTable {
    /// Returns an open job.
    pub fn get(&self, id: &CallerJobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }

    /// Returns the open jobs in order of their names.
    pub fn jobs(&self) -> impl Iterator<Item = &JobEntry> {
        self.jobs.values()
    }

    /// Returns how a job has ended that is still remembered.
    pub fn verdict(&self, id: &CallerJobId) -> Option<JobPhase> {
        self.verdicts.get(id).copied()
    }

    /// Adds a job that nobody here has submitted yet, or attaches the caller to the open one.
    pub fn submit(&mut self, entry: JobEntry, waiter: ReplyId) {
        let id = entry.job.id;
        self.waiters.insert(waiter, id);
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_winding_down) {
            // A job that was being wound down goes on for the caller who has come back.
            job.times = entry.times;
            job.is_winding_down = false;
            job.verdict = None;
        }
        self.jobs.entry(id).or_insert(entry).waiters.push(waiter);
        self.index(&id);
    }

    /// Notes that a caller has gone; its job is wound down unless somebody else waits for it.
    pub fn withdraw(&mut self, waiter: ReplyId) -> Vec<JobEffect> {
        let Some(id) = self.waiters.remove(&waiter) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return Vec::new();
        };
        job.waiters.retain(|other| *other != waiter);
        if job.waiters.is_empty() {
            return self.wind_down(&id);
        }
        Vec::new()
    }

    /// Cancels a job; returns nothing if it is not open.
    pub fn cancel(&mut self, now: MonoTime, id: &CallerJobId) -> Option<Vec<JobEffect>> {
        self.jobs.get(id)?;
        Some(self.decide(now, id, JobPhase::Cancelled, CallerAnswer::Cancelled))
    }

    /// Refuses a job of which nothing has run.
    pub fn refuse(&mut self, id: &CallerJobId, reason: &'static str, retry_after: Duration) -> Vec<JobEffect> {
        let waiters = self.take_waiters(id);
        self.remove(id);
        vec![JobEffect::Answer { job: *id, waiters, answer: CallerAnswer::Refused { reason, retry_after } }]
    }

    /// Returns the jobs with tasks that wait for a worker, the first to be placed first.
    pub fn ready_jobs(&self, now: MonoTime) -> Vec<CallerJobId> {
        let mut ready: Vec<(JobRank, CallerJobId)> = self.ready_entries().map(|job| (job.rank(now), job.job.id)).collect();
        ready.sort_unstable();
        ready.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the work that waits for workers and goes before a job of this rank, in core-seconds.
    pub fn work_before(&self, now: MonoTime, rank: JobRank) -> f64 {
        self.ready_entries().filter(|job| job.rank(now) < rank).map(JobEntry::waiting_work).sum()
    }

    fn ready_entries(&self) -> impl Iterator<Item = &JobEntry> {
        self.ready.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Notes that a waiting task is sent to an agent; returns the run.
    pub fn mark_sent(&mut self, task: &TaskId, agent: &AgentId) -> Option<RunId> {
        let job = self.jobs.get_mut(&task.job)?;
        job.last_agent = Some(agent.clone());
        let slot = job.slot_mut(task).filter(|slot| slot.state == SlotState::Waiting)?;
        slot.runs += 1;
        slot.state = SlotState::Sent { agent: agent.clone(), is_stopping: false };
        let run = RunId { task: *task, run: slot.runs };
        self.index(&task.job);
        Some(run)
    }

    /// Takes an agent's word on the end of a run. A word on a run that is not at the agent is ignored.
    pub fn settle(&mut self, now: MonoTime, agent: &AgentId, end: &RunEnd) -> Option<SettledRun> {
        let id = end.run.task.job;
        let job = self.jobs.get_mut(&id)?;
        let demand = job.job.steps.get(usize::from(end.run.task.step))?.demand;
        let slot = job.slot_mut(&end.run.task).filter(|slot| slot.runs == end.run.run)?;
        if !matches!(&slot.state, SlotState::Sent { agent: sent_to, .. } if sent_to == agent) {
            return None;
        }
        slot.state = if end.outcome == RunOutcome::Done { SlotState::Done } else { SlotState::Waiting };
        if end.outcome == RunOutcome::Failed {
            slot.failures += 1;
            slot.excluded.push(agent.clone());
        }
        let failures = slot.failures;
        job.has_run |= end.outcome.has_run();
        let is_hopeless = job.is_live() && failures >= job.route.attempts_max.max(1);
        let effects = match (job.is_live(), job.is_done()) {
            (_, true) => self.decide(now, &id, JobPhase::Succeeded, CallerAnswer::Ended(JobPhase::Succeeded)),
            (true, false) if is_hopeless => self.decide(now, &id, JobPhase::Failed, CallerAnswer::Ended(JobPhase::Failed)),
            (true, false) => {
                self.index(&id);
                Vec::new()
            }
            (false, false) => self.finish_winding_down(&id),
        };
        Some(SettledRun { demand, effects })
    }

    /// Returns the runs at an agent.
    pub fn runs_at(&self, agent: &AgentId) -> Vec<RunId> {
        let sent = self.jobs.values().flat_map(JobEntry::sent_runs);
        sent.filter(|(_, sent_to)| sent_to == agent).map(|(run, _)| run).collect()
    }

    /// Stops a run so that its task can be placed elsewhere; returns nothing if the run is not at work.
    pub fn relocate(&mut self, run: &RunId) -> Option<JobEffect> {
        let slot = self.jobs.get_mut(&run.task.job)?.slot_mut(&run.task).filter(|slot| slot.runs == run.run)?;
        let SlotState::Sent { agent, is_stopping: is_stopping @ false } = &mut slot.state else {
            return None;
        };
        *is_stopping = true;
        let agent = agent.clone();
        slot.excluded.push(agent.clone());
        Some(JobEffect::Stop { agent, run: *run })
    }

    /// Forgets ends that are old or too many.
    pub fn forget_verdicts(&mut self, now: MonoTime) {
        while let Some((at, id)) = self.verdict_ages.front().copied() {
            if now.since(at) < VERDICT_AGE_MAX && self.verdict_ages.len() <= VERDICTS_MAX {
                return;
            }
            self.verdict_ages.pop_front();
            self.verdicts.remove(&id);
        }
    }

    fn decide(&mut self, now: MonoTime, id: &CallerJobId, verdict: JobPhase, answer: CallerAnswer) -> Vec<JobEffect> {
        let waiters = self.take_waiters(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.verdict = Some(verdict);
        }
        self.verdicts.insert(*id, verdict);
        self.verdict_ages.push_back((now, *id));
        let mut effects = self.wind_down(id);
        effects.push(JobEffect::Answer { job: *id, waiters, answer });
        effects
    }

    /// Gives a job up: what is at work is stopped. Once nothing is, whoever waits is answered and the job is removed.
    pub fn wind_down(&mut self, id: &CallerJobId) -> Vec<JobEffect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        job.is_winding_down = true;
        let mut effects = Vec::new();
        for slot in job.steps.iter_mut().flatten() {
            if let SlotState::Sent { is_stopping, .. } = &mut slot.state {
                *is_stopping = true;
            }
        }
        effects.extend(job.sent_runs().into_iter().map(|(run, agent)| JobEffect::Stop { agent, run }));
        self.index(id);
        effects.extend(self.finish_winding_down(id));
        effects
    }

    fn finish_winding_down(&mut self, id: &CallerJobId) -> Vec<JobEffect> {
        if self.jobs.get(id).is_none_or(JobEntry::has_sent) {
            return Vec::new();
        }
        let waiters = self.take_waiters(id);
        self.remove(id);
        if waiters.is_empty() {
            return Vec::new();
        }
        vec![JobEffect::Answer { job: *id, waiters, answer: CallerAnswer::Abandoned(ABANDONED) }]
    }

    fn take_waiters(&mut self, id: &CallerJobId) -> Vec<ReplyId> {
        let waiters = self.jobs.get_mut(id).map(|job| std::mem::take(&mut job.waiters)).unwrap_or_default();
        self.waiters.retain(|waiter, _| !waiters.contains(waiter));
        waiters
    }

    fn remove(&mut self, id: &CallerJobId) {
        self.jobs.remove(id);
        self.ready.remove(id);
    }

    /// Brings the order of placement up to date with a job.
    fn index(&mut self, id: &CallerJobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.is_live() && !job.ready_tasks().is_empty() {
            self.ready.insert(*id);
        } else {
            self.ready.remove(id);
        }
    }
}
