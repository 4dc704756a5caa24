//! The upstreams' own log of what started, from which promises are checked.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A `StartRecord` is one start of a task at an upstream.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// The task's key, as the agent sent it.
    pub task: String,
    /// The payload.
    pub payload: String,
    /// The upstream.
    pub upstream: String,
    /// The upstream's availability zone.
    pub zone: String,
    /// When the task arrived.
    pub at: Instant,
    /// How many tasks ran at the upstream, with this one.
    pub running: usize,
}

/// A `StartLog` is shared by the upstreams of one deployment.
#[derive(Clone, Debug, Default)]
pub struct StartLog {
    records: Arc<Mutex<Vec<StartRecord>>>,
}

impl StartLog {
    /// Adds a start.
    pub fn record(&self, record: StartRecord) {
        self.records.lock().expect("no holder of the lock panics").push(record);
    }

    /// Returns every start so far.
    pub fn records(&self) -> Vec<StartRecord> {
        self.records.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns how many payloads, each of which is unique to a task of one submission, started more than once.
    pub fn started_twice(&self) -> usize {
        let mut starts: BTreeMap<String, usize> = BTreeMap::new();
        for record in self.records() {
            *starts.entry(record.payload).or_default() += 1;
        }
        starts.values().filter(|count| **count > 1).count()
    }

    /// Returns how many tasks started in `zone` between `from` and `to`.
    pub fn started_in(&self, zone: &str, from: Instant, to: Instant) -> usize {
        let records = self.records();
        records.iter().filter(|record| record.zone == zone && record.at >= from && record.at <= to).count()
    }
}
