//! Settings of the daemons for leased runs, checked field by field with the key and what is allowed.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vanillacleat_core::errors::{setting_error, Result};
use vanillacleat_core::ids::{AgentId, EntryId, ZoneName};
use vanillacleat_core::units::Millis;
use vanillacleat_runs::LeaseTerms;

/// Part of the grace period that is left for the exit itself, in milliseconds.
const EXIT_RESERVE: u64 = 700;

/// `LeaseSettings` say how long workers and callers wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Shortest time after which a caller submits a job again that broke off, in milliseconds.
    pub resubmit_ms: Millis,
    /// Longest lease that workers grant, in milliseconds.
    pub hold_max_ms: Millis,
    /// Longest time that a worker takes to stop a run, in milliseconds.
    pub stop_ms: Millis,
    /// Time between the request to leave and the end by force, in milliseconds.
    pub grace_ms: Millis,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { resubmit_ms: Millis(1_300), hold_max_ms: Millis(1_000), stop_ms: Millis(50), grace_ms: Millis(6_000) }
    }
}

impl LeaseSettings {
    /// Returns the first setting that is outside its range.
    pub fn check(&self) -> Result<()> {
        check_range("leases.resubmit_ms", self.resubmit_ms, 500, 60_000)?;
        check_range("leases.hold_max_ms", self.hold_max_ms, 250, 600_000)?;
        check_range("leases.stop_ms", self.stop_ms, 1, 10_000)?;
        check_range("leases.grace_ms", self.grace_ms, 1_000, 600_000)?;
        if self.terms().can_be_renewed() {
            return Ok(());
        }
        let (resubmit, stop) = (self.resubmit_ms, self.stop_ms);
        Err(setting_error("leases.resubmit_ms", format!("{resubmit} given, which leaves no time for leases beside a stop_ms of {stop}")))
    }

    /// Returns the spans of the leases.
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms::new(self.resubmit_ms.to_duration(), self.hold_max_ms.to_duration(), self.stop_ms.to_duration())
    }

    /// Returns the longest time that a leaving process waits for what is open.
    pub fn drain_max(&self) -> std::time::Duration {
        Millis(self.grace_ms.0.saturating_sub(EXIT_RESERVE)).to_duration()
    }
}

/// `RunsEntrySettings` are the settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunsEntrySettings {
    /// The entry's stable name.
    pub id: EntryId,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Where agents connect.
    pub mesh_listen: SocketAddr,
    /// How long workers and callers wait.
    #[serde(default)]
    pub leases: LeaseSettings,
}

/// `RunsAgentSettings` are the settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunsAgentSettings {
    /// The agent's stable name.
    pub id: AgentId,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// Addresses of entries to try first.
    pub entries: Vec<SocketAddr>,
    /// How long workers and callers wait.
    #[serde(default)]
    pub leases: LeaseSettings,
}

fn check_range(key: &str, value: Millis, least: u64, most: u64) -> Result<()> {
    if (least..=most).contains(&value.0) {
        return Ok(());
    }
    Err(setting_error(key, format!("{value} given, {least} to {most} allowed")))
}
