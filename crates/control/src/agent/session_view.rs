//! The agent's view of its session with one entry.

use std::collections::VecDeque;
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_core::frames::{FreshnessRequest, LoadReport};
use vanillacleat_core::ids::HomeKey;
use vanillacleat_core::units::{MonoTime, Revision};

/// Maximum number of unanswered freshness requests kept for one session. The oldest is dropped first.
const PENDING_REQUESTS_MAX: usize = 64;

/// Holds the state of one session: what the entry has sent and which freshness requests it has not answered.
#[derive(Debug)]
pub(super) struct SessionView {
    pub(super) address: SmolStr,
    /// The entry and its incarnation; absent until the entry has sent its welcome.
    pub(super) entry: Option<HomeKey>,
    /// The highest configuration revision that the agent has requested on this session.
    pub(super) requested_revision: Option<Revision>,
    /// The newest nonce received from the entry, echoed in the next freshness request.
    pub(super) echoed_nonce: u64,
    /// The load last reported to the entry.
    pub(super) reported_load: Option<LoadReport>,
    /// The nonces and send times of the unanswered freshness requests, oldest first.
    pending_requests: VecDeque<(u64, MonoTime)>,
    /// When the last freshness request was sent; absent if the next one is due at once.
    last_request_at: Option<MonoTime>,
    pub(super) last_received_at: MonoTime,
}

impl SessionView {
    pub(super) fn new(now: MonoTime, address: SmolStr) -> Self {
        Self {
            address,
            entry: None,
            requested_revision: None,
            echoed_nonce: 0,
            reported_load: None,
            pending_requests: VecDeque::new(),
            last_request_at: None,
            last_received_at: now,
        }
    }

    /// Returns whether the next freshness request is due: for `interval`, neither was a request sent on the session nor a
    /// frame received.
    ///
    /// A dispatch restarts the interval. If the agent was idle, the dispatch restarts the entry's silence timeout for the
    /// session as well.
    pub(super) fn is_request_due(&self, now: MonoTime, interval: Duration) -> bool {
        self.last_request_at.is_none_or(|at| now.since(at.max(self.last_received_at)) >= interval)
    }

    /// Returns when the last freshness request was sent on the session.
    pub(super) fn last_request_at(&self) -> Option<MonoTime> {
        self.last_request_at
    }

    /// Makes the next freshness request due at once, because the entry waits for what it reports.
    pub(super) fn expedite_request(&mut self) {
        self.last_request_at = None;
    }

    /// Records `load` as reported. Returns it if it differs from the last report, and `None` otherwise.
    pub(super) fn update_reported_load(&mut self, load: LoadReport) -> Option<LoadReport> {
        if self.reported_load.as_ref() == Some(&load) {
            return None;
        }
        self.reported_load = Some(load.clone());
        Some(load)
    }

    /// Returns the next freshness request and records when it was sent.
    pub(super) fn next_freshness_request(
        &mut self,
        now: MonoTime,
        nonce: u64,
        is_settled: bool,
        load: Option<LoadReport>,
    ) -> FreshnessRequest {
        self.last_request_at = Some(now);
        self.pending_requests.push_back((nonce, now));
        if self.pending_requests.len() > PENDING_REQUESTS_MAX {
            self.pending_requests.pop_front();
        }
        FreshnessRequest { nonce, echoed_nonce: self.echoed_nonce, is_settled, load }
    }

    /// Removes the unanswered request `nonce` and returns when it was sent, or `None` if it is unknown or already answered.
    pub(super) fn complete_request(&mut self, nonce: u64) -> Option<MonoTime> {
        let index = self.pending_requests.iter().position(|(pending, _)| *pending == nonce)?;
        self.pending_requests.remove(index).map(|(_, at)| at)
    }

    pub(super) fn dump(&self) -> Value {
        json!({
            "address": self.address,
            "entry": self.entry.as_ref().map(ToString::to_string),
            "questions_open": self.pending_requests.len(),
        })
    }
}
