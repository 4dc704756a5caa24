//! Read-only queries of the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;

use vanillacleat_core::frames::TaskAttempt;
use vanillacleat_core::ids::{HomeKey, ServiceName, TaskKey, TeamName, WorkerKey};
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::CallRefusal;
use vanillacleat_core::units::{Generation, MonoTime};

use super::job_record::TaskProgress;
use super::{JobKey, JobLedger, QueueKey};

impl JobLedger {
    /// Returns the generation under which this entry owns `home`, or `None` if the home is not owned or is fenced.
    pub fn generation(&self, home: &HomeKey) -> Option<Generation> {
        self.homes.get(home).filter(|record| !record.is_fenced).map(|record| record.generation)
    }

    /// Returns the serial above every accepted job of `home`: no job with it or a higher one has been accepted.
    pub fn unused_from(&self, home: &HomeKey) -> u64 {
        self.homes.get(home).map_or(0, |record| record.unused_from)
    }

    /// Returns the homes that this entry owns and that are not fenced, with their generations.
    pub fn owned_homes(&self) -> impl Iterator<Item = (&HomeKey, Generation)> {
        self.homes.iter().filter(|(_, record)| !record.is_fenced).map(|(home, record)| (home, record.generation))
    }

    /// Returns the queues that have waiting tasks. Queues of teams with fewer tasks in flight come first; among equal ones,
    /// the queue whose first task has the lower rank.
    pub fn queues(&self) -> Vec<QueueKey> {
        let mut queues: Vec<(u32, u64, &QueueKey)> =
            self.ready_queues.queues().map(|(queue, rank)| (self.team_in_flight(&queue.team), rank, queue)).collect();
        queues.sort_unstable();
        queues.into_iter().map(|(_, _, queue)| queue.clone()).collect()
    }

    /// Returns up to `count` waiting tasks from the head of a queue.
    pub fn queue_heads(&self, queue: &QueueKey, count: usize) -> Vec<TaskKey> {
        self.ready_queues.heads(queue, count)
    }

    /// Returns the job and deadline of a task, if the task is waiting.
    pub fn waiting_task(&self, key: &TaskKey) -> Option<(&Arc<JobSpec>, MonoTime)> {
        let record = self.open_record(&key.home, key.serial)?;
        let is_waiting = matches!(record.tasks[usize::from(key.task)], TaskProgress::Waiting { .. });
        is_waiting.then_some((&record.spec, record.deadline))
    }

    /// Returns the tasks that were sent to `worker` and are not yet reported.
    pub fn sent_to(&self, worker: &WorkerKey) -> Vec<TaskAttempt> {
        let sent = self.sent.get(worker).into_iter().flatten();
        sent.map(|(key, attempt)| TaskAttempt { key: key.clone(), attempt: *attempt }).collect()
    }

    /// Returns how many tasks were sent to `worker` and are not yet reported.
    pub fn sent_count(&self, worker: &WorkerKey) -> usize {
        self.sent.get(worker).map_or(0, BTreeMap::len)
    }

    /// Returns the service of a task, if its job is open.
    pub fn service_of(&self, key: &TaskKey) -> Option<ServiceName> {
        self.open_record(&key.home, key.serial).map(|record| record.spec.service.clone())
    }

    /// Returns how many jobs are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.open_jobs
    }

    /// Returns how many tasks wait to be sent.
    pub fn waiting_tasks(&self) -> usize {
        self.ready_queues.len()
    }

    /// Returns how many tasks of `service` wait to be sent.
    pub fn waiting_for_service(&self, service: &ServiceName) -> usize {
        self.ready_queues.service_len(service)
    }

    /// Returns how many tasks of `team` wait to be sent.
    pub fn waiting_for_team(&self, team: &TeamName) -> u32 {
        let queues = self.ready_queues.queues().filter(|(queue, _)| queue.team == *team);
        queues.map(|(queue, _)| self.ready_queues.queue_len(queue)).sum()
    }

    /// Returns whether the inventory of an adopted home lists started tasks of a job that was not submitted here yet.
    pub fn is_in_inventory(&self, job_key: &JobKey) -> bool {
        let inventory = self.homes.get(&job_key.home).and_then(|home| home.inventory.as_ref());
        inventory.is_some_and(|inventory| inventory.started.contains_key(&job_key.serial))
    }

    /// Returns how many tasks of `team` were sent and are not yet reported.
    pub fn team_in_flight(&self, team: &TeamName) -> u32 {
        self.in_flight.get(team).copied().unwrap_or(0)
    }

    /// Returns how many tasks each team has waiting or in flight.
    pub fn demand(&self) -> Vec<(TeamName, u32)> {
        let mut demand = self.in_flight.clone();
        self.ready_queues
            .queues()
            .for_each(|(queue, _)| *demand.entry(queue.team.clone()).or_default() += self.ready_queues.queue_len(queue));
        demand.into_iter().filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the bytes of the retained answers.
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns how many jobs, answered or not, have a record.
    pub fn retained_jobs(&self) -> usize {
        self.homes.values().map(|home| home.jobs.len()).sum()
    }

    /// Returns the refusal of an adopted home's job that was not submitted here yet and whose earlier outcome is lost.
    pub fn loss_refusal(&self, job_key: &JobKey) -> Option<CallRefusal> {
        self.homes.get(&job_key.home)?.loss_refusal(job_key.serial)
    }
}
