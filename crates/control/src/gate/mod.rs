//! The start gate of an agent: the only place where tasks start.

mod freshness;
mod gate_queue;
mod task_records;
mod upstream_registry;

use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::{
    FenceInventory, HomeFence, JobSeal, LoadReport, RejectReason, TaskAttempt, TaskOrder, TaskResult, TaskStatus,
};
use vanillacleat_core::ids::{HomeKey, ServiceName, TaskKey, UpstreamName, ZoneName};
use vanillacleat_core::outcome::{TaskOutcome, UnknownReason};
use vanillacleat_core::settings::GateSettings;
use vanillacleat_core::units::{Generation, Millis, MonoTime};

use crate::config_holder::ConfigHolder;

pub use freshness::FreshnessProof;
use gate_queue::GateQueue;
use task_records::TaskRecords;
pub use upstream_registry::{UpstreamAnnouncement, UpstreamRegistry};

/// An order to the network layer to start a task at an upstream now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StartOrder {
    /// The task.
    pub key: TaskKey,
    /// The upstream that runs it.
    pub upstream: UpstreamName,
    /// Where the upstream listens, as `ip:port`.
    pub address: SmolStr,
    /// The service.
    pub service: ServiceName,
    /// Time left until the deadline.
    #[serde(rename = "left")]
    pub time_left: Duration,
    /// The request body for the upstream.
    pub payload: String,
}

/// Admits the tasks sent to one agent, queues them, and starts each at most once.
///
/// Tasks start only while the configuration is proved to be the newest and allows the availability zone and an upstream
/// of the service.
#[derive(Debug)]
pub struct StartGate {
    zone: ZoneName,
    settings: GateSettings,
    records: TaskRecords,
    queue: GateQueue,
    upstreams: UpstreamRegistry,
    config: ConfigHolder,
    freshness: FreshnessProof,
    is_draining: bool,
}

impl StartGate {
    /// Returns the gate of an agent in availability zone `zone`, with no tasks admitted.
    pub fn new(zone: ZoneName, settings: GateSettings) -> Self {
        let freshness = FreshnessProof::new(settings.freshness, settings.freshness_ms.to_duration());
        let records = TaskRecords::new(settings.retention_ms.to_duration(), settings.answer_bytes.0 as usize);
        Self {
            zone,
            settings,
            records,
            queue: GateQueue::default(),
            upstreams: UpstreamRegistry::default(),
            config: ConfigHolder::default(),
            freshness,
            is_draining: false,
        }
    }

    /// Returns the configuration that the gate follows.
    pub fn config(&mut self) -> &mut ConfigHolder {
        &mut self.config
    }

    /// Returns the gate's proof of freshness.
    pub fn freshness(&mut self) -> &mut FreshnessProof {
        &mut self.freshness
    }

    /// Returns the upstreams that have announced themselves.
    pub fn upstreams(&mut self) -> &mut UpstreamRegistry {
        &mut self.upstreams
    }

    /// Replaces the configuration if `value` is newer; returns whether it was.
    pub fn update_config(&mut self, value: ConfigValue) -> bool {
        self.config.update(value)
    }

    /// Stops accepting tasks. Queued tasks are rejected by the next call of [`StartGate::reject_unstartable`].
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether the gate is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Handles a task order from the home's owner under `generation`.
    ///
    /// Returns `None` if the task was queued, otherwise its state: rejected, or the state known from an earlier order.
    pub fn admit(&mut self, now: MonoTime, generation: Generation, order: TaskOrder) -> Option<TaskResult> {
        let key = order.key.clone();
        if !self.records.accept_generation(&key.home, generation) {
            return Some(rejected_result(key, order.attempt, RejectReason::Fenced));
        }
        let stamp = (generation, order.attempt);
        if let Some(known) = self.records.find(&key, stamp) {
            return Some(known);
        }
        let is_full = self.queue.len() >= self.queue_capacity();
        let full = is_full.then_some(RejectReason::QueueFull);
        if let Some(reason) = self.rejection_reason(now, &order.service).or(full) {
            self.records.record_rejected(now, &key, stamp);
            return Some(rejected_result(key, order.attempt, reason));
        }
        let deadline = now + order.left_ms.to_duration();
        self.records.record_queued(&key, stamp);
        self.queue.push(deadline, order);
        None
    }

