//! Estimates of the clocks of other processes.

use std::time::Duration;

use vanillacleat_core::units::MonoTime;

/// Minimum rate of another process's clock relative to this one's, in percent. Workers guarantee that their clocks are at
/// most 2% slow, and hosts keep time better than that.
const CLOCK_RATE_PERCENT_MIN: u32 = 98;

/// Resolution of the readings that other processes send.
const READING_RESOLUTION: Duration = Duration::from_millis(1);

/// A lower bound of another process's clock, computed from the readings that it sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemoteClock {
    reading: Option<(MonoTime, u64)>,
}

impl RemoteClock {
    /// Records a reading that was received at `now`, if it raises the lower bound. The other clock showed at least
    /// `clock` at that time.
    pub fn record(&mut self, now: MonoTime, clock: u64) {
        if self.at(now).is_none_or(|lower_bound| clock > lower_bound) {
            self.reading = Some((now, clock));
        }
    }

    /// Records a reading from the answer, received at `now`, to a call that was sent at `sent_at`. The other clock runs no faster than
    /// this one, so it can't have advanced further since the reading than this one since the call. A lower bound beyond that is
    /// wrong: the other clock stood still, for example while its host was suspended. The reading then replaces it.
    pub fn record_answer(&mut self, sent_at: MonoTime, now: MonoTime, clock: u64) {
        let latest = clock.saturating_add((now.since(sent_at) + READING_RESOLUTION).as_millis() as u64);
        if self.at(now).is_some_and(|lower_bound| lower_bound > latest) {
            self.reading = None;
        }
        self.record(now, clock);
    }

    /// Records that the other clock stood still for `duration` since the reading, while this one went on.
    pub fn record_suspension(&mut self, duration: Duration) {
        self.reading = self.reading.map(|(at, clock)| (at + duration, clock));
    }

    /// Returns a value that the clock has certainly reached at `now`, or `None` before the first reading.
    pub fn at(&self, now: MonoTime) -> Option<u64> {
        let (at, clock) = self.reading?;
        let elapsed = now.since(at) * CLOCK_RATE_PERCENT_MIN / 100;
        Some(clock.saturating_add(elapsed.as_millis() as u64))
    }

    /// Returns the age of the reading that the lower bound is computed from, or `None` before the first one.
    pub fn reading_age(&self, now: MonoTime) -> Option<Duration> {
        self.reading.map(|(at, _)| now.since(at))
    }

    /// Returns when a lease of `duration` that begins at `now` ends on the other clock. Before the first reading it
    /// returns zero, which is a lease that has already ended.
    pub fn lease_end(&self, now: MonoTime, duration: Duration) -> u64 {
        self.at(now).map_or(0, |clock| clock.saturating_add(duration.as_millis() as u64))
    }

    /// Returns how much later than the lower bound a reading was taken to be received at `now`: the delay of its transfer,
    /// compared with that of the fastest one.
    pub fn transfer_delay(&self, now: MonoTime, clock: u64) -> Duration {
        Duration::from_millis(self.at(now).map_or(0, |lower_bound| lower_bound.saturating_sub(clock)))
    }
}
