//! The upstreams on this host, as they announced themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::frames::UpstreamInfo;
use vanillacleat_core::ids::{ServiceName, UpstreamName};
use vanillacleat_core::units::MonoTime;

/// Time after the last announcement from which an upstream receives no new work.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(10);
/// Time after which a silent upstream with nothing running is forgotten.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(600);

/// An `UpstreamAnnouncement` is what an upstream announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// The upstream's name, unique in the deployment.
    pub upstream: UpstreamName,
    /// The service it runs.
    pub service: ServiceName,
    /// Where it listens, as `ip:port`.
    pub address: SmolStr,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
}

/// An `UpstreamRegistry` holds the upstreams of one host.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: BTreeMap<UpstreamName, UpstreamRecord>,
    running: u32,
}

#[derive(Debug, Serialize)]
struct UpstreamRecord {
    notice: UpstreamAnnouncement,
    running: u32,
    is_leaving: bool,
    announced_at: MonoTime,
    is_current: bool,
    is_unreachable: bool,
}

impl UpstreamRecord {
    fn may_receive(&self, config: &ConfigValue) -> bool {
        self.is_current && !self.is_leaving && !self.is_unreachable && !config.upstreams_retired.contains(&self.notice.upstream)
    }

    fn width(&self, connections: u32) -> u32 {
        self.notice.slots.min(self.notice.connections).min(connections)
    }
}

impl UpstreamRegistry {
    /// Notes an announcement or its renewal. An upstream that left may come back.
    pub fn announce(&mut self, now: MonoTime, notice: UpstreamAnnouncement) {
        let running = self.upstreams.get(&notice.upstream).map_or(0, |record| record.running);
        let record = UpstreamRecord { notice, running, is_leaving: false, announced_at: now, is_current: true, is_unreachable: false };
        self.upstreams.insert(record.notice.upstream.clone(), record);
    }

    /// Notes that an upstream leaves: what runs there ends, and nothing new starts.
    pub fn leave(&mut self, upstream: &UpstreamName) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.is_leaving = true;
        }
    }

    /// Takes an upstream out until it announces itself again, since it could not be reached.
    pub(super) fn record_unreachable(&mut self, upstream: &UpstreamName) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.is_unreachable = true;
        }
    }

    /// Takes out upstreams whose announcement was not renewed, and forgets the long silent ones.
    pub fn expire(&mut self, now: MonoTime) {
        for record in self.upstreams.values_mut() {
            record.is_current = now.since(record.announced_at) <= ANNOUNCEMENT_LIFETIME;
        }
        self.upstreams.retain(|_, record| record.running > 0 || now.since(record.announced_at) <= SILENCE_TIMEOUT);
    }

    /// Returns whether some upstream of `service` may receive work.
    pub fn serves(&self, service: &ServiceName, config: &ConfigValue) -> bool {
        self.upstreams.values().any(|record| record.notice.service == *service && record.may_receive(config))
    }

    /// Returns the upstream of `service` with the most free slots, and its address.
    pub fn find_slot(&self, service: &ServiceName, config: &ConfigValue, connections: u32) -> Option<(UpstreamName, SmolStr)> {
        let usable = self.upstreams.values().filter(|record| record.notice.service == *service && record.may_receive(config));
        let free = usable.map(|record| (record.width(connections).saturating_sub(record.running), record));
        let (_, record) = free.filter(|(free, _)| *free > 0).max_by_key(|(free, _)| *free)?;
        Some((record.notice.upstream.clone(), record.notice.address.clone()))
    }

    /// Returns the upstreams that may receive work.
    pub fn offers(&self, config: &ConfigValue) -> Vec<UpstreamInfo> {
        let usable = self.upstreams.values().filter(|record| record.may_receive(config));
        usable.map(|UpstreamRecord { notice, .. }| make_offer(notice)).collect()
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn free_slots(&self) -> u32 {
        self.upstreams.values().map(|record| record.notice.slots.saturating_sub(record.running)).sum()
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

    /// Returns the upstreams' state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let records = self.upstreams.values().collect::<Vec<_>>();
        serde_json::to_value(records).unwrap_or_default()
    }
}

fn make_offer(notice: &UpstreamAnnouncement) -> UpstreamInfo {
    let slots = notice.slots.min(notice.connections);
    UpstreamInfo { upstream: notice.upstream.clone(), service: notice.service.clone(), slots }
}