    /// Removes the tasks that can start now from the queue and returns them, earliest deadline first.
    pub fn start_ready(&mut self, now: MonoTime) -> Vec<StartOrder> {
        let mut starts = Vec::new();
        while let Some((deadline, order, upstream, address)) = self.pop_startable(now) {
            self.records.record_started(now, &order.key);
            self.upstreams.record_started(&upstream);
            let time_left = deadline.since(now);
            let TaskOrder { key, service, payload, .. } = order;
            starts.push(StartOrder { key, upstream, address, service, time_left, payload });
        }
        starts
    }

    /// Removes and rejects the queued tasks that may no longer start here.
    pub fn reject_unstartable(&mut self, now: MonoTime) -> Vec<TaskResult> {
        let mut rejected = Vec::new();
        for (deadline, key, service) in self.queue.list_by_deadline() {
            let late = (deadline <= now).then_some(RejectReason::Deadline);
            if let Some(reason) = late.or_else(|| self.rejection_reason(now, &service)) {
                rejected.push(self.reject_queued(now, &key, reason));
            }
        }
        rejected
    }

    /// Cancels a task for its home. A queued task is rejected. A running one is abandoned: it continues, but its result is
    /// not reported to the home's current owner.
    pub fn cancel(&mut self, now: MonoTime, generation: Generation, task: &TaskAttempt) -> TaskResult {
        let is_owner = self.records.accept_generation(&task.key.home, generation);
        if is_owner && self.queue.contains(&task.key) {
            return self.reject_queued(now, &task.key, RejectReason::Cancelled);
        }
        let known = self.reclaim(now, generation, task);
        if known.status != TaskStatus::Held {
            return known;
        }
        self.records.record_abandoned(&task.key);
        TaskResult { status: TaskStatus::Abandoned, ..known }
    }

    /// Returns the state of a task whose dispatch was sent on a session that was lost.
    ///
    /// If the attempt was never received, the gate rejects it now and whenever it is received later.
    pub fn reclaim(&mut self, now: MonoTime, generation: Generation, task: &TaskAttempt) -> TaskResult {
        if !self.records.accept_generation(&task.key.home, generation) {
            return rejected_result(task.key.clone(), task.attempt, RejectReason::Fenced);
        }
        let stamp = (generation, task.attempt);
        if let Some(known) = self.records.find(&task.key, stamp) {
            return known;
        }
        self.records.record_rejected(now, &task.key, stamp);
        rejected_result(task.key.clone(), task.attempt, RejectReason::Reclaimed)
    }

    /// Accepts only `fence.generation` and higher for the home from now on. Returns the inventory of the home's tasks.
    ///
    /// Queued tasks of older owners are removed, because the new owner places them itself.
    pub fn fence(&mut self, now: MonoTime, fence: &HomeFence) -> FenceInventory {
        if self.records.raise_fence(fence) {
            let queued = self.queue.list_by_deadline().into_iter().map(|(_, key, _)| key).filter(|key| key.home == fence.home);
            for key in queued.collect::<Vec<_>>() {
                self.reject_queued(now, &key, RejectReason::Fenced);
            }
        }
        self.records.collect_inventory(&fence.home)
    }

    /// Records that jobs are answered as failed.
    ///
    /// Returns whether the seal was recorded. It is not recorded if a newer owner has fenced the seal's generation.
    pub fn seal(&mut self, now: MonoTime, seal: &JobSeal) -> bool {
        let is_owner = self.records.accept_generation(&seal.fence.home, seal.fence.generation);
        if is_owner {
            self.records.seal(now, &seal.fence.home, &seal.serials);
        }
        is_owner
    }

    /// Records the end of a task. Returns the result to report to its home, unless the task was abandoned.
    pub fn finish(&mut self, key: &TaskKey, upstream: &UpstreamName, outcome: TaskOutcome, run_time: Duration) -> Option<TaskResult> {
        self.upstreams.record_ended(upstream);
        let run_ms = Millis::from_duration(run_time);
        let is_wanted = self.records.record_ended(key, outcome.clone(), run_ms);
        is_wanted.then(|| TaskResult { key: key.clone(), attempt: 0, status: TaskStatus::Ended(outcome), run_ms })
    }

