//! Places waiting tasks on workers and sends dispatches and cancels to the agents.

use vanillacleat_core::frames::{EntryFrame, TaskAttempt, TaskDispatch, TaskOrder, TaskRevocation};
use vanillacleat_core::ids::{TaskKey, WorkerKey};
use vanillacleat_core::units::Millis;

use super::{DispatchBatch, EntryControl};
use crate::fleet::{PlacementRequest, PlacementRule};
use crate::ledger::{JobKey, QueueKey};

/// Maximum number of tasks at the head of a queue that are tried before the queue is skipped until the next event. A queue
/// holds the waiting tasks of one team and service.
const QUEUE_LOOKAHEAD: usize = 8;

impl EntryControl {
    /// Sends waiting tasks until none is left or no worker has free capacity. Tasks for the same session and generation are
    /// sent in one frame.
    pub(super) fn place_waiting_tasks(&mut self) {
        if self.ledger.waiting_tasks() == 0 {
            return;
        }
        let rule = self.placement_rule();
        let announced_version = self.peers.announced_version(self.now, self.fleet.version());
        let mut batch = DispatchBatch::new();
        let mut queues = self.ledger.queues();
        while !queues.is_empty() {
            // Each round places one task per queue, so that teams share the workers' slots evenly.
            queues.retain(|queue| self.has_quota_left(queue) && self.place_next(queue, &rule, announced_version, &mut batch));
        }
        for ((session, generation), tasks) in batch {
            self.counters.dispatched += tasks.len() as u64;
            let freshness = self.next_freshness_reply(session);
            self.send(session, EntryFrame::Dispatch(TaskDispatch { generation, tasks, freshness }));
        }
    }

    /// Returns whether the queue's team has fewer tasks in flight than this entry's share of its quota.
    fn has_quota_left(&self, queue: &QueueKey) -> bool {
        let Some(policy) = self.config.value().teams.get(&queue.team) else {
            return true;
        };
        let in_flight = self.ledger.team_in_flight(&queue.team);
        let demand = in_flight + self.ledger.waiting_for_team(&queue.team);
        in_flight < self.teams.share(&queue.team, policy.in_flight, demand)
    }

    fn place_next(&mut self, queue: &QueueKey, rule: &PlacementRule, announced_version: u64, batch: &mut DispatchBatch) -> bool {
        let heads = self.ledger.queue_heads(queue, QUEUE_LOOKAHEAD);
        heads.iter().any(|key| self.place_task(key, rule, announced_version, batch))
    }

    fn place_task(&mut self, key: &TaskKey, rule: &PlacementRule, announced_version: u64, batch: &mut DispatchBatch) -> bool {
        let Some((spec, deadline)) = self.ledger.waiting_task(key) else {
            return false;
        };
        let time_left = deadline.since(self.now);
        if self.run_times.median(&spec.service).is_some_and(|median| time_left < median) {
            return self.abandon_late(key);
        }
        let task = &spec.tasks[usize::from(key.task)];
        let service = spec.service.clone();
        let request = PlacementRequest { service: &service, demand: &task.demand, config: self.config.value(), announced_version };
        let Some(view) = self.fleet.choose(self.now, rule, request, &self.breakers, &mut self.rng) else {
            return false;
        };
        let (worker, session) = (view.worker.clone(), view.session);
        let (Some(session), Some(generation)) = (session, self.ledger.generation(&key.home)) else {
            return false;
        };
        let payload = task.payload.clone();
        let left_ms = Millis::from_duration(time_left);
        let Some(attempt) = self.ledger.mark_sent(key, &worker) else {
            return false;
        };
        self.breakers.record_sent(&service, &worker.agent);
        self.record_outstanding(&worker);
        let order = TaskOrder { key: key.clone(), attempt, service, left_ms, payload };
        batch.entry((session, generation)).or_default().push(order);
        true
    }

    /// Abandons a job that would most likely miss its deadline, before more of its tasks start. Returns true, because the
    /// queue's head has changed.
    fn abandon_late(&mut self, key: &TaskKey) -> bool {
        let job_key = JobKey { home: key.home.clone(), serial: key.serial };
        let effects = self.ledger.abandon(self.now, &job_key);
        self.apply_effects(effects);
        true
    }

    /// Updates the fleet's count of the tasks that were sent to `worker` and whose results are not yet reported.
    pub(super) fn record_outstanding(&mut self, worker: &WorkerKey) {
        self.fleet.set_outstanding(self.now, &worker.agent, self.ledger.sent_count(worker));
    }

    pub(super) fn record_cancel(&mut self, worker: &WorkerKey, task: TaskAttempt) {
        let generation = self.ledger.generation(&task.key.home);
        if let (Some(session), Some(generation)) = (self.fleet.session_of(worker), generation) {
            self.cancels.entry((session, generation)).or_default().push(task);
        }
    }

    /// Sends the cancels that the current event has caused, in one frame for each session and generation.
    pub(super) fn send_cancels(&mut self) {
        for ((session, generation), tasks) in std::mem::take(&mut self.cancels) {
            self.counters.cancelled += 1;
            self.send(session, EntryFrame::Cancel(TaskRevocation { generation, tasks }));
        }
    }
}
