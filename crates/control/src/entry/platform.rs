//! Calls of the platform's store: what is asked, how often, and what the answers mean.

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

/// Time between reads of the configuration.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Time between renewals of the entry's own key, with a read of the others.
const PRESENCE_PERIOD: Duration = Duration::from_secs(5);
/// Longest time between tries while the platform fails.
const FAILURE_PERIOD_MAX: Duration = Duration::from_secs(5);

/// A `StoreVersion` is the store's own version of a key, for compare-and-swap; zero if the key is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion(pub u64);

/// A `HomeClaim` says who owns a lost or drained home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeClaim {
    /// The entry run that owns the home.
    pub owner: HomeKey,
    /// Where it listens, as `ip:port`.
    pub address: SmolStr,
    /// Rises with each owner.
    pub generation: Generation,
}

/// An `EntryPresence` is an entry's leased key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPresence {
    /// The entry's run.
    pub home: HomeKey,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens, as `ip:port`.
    pub address: SmolStr,
}

/// A `NameBinding` binds a caller's name to a ticket unless it is bound already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameBinding {
    /// The caller's name for the job.
    pub name: JobName,
    /// The ticket to bind.
    pub ticket: Ticket,
}

/// A `PlatformOp` is one call of the store.
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
    /// Binds names, each unless it is bound already, and reads them.
    BindNames(Vec<NameBinding>),
}

/// A `PlatformReply` is the store's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// The configuration.
    Config(StoreVersion, Option<Box<ConfigValue>>),
    /// A claim.
    Claim(StoreVersion, Option<HomeClaim>),
    /// The entries that hold a leased key.
    Entries(Vec<EntryPresence>),
    /// The ticket that each name is bound to.
    Names(Vec<Ticket>),
    /// The write took effect.
    Written,
    /// The key had another version; nothing was written.
    Outdated,
    /// No answer; a write may have taken effect.
    Failed,
}

/// A `PendingOp` is what an unanswered call is for.
#[derive(Debug)]
pub(super) enum PendingOp {
    Poll { asked_at: MonoTime },
    Repair,
    Presence { asked_at: MonoTime },
    Names(Vec<(ReplyId, NameBinding)>),
    Change,
    Adoption(HomeKey),
    Handover,
}

/// A `PlatformPacer` spreads the periodic calls and slows them down while the platform fails.
#[derive(Debug, Default)]
pub(super) struct PlatformPacer {
    poll_at: MonoTime,
    presence_at: MonoTime,
    failures: u32,
    is_polling: bool,
    is_announcing: bool,
}

impl PlatformPacer {
    fn period(&self, period: Duration, rng: &mut ChaCha8Rng) -> Duration {
        let slowed = period * 2_u32.pow(self.failures.min(4));
        let bounded = slowed.min(FAILURE_PERIOD_MAX.max(period));
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
        if self.now >= self.pacer.poll_at && !self.pacer.is_polling {
            self.pacer.is_polling = true;
            self.call_platform(PlatformOp::ReadConfig, PendingOp::Poll { asked_at: self.now });
        }
        if self.now >= self.pacer.presence_at && !self.pacer.is_announcing {
            self.pacer.is_announcing = true;
            let presence = EntryPresence { home: self.home().clone(), zone: self.zone.clone(), address: self.address.clone() };
            self.call_platform(PlatformOp::Announce(presence), PendingOp::Presence { asked_at: self.now });
        }
    }

    pub(super) fn take_platform_reply(&mut self, call: CallId, reply: PlatformReply) {
        let Some(pending) = self.platform_ops.remove(&call) else {
            return;
        };
        match pending {
            PendingOp::Poll { asked_at } => self.take_poll(asked_at, reply),
            PendingOp::Repair => {}
            PendingOp::Presence { asked_at } => self.take_presence(asked_at, reply),
            PendingOp::Names(bindings) => self.take_names(bindings, reply),
            PendingOp::Change => self.take_change_reply(reply),
            PendingOp::Adoption(home) => self.take_adoption_reply(&home, reply),
            PendingOp::Handover => self.take_handover_reply(reply),
        }
    }

    /// Reads the configuration at the next tick, since a newer one was heard of.
    pub(super) fn hurry_poll(&mut self) {
        if !self.pacer.is_failing() {
            self.pacer.poll_at = self.pacer.poll_at.min(self.now);
        }
    }

    fn take_poll(&mut self, asked_at: MonoTime, reply: PlatformReply) {
        self.pacer.is_polling = false;
        self.pacer.failures = match reply {
            PlatformReply::Config(..) => 0,
            _ => self.pacer.failures + 1,
        };
        self.pacer.poll_at = self.now + self.pacer.period(POLL_PERIOD, &mut self.rng);
        if let PlatformReply::Config(version, value) = reply {
            self.take_stored_config(asked_at, version, value);
        }
    }

    /// Takes a value that was read from the store by a question sent at `asked_at`.
    pub(super) fn take_stored_config(&mut self, asked_at: MonoTime, version: StoreVersion, value: Option<Box<ConfigValue>>) {
        let stored = value.as_ref().map_or(Default::default(), |value| value.revision);
        if let Some(value) = value {
            self.update_config(*value);
        }
        if stored < self.config.revision() {
            // The store lost an accepted value; what was accepted is written again and never taken back.
            let held = Box::new(self.config.value().clone());
            self.log("config_repair", format!("stored={stored} held={}", held.revision));
            self.call_platform(PlatformOp::WriteConfig(version, held), PendingOp::Repair);
            return;
        }
        self.platform_proof = self.platform_proof.max(Some(asked_at));
        self.is_settled = true;
    }

    fn take_presence(&mut self, asked_at: MonoTime, reply: PlatformReply) {
        self.pacer.is_announcing = false;
        self.pacer.presence_at = self.now + self.pacer.period(PRESENCE_PERIOD, &mut self.rng);
        if let PlatformReply::Entries(entries) = reply {
            self.peers.record_presences(self.now, asked_at, entries);
        }
    }

    pub(super) fn bind_names(&mut self) {
        if self.names.is_empty() {
            return;
        }
        let bindings: Vec<(ReplyId, NameBinding)> = self.names.drain(..).collect();
        let op = PlatformOp::BindNames(bindings.iter().map(|(_, binding)| binding.clone()).collect());
        self.call_platform(op, PendingOp::Names(bindings));
    }
}
