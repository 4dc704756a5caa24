//! Read-only queries of the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;

use vanillacleat_core::frames::TaskAttempt;
use vanillacleat_core::ids::{HomeKey, ServiceName, TaskKey, TeamName, WorkerKey};
use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::CallRefusal;
use vanillacleat_core::units::{Generation, MonoTime};

use super::job_record::TaskProgress;
use super::{JobKey, JobLedger, LaneKey};

impl JobLedger {
    /// Returns the generation under which this entry owns `home`, or `None` if the home is not owned or is fenced.
    pub fn generation(&self, home: &HomeKey) -> Option<Generation> {
        self.homes.get(home).filter(|record| !record.is_fenced).map(|record| record.generation)
    }

    /// Returns the serial from which on no job of `home` has been accepted.
    pub fn unused_from(&self, home: &HomeKey) -> u64 {
        self.homes.get(home).map_or(0, |record| record.unused_from)
    }

    /// Returns the homes that this entry owns and that are not fenced, with their generations.
    pub fn owned_homes(&self) -> impl Iterator<Item = (&HomeKey, Generation)> {
        self.homes.iter().filter(|(_, record)| !record.is_fenced).map(|(home, record)| (home, record.generation))
    }

    /// Returns the lanes that have waiting tasks. Lanes of teams with fewer tasks in flight come first.
    pub fn lanes(&self) -> Vec<LaneKey> {
        let mut lanes: Vec<(u32, u64, &LaneKey)> =
            self.queue.lanes().map(|(lane, rank)| (self.team_in_flight(&lane.team), rank, lane)).collect();
        lanes.sort_unstable();
        lanes.into_iter().map(|(_, _, lane)| lane.clone()).collect()
    }

    /// Returns up to `count` waiting tasks from the head of a lane.
    pub fn lane_heads(&self, lane: &LaneKey, count: usize) -> Vec<TaskKey> {
        self.queue.heads(lane, count)
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
        self.queue.len()
    }

    /// Returns how many tasks of `service` wait to be sent.
    pub fn waiting_for_service(&self, service: &ServiceName) -> usize {
        self.queue.service_len(service)
    }

    /// Returns how many tasks of `team` wait to be sent.
    pub fn waiting_for_team(&self, team: &TeamName) -> u32 {
        let lanes = self.queue.lanes().filter(|(lane, _)| lane.team == *team);
        lanes.map(|(lane, _)| self.queue.lane_len(lane)).sum()
    }

    /// Returns whether the inventory of an adopted home lists started tasks of a job that was not submitted here yet.
    pub fn is_inventoried(&self, job_key: &JobKey) -> bool {
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
        self.queue.lanes().for_each(|(lane, _)| *demand.entry(lane.team.clone()).or_default() += self.queue.lane_len(lane));
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
