//! Settings shared by the daemons, checked field by field with the key and what is allowed.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::errors::{setting_error, Result};
use crate::ids::{AgentId, EntryId, ZoneName};
use crate::units::{ByteCount, Megabytes, Millis};

/// Shortest ticket secret, in bytes.
pub const SECRET_BYTES_MIN: usize = 16;

/// `EntrySettings` are the settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's stable name.
    pub id: EntryId,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Every availability zone of the deployment.
    pub zones: Vec<ZoneName>,
    /// Where callers and operators connect.
    pub http_listen: SocketAddr,
    /// Where agents and other entries connect.
    pub mesh_listen: SocketAddr,
    /// Addresses of other entries to try when the platform does not answer.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Base addresses of the platform's store, such as `http://127.0.0.1:2379`.
    pub platform: Vec<SmolStr>,
    /// Key shared by the entries for the authentication of tickets.
    pub ticket_secret: SmolStr,
    /// Prefix of the system's keys in the platform's store.
    #[serde(default = "default_prefix")]
    pub key_prefix: SmolStr,
    /// How work is placed and bounded.
    #[serde(default)]
    pub policy: PolicySettings,
}

fn default_prefix() -> SmolStr {
    SmolStr::new_static("vanillacleat/")
}

/// A `PlacementPolicy` chooses the worker for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// Any worker with room in its queue, at random.
    Random,
    /// The worker with the fewest outstanding tasks of this entry.
    LeastOutstanding,
    /// The worker with the least reported load plus what was sent since.
    LeastReported,
    /// As `LeastReported`, and tasks wait at the entry until a slot is free.
    #[default]
    LateBinding,
}

/// A `QueueOrder` ranks the tasks that wait at an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// The earliest arrival first.
    Arrival,
    /// The earliest deadline first.
    #[default]
    Deadline,
    /// The earliest arrival plus the work of the job, so that small jobs do not wait behind large ones.
    JobSize,
}

/// `PolicySettings` bound and steer an entry's decisions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// How workers are chosen.
    pub placement: PlacementPolicy,
    /// How waiting tasks are ordered.
    pub order: QueueOrder,
    /// Tasks beyond its slots that late binding sends to one worker, in tasks.
    pub overcommit: u32,
    /// Most tasks waiting at the entry.
    pub queue_limit: u32,
    /// Lifetime of a ticket, in milliseconds.
    pub ticket_ms: Millis,
    /// Bytes of answers kept for callers who ask again.
    pub answer_bytes: ByteCount,
    /// Most retries of idempotent requests, in percent of first tries.
    pub retry_percent: u32,
    /// Largest share of a service's workers that circuit breakers may take out, in percent.
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

/// `AgentSettings` are the settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The agent's stable name.
    pub id: AgentId,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// Where upstreams announce themselves and state is read.
    pub http_listen: SocketAddr,
    /// Addresses of entries to try first.
    pub entries: Vec<SocketAddr>,
    /// What the worker can hold.
    #[serde(default)]
    pub capacity: CapacitySettings,
    /// Bounds of the start gate.
    #[serde(default)]
    pub gate: GateSettings,
}

/// `CapacitySettings` are what a worker can hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CapacitySettings {
    /// Memory, in megabytes.
    pub memory_mb: Megabytes,
    /// Accelerators.
    pub accelerators: u32,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self { memory_mb: Megabytes(128_000), accelerators: 0 }
    }
}

/// A `FreshnessPolicy` says when a gate may start work on a configuration that it cannot prove to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FreshnessPolicy {
    /// Only while an entry proves it, by the platform or by a majority of zones.
    #[default]
    Proven,
    /// Always.
    Open,
}

/// `GateSettings` bound a start gate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateSettings {
    /// Most tasks queued at the agent.
    pub queue_limit: u32,
    /// How long a proof of freshness lasts, in milliseconds.
    pub freshness_ms: Millis,
    /// What is done without a proof.
    pub freshness: FreshnessPolicy,
    /// How long started tasks are remembered, in milliseconds. It must exceed every entry's ticket lifetime
    /// by the longest deadline.
    pub retention_ms: Millis,
    /// Bytes of answers kept for adopters.
    pub answer_bytes: ByteCount,
    /// Most connections to one upstream.
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
    /// Returns the first setting that is outside its range.
    pub fn check(&self) -> Result<()> {
        check_that(!self.zones.is_empty(), "zones", "at least one availability zone is needed")?;
        check_that(self.zones.contains(&self.zone), "zone", "must be one of `zones`")?;
        check_that(!self.platform.is_empty(), "platform", "at least one address is needed")?;
        let is_http = self.platform.iter().all(|address| address.starts_with("http://"));
        check_that(is_http, "platform", "addresses start with http://")?;
        let is_long = self.ticket_secret.len() >= SECRET_BYTES_MIN;
        check_that(is_long, "ticket_secret", "16 bytes or more are needed")?;
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
    /// Returns the first setting that is outside its range.
    pub fn check(&self) -> Result<()> {
        check_that(!self.entries.is_empty(), "entries", "at least one address is needed")?;
        check_range("gate.queue_limit", u64::from(self.gate.queue_limit), 1, 10_000)?;
        check_range("gate.freshness_ms", self.gate.freshness_ms.0, 500, 5_000)?;
        check_range("gate.retention_ms", self.gate.retention_ms.0, 2_000, 7_200_000)?;
        check_range("gate.answer_bytes", self.gate.answer_bytes.0, 100_000, 1_000_000_000)?;
        check_range("gate.connections", u64::from(self.gate.connections), 1, 64)
    }
}

fn check_that(holds: bool, key: &str, problem: &str) -> Result<()> {
    if holds {
        return Ok(());
    }
    Err(setting_error(key, problem))
}

fn check_range(key: &str, value: u64, least: u64, most: u64) -> Result<()> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(setting_error(key, format!("{value} given, {least} to {most} allowed")))
}
