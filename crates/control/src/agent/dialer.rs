//! Decides which entries to dial and when. Redials are jittered so that agents do not all reconnect at the same moment.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use vanillacleat_core::units::MonoTime;

/// Default delay before the first redial after a failure.
const REDIAL_MIN: Duration = Duration::from_millis(200);
/// Default maximum delay between redials.
const REDIAL_MAX: Duration = Duration::from_secs(5);
/// Maximum number of consecutive failures. An address that exceeds it is removed, unless it is a seed.
const FAILURES_MAX: u32 = 100;
/// Time allowed for a dial. An address whose dial has neither succeeded nor failed by then is dialed again.
const DIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Schedules the dials that keep one session open to every known entry.
#[derive(Debug)]
pub struct EntryDialer {
    entries: BTreeMap<SmolStr, DialState>,
    redial_min: Duration,
    redial_max: Duration,
    steady_attempts: u32,
}

#[derive(Debug)]
struct DialState {
    is_seed: bool,
    /// Whether the address was removed during a dial or a session. Its state is kept until that has ended.
    is_removed: bool,
    is_dialing: bool,
    is_connected: bool,
    failures: u32,
    next_dial_at: MonoTime,
}

impl DialState {
    fn new(is_seed: bool) -> Self {
        Self { is_seed, is_removed: false, is_dialing: false, is_connected: false, failures: 0, next_dial_at: MonoTime::ZERO }
    }
}

impl EntryDialer {
    /// Returns a dialer that knows only the seeds, which it never removes.
    pub fn new(seeds: Vec<SmolStr>) -> Self {
        let states = seeds.into_iter().map(|seed| (seed, DialState::new(true)));
        Self { entries: states.collect(), redial_min: REDIAL_MIN, redial_max: REDIAL_MAX, steady_attempts: 1 }
    }

    /// Returns the dialer with other redial delays. The delay is `redial_min` after each of the first `steady_attempts`
    /// consecutive failures. It then doubles with each failure, up to 32 times `redial_min` and at most `redial_max`.
    /// Jitter shortens each delay by up to half.
    pub fn with_redial(self, redial_min: Duration, redial_max: Duration, steady_attempts: u32) -> Self {
        Self { redial_min, redial_max, steady_attempts, ..self }
    }

    /// Adds the address of an entry, unless it is already known. An address that was removed during a dial or a session is not dialed
    /// again before that has ended.
    pub fn add_address(&mut self, address: SmolStr) {
        self.entries.entry(address).or_insert_with(|| DialState::new(false)).is_removed = false;
    }

    /// Removes the addresses that don't satisfy `is_kept`.
    pub fn retain_addresses(&mut self, is_kept: impl Fn(&SmolStr) -> bool) {
        self.entries.retain(|address, state| {
            state.is_removed |= !is_kept(address);
            !state.is_removed || state.is_dialing || state.is_connected
        });
    }

    /// Returns whether an address is dialed or connected.
    pub fn is_known(&self, address: &SmolStr) -> bool {
        self.entries.get(address).is_some_and(|state| !state.is_removed)
    }

    /// Returns the number of consecutive dials of an address that failed; zero if it is connected or unknown.
    pub fn failed_dials(&self, address: &SmolStr) -> u32 {
        self.entries.get(address).map_or(0, |state| state.failures)
    }

    /// Records that a session with the entry at `address` is open.
    pub fn record_connected(&mut self, address: &SmolStr) {
        let Some(state) = self.entries.get_mut(address) else {
            return;
        };
        (state.is_dialing, state.is_connected, state.failures) = (false, true, 0);
    }

    /// Records that the session with the entry at `address` ended, or that dialing it failed.
    pub fn record_disconnected(&mut self, address: &SmolStr, now: MonoTime, rng: &mut ChaCha8Rng) {
        let Some(state) = self.entries.get_mut(address) else {
            return;
        };
        (state.is_dialing, state.is_connected) = (false, false);
        state.failures += 1;
        let delay = (self.redial_min * 2_u32.pow(state.failures.saturating_sub(self.steady_attempts).min(5))).min(self.redial_max);
        state.next_dial_at = now + delay.mul_f64(rng.random_range(0.5..1.0));
        if state.is_removed || (state.failures > FAILURES_MAX && !state.is_seed) {
            self.entries.remove(address);
        }
    }

    /// Returns the addresses to dial now, and schedules their next dial in case no result is recorded.
    pub fn due_addresses(&mut self, now: MonoTime, rng: &mut ChaCha8Rng) -> Vec<SmolStr> {
        self.entries.retain(|_, state| !state.is_removed || state.is_connected || now < state.next_dial_at);
        let mut due = Vec::new();
        for (address, state) in &mut self.entries {
            if !state.is_connected && now >= state.next_dial_at {
                state.is_dialing = true;
                state.next_dial_at = now + DIAL_TIMEOUT.mul_f64(rng.random_range(1.0..1.5));
                due.push(address.clone());
            }
        }
        due
    }
}
