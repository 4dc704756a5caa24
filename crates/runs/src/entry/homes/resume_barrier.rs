//! The rule by which an entry that resumes after a stall waits until its callers' connections have been read.
//!
//! A caller that left during the stall may have submitted its job to another entry, which runs it. Its disconnect waits in a
//! socket, and the frames of agents and the caller's own request may be read before it. Until the process has confirmed that
//! all connections were read, the entry therefore keeps the requests that it receives and starts no run.

use std::time::Duration;

use vanillacleat_control::ReplyId;
use vanillacleat_core::units::MonoTime;

use crate::entry::caller_api::CallerRequest;

/// Maximum time that an entry waits for the confirmation, which usually takes a few milliseconds.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the wait, and the requests that are kept meanwhile.
#[derive(Debug)]
pub struct ResumeBarrier {
    stall_max: Duration,
    last_number: u64,
    raised_at: Option<MonoTime>,
    requests: Vec<(ReplyId, CallerRequest)>,
}

impl ResumeBarrier {
    /// Returns the state of an entry that does not wait. The runs that it starts end within `loss_timeout` if nothing more is
    /// received from it, and its callers resubmit after `resubmit_after` at the earliest. The difference is the longest stall
    /// after which it need not wait.
    pub fn new(resubmit_after: Duration, loss_timeout: Duration) -> Self {
        Self { stall_max: resubmit_after.saturating_sub(loss_timeout), last_number: 0, raised_at: None, requests: Vec::new() }
    }

    /// Records that nothing was handled for `gap` until `now`. Returns the number of the confirmation to ask for if the entry has
    /// to wait. Confirmations that were asked for earlier don't count any more.
    pub fn record_gap(&mut self, now: MonoTime, gap: Duration) -> Option<u64> {
        if gap <= self.stall_max {
            return None;
        }
        self.last_number += 1;
        self.raised_at = Some(now);
        Some(self.last_number)
    }

    /// Records a confirmation. Returns how long the entry has waited if this ends the wait.
    pub fn confirm(&mut self, now: MonoTime, number: u64) -> Option<Duration> {
        if number != self.last_number {
            return None;
        }
        self.raised_at.take().map(|since| now.since(since))
    }

    /// Ends a wait that has taken too long. Returns whether there was one.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.raised_at.take_if(|since| now.since(*since) >= CONFIRMATION_TIMEOUT).is_some()
    }

    /// Returns whether the entry waits.
    pub fn is_raised(&self) -> bool {
        self.raised_at.is_some()
    }

    /// Returns whether requests are kept.
    pub fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Keeps a request until the wait ends.
    pub fn keep_request(&mut self, reply: ReplyId, request: CallerRequest) {
        self.requests.push((reply, request));
    }

    /// Drops the request of a caller that has disconnected.
    pub fn drop_request(&mut self, reply: ReplyId) {
        self.requests.retain(|(kept, _)| *kept != reply);
    }

    /// Takes the kept requests in the order of their arrival.
    pub fn take_requests(&mut self) -> Vec<(ReplyId, CallerRequest)> {
        std::mem::take(&mut self.requests)
    }
}
