//! The lease that a session with an entry gives to its runs.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::run_frames::{RunEnd, WorkerInfo};
use vanillacleat_core::units::MonoTime;

/// Time without a word of the entry after which its session is opened anew. Entries answer each report; one that is only
/// late by less would pay more for a new session than for the answer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Unanswered reports that are remembered; older ones can't renew the lease any more.
const QUESTIONS_MAX: usize = 32;

/// A `SessionLease` is one session with an entry and the lease under which its runs are at work.
#[derive(Debug)]
pub struct SessionLease {
    /// Where the entry listens.
    pub address: SmolStr,
    /// Ends to report.
    pub ends: Vec<RunEnd>,
    /// What the entry was last told of the worker.
    pub told: Option<WorkerInfo>,
    /// Whether the entry was last told that no starts are taken.
    pub told_closed: bool,
    /// What the entry was last told that other entries have taken.
    pub told_others: ResourceAmount,
    /// When the last report was sent.
    pub reported_at: Option<MonoTime>,
    questions: VecDeque<(u64, MonoTime)>,
    next_nonce: u64,
    leased_until: MonoTime,
    last_received_at: MonoTime,
    is_suspended: bool,
}

impl SessionLease {
    /// Returns a session without a lease that opened at `now`.
    pub fn new(now: MonoTime, address: SmolStr) -> Self {
        Self {
            address,
            ends: Vec::new(),
            told: None,
            told_closed: true,
            told_others: ResourceAmount::default(),
            reported_at: None,
            questions: VecDeque::new(),
            next_nonce: 0,
            leased_until: MonoTime::ZERO,
            last_received_at: now,
            is_suspended: false,
        }
    }

    /// Notes that a report is sent at `now`; returns its nonce.
    pub fn ask(&mut self, now: MonoTime) -> u64 {
        self.next_nonce += 1;
        self.reported_at = Some(now);
        self.questions.push_back((self.next_nonce, now));
        if self.questions.len() > QUESTIONS_MAX {
            self.questions.pop_front();
        }
        self.next_nonce
    }

    /// Notes that the entry said something at `now`.
    pub fn record_received(&mut self, now: MonoTime) {
        self.last_received_at = now;
    }

    /// Takes the nonce that the entry repeated: the lease lasts for `span` from the report that carried it.
    pub fn renew(&mut self, nonce: u64, span: Duration) {
        while let Some((asked, at)) = self.questions.front().copied() {
            if asked > nonce {
                return;
            }
            self.leased_until = self.leased_until.max(at + span);
            self.is_suspended = false;
            self.questions.pop_front();
        }
    }

    /// Returns whether runs may be at work at `now`.
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.leased_until
    }

    /// Returns whether the lease has ended since it was last renewed; each end is told once.
    pub fn take_lapse(&mut self, now: MonoTime) -> bool {
        let has_lapsed = !self.is_valid(now) && self.leased_until > MonoTime::ZERO && !self.is_suspended;
        self.is_suspended |= has_lapsed;
        has_lapsed
    }

    /// Returns whether the entry has said nothing for so long that another session should be opened.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        now.since(self.last_received_at) >= SILENCE_TIMEOUT
    }
}
