//! Proofs that no newer configuration is in force, by a majority of availability zones.
//!
//! A change counts as accepted once, in more than half of the zones, more than half of the known processes hold it.
//! A proof of freshness needs the same, so the two sets share a process, which can't hold the old and the new.
//! A process that has restarted may have forgotten what it confirmed: it testifies again once it has had a proof itself.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::ids::ZoneName;
use vanillacleat_core::units::{MonoTime, Revision};

/// A `WitnessRecord` is what is known of one process that can testify to its configuration.
#[derive(Clone, Debug)]
struct WitnessRecord {
    zone: ZoneName,
    revision: Revision,
    asked_at: Option<MonoTime>,
    last_received_at: MonoTime,
}

/// A `WitnessRegistry` records, for each process, the newest question of ours that it has answered.
#[derive(Clone, Debug)]
pub struct WitnessRegistry {
    zones: Vec<ZoneName>,
    witnesses: BTreeMap<SmolStr, WitnessRecord>,
}

impl WitnessRegistry {
    /// Returns an empty registry for a deployment with the given zones.
    pub fn new(zones: Vec<ZoneName>) -> Self {
        Self { zones, witnesses: BTreeMap::new() }
    }

    /// Notes that process `name` answered the question sent at `asked_at`, if any, and holds `revision`.
    pub fn record(&mut self, now: MonoTime, name: &str, zone: &ZoneName, revision: Revision, asked_at: Option<MonoTime>) {
        if let Some(record) = self.witnesses.get_mut(name) {
            record.last_received_at = now;
            record.revision = record.revision.max(revision);
            record.asked_at = record.asked_at.max(asked_at);
            return;
        }
        let record = WitnessRecord { zone: zone.clone(), revision, asked_at, last_received_at: now };
        self.witnesses.insert(SmolStr::new(name), record);
    }

    /// Notes that the known process `name` holds `revision`.
    pub fn record_revision(&mut self, name: &str, revision: Revision) {
        if let Some(record) = self.witnesses.get_mut(name) {
            record.revision = record.revision.max(revision);
        }
    }

    /// Forgets a process that has restarted, for a new run knows nothing of what the earlier one confirmed.
    pub fn remove(&mut self, name: &str) {
        self.witnesses.remove(name);
    }

    /// Forgets processes that have been silent for `age`.
    pub fn remove_silent(&mut self, now: MonoTime, age: Duration) {
        self.witnesses.retain(|_, record| now.since(record.last_received_at) < age);
    }

    /// Returns the latest time from which a majority of zones has proved that it holds nothing newer.
    pub fn proof(&self) -> Option<MonoTime> {
        self.majority_by(|record| record.asked_at)
    }

    /// Returns whether a majority of zones holds `revision` or a newer one.
    pub fn is_confirmed(&self, revision: Revision) -> bool {
        self.majority_by(|record| (record.revision >= revision).then_some(())).is_some()
    }

    /// Returns the processes that do not hold `revision` yet.
    pub fn missing_witnesses(&self, revision: Revision) -> Vec<SmolStr> {
        self.witnesses.iter().filter(|(_, record)| record.revision < revision).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the largest value that more than half of the zones reach, each by more than half of its processes.
    fn majority_by<T: Ord + Copy>(&self, read_value: impl Fn(&WitnessRecord) -> Option<T>) -> Option<T> {
        let per_zone = self.zones.iter().map(|zone| {
            let records = self.witnesses.values().filter(|record| record.zone == *zone);
            find_majority(records.map(&read_value).collect())
        });
        find_majority(per_zone.collect())
    }
}

/// Returns the largest value that more than half of `values` reach.
fn find_majority<T: Ord + Copy>(mut values: Vec<Option<T>>) -> Option<T> {
    if values.is_empty() {
        return None;
    }
    values.sort_unstable_by(|left, right| right.cmp(left));
    values[values.len() / 2]
}
