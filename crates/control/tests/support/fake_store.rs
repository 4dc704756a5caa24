//! The platform's store as plain maps.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_control::entry::{EntryPresence, HomeClaim, PlatformOp, PlatformReply, StoreVersion};
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::ids::{HomeKey, JobName};
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::MonoTime;

/// Lifetime of an entry's key without renewal.
const PRESENCE_TTL: Duration = Duration::from_secs(15);

/// A `FakeStore` carries out the entries' calls.
#[derive(Debug, Default)]
pub struct FakeStore {
    version: u64,
    config: Option<(u64, ConfigValue)>,
    claims: BTreeMap<HomeKey, (u64, HomeClaim)>,
    names: BTreeMap<JobName, Ticket>,
    presences: BTreeMap<String, (MonoTime, EntryPresence)>,
    /// Until when no call is answered or carried out.
    pub down_until: MonoTime,
    /// Until when writes take effect without an answer.
    pub silent_until: MonoTime,
    /// Calls so far.
    pub calls: u64,
}

impl FakeStore {
    pub fn execute(&mut self, now: MonoTime, op: PlatformOp) -> PlatformReply {
        self.calls += 1;
        if now < self.down_until {
            return PlatformReply::Failed;
        }
        let is_write = matches!(op, PlatformOp::WriteConfig(..) | PlatformOp::WriteClaim(..) | PlatformOp::BindNames(_));
        let reply = self.apply(now, op);
        if is_write && now < self.silent_until {
            return PlatformReply::Failed;
        }
        reply
    }

    pub fn clear_config(&mut self) {
        self.config = None;
    }

    pub fn config(&self) -> Option<&ConfigValue> {
        self.config.as_ref().map(|(_, value)| value)
    }

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
