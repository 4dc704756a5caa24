//! The tasks that wait to be sent: one ordered queue for each team and service.

use std::collections::{BTreeMap, BTreeSet};

use vanillacleat_core::ids::{ServiceName, TaskKey, TeamName};

use super::job_record::JobRecord;

/// Identifies the queue that holds the waiting tasks of one team and service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
}

/// Holds the queues of all teams and services. Each queue is ordered by the rank of the task's job.
#[derive(Debug, Default)]
pub(super) struct ReadyQueues {
    queues: BTreeMap<QueueKey, BTreeSet<(u64, TaskKey)>>,
    services: BTreeMap<ServiceName, usize>,
    len: usize,
}

impl ReadyQueues {
    pub(super) fn push(&mut self, record: &JobRecord, key: TaskKey) {
        let queue = queue_key(record);
        *self.services.entry(queue.service.clone()).or_default() += 1;
        self.queues.entry(queue).or_default().insert((record.rank, key));
        self.len += 1;
    }

    pub(super) fn remove(&mut self, record: &JobRecord, key: &TaskKey) {
        let queue = queue_key(record);
        let Some(tasks) = self.queues.get_mut(&queue) else {
            return;
        };
        if !tasks.remove(&(record.rank, key.clone())) {
            return;
        }
        if tasks.is_empty() {
            self.queues.remove(&queue);
        }
        self.len -= 1;
        if let Some(count) = self.services.get_mut(&queue.service) {
            *count -= 1;
        }
    }

    /// Returns each queue with the rank of its first task.
    pub(super) fn queues(&self) -> impl Iterator<Item = (&QueueKey, u64)> {
        self.queues.iter().filter_map(|(queue, tasks)| tasks.first().map(|(rank, _)| (queue, *rank)))
    }

    pub(super) fn heads(&self, queue: &QueueKey, count: usize) -> Vec<TaskKey> {
        let tasks = self.queues.get(queue).into_iter().flatten();
        tasks.take(count).map(|(_, key)| key.clone()).collect()
    }

    pub(super) fn queue_len(&self, queue: &QueueKey) -> u32 {
        self.queues.get(queue).map_or(0, |tasks| tasks.len() as u32)
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn service_len(&self, service: &ServiceName) -> usize {
        self.services.get(service).copied().unwrap_or(0)
    }
}

fn queue_key(record: &JobRecord) -> QueueKey {
    QueueKey { team: record.spec.team.clone(), service: record.spec.service.clone() }
}
