//! Sessions with entries: reports, leases and their loss.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::run_frames::{RunFrame, RunHello, RunReport};

use super::{RunnerAction, RunnerControl};
use crate::agent::session_lease::SessionLease;

/// Time between two reports on a session; a third of the session's lease, so that renewals overlap.
const REPORT_PERIOD: Duration = Duration::from_millis(120);

/// Shortest time between two reports that only tell of room, for each session that stands: the sum over all entries
/// stays bounded as entries are added.
const ROOM_PERIOD_EACH: Duration = Duration::from_millis(15);

impl RunnerControl {
    pub(super) fn open_session(&mut self, session: SessionId, address: SmolStr) {
        self.dialer.record_connected(&address);
        let mut unsettled = Vec::new();
        for (run, record) in self.book.iter_mut().filter(|(_, record)| record.entry == address && record.owner.is_none()) {
            record.owner = Some(session);
            unsettled.push(*run);
        }
        self.log(format!("event=entry_found entry={address} unsettled={}", unsettled.len()));
        self.sessions.insert(session, SessionLease::new(self.now, address));
        let hello = RunHello {
            agent: self.options.agent.clone(),
            incarnation: self.options.incarnation,
            zone: self.options.zone.clone(),
            plan_version: self.plan.version().0,
            unsettled,
        };
        self.actions.push(RunnerAction::Send { session, frame: RunFrame::Hello(hello) });
    }

    pub(super) fn lose_session(&mut self, session: Option<SessionId>, address: &SmolStr) {
        if session.is_some_and(|session| !self.sessions.contains_key(&session)) {
            return;
        }
        self.dialer.record_disconnected(address, self.now, &mut self.rng);
        if let Some(session) = session {
            self.drop_session(session, "broken");
        }
    }

    /// Ends a session. Its runs are stopped: their entry may be gone, and the caller may ask another one.
    fn drop_session(&mut self, session: SessionId, cause: &str) {
        let Some(lease) = self.sessions.remove(&session) else {
            return;
        };
        let runs = self.book.select(|record| record.owner == Some(session));
        self.log(format!("event=entry_lost entry={} cause={cause} runs={}", lease.address, runs.len()));
        for run in runs {
            if let Some(record) = self.book.get_mut(&run) {
                record.owner = None;
            }
            self.stop_run(&run);
        }
    }

    /// Ends sessions whose entries are silent, and stops the runs of those whose lease has ended: a late entry keeps its
    /// session, and hears on it how they ended.
    pub(super) fn watch_sessions(&mut self) {
        let silent = self.sessions.iter().filter(|(_, lease)| lease.is_silent(self.now));
        let silent: Vec<(SessionId, SmolStr)> = silent.map(|(session, lease)| (*session, lease.address.clone())).collect();
        for (session, address) in silent {
            self.actions.push(RunnerAction::Close(session));
            self.dialer.record_disconnected(&address, self.now, &mut self.rng);
            self.drop_session(session, "silent");
        }
        let now = self.now;
        let lapsed: Vec<(SessionId, SmolStr)> = self
            .sessions
            .iter_mut()
            .filter_map(|(session, lease)| lease.take_lapse(now).then(|| (*session, lease.address.clone())))
            .collect();
        for (session, address) in lapsed {
            let runs = self.book.select(|record| record.owner == Some(session));
            self.log(format!("event=lease_lapsed entry={address} runs={}", runs.len()));
            runs.iter().for_each(|run| self.stop_run(run));
        }
    }

    /// Reports ends at once, and the worker's state every period.
    pub(super) fn flush_reports(&mut self) {
        let offer = self.incarnation.as_ref().map(|incarnation| incarnation.to_offer());
        let is_closed = !self.is_open();
        let now = self.now;
        let room_period = REPORT_PERIOD.min(ROOM_PERIOD_EACH * self.sessions.len() as u32);
        for (session, lease) in &mut self.sessions {
            let others = self.book.used().saturating_sub(&self.book.used_by(*session));
            let period = if lease.told_others == others { REPORT_PERIOD } else { room_period };
            let is_due = lease.reported_at.is_none_or(|at| now.since(at) >= period);
            if !is_due && lease.ends.is_empty() && lease.told == offer && lease.told_closed == is_closed {
                continue;
            }
            let report = RunReport {
                nonce: lease.ask(now),
                ends: std::mem::take(&mut lease.ends),
                used: self.book.used(),
                used_by_entry: self.book.used_by(*session),
                worker: if lease.told == offer { None } else { offer.clone() },
                is_closed,
                plan_version: self.plan.version().0,
                progress: self.book.progress_of(*session),
            };
            lease.told.clone_from(&offer);
            lease.told_closed = is_closed;
            lease.told_others = others;
            self.actions.push(RunnerAction::Send { session: *session, frame: RunFrame::Report(report) });
        }
    }

    /// Dials entries once nothing of an earlier agent is at work, so that a new run of the agent proves it.
    pub(super) fn dial_entries(&mut self) {
        let is_settled = self.incarnation.as_ref().is_some_and(|incarnation| incarnation.is_settled);
        if !is_settled && self.sessions.is_empty() {
            return;
        }
        let dials = self.dialer.due(self.now, &mut self.rng);
        self.actions.extend(dials.into_iter().map(RunnerAction::Dial));
    }
}
