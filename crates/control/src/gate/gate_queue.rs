//! The queue of admitted tasks that have not started, ordered by deadline.

use std::collections::{BTreeMap, BTreeSet};

use vanillacleat_core::frames::TaskOrder;
use vanillacleat_core::ids::{ServiceName, TaskKey};
use vanillacleat_core::units::MonoTime;

/// The tasks queued at one agent, earliest deadline first.
#[derive(Debug, Default)]
pub(super) struct GateQueue {
    order: BTreeSet<(MonoTime, TaskKey)>,
    tasks: BTreeMap<TaskKey, (MonoTime, TaskOrder)>,
}

impl GateQueue {
    pub(super) fn push(&mut self, deadline: MonoTime, order: TaskOrder) {
        self.order.insert((deadline, order.key.clone()));
        self.tasks.insert(order.key.clone(), (deadline, order));
    }

    pub(super) fn remove(&mut self, key: &TaskKey) -> Option<(MonoTime, TaskOrder)> {
        let (deadline, order) = self.tasks.remove(key)?;
        self.order.remove(&(deadline, key.clone()));
        Some((deadline, order))
    }

    pub(super) fn contains(&self, key: &TaskKey) -> bool {
        self.tasks.contains_key(key)
    }

    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    pub(super) fn list_by_deadline(&self) -> Vec<(MonoTime, TaskKey, ServiceName)> {
        let service_of = |key: &TaskKey| self.tasks[key].1.service.clone();
        self.order.iter().map(|(deadline, key)| (*deadline, key.clone(), service_of(key))).collect()
    }
}
