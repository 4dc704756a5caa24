//! Holds the highest configuration seen. It never steps back, whatever arrives late.

use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::units::Revision;

/// A `ConfigHolder` keeps the newest configuration value and the highest revision it has heard of.
#[derive(Clone, Debug, Default)]
pub struct ConfigHolder {
    value: ConfigValue,
    heard: Revision,
}

impl ConfigHolder {
    /// Returns the value in force.
    pub fn value(&self) -> &ConfigValue {
        &self.value
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.value.revision
    }

    /// Notes that some process holds `revision`.
    pub fn record_revision(&mut self, revision: Revision) {
        self.heard = self.heard.max(revision);
    }

    /// Returns whether a newer value exists than the one held.
    pub fn is_outdated(&self) -> bool {
        self.heard > self.value.revision
    }

    /// Takes `value` if it is newer than the one held; returns whether it was.
    pub fn update(&mut self, value: ConfigValue) -> bool {
        self.record_revision(value.revision);
        if value.revision <= self.value.revision {
            return false;
        }
        self.value = value;
        true
    }
}
