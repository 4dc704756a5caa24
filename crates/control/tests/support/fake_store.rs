//! An in-memory fake of the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_control::entry::{EntryPresence, HomeClaim, PlatformOp, PlatformReply, StoreVersion};
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::ids::{HomeKey, JobName};
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::MonoTime;

/// Lifetime of an entry's leased key after its last renewal.
const PRESENCE_TTL: Duration = Duration::from_secs(15);

/// Executes the entries' calls to the platform's store in memory. Faults can make it fail or lose its replies.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// Number of calls applied. A key's version is this number at its last write.
    version: u64,
    config: Option<(u64, ConfigValue)>,
    claims: BTreeMap<HomeKey, (u64, HomeClaim)>,
    names: BTreeMap<JobName, Ticket>,
    /// The leased keys of the entries, each with the time of its last renewal.
    presences: BTreeMap<String, (MonoTime, EntryPresence)>,
    /// Until this time, every call fails and has no effect.
    pub down_until: MonoTime,
    /// Until this time, writes take effect although the calls fail, as if the replies were lost.
    pub replies_lost_until: MonoTime,
    /// Number of calls received, failed ones included.
    pub calls: u64,
}

impl FakeStore {
    /// Executes a call and returns its reply, or a failure while one is simulated.
    pub fn execute(&mut self, now: MonoTime, op: PlatformOp) -> PlatformReply {
        self.calls += 1;
        if now < self.down_until {
            return PlatformReply::Failed;
        }
        let is_write = matches!(op, PlatformOp::WriteConfig(..) | PlatformOp::WriteClaim(..) | PlatformOp::BindNames(_));
        let reply = self.apply(now, op);
        if is_write && now < self.replies_lost_until {
            return PlatformReply::Failed;
        }
        reply
    }

    /// Deletes the stored configuration, as a store that lost its data would.
    pub fn clear_config(&mut self) {
        self.config = None;
    }

    /// Returns the stored configuration.
    pub fn config(&self) -> Option<&ConfigValue> {
        self.config.as_ref().map(|(_, value)| value)
    }

    /// Applies a call to the stored data.
    fn apply(&mut self, now: MonoTime, op: PlatformOp) -> PlatformReply {
        self.version += 1;
        match op {
            PlatformOp::ReadConfig => {
                let version = self.config.as_ref().map_or(0, |(version, _)| *version);
                PlatformReply::Config(StoreVersion(version), self.config.as_ref().map(|(_, value)| Box::new(value.clone())))
            }
            PlatformOp::WriteConfig(expected, value) => {
                if self.config.as_ref().map_or(0, |(version, _)| *version) != expected.0 {
                    return PlatformReply::Outdated;
                }
                self.config = Some((self.version, *value));
                PlatformReply::Written
            }
            PlatformOp::ReadClaim(home) => {
                let claim = self.claims.get(&home);
                PlatformReply::Claim(StoreVersion(claim.map_or(0, |(version, _)| *version)), claim.map(|(_, claim)| claim.clone()))
            }
            PlatformOp::WriteClaim(home, expected, claim) => {
                if self.claims.get(&home).map_or(0, |(version, _)| *version) != expected.0 {
                    return PlatformReply::Outdated;
                }
                self.claims.insert(home, (self.version, claim));
                PlatformReply::Written
            }
            PlatformOp::Announce(presence) => {
                self.presences.retain(|_, (at, _)| now.since(*at) < PRESENCE_TTL);
                self.presences.insert(presence.home.entry.to_string(), (now, presence));
                PlatformReply::Entries(self.presences.values().map(|(_, presence)| presence.clone()).collect())
            }
            PlatformOp::BindNames(bindings) => {
                let bound = bindings.into_iter().map(|binding| self.names.entry(binding.name).or_insert(binding.ticket).clone());
                PlatformReply::Names(bound.collect())
            }
        }
    }
}
