//! Which entries to dial and when. Failed dials are spread out, so that agents do not return all at once.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_core::units::MonoTime;

/// Wait before the first try after a failure, where the embedder names none.
const REDIAL_MIN: Duration = Duration::from_millis(200);
/// Longest wait between tries, where the embedder names none.
const REDIAL_MAX: Duration = Duration::from_secs(5);
/// Failures in a row after which an address that is no seed is forgotten.
const FAILURES_MAX: u32 = 100;
/// Longest time that a dial may take before the next one is tried.
const DIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// An `EntryDialer` keeps one session with every entry it has heard of.
#[derive(Debug)]
pub struct EntryDialer {
    entries: BTreeMap<SmolStr, DialState>,
    redial_min: Duration,
    redial_max: Duration,
    steady_tries: u32,
}

#[derive(Debug)]
struct DialState {
    is_seed: bool,
    is_up: bool,
    failures: u32,
    next_at: MonoTime,
}

impl EntryDialer {
    /// Returns a dialer that knows the seeds.
    pub fn new(seeds: Vec<SmolStr>) -> Self {
        let states = seeds.into_iter().map(|seed| (seed, DialState { is_seed: true, is_up: false, failures: 0, next_at: MonoTime::ZERO }));
        Self { entries: states.collect(), redial_min: REDIAL_MIN, redial_max: REDIAL_MAX, steady_tries: 1 }
    }

    /// Returns the dialer with other waits between tries; the first `steady_tries` come at the shortest wait.
    pub fn with_redial(self, redial_min: Duration, redial_max: Duration, steady_tries: u32) -> Self {
        Self { redial_min, redial_max, steady_tries, ..self }
    }

    /// Takes the address of an entry; a known one is left as it is.
    pub fn add_address(&mut self, address: SmolStr) {
        let state = DialState { is_seed: false, is_up: false, failures: 0, next_at: MonoTime::ZERO };
        self.entries.entry(address).or_insert(state);
    }

    /// Notes that a session with the entry stands.
    pub fn record_connected(&mut self, address: &SmolStr) {
        if let Some(state) = self.entries.get_mut(address) {
            (state.is_up, state.failures) = (true, 0);
        }
    }

    /// Notes that a session ended or a dial failed.
    pub fn record_disconnected(&mut self, address: &SmolStr, now: MonoTime, rng: &mut ChaCha8Rng) {
        let Some(state) = self.entries.get_mut(address) else {
            return;
        };
        state.is_up = false;
        state.failures += 1;
        let wait = (self.redial_min * 2_u32.pow(state.failures.saturating_sub(self.steady_tries).min(5))).min(self.redial_max);
        state.next_at = now + wait.mul_f64(rng.random_range(0.5..1.0));
        if state.failures > FAILURES_MAX && !state.is_seed {
            self.entries.remove(address);
        }
    }

    /// Returns the addresses to dial now.
    pub fn due(&mut self, now: MonoTime, rng: &mut ChaCha8Rng) -> Vec<SmolStr> {
        let mut due = Vec::new();
        for (address, state) in &mut self.entries {
            if !state.is_up && now >= state.next_at {
                state.next_at = now + DIAL_TIMEOUT.mul_f64(rng.random_range(1.0..1.5));
                due.push(address.clone());
            }
        }
        due
    }
}
