//! Calls of the platform's store: which are made, how often, and how their replies are handled.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::ids::{HomeKey, JobName, ZoneName};
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::{Generation, MonoTime};

use super::{EntryAction, EntryControl};
use crate::{CallId, ReplyId};

/// Interval of the reads of the configuration.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the renewals of the entry's own key, each with a read of the other entries' keys.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum interval, before jitter, to which the periodic calls are slowed down while the platform fails.
const FAILURE_INTERVAL_MAX: Duration = Duration::from_secs(5);

/// The version of a key in the store, for compare-and-swap; zero if the key is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion(pub u64);

/// The stored record of who owns the home of a lost or drained entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeClaim {
    /// The entry incarnation that owns the home.
    pub owner: HomeKey,
    /// Where the owner listens, as `ip:port`.
    pub address: SmolStr,
    /// Increases with each new owner.
    pub generation: Generation,
}

/// The value of an entry's leased key, which shows the other entries that it is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPresence {
    /// The entry's incarnation.
    pub home: HomeKey,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Where the entry listens, as `ip:port`.
    pub address: SmolStr,
}

/// Binds a job name that a caller chose to a ticket, unless the name is already bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameBinding {
    /// The job name that the caller chose.
    pub name: JobName,
    /// The ticket to bind.
    pub ticket: Ticket,
}

/// A call of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformOp {
    /// Reads the configuration.
    ReadConfig,
    /// Writes the configuration if the key still has the expected version.
    WriteConfig(StoreVersion, Box<ConfigValue>),
    /// Reads the claim of a home.
    ReadClaim(HomeKey),
    /// Writes the claim of a home if the key still has the expected version.
    WriteClaim(HomeKey, StoreVersion, HomeClaim),
    /// Renews the entry's own key and reads all entries' keys.
    Announce(EntryPresence),
    /// Binds each name that is not bound yet, and reads the tickets to which all of them are bound.
    BindNames(Vec<NameBinding>),
}

/// The store's reply to a [`PlatformOp`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// The configuration; absent if none is stored.
    Config(StoreVersion, Option<Box<ConfigValue>>),
    /// The claim of a home; absent if none is stored.
    Claim(StoreVersion, Option<HomeClaim>),
    /// The entries that hold a leased key.
    Entries(Vec<EntryPresence>),
    /// The ticket to which each name is bound, in the order of the call.
    Names(Vec<Ticket>),
    /// The write took effect.
    Written,
    /// The key had another version; nothing was written.
    Outdated,
    /// The call failed; a write may have taken effect.
    Failed,
}

/// The purpose of an unanswered call, which decides how its reply is handled.
#[derive(Debug)]
pub(super) enum PendingOp {
    /// The periodic read of the configuration.
    Poll {
        requested_at: MonoTime,
    },
    /// Writes the held configuration back to a store that lost it.
    Repair,
    /// The periodic renewal of the entry's own key.
    Presence {
        requested_at: MonoTime,
    },
    Names(Vec<(ReplyId, NameBinding)>),
    /// A read or write for the change that is being stored.
    Change,
    /// A read or write of the claim of a home that is being adopted.
    Adoption(HomeKey),
    /// Writes the claim for the peer that takes over this entry's home.
    Handover,
}

/// Schedules the periodic calls with jitter, and slows them down while the platform fails.
#[derive(Debug, Default)]
pub(super) struct PlatformPacer {
    next_poll_at: MonoTime,
    next_presence_at: MonoTime,
    failures: u32,
    is_polling: bool,
    is_announcing: bool,
}

