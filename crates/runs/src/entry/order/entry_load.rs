//! The rule by which an entry notices that it is behind, and sheds load.
//!
//! An entry that receives more than its host's processor can handle answers the reports of agents late. Leases then end, their
//! runs are stopped and started again, and this additional work keeps the entry late after the overload has ended. An entry
//! that is behind therefore admits no job and starts no task until it has caught up. It notices this by two measurements: how
//! long events wait for its control thread, and how much later than usual the reports of its agents are handled. The
//! second one includes the time that reports spend in the buffers of the host.

use std::time::Duration;

use vanillacleat_core::units::MonoTime;

/// Part of a session's lease, in percent, that an entry may be behind. Reports come three times in a lease, so a renewal
/// that is later than this may miss it.
const LAG_PERCENT_MAX: u32 = 25;
/// Share of the agents whose reports have to be late. If only a part of them is late, it is their links that are slow.
const DELAYED_SHARE_MIN: f64 = 0.5;
/// Time for which the control thread's lag counts after it was measured.
const LAG_MEMORY: Duration = Duration::from_millis(50);

/// Measures how far an entry is behind.
#[derive(Clone, Copy, Debug)]
pub struct EntryLoad {
    lag_max: Duration,
    late_until: MonoTime,
    delayed_share: f64,
    strained_since: Option<MonoTime>,
}

impl EntryLoad {
    /// Returns the state of an entry that is not behind. `session_lease` is the time within which reports must be answered.
    pub fn new(session_lease: Duration) -> Self {
        let lag_max = session_lease * LAG_PERCENT_MAX / 100;
        Self { lag_max, late_until: MonoTime::ZERO, delayed_share: 0.0, strained_since: None }
    }

    /// Returns the delay from which an event or a report counts as late.
    pub fn lag_max(&self) -> Duration {
        self.lag_max
    }

    /// Records how long the oldest of the events that are being handled has waited.
    pub fn record_lag(&mut self, now: MonoTime, lag: Duration) {
        if lag >= self.lag_max {
            self.late_until = now + LAG_MEMORY;
        }
    }

    /// Records the share of the agents whose last reports were late.
    pub fn record_delayed_share(&mut self, share: f64) {
        self.delayed_share = share;
    }

    /// Returns whether the entry is behind, and whether this has changed since the last call.
    pub fn update(&mut self, now: MonoTime) -> (bool, bool) {
        let is_strained = now < self.late_until || self.delayed_share > DELAYED_SHARE_MIN;
        let has_changed = is_strained != self.strained_since.is_some();
        if has_changed {
            self.strained_since = is_strained.then_some(now);
        }
        (is_strained, has_changed)
    }

    /// Returns whether the entry was behind at the last update.
    pub fn is_strained(&self) -> bool {
        self.strained_since.is_some()
    }
}
