//! Applies operators' changes to the configuration: reads the stored value, applies the change to it, writes it with
//! compare-and-swap, then confirms that it is in force.

use std::time::Duration;

use vanillacleat_core::config::{ChangeOutcome, ConfigChange, ConfigValue};
use vanillacleat_core::outcome::{CallRefusal, RefusalCode};
use vanillacleat_core::units::{Millis, MonoTime, Revision};

use super::platform::{PendingOp, PlatformOp, PlatformReply, StoreVersion};
use super::{CallerReply, EntryControl};
use crate::ReplyId;

/// Maximum wait for witnesses to confirm a stored change.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a change that could not be stored is refused.
const STORE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time before a failed read or write of the store is retried.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of edits in one change.
const EDITS_MAX: usize = 1_000;

/// Holds the state of a change in progress. An entry stores its changes one at a time, in the order of submission.
#[derive(Debug)]
pub(super) struct ChangeFlow {
    reply: ReplyId,
    change: ConfigChange,
    step: ChangeStep,
    until: MonoTime,
}

#[derive(Debug, PartialEq, Eq)]
enum ChangeStep {
    Queued,
    Reading,
    Writing(Revision),
    /// Waits until this time before the store is read again.
    Retrying(MonoTime),
    /// Waits until the stored revision is in force.
    Confirming(Revision),
}

impl EntryControl {
    pub(super) fn start_change(&mut self, reply: ReplyId, change: ConfigChange) {
        if change.edits.is_empty() || change.edits.len() > EDITS_MAX {
            let detail = format!("edits: {} given, 1 to {EDITS_MAX} allowed", change.edits.len());
            return self.refuse(reply, CallRefusal::new(RefusalCode::BadRequest, detail));
        }
        let until = self.now + STORE_TIMEOUT;
        self.changes.push_back(ChangeFlow { reply, change, step: ChangeStep::Queued, until });
        self.advance_changes();
    }

    pub(super) fn advance_changes(&mut self) {
        self.confirm_changes();
        let now = self.now;
        let Some(flow) = self.storing_flow() else {
            return;
        };
        match flow.step {
            _ if now >= flow.until => self.abandon_change(),
            ChangeStep::Queued => self.read_for_change(),
            ChangeStep::Retrying(at) if now >= at => self.read_for_change(),
            _ => {}
        }
    }

    /// Returns the change to store: the first that does not wait for confirmations.
    fn storing_flow(&mut self) -> Option<&mut ChangeFlow> {
        self.changes.iter_mut().find(|flow| !matches!(flow.step, ChangeStep::Confirming(_)))
    }

    fn read_for_change(&mut self) {
        if let Some(flow) = self.storing_flow() {
            flow.step = ChangeStep::Reading;
            self.call_platform(PlatformOp::ReadConfig, PendingOp::Change);
        }
    }

    fn abandon_change(&mut self) {
        let index = self.changes.iter().position(|flow| !matches!(flow.step, ChangeStep::Confirming(_)));
        let Some(flow) = index.and_then(|index| self.changes.remove(index)) else {
            return;
        };
        let detail =
            format!("the platform's store does not answer; change {} may have been stored, submit it again to learn", flow.change.id);
        self.refuse(flow.reply, CallRefusal::new(RefusalCode::PlatformDown, detail).retry_after(Millis(2_000)));
    }

    pub(super) fn handle_change_reply(&mut self, reply: PlatformReply) {
        let now = self.now;
        let Some(flow) = self.storing_flow() else {
            return;
        };
        match (&flow.step, reply) {
            (ChangeStep::Reading, PlatformReply::Config(version, value)) => {
                self.handle_stored_config(now, version, value.clone());
                if self.propagate_at.is_some() {
                    self.propagate_config();
                }
                self.write_change(version, value.map(|value| *value).unwrap_or_default());
            }
            (ChangeStep::Writing(revision), PlatformReply::Written) => {
                let revision = *revision;
                self.handle_written(revision);
            }
            (ChangeStep::Reading | ChangeStep::Writing(_), _) => {
                // Another change was stored first, or the reply was lost. The next read shows which.
                flow.step = ChangeStep::Retrying(now + STORE_RETRY_INTERVAL);
            }
            _ => {}
        }
    }

    fn write_change(&mut self, version: StoreVersion, stored: ConfigValue) {
        let held = self.config.value().clone();
        let base = if held.revision > stored.revision { held } else { stored };
        let Some(flow) = self.storing_flow() else {
            return;
        };
        if let Some(revision) = base.find_change(&flow.change.id) {
            return self.start_confirming(revision);
        }
        match base.apply(&flow.change) {
            Ok(value) => {
                flow.step = ChangeStep::Writing(value.revision);
                let id = flow.change.id.clone();
                self.log("change_writing", format!("change={id} revision={}", value.revision));
                self.call_platform(PlatformOp::WriteConfig(version, Box::new(value)), PendingOp::Change);
            }
            Err(conflict) => {
                let reply = flow.reply;
                self.changes.retain(|other| other.reply != reply);
                self.refuse(reply, CallRefusal::new(RefusalCode::ChangeConflict, conflict));
            }
        }
    }

    fn handle_written(&mut self, revision: Revision) {
        // The value is read back so that exactly the stored value is propagated.
        if let Some(flow) = self.storing_flow() {
            debug_assert_eq!(flow.step, ChangeStep::Writing(revision));
            flow.step = ChangeStep::Reading;
        }
        self.call_platform(PlatformOp::ReadConfig, PendingOp::Change);
    }

    fn start_confirming(&mut self, revision: Revision) {
        let until = self.now + CONFIRM_TIMEOUT;
        if let Some(flow) = self.storing_flow() {
            flow.step = ChangeStep::Confirming(revision);
            flow.until = until;
        }
        self.confirm_changes();
        self.advance_changes();
    }

    /// Answers the changes that are in force in more than half of the availability zones, and those whose wait for
    /// confirmations timed out.
    fn confirm_changes(&mut self) {
        let mut waiting = std::collections::VecDeque::new();
        while let Some(flow) = self.changes.pop_front() {
            let ChangeStep::Confirming(revision) = flow.step else {
                waiting.push_back(flow);
                continue;
            };
            self.record_own_witness();
            let in_force = self.witnesses.is_confirmed(revision);
            if !in_force && self.now < flow.until {
                waiting.push_back(flow);
                continue;
            }
            let missing = self.witnesses.missing_witnesses(revision);
            self.log(
                "change_stored",
                format!("change={} revision={revision} in_force={in_force} missing={}", flow.change.id, missing.len()),
            );
            self.reply(flow.reply, CallerReply::Changed(ChangeOutcome { revision, in_force, missing }));
        }
        self.changes = waiting;
    }

    /// Records this entry itself as a witness of the revision it holds.
    pub(super) fn record_own_witness(&mut self) {
        let own = self.home().entry.to_string();
        let (zone, revision) = (self.zone.clone(), self.config.revision());
        let requested_at = self.is_settled.then_some(self.now);
        self.witnesses.record(self.now, &own, &zone, revision, requested_at);
    }
}