    /// Reverts the start of a task that was never sent because its upstream could not be reached.
    ///
    /// Returns the rejection to report to the task's home.
    pub fn revert_start(&mut self, now: MonoTime, key: &TaskKey, upstream: &UpstreamName) -> TaskResult {
        self.upstreams.record_ended(upstream);
        self.upstreams.record_unreachable(upstream);
        let attempt = self.records.reject_held(now, key);
        rejected_result(key.clone(), attempt, RejectReason::NoUpstream)
    }

    /// Removes records older than the retention window, and excludes or removes upstreams that did not renew their
    /// announcements in time.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.records.remove_expired(now);
        self.upstreams.expire(now);
    }

    /// Returns the load report for one entry, where `mine` is the number of that entry's tasks queued or running here.
    pub fn load(&self, now: MonoTime, mine: u32) -> LoadReport {
        let is_accepting = !self.is_draining && self.is_zone_in_service() && self.freshness.is_fresh(now);
        let upstreams = if is_accepting { self.upstreams.usable_upstreams(self.config.value()) } else { Vec::new() };
        LoadReport { queued: self.queue.len() as u32, running: self.upstreams.running(), mine, upstreams }
    }

    /// Returns how many tasks of `home` are queued or running.
    pub fn held_count(&self, home: &HomeKey) -> u32 {
        self.records.held_count(home)
    }

    /// Returns how many tasks are running at the upstreams.
    pub fn running(&self) -> u32 {
        self.upstreams.running()
    }

    /// Returns how many tasks wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of task records and the bytes of the retained answers.
    pub fn retention_stats(&self) -> (usize, usize) {
        (self.records.len(), self.records.answer_bytes())
    }

    /// Returns why no task of `service` may be queued or started now, or `None` if it may.
    fn rejection_reason(&self, now: MonoTime, service: &ServiceName) -> Option<RejectReason> {
        if self.is_draining {
            return Some(RejectReason::Draining);
        }
        if !self.is_zone_in_service() {
            return Some(RejectReason::ZoneOut);
        }
        if !self.freshness.is_fresh(now) {
            return Some(RejectReason::Stale);
        }
        let is_served = self.upstreams.serves(service, self.config.value());
        (!is_served).then_some(RejectReason::NoUpstream)
    }

    fn is_zone_in_service(&self) -> bool {
        !self.config.value().zones_out.contains(&self.zone)
    }

    fn queue_capacity(&self) -> usize {
        self.settings.queue_limit as usize + self.upstreams.free_slots() as usize
    }

    fn pop_startable(&mut self, now: MonoTime) -> Option<(MonoTime, TaskOrder, UpstreamName, SmolStr)> {
        if self.is_draining || !self.is_zone_in_service() || !self.freshness.is_fresh(now) {
            return None;
        }
        let connections = self.settings.connections;
        let config = self.config.value();
        let upstreams = &self.upstreams;
        let (key, (upstream, address)) = self.queue.list_by_deadline().into_iter().find_map(|(deadline, key, service)| {
            let target = upstreams.find_free_upstream(&service, config, connections)?;
            (deadline > now).then_some((key, target))
        })?;
        let (deadline, order) = self.queue.remove(&key)?;
        Some((deadline, order, upstream, address))
    }

    fn reject_queued(&mut self, now: MonoTime, key: &TaskKey, reason: RejectReason) -> TaskResult {
        self.queue.remove(key);
        let attempt = self.records.reject_held(now, key);
        rejected_result(key.clone(), attempt, reason)
    }
}

fn rejected_result(key: TaskKey, attempt: u32, reason: RejectReason) -> TaskResult {
    TaskResult { key, attempt, status: TaskStatus::Rejected(reason), run_ms: Millis(0) }
}

/// Returns the result of a task whose record has been removed.
fn dropped_result(key: &TaskKey) -> TaskResult {
    let status = TaskStatus::Ended(TaskOutcome::Unknown(UnknownReason::AnswerDropped));
    TaskResult { key: key.clone(), attempt: 0, status, run_ms: Millis(0) }
}
