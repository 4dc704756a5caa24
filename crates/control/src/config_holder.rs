//! Keeps the newest configuration. Values that arrive late, twice or out of order never replace a newer one.

use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::units::Revision;

/// Holds the newest configuration value received and the highest revision that any process has reported.
#[derive(Clone, Debug, Default)]
pub struct ConfigHolder {
    value: ConfigValue,
    highest_seen: Revision,
}

impl ConfigHolder {
    /// Returns the newest configuration that was received.
    pub fn value(&self) -> &ConfigValue {
        &self.value
    }

    /// Returns the revision of the newest configuration that was received.
    pub fn revision(&self) -> Revision {
        self.value.revision
    }

    /// Records that some process holds `revision`.
    pub fn record_revision(&mut self, revision: Revision) {
        self.highest_seen = self.highest_seen.max(revision);
    }

    /// Returns whether a newer configuration than the one held is known to exist.
    pub fn is_outdated(&self) -> bool {
        self.highest_seen > self.value.revision
    }

    /// Replaces the configuration if `value` is newer; returns whether it was.
    pub fn update(&mut self, value: ConfigValue) -> bool {
        self.record_revision(value.revision);
        if value.revision <= self.value.revision {
            return false;
        }
        self.value = value;
        true
    }
}
