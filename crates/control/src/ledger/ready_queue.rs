//! The queue of tasks that wait to be sent, with one ordered lane for each team and service.

use std::collections::{BTreeMap, BTreeSet};

use vanillacleat_core::ids::{ServiceName, TaskKey, TeamName};

use super::job_record::JobRecord;

/// Identifies the lane that holds the waiting tasks of one team and service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    /// The team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
}

/// The waiting tasks of all lanes. Each lane is ordered by the rank of the task's job.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    lanes: BTreeMap<LaneKey, BTreeSet<(u64, TaskKey)>>,
    services: BTreeMap<ServiceName, usize>,
    len: usize,
}

impl ReadyQueue {
    pub(super) fn push(&mut self, record: &JobRecord, key: TaskKey) {
        let lane = lane_key(record);
        *self.services.entry(lane.service.clone()).or_default() += 1;
        self.lanes.entry(lane).or_default().insert((record.rank, key));
        self.len += 1;
    }

    pub(super) fn remove(&mut self, record: &JobRecord, key: &TaskKey) {
        let lane = lane_key(record);
        let Some(tasks) = self.lanes.get_mut(&lane) else {
            return;
        };
        if !tasks.remove(&(record.rank, key.clone())) {
            return;
        }
        if tasks.is_empty() {
            self.lanes.remove(&lane);
        }
        self.len -= 1;
        if let Some(count) = self.services.get_mut(&lane.service) {
            *count -= 1;
        }
    }

    /// Returns each lane with the rank of its first task.
    pub(super) fn lanes(&self) -> impl Iterator<Item = (&LaneKey, u64)> {
        self.lanes.iter().filter_map(|(lane, tasks)| tasks.first().map(|(rank, _)| (lane, *rank)))
    }

    pub(super) fn heads(&self, lane: &LaneKey, count: usize) -> Vec<TaskKey> {
        let tasks = self.lanes.get(lane).into_iter().flatten();
        tasks.take(count).map(|(_, key)| key.clone()).collect()
    }

    pub(super) fn lane_len(&self, lane: &LaneKey) -> u32 {
        self.lanes.get(lane).map_or(0, |tasks| tasks.len() as u32)
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn service_len(&self, service: &ServiceName) -> usize {
        self.services.get(service).copied().unwrap_or(0)
    }
}

fn lane_key(record: &JobRecord) -> LaneKey {
    LaneKey { team: record.spec.team.clone(), service: record.spec.service.clone() }
}
