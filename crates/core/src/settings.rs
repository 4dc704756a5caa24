//! Settings of the daemons. Each field is validated, and an error names its key and the allowed values.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::errors::{setting_error, Result};
use crate::ids::{AgentId, EntryId, ZoneName};
use crate::units::{ByteCount, Megabytes, Millis};

/// Minimum length of the ticket secret, in bytes.
pub const SECRET_BYTES_MIN: usize = 16;

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's stable name.
    pub id: EntryId,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// All availability zones of the deployment.
    pub zones: Vec<ZoneName>,
    /// Listening address for callers and operators.
    pub http_listen: SocketAddr,
    /// Listening address for agents and other entries.
    pub mesh_listen: SocketAddr,
    /// Addresses of other entries to connect to while the platform does not answer.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Base URLs of the platform's store, such as `http://127.0.0.1:2379`.
    pub platform: Vec<SmolStr>,
    /// Key with which the entries authenticate tickets. All entries share it.
    pub ticket_secret: SmolStr,
    /// Prefix of the system's keys in the platform's store.
    #[serde(default = "default_prefix")]
    pub key_prefix: SmolStr,
    /// Policies and limits of the entry's decisions.
    #[serde(default)]
    pub policy: PolicySettings,
}

fn default_prefix() -> SmolStr {
    SmolStr::new_static("vanillacleat/")
}

/// How the worker for a task is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// A random worker among those with free capacity in their queue.
    Random,
    /// The worker with the fewest outstanding tasks from this entry in proportion to its slots.
    LeastOutstanding,
    /// The worker with the lowest load in proportion to its slots. The load is the last reported one plus the tasks sent
    /// since that report.
    LeastReported,
    /// Like `LeastReported`, but tasks wait at the entry until a worker has a free slot or may receive excess tasks; see
    /// [`PolicySettings::overcommit`].
    #[default]
    LateBinding,
}

/// Order of the tasks that wait at an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// Earliest arrival first.
    Arrival,
    /// Earliest deadline first.
    #[default]
    Deadline,
    /// Earliest sum of arrival and estimated work of the job first, so that small jobs do not wait behind large ones.
    JobSize,
}

/// Policies and limits of an entry's decisions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// How the worker for a task is chosen.
    pub placement: PlacementPolicy,
    /// Order of the waiting tasks.
    pub order: QueueOrder,
    /// Number of tasks in excess of its slots that a worker may receive under late binding.
    pub overcommit: u32,
    /// Maximum number of tasks that wait at the entry.
    pub queue_limit: u32,
    /// Lifetime of a ticket, in milliseconds.
    pub ticket_ms: Millis,
    /// Maximum size of the answers that are retained for callers who query or resubmit, in bytes.
    pub answer_bytes: ByteCount,
    /// Maximum number of retries of idempotent requests, in percent of the first attempts.
    pub retry_percent: u32,
    /// Maximum share of a service's workers that circuit breakers may exclude, in percent.
    pub breaker_percent: u32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            placement: PlacementPolicy::default(),
            order: QueueOrder::default(),
            overcommit: 1,
            queue_limit: 20_000,
            ticket_ms: Millis(600_000),
            answer_bytes: ByteCount(64_000_000),
            retry_percent: 10,
            breaker_percent: 50,
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The agent's stable name.
    pub id: AgentId,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// Listening address for the announcements of upstreams and for queries of the agent's state.
    pub http_listen: SocketAddr,
    /// Addresses of the entries that the agent connects to first. It learns of others from them.
    pub entries: Vec<SocketAddr>,
    /// The worker's capacity.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// Limits of the start gate.
    #[serde(default)]
    pub gate: GateSettings,
}

/// Capacity of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacitySettings {
    /// Memory, in megabytes.
    pub memory_mb: Megabytes,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self { memory_mb: Megabytes(128_000), accelerators: 0 }
    }
}

/// Whether a start gate may start tasks while it cannot prove that its configuration is the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FreshnessPolicy {
    /// Starts tasks only while a proof from an entry is valid. The entry obtains its own proof from the platform or from a
    /// majority of the availability zones.
    #[default]
    Proven,
    /// Always starts tasks.
    Open,
}

/// Limits of a start gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Maximum number of tasks queued at the agent.
    pub queue_limit: u32,
    /// Time for which a proof of freshness is valid, in milliseconds.
    pub freshness_ms: Millis,
    /// Whether tasks start only with a valid proof.
    pub freshness: FreshnessPolicy,
    /// Time for which the agent remembers started tasks, in milliseconds. It must be at least the ticket lifetime of
    /// every entry plus the maximum deadline.
    pub retention_ms: Millis,
    /// Maximum size of the answers that are retained for entries that adopt a home, in bytes.
    pub answer_bytes: ByteCount,
    /// Maximum number of connections to one upstream.
    pub connections: u32,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            queue_limit: 16,
            freshness_ms: Millis(2_800),
            freshness: FreshnessPolicy::default(),
            retention_ms: Millis(780_000),
            answer_bytes: ByteCount(16_000_000),
            connections: 64,
        }
    }
}

impl EntrySettings {
    /// Returns an error for the first setting that is outside its allowed range.
    pub fn check(&self) -> Result<()> {
        ensure(!self.zones.is_empty(), "zones", "at least one availability zone is needed")?;
        ensure(self.zones.contains(&self.zone), "zone", "must be one of `zones`")?;
        ensure(!self.platform.is_empty(), "platform", "at least one address is needed")?;
        let is_http = self.platform.iter().all(|address| address.starts_with("http://"));
        ensure(is_http, "platform", "addresses start with http://")?;
        let is_long_enough = self.ticket_secret.len() >= SECRET_BYTES_MIN;
        ensure(is_long_enough, "ticket_secret", "16 bytes or more are needed")?;
        self.policy.check()
    }
}

impl PolicySettings {
    fn check(&self) -> Result<()> {
        check_range("policy.overcommit", u64::from(self.overcommit), 0, 64)?;
        check_range("policy.queue_limit", u64::from(self.queue_limit), 1, 1_000_000)?;
        check_range("policy.ticket_ms", self.ticket_ms.0, 1_000, 3_600_000)?;
        check_range("policy.answer_bytes", self.answer_bytes.0, 1_000_000, 4_000_000_000)?;
        check_range("policy.retry_percent", u64::from(self.retry_percent), 0, 100)?;
        check_range("policy.breaker_percent", u64::from(self.breaker_percent), 0, 100)
    }
}

impl AgentSettings {
    /// Returns an error for the first setting that is outside its allowed range.
    pub fn check(&self) -> Result<()> {
        ensure(!self.entries.is_empty(), "entries", "at least one address is needed")?;
        check_range("gate.queue_limit", u64::from(self.gate.queue_limit), 1, 10_000)?;
        check_range("gate.freshness_ms", self.gate.freshness_ms.0, 500, 5_000)?;
        check_range("gate.retention_ms", self.gate.retention_ms.0, 2_000, 7_200_000)?;
        check_range("gate.answer_bytes", self.gate.answer_bytes.0, 100_000, 1_000_000_000)?;
        check_range("gate.connections", u64::from(self.gate.connections), 1, 64)
    }
}

fn ensure(is_valid: bool, key: &str, problem: &str) -> Result<()> {
    if is_valid {
        return Ok(());
    }
    Err(setting_error(key, problem))
}

fn check_range(key: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(setting_error(key, format!("{value} given, {min} to {max} allowed")))
}
