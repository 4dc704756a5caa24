//! Record of all task starts at the upstreams, independent of the system under test. Guarantees are checked against it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One start of a task at an upstream.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// Key of the task, as sent by the agent; `direct` for a call that did not come from an agent.
    pub task_key: String,
    /// Id from the task's script, or the whole payload if it is not a script with an id.
    pub task_id: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Time at which the task arrived at the upstream.
    pub arrived_at: Instant,
    /// Number of tasks running at the upstream, including this one.
    pub running: usize,
}

/// The task starts of all upstreams of one deployment. Clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct StartLog {
    records: Arc<Mutex<Vec<StartRecord>>>,
}

impl StartLog {
    /// Appends a task start.
    pub fn record(&self, record: StartRecord) {
        self.records.lock().expect("no holder of the lock panics").push(record);
    }

    /// Returns all task starts so far, in the order in which they were recorded.
    pub fn records(&self) -> Vec<StartRecord> {
        self.records.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the number of tasks that started more than once. Tasks are identified by `task_id`, so every task of every job
    /// needs a unique one.
    pub fn started_twice(&self) -> usize {
        let mut starts: BTreeMap<String, usize> = BTreeMap::new();
        for record in self.records() {
            *starts.entry(record.task_id).or_default() += 1;
        }
        starts.values().filter(|count| **count > 1).count()
    }

    /// Returns the number of task starts in `zone` from `from` to `to`, both inclusive.
    pub fn started_in(&self, zone: &str, from: Instant, to: Instant) -> usize {
        let records = self.records();
        records.iter().filter(|record| record.zone == zone && record.arrived_at >= from && record.arrived_at <= to).count()
    }
}
