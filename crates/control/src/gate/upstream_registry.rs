//! The registry of upstreams on this host, which announce themselves to the agent.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::UpstreamInfo;
use vanillacleat_core::ids::{ServiceName, UpstreamName};
use vanillacleat_core::units::MonoTime;

/// Lifetime of an announcement. An upstream that does not renew it in time receives no new tasks.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(10);
/// Time without announcements after which an upstream is removed, unless tasks are still running there.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(600);

/// The body of an upstream's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// The upstream's name, unique in the deployment.
    pub upstream: UpstreamName,
    /// The service it runs.
    pub service: ServiceName,
    /// The upstream's address, as `ip:port`.
    pub address: SmolStr,
    /// Maximum number of tasks that it runs at once.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
}

/// The upstreams of one host, with the number of tasks that run at each.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: BTreeMap<UpstreamName, UpstreamRecord>,
    running: u32,
}

#[derive(Debug, Serialize)]
struct UpstreamRecord {
    #[serde(rename = "notice")]
    announcement: UpstreamAnnouncement,
    running: u32,
    #[serde(rename = "is_leaving")]
    is_withdrawn: bool,
    announced_at: MonoTime,
    is_current: bool,
    is_unreachable: bool,
}

impl UpstreamRecord {
    fn accepts_work(&self, config: &ConfigValue) -> bool {
        self.is_current && !self.is_withdrawn && !self.is_unreachable && !config.upstreams_retired.contains(&self.announcement.upstream)
    }

    fn concurrency_limit(&self, connections: u32) -> u32 {
        self.announcement.slots.min(self.announcement.connections).min(connections)
    }
}

impl UpstreamRegistry {
    /// Records an announcement or its renewal. It also makes a withdrawn or unreachable upstream usable again.
    pub fn record_announcement(&mut self, now: MonoTime, announcement: UpstreamAnnouncement) {
        let running = self.upstreams.get(&announcement.upstream).map_or(0, |record| record.running);
        let record =
            UpstreamRecord { announcement, running, is_withdrawn: false, announced_at: now, is_current: true, is_unreachable: false };
        self.upstreams.insert(record.announcement.upstream.clone(), record);
    }

    /// Records that an upstream has withdrawn itself: its running tasks may end, and no new ones start there.
    pub fn record_withdrawal(&mut self, upstream: &UpstreamName) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.is_withdrawn = true;
        }
    }

    /// Excludes an upstream that could not be reached until it announces itself again.
    pub(super) fn record_unreachable(&mut self, upstream: &UpstreamName) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.is_unreachable = true;
        }
    }

    /// Excludes upstreams whose announcement was not renewed in time. Removes those that stay silent and have no running
    /// tasks.
    pub fn expire(&mut self, now: MonoTime) {
        for record in self.upstreams.values_mut() {
            record.is_current = now.since(record.announced_at) <= ANNOUNCEMENT_LIFETIME;
        }
        self.upstreams.retain(|_, record| record.running > 0 || now.since(record.announced_at) <= SILENCE_TIMEOUT);
    }

    /// Returns whether some upstream of `service` accepts tasks.
    pub fn serves(&self, service: &ServiceName, config: &ConfigValue) -> bool {
        self.upstreams.values().any(|record| record.announcement.service == *service && record.accepts_work(config))
    }

    /// Returns the upstream of `service` with the most free slots, and its address.
    pub fn find_free_upstream(&self, service: &ServiceName, config: &ConfigValue, connections: u32) -> Option<(UpstreamName, SmolStr)> {
        let usable = self.upstreams.values().filter(|record| record.announcement.service == *service && record.accepts_work(config));
        let free = usable.map(|record| (record.concurrency_limit(connections).saturating_sub(record.running), record));
        let (_, record) = free.filter(|(free, _)| *free > 0).max_by_key(|(free, _)| *free)?;
        Some((record.announcement.upstream.clone(), record.announcement.address.clone()))
    }

    /// Returns the upstreams that accept tasks.
    pub fn usable_upstreams(&self, config: &ConfigValue) -> Vec<UpstreamInfo> {
        let usable = self.upstreams.values().filter(|record| record.accepts_work(config));
        usable.map(|UpstreamRecord { announcement, .. }| upstream_info(announcement)).collect()
    }

    /// Returns the total number of tasks that are running at the upstreams.
    pub fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn free_slots(&self) -> u32 {
        self.upstreams.values().map(|record| record.announcement.slots.saturating_sub(record.running)).sum()
    }

    pub(super) fn record_started(&mut self, upstream: &UpstreamName) {
        self.running += 1;
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.running += 1;
        }
    }

    pub(super) fn record_ended(&mut self, upstream: &UpstreamName) {
        self.running -= 1;
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.running -= 1;
        }
    }

    /// Returns the state of all upstreams for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let records = self.upstreams.values().collect::<Vec<_>>();
        serde_json::to_value(records).unwrap_or_default()
    }
}

fn upstream_info(announcement: &UpstreamAnnouncement) -> UpstreamInfo {
    let slots = announcement.slots.min(announcement.connections);
    UpstreamInfo { upstream: announcement.upstream.clone(), service: announcement.service.clone(), slots }
}
