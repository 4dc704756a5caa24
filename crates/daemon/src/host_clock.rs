//! The host's clocks. The boot clock counts the time that the host was suspended, the steady clock does not.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};

/// Maximum time between two readings of the steady clock for a reading of the boot clock between them to be compared with them.
const COMPARISON_TIME_MAX: Duration = Duration::from_millis(1);
/// Number of attempts to compare the clocks before the result counts as unknown until the next time.
const COMPARISONS_MAX: u32 = 8;
/// Difference above which the host counts as having been suspended. It is above the inaccuracy of a comparison.
const SUSPENSION_MIN: Duration = Duration::from_millis(5);

/// Reads a clock of the host.
pub(crate) fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Returns the wall clock in Unix milliseconds; zero if it is set to a time before 1970. It may be set back.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64)
}

/// Detects that the host was suspended. The boot clock counts that time and the steady clock does not.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// By how much the boot clock was ahead when a suspension was last reported, or at first.
    known_lead: Duration,
}

impl Default for SuspensionWatch {
    /// Returns a watch that reports suspensions from now on.
    fn default() -> Self {
        Self { known_lead: compare_clocks().unwrap_or_default() }
    }
}

impl SuspensionWatch {
    /// Returns for how long the host was suspended since the last suspension that this method returned; `None` if it was not.
    pub fn detect(&mut self) -> Option<Duration> {
        let lead = compare_clocks()?;
        let suspended = lead.saturating_sub(self.known_lead);
        if suspended < SUSPENSION_MIN {
            return None;
        }
        self.known_lead = lead;
        Some(suspended)
    }
}

/// Returns by how much the boot clock is ahead of the steady clock, or up to [`COMPARISON_TIME_MAX`] less. Returns `None` if the thread
/// was interrupted in each attempt.
fn compare_clocks() -> Option<Duration> {
    (0..COMPARISONS_MAX).find_map(|_| {
        let steady_before = read_clock(ClockId::Monotonic);
        let boot = read_clock(ClockId::Boottime);
        let steady = read_clock(ClockId::Monotonic);
        (steady.saturating_sub(steady_before) < COMPARISON_TIME_MAX).then(|| boot.saturating_sub(steady))
    })
}
