//! A session with an entry and the lease that the entry renews over it.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::run_frames::{RouteSpeed, RunEnd, WorkerInfo};
use vanillacleat_core::units::{Millis, MonoTime};

/// Time after which a session is closed and dialed again if a report on it is not answered. The session survives shorter
/// delays, because opening a new one costs a slow entry more than answering late.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One session with an entry, and the lease under which the runs of that entry may be running.
///
/// Reports carry the agent's clock. The entry's orders carry a time on that clock that has certainly passed, and renew the
/// lease from that time. An order that was delayed on its way grants accordingly less.
#[derive(Debug)]
pub struct SessionLease {
    /// The address at which the entry listens.
    pub address: SmolStr,
    /// Ended runs to include in the next report.
    pub ends: Vec<RunEnd>,
    /// The worker information in the last report; absent if no worker was known then.
    pub reported_worker: Option<WorkerInfo>,
    /// Whether the last report stated that the agent accepts no starts.
    pub reported_closed: bool,
    /// Whether the last report stated that the worker has become slow.
    pub reported_slow: bool,
    /// What the runs of other entries used according to the last report.
    pub reported_used_by_others: ResourceAmount,
    /// The worker's speeds as last reported, by route.
    pub reported_speeds: BTreeMap<SmolStr, RouteSpeed>,
    /// Number of the last crash record that was reported.
    pub reported_crash: u64,
    /// When the last report was sent.
    pub reported_at: Option<MonoTime>,
    /// When the last report that needs an answer was sent.
    pub asked_at: Option<MonoTime>,
    /// When the last frame from the entry was handled.
    pub received_at: Option<MonoTime>,
    /// Whether the session is closed once no run of the entry is left, because the agent no longer selects the entry.
    pub is_retiring: bool,
    /// When the oldest unanswered report was sent. The entry answers the hello as well.
    unanswered_since: Option<MonoTime>,
    leased_until: MonoTime,
    is_lapse_reported: bool,
}

impl SessionLease {
    /// Returns a session that opened at `now` and has no lease yet.
    pub fn new(now: MonoTime, address: SmolStr) -> Self {
        Self {
            address,
            ends: Vec::new(),
            reported_worker: None,
            reported_closed: true,
            reported_slow: false,
            reported_used_by_others: ResourceAmount::default(),
            reported_speeds: BTreeMap::new(),
            reported_crash: 0,
            reported_at: None,
            asked_at: None,
            received_at: None,
            is_retiring: false,
            unanswered_since: Some(now),
            leased_until: MonoTime::ZERO,
            is_lapse_reported: false,
        }
    }

    /// Records that a report is sent at `now`.
    pub fn record_report_sent(&mut self, now: MonoTime, needs_answer: bool) {
        self.reported_at = Some(now);
        if needs_answer {
            self.asked_at = Some(now);
            self.unanswered_since.get_or_insert(now);
        }
    }

    /// Records that a frame from the entry was received.
    pub fn record_received(&mut self) {
        self.unanswered_since = None;
    }

    /// Renews the lease: it lasts for `duration` from `leased_from` on the agent's clock. A time that has not passed yet counts
    /// as `now`. An earlier time than that of the last renewal renews nothing.
    pub fn renew(&mut self, now: MonoTime, leased_from: Millis, duration: Duration) {
        let leased_until = MonoTime::from_millis(leased_from.0).min(now) + duration;
        if leased_until > self.leased_until {
            self.leased_until = leased_until;
            self.is_lapse_reported = false;
        }
    }

    /// Returns when the lease ends, or has ended.
    pub fn leased_until(&self) -> MonoTime {
        self.leased_until
    }

    /// Returns whether the lease is in force at `now`.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.leased_until
    }

    /// Returns how much of the lease is left at `now`; zero if it has ended.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.leased_until.since(now)
    }

    /// Returns how long ago the lease ended; zero while it is in force.
    pub fn time_since_end(&self, now: MonoTime) -> Duration {
        now.since(self.leased_until)
    }

    /// Returns whether the lease has ended since it was last renewed. Returns true only once for each end.
    pub fn detect_lapse(&mut self, now: MonoTime) -> bool {
        let has_lapsed = !self.is_valid(now) && self.leased_until > MonoTime::ZERO && !self.is_lapse_reported;
        self.is_lapse_reported |= has_lapsed;
        has_lapsed
    }

    /// Returns whether the entry has answered all reports that need it.
    pub fn is_answered(&self) -> bool {
        self.unanswered_since.is_none()
    }

    /// Returns whether a report has been unanswered for so long that the session should be closed and dialed again.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= SILENCE_TIMEOUT)
    }
}
