//! The gate's proof that its configuration is the newest.

use std::time::Duration;

use serde::Serialize;
use vanillacleat_core::settings::FreshnessPolicy;
use vanillacleat_core::units::MonoTime;

/// Holds the latest time for which an entry has proved that no newer configuration than the gate's was in force, and the
/// policy that decides whether tasks need such a proof.
///
/// Times are on the gate's own clock.
#[derive(Clone, Debug, Serialize)]
pub struct FreshnessProof {
    policy: FreshnessPolicy,
    lifetime: Duration,
    proved_at: Option<MonoTime>,
}

impl FreshnessProof {
    /// Returns the state before the first proof. Each proof is valid for `lifetime`.
    pub fn new(policy: FreshnessPolicy, lifetime: Duration) -> Self {
        Self { policy, lifetime, proved_at: None }
    }

    /// Records that an entry answered the request sent at `requested_at` with a proof that was `age` old at that moment.
    ///
    /// The entry answered after the request was sent, so its proof was taken at `requested_at - age` or later.
    pub fn record(&mut self, requested_at: MonoTime, age: Duration) {
        self.proved_at = self.proved_at.max(Some(requested_at.before(age)));
    }

    /// Returns whether the policy allows tasks to start at `now`.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        match self.policy {
            FreshnessPolicy::Open => true,
            FreshnessPolicy::Proven => self.proved_at.is_some_and(|at| now.since(at) <= self.lifetime),
        }
    }

    /// Returns the age of the newest proof, if there is one.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}
