//! What an agent knows of its session with one entry.

use std::collections::VecDeque;
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;
use vanillacleat_core::frames::{FreshnessRequest, LoadReport};
use vanillacleat_core::ids::HomeKey;
use vanillacleat_core::units::{MonoTime, Revision};

/// Questions that may be unanswered on one session.
const QUESTIONS_KEPT: usize = 64;

/// A `SessionView` is what an agent knows of one session.
#[derive(Debug)]
pub(super) struct SessionView {
    pub(super) address: SmolStr,
    pub(super) entry: Option<HomeKey>,
    pub(super) wanted: Option<Revision>,
    pub(super) echoed_nonce: u64,
    pub(super) told_load: Option<LoadReport>,
    questions: VecDeque<(u64, MonoTime)>,
    asked_at: Option<MonoTime>,
    pub(super) last_received_at: MonoTime,
}

impl SessionView {
    pub(super) fn new(now: MonoTime, address: SmolStr) -> Self {
        Self {
            address,
            entry: None,
            wanted: None,
            echoed_nonce: 0,
            told_load: None,
            questions: VecDeque::new(),
            asked_at: None,
            last_received_at: now,
        }
    }

    /// Returns whether nothing was asked or heard on the session for `period`. A dispatch starts the time anew, as the
    /// entry's patience does.
    pub(super) fn is_ask_due(&self, now: MonoTime, period: Duration) -> bool {
        self.asked_at.is_none_or(|at| now.since(at.max(self.last_received_at)) >= period)
    }

    /// Returns when the session was last asked.
    pub(super) fn asked_at(&self) -> Option<MonoTime> {
        self.asked_at
    }

    /// Asks at the next tick, since the other side waits to hear something.
    pub(super) fn hurry_ask(&mut self) {
        self.asked_at = None;
    }

    /// Returns the load if it has changed since it was last told.
    pub(super) fn take_load_news(&mut self, load: LoadReport) -> Option<LoadReport> {
        if self.told_load.as_ref() == Some(&load) {
            return None;
        }
        self.told_load = Some(load.clone());
        Some(load)
    }

    /// Returns the next question.
    pub(super) fn make_ask(&mut self, now: MonoTime, nonce: u64, is_settled: bool, load: Option<LoadReport>) -> FreshnessRequest {
        self.asked_at = Some(now);
        self.questions.push_back((nonce, now));
        if self.questions.len() > QUESTIONS_KEPT {
            self.questions.pop_front();
        }
        FreshnessRequest { nonce, echoed_nonce: self.echoed_nonce, is_settled, load }
    }

    /// Returns when the question `nonce` was sent, once.
    pub(super) fn take_question(&mut self, nonce: u64) -> Option<MonoTime> {
        let index = self.questions.iter().position(|(asked, _)| *asked == nonce)?;
        self.questions.remove(index).map(|(_, at)| at)
    }

    pub(super) fn dump(&self) -> Value {
        json!({
            "address": self.address,
            "entry": self.entry.as_ref().map(ToString::to_string),
            "questions_open": self.questions.len(),
        })
    }
}