impl PlatformPacer {
    /// Returns `interval` with jitter, doubled for each consecutive failed read of the configuration up to a limit.
    fn jittered_interval(&self, interval: Duration, rng: &mut ChaCha8Rng) -> Duration {
        let slowed = interval * 2_u32.pow(self.failures.min(4));
        let bounded = slowed.min(FAILURE_INTERVAL_MAX.max(interval));
        bounded.mul_f64(rng.random_range(0.8..1.2))
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

impl EntryControl {
    pub(super) fn call_platform(&mut self, op: PlatformOp, pending: PendingOp) {
        let call = CallId(self.make_id());
        self.counters.platform_calls += 1;
        self.platform_ops.insert(call, pending);
        self.actions.push(EntryAction::CallPlatform { call, op });
    }

    pub(super) fn poll_platform(&mut self) {
        if self.now >= self.pacer.next_poll_at && !self.pacer.is_polling {
            self.pacer.is_polling = true;
            self.call_platform(PlatformOp::ReadConfig, PendingOp::Poll { requested_at: self.now });
        }
        if self.now >= self.pacer.next_presence_at && !self.pacer.is_announcing {
            self.pacer.is_announcing = true;
            let presence = EntryPresence { home: self.home().clone(), zone: self.zone.clone(), address: self.address.clone() };
            self.call_platform(PlatformOp::Announce(presence), PendingOp::Presence { requested_at: self.now });
        }
    }

    pub(super) fn handle_platform_reply(&mut self, call: CallId, reply: PlatformReply) {
        let Some(pending) = self.platform_ops.remove(&call) else {
            return;
        };
        match pending {
            PendingOp::Poll { requested_at } => self.handle_poll_reply(requested_at, reply),
            PendingOp::Repair => {}
            PendingOp::Presence { requested_at } => self.handle_presence_reply(requested_at, reply),
            PendingOp::Names(bindings) => self.handle_names_reply(bindings, reply),
            PendingOp::Change => self.handle_change_reply(reply),
            PendingOp::Adoption(home) => self.handle_adoption_reply(&home, reply),
            PendingOp::Handover => self.handle_handover_claim_reply(reply),
        }
    }

    /// Makes the read of the configuration due at once, because a newer revision is known to exist.
    pub(super) fn expedite_poll(&mut self) {
        if !self.pacer.is_failing() {
            self.pacer.next_poll_at = self.pacer.next_poll_at.min(self.now);
        }
    }

    fn handle_poll_reply(&mut self, requested_at: MonoTime, reply: PlatformReply) {
        self.pacer.is_polling = false;
        self.pacer.failures = match reply {
            PlatformReply::Config(..) => 0,
            _ => self.pacer.failures + 1,
        };
        self.pacer.next_poll_at = self.now + self.pacer.jittered_interval(POLL_INTERVAL, &mut self.rng);
        if let PlatformReply::Config(version, value) = reply {
            self.handle_stored_config(requested_at, version, value);
        }
    }

    /// Handles a configuration that was read from the store by a call made at `requested_at`.
    pub(super) fn handle_stored_config(&mut self, requested_at: MonoTime, version: StoreVersion, value: Option<Box<ConfigValue>>) {
        let stored = value.as_ref().map_or(Default::default(), |value| value.revision);
        if let Some(value) = value {
            self.update_config(*value);
        }
        if stored < self.config.revision() {
            // The store lost an accepted value. An accepted change is never rolled back, so the held value is written again.
            let held = Box::new(self.config.value().clone());
            self.log("config_repair", format!("stored={stored} held={}", held.revision));
            self.call_platform(PlatformOp::WriteConfig(version, held), PendingOp::Repair);
            return;
        }
        self.platform_proof = self.platform_proof.max(Some(requested_at));
        self.is_settled = true;
    }

    fn handle_presence_reply(&mut self, requested_at: MonoTime, reply: PlatformReply) {
        self.pacer.is_announcing = false;
        self.pacer.next_presence_at = self.now + self.pacer.jittered_interval(PRESENCE_INTERVAL, &mut self.rng);
        if let PlatformReply::Entries(entries) = reply {
            self.peers.record_presences(self.now, requested_at, entries);
        }
    }

    /// Binds all unbound names with one call.
    pub(super) fn bind_names(&mut self) {
        if self.unbound_names.is_empty() {
            return;
        }
        let bindings: Vec<(ReplyId, NameBinding)> = self.unbound_names.drain(..).collect();
        let op = PlatformOp::BindNames(bindings.iter().map(|(_, binding)| binding.clone()).collect());
        self.call_platform(op, PendingOp::Names(bindings));
    }
}
