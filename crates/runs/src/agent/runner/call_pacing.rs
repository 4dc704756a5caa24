//! Pacing of repeated calls to a worker that answers none or answers late.
//!
//! A worker that is behind serves calls that have timed out meanwhile as well. If an agent repeated each of them at a fixed interval, the
//! repeated calls alone could keep the worker behind after the cause has gone.

use std::time::Duration;

use vanillacleat_core::units::MonoTime;

/// Time without an answer after which a start or stop call is sent again, to a worker that answers in time.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// The interval between two repeated calls is this fraction of the time without an answer.
const INTERVAL_DIVISOR: u32 = 4;
/// Maximum interval between two repeated calls. A worker that answers again is noticed within this time.
const INTERVAL_MAX: Duration = Duration::from_millis(250);
/// Maximum interval between two start or stop calls for the same run while some calls are answered.
const REPEAT_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Delay of an answer from which a worker counts as behind.
const LATE_ANSWER: Duration = Duration::from_millis(30);

/// What the agent knows of how its worker answers calls.
#[derive(Debug)]
pub(super) struct CallPacing {
    /// When the first call timed out since the worker last answered one.
    unanswered_since: Option<MonoTime>,
    /// Delay of the last answer, without the time for which the worker held it back.
    answer_delay: Duration,
    /// Interval between two start or stop calls for the same run.
    repeat_interval: Duration,
    /// The earliest time of the next repeated start or stop while no call is answered.
    next_order_at: MonoTime,
    /// The earliest time of the next lease poll while no call is answered.
    next_poll_at: MonoTime,
}

impl Default for CallPacing {
    fn default() -> Self {
        Self {
            unanswered_since: None,
            answer_delay: Duration::ZERO,
            repeat_interval: RETRY_INTERVAL,
            next_order_at: MonoTime::ZERO,
            next_poll_at: MonoTime::ZERO,
        }
    }
}

impl CallPacing {
    /// Records that a call was answered.
    pub(super) fn record_answer(&mut self) {
        self.unanswered_since = None;
    }

    /// Records that a call timed out.
    pub(super) fn record_unanswered(&mut self, now: MonoTime) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Returns when the first call timed out since the worker last answered one.
    pub(super) fn unanswered_since(&self) -> Option<MonoTime> {
        self.unanswered_since
    }

    /// Records the delay of an answer to the only call that it can belong to.
    pub(super) fn record_delay(&mut self, delay: Duration) {
        self.answer_delay = delay;
        self.repeat_interval = (delay * 2).clamp(RETRY_INTERVAL, REPEAT_INTERVAL_MAX);
    }

    /// Records an upper bound of the delay of an answer.
    pub(super) fn limit_delay(&mut self, delay: Duration) {
        self.answer_delay = self.answer_delay.min(delay);
    }

    /// Records an answer to a start that was repeated. It may belong to the first call, if the worker answers later than the start was
    /// repeated.
    pub(super) fn record_repeated(&mut self) {
        self.repeat_interval = (self.repeat_interval * 2).min(REPEAT_INTERVAL_MAX);
    }

    /// Returns the interval between two start or stop calls for the same run.
    pub(super) fn repeat_interval(&self) -> Duration {
        self.repeat_interval
    }

    /// Returns whether the worker answers in time what it answers, so that calls without an answer are lost and not waiting there.
    pub(super) fn answers_in_time(&self) -> bool {
        self.unanswered_since.is_none() && self.answer_delay < LATE_ANSWER
    }

    /// Returns whether an unanswered start or stop may be repeated now. While no call is answered, one may in each interval.
    pub(super) fn allows_order(&mut self, now: MonoTime) -> bool {
        let interval = self.interval(now);
        take_turn(now, &mut self.next_order_at, interval)
    }

    /// Returns whether a lease poll may be sent now. While no call is answered, one may in each interval.
    pub(super) fn allows_poll(&mut self, now: MonoTime) -> bool {
        let interval = self.interval(now);
        take_turn(now, &mut self.next_poll_at, interval)
    }

    /// Returns the interval between two repeated calls; absent while calls are answered.
    fn interval(&self, now: MonoTime) -> Option<Duration> {
        let silence = now.since(self.unanswered_since?);
        Some((silence / INTERVAL_DIVISOR).clamp(RETRY_INTERVAL, INTERVAL_MAX))
    }
}

fn take_turn(now: MonoTime, next_at: &mut MonoTime, interval: Option<Duration>) -> bool {
    let Some(interval) = interval else {
        return true;
    };
    let is_due = now >= *next_at;
    if is_due {
        *next_at = now + interval;
    }
    is_due
}
