//! Settings of the daemons for leased runs. Each field is validated, and an error names its key and the allowed values.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vanillacleat_core::errors::{setting_error, Result};
use vanillacleat_core::ids::{AgentId, EntryId, ZoneName};
use vanillacleat_core::units::Millis;
use vanillacleat_daemon::GuardLimits;
use vanillacleat_runs::LeaseTerms;

/// Part of the grace period that is reserved for the exit of the process after the drain, in milliseconds.
const EXIT_RESERVE_MILLIS: u64 = 700;

/// Times that callers, workers and hosts guarantee. The durations of the leases and of a drain are computed from them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Minimum time before a caller resubmits a job whose connection was lost, in milliseconds.
    pub resubmit_ms: Millis,
    /// Maximum duration of the leases that workers grant, in milliseconds.
    pub hold_max_ms: Millis,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    pub stop_ms: Millis,
    /// Time from the request to exit until the process is killed, in milliseconds.
    pub grace_ms: Millis,
    /// Time after the end of a silent worker's lease for which the end of a run is held back because its start was not answered, in
    /// milliseconds. A later incarnation of the worker may execute the start within that time.
    pub start_transit_ms: Millis,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            resubmit_ms: Millis(1_300),
            hold_max_ms: Millis(1_000),
            stop_ms: Millis(50),
            grace_ms: Millis(6_000),
            start_transit_ms: Millis::from_duration(LeaseTerms::default().start_transit_max),
        }
    }
}

impl LeaseSettings {
    /// Returns an error for the first setting that is outside its allowed range, or if the settings leave less time for
    /// leases than their renewal needs.
    pub fn check(&self) -> Result<()> {
        check_range("leases.resubmit_ms", self.resubmit_ms, 500, 60_000)?;
        check_range("leases.hold_max_ms", self.hold_max_ms, 250, 600_000)?;
        check_range("leases.stop_ms", self.stop_ms, 1, 10_000)?;
        check_range("leases.grace_ms", self.grace_ms, 1_000, 600_000)?;
        check_range("leases.start_transit_ms", self.start_transit_ms, 1, 60_000)?;
        if self.lease_terms().can_be_renewed() {
            return Ok(());
        }
        let (resubmit, stop) = (self.resubmit_ms, self.stop_ms);
        Err(setting_error("leases.resubmit_ms", format!("{resubmit} given, which leaves no time for leases beside a stop_ms of {stop}")))
    }

    /// Returns the durations of the leases.
    pub fn lease_terms(&self) -> LeaseTerms {
        let terms = LeaseTerms::new(self.resubmit_ms.to_duration(), self.hold_max_ms.to_duration(), self.stop_ms.to_duration());
        LeaseTerms { start_transit_max: self.start_transit_ms.to_duration(), ..terms }
    }

    /// Returns the maximum time that a draining process waits for its open jobs or runs.
    pub fn drain_timeout(&self) -> std::time::Duration {
        Millis(self.grace_ms.0.saturating_sub(EXIT_RESERVE_MILLIS)).to_duration()
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunsEntrySettings {
    /// The entry's stable name.
    pub id: EntryId,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Listening address for agents.
    pub mesh_listen: SocketAddr,
    /// Times from which the durations of the leases and of a drain are computed.
    #[serde(default)]
    pub leases: LeaseSettings,
    /// Bounds of the port for agents and other entries.
    #[serde(default)]
    pub mesh_limits: GuardLimits,
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunsAgentSettings {
    /// The agent's stable name.
    pub id: AgentId,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// Addresses of the entries that the agent connects to first.
    pub entries: Vec<SocketAddr>,
    /// Times from which the durations of the leases and of a drain are computed.
    #[serde(default)]
    pub leases: LeaseSettings,
}

fn check_range(key: &str, value: Millis, min: u64, max: u64) -> Result<()> {
    if (min..=max).contains(&value.0) {
        return Ok(());
    }
    Err(setting_error(key, format!("{value} given, {min} to {max} allowed")))
}
