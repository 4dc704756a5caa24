//! Whether the gate can prove that its configuration is the newest.

use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::settings::FreshnessPolicy;
use vanillacleat_core::units::MonoTime;

/// A `FreshnessProof` is the latest time, on the gate's own clock, at which no newer configuration was in force.
#[derive(Clone, Debug, Serialize)]
pub struct FreshnessProof {
    policy: FreshnessPolicy,
    lifetime: Duration,
    proved_at: Option<MonoTime>,
}

impl FreshnessProof {
    /// Returns a proof not yet had; each lasts `lifetime`.
    pub fn new(policy: FreshnessPolicy, lifetime: Duration) -> Self {
        Self { policy, lifetime, proved_at: None }
    }

    /// Notes that an entry answered the question sent at `asked_at` from a proof that was `age` old at its answer.
    ///
    /// The answer was given after the question was sent, so the proof was taken at `asked_at - age` or later.
    pub fn record(&mut self, asked_at: MonoTime, age: Duration) {
        self.proved_at = self.proved_at.max(Some(asked_at.before(age)));
    }

    /// Returns whether work may start at `now`.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        match self.policy {
            FreshnessPolicy::Open => true,
            FreshnessPolicy::Proven => self.proved_at.is_some_and(|at| now.since(at) <= self.lifetime),
        }
    }

    /// Returns the age of the proof.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}
