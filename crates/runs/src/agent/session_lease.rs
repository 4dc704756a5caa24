//! A session with an entry and the lease that the entry renews over it.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::run_frames::{RunEnd, WorkerInfo};
use vanillacleat_core::units::MonoTime;

/// Time without a frame from the entry after which its session is closed and dialed again. Entries answer each report.
/// The session survives shorter delays, because opening a new one costs a slow entry more than answering late.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of unanswered reports that are kept; older ones can no longer renew the lease.
const PENDING_REPORTS_MAX: usize = 32;

/// One session with an entry, and the lease under which the runs of that entry may be running.
///
/// The agent sends reports with increasing nonces. An entry that repeats a nonce renews the lease from the time at
/// which the agent sent that report.
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
    /// What the runs of other entries used according to the last report.
    pub reported_used_by_others: ResourceAmount,
    /// When the last report was sent.
    pub reported_at: Option<MonoTime>,
    /// The nonces of unanswered reports and when each report was sent, oldest first.
    pending_reports: VecDeque<(u64, MonoTime)>,
    last_nonce: u64,
    leased_until: MonoTime,
    last_received_at: MonoTime,
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
            reported_used_by_others: ResourceAmount::default(),
            reported_at: None,
            pending_reports: VecDeque::new(),
            last_nonce: 0,
            leased_until: MonoTime::ZERO,
            last_received_at: now,
            is_lapse_reported: false,
        }
    }

    /// Records that a report is sent at `now` and returns its nonce.
    pub fn record_report_sent(&mut self, now: MonoTime) -> u64 {
        self.last_nonce += 1;
        self.reported_at = Some(now);
        self.pending_reports.push_back((self.last_nonce, now));
        if self.pending_reports.len() > PENDING_REPORTS_MAX {
            self.pending_reports.pop_front();
        }
        self.last_nonce
    }

    /// Records that a frame from the entry was received at `now`.
    pub fn record_received(&mut self, now: MonoTime) {
        self.last_received_at = now;
    }

    /// Renews the lease after the entry repeated `nonce`: the lease lasts for `duration` from the time at which the
    /// report with that nonce was sent. A nonce that was already repeated renews nothing.
    pub fn renew(&mut self, nonce: u64, duration: Duration) {
        while let Some((pending_nonce, sent_at)) = self.pending_reports.front().copied() {
            if pending_nonce > nonce {
                return;
            }
            self.leased_until = self.leased_until.max(sent_at + duration);
            self.is_lapse_reported = false;
            self.pending_reports.pop_front();
        }
    }

    /// Returns whether the lease is in force at `now`.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.leased_until
    }

    /// Returns whether the lease has ended since it was last renewed. Returns true only once for each end.
    pub fn detect_lapse(&mut self, now: MonoTime) -> bool {
        let has_lapsed = !self.is_valid(now) && self.leased_until > MonoTime::ZERO && !self.is_lapse_reported;
        self.is_lapse_reported |= has_lapsed;
        has_lapsed
    }

    /// Returns whether the entry has sent nothing for so long that the session should be closed and dialed again.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        now.since(self.last_received_at) >= SILENCE_TIMEOUT
    }
}
