//! Quorums over availability zones, which confirm configuration changes and prove that a configuration is the newest.
//!
//! A quorum is a majority of the zones, with a majority of the known processes in each of them. A change counts as
//! accepted when a quorum holds it, and a proof of freshness needs a quorum as well. Any two quorums share a process, and
//! that process cannot hold both the old and the new revision.
//!
//! A process that has restarted may have lost the configuration that it confirmed. It counts as a witness again only
//! after it has received a proof of freshness itself.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::ids::ZoneName;
use vanillacleat_core::units::{MonoTime, Revision};

/// What is known of a witness: a process that reports which configuration revision it holds.
#[derive(Clone, Debug)]
struct WitnessRecord {
    zone: ZoneName,
    revision: Revision,
    /// When this process sent the newest freshness request that the witness has answered.
    requested_at: Option<MonoTime>,
    last_received_at: MonoTime,
}

/// The known witnesses, each with its revision and the send time of the newest freshness request that it has answered.
#[derive(Clone, Debug)]
pub struct WitnessRegistry {
    zones: Vec<ZoneName>,
    witnesses: BTreeMap<SmolStr, WitnessRecord>,
}

impl WitnessRegistry {
    /// Returns an empty registry for a deployment with the given availability zones.
    pub fn new(zones: Vec<ZoneName>) -> Self {
        Self { zones, witnesses: BTreeMap::new() }
    }

    /// Records that process `name` holds `revision` and, if `requested_at` is set, answered the freshness request sent
    /// at that time.
    pub fn record(&mut self, now: MonoTime, name: &str, zone: &ZoneName, revision: Revision, requested_at: Option<MonoTime>) {
        if let Some(record) = self.witnesses.get_mut(name) {
            record.last_received_at = now;
            record.revision = record.revision.max(revision);
            record.requested_at = record.requested_at.max(requested_at);
            return;
        }
        let record = WitnessRecord { zone: zone.clone(), revision, requested_at, last_received_at: now };
        self.witnesses.insert(SmolStr::new(name), record);
    }

    /// Records that process `name` holds `revision`, if the process is known.
    pub fn record_revision(&mut self, name: &str, revision: Revision) {
        if let Some(record) = self.witnesses.get_mut(name) {
            record.revision = record.revision.max(revision);
        }
    }

    /// Removes a process that has restarted, since it may have lost the configuration that it confirmed before.
    pub fn remove(&mut self, name: &str) {
        self.witnesses.remove(name);
    }

    /// Removes processes from which nothing has been received for `age`.
    pub fn remove_silent(&mut self, now: MonoTime, age: Duration) {
        self.witnesses.retain(|_, record| now.since(record.last_received_at) < age);
    }

    /// Returns the latest time for which a quorum proves that no newer configuration was in force.
    pub fn proof(&self) -> Option<MonoTime> {
        self.majority_by(|record| record.requested_at)
    }

    /// Returns whether a quorum holds `revision` or a newer one.
    pub fn is_confirmed(&self, revision: Revision) -> bool {
        self.majority_by(|record| (record.revision >= revision).then_some(())).is_some()
    }

    /// Returns the processes that are not known to hold `revision` yet.
    pub fn missing_witnesses(&self, revision: Revision) -> Vec<SmolStr> {
        self.witnesses.iter().filter(|(_, record)| record.revision < revision).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the largest value that more than half of the zones reach. A zone reaches a value if more than half of its
    /// known processes do.
    fn majority_by<T: Ord + Copy>(&self, read_value: impl Fn(&WitnessRecord) -> Option<T>) -> Option<T> {
        let per_zone = self.zones.iter().map(|zone| {
            let records = self.witnesses.values().filter(|record| record.zone == *zone);
            majority_value(records.map(&read_value).collect())
        });
        majority_value(per_zone.collect())
    }
}

/// Returns the largest value that more than half of `values` equal or exceed, where `None` is lower than any value.
fn majority_value<T: Ord + Copy>(mut values: Vec<Option<T>>) -> Option<T> {
    if values.is_empty() {
        return None;
    }
    values.sort_unstable_by(|left, right| right.cmp(left));
    values[values.len() / 2]
}
