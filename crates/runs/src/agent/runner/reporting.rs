//! Sessions with entries: opening, reports, leases and loss.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::run_frames::{RunFrame, RunHello, RunReport};

use super::{RunnerAction, RunnerControl};
use crate::agent::session_lease::SessionLease;

/// Interval between two reports on a session. It is about a third of the session's lease, so that renewals overlap.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// Multiplied by the number of open sessions, this is the minimum interval between two reports on one session if the
/// second is sent early only because the capacity used by other entries has changed. The interval is at most
/// [`REPORT_INTERVAL`]. Because it grows with the number of sessions, the total rate of early reports stays bounded as
/// entries are added.
const CAPACITY_INTERVAL_PER_SESSION: Duration = Duration::from_millis(15);

impl RunnerControl {
    pub(super) fn handle_session_opened(&mut self, session: SessionId, address: SmolStr) {
        self.dialer.record_connected(&address);
        let mut unsettled = Vec::new();
        for (run, record) in self.runs.iter_mut().filter(|(_, record)| record.entry == address && record.owner.is_none()) {
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

    pub(super) fn handle_session_closed(&mut self, session: Option<SessionId>, address: &SmolStr) {
        if session.is_some_and(|session| !self.sessions.contains_key(&session)) {
            return;
        }
        self.dialer.record_disconnected(address, self.now, &mut self.rng);
        if let Some(session) = session {
            self.remove_session(session, "broken");
        }
    }

    /// Removes a session and stops its runs, because their entry may be lost and the caller may resubmit the job to
    /// another entry.
    fn remove_session(&mut self, session: SessionId, cause: &str) {
        let Some(lease) = self.sessions.remove(&session) else {
            return;
        };
        let runs = self.runs.select(|record| record.owner == Some(session));
        self.log(format!("event=entry_lost entry={} cause={cause} runs={}", lease.address, runs.len()));
        for run in runs {
            if let Some(record) = self.runs.get_mut(&run) {
                record.owner = None;
            }
            self.stop_run(&run);
        }
    }

    /// Closes sessions whose entries are silent, and stops the runs of sessions whose lease has ended. An entry that is
    /// only late keeps its session, over which it receives how its runs ended.
    pub(super) fn check_sessions(&mut self) {
        let silent = self.sessions.iter().filter(|(_, lease)| lease.is_silent(self.now));
        let silent: Vec<(SessionId, SmolStr)> = silent.map(|(session, lease)| (*session, lease.address.clone())).collect();
        for (session, address) in silent {
            self.actions.push(RunnerAction::Close(session));
            self.dialer.record_disconnected(&address, self.now, &mut self.rng);
            self.remove_session(session, "silent");
        }
        let now = self.now;
        let lapsed: Vec<(SessionId, SmolStr)> = self
            .sessions
            .iter_mut()
            .filter_map(|(session, lease)| lease.detect_lapse(now).then(|| (*session, lease.address.clone())))
            .collect();
        for (session, address) in lapsed {
            let runs = self.runs.select(|record| record.owner == Some(session));
            self.log(format!("event=lease_lapsed entry={address} runs={}", runs.len()));
            runs.iter().for_each(|run| self.stop_run(run));
        }
    }

    /// Sends the reports that are due. A run that ended is reported at once, and so is a change of the worker's
    /// information or of whether the agent accepts starts. Otherwise a report is sent after [`REPORT_INTERVAL`], or
    /// earlier if the capacity used by other entries has changed.
    pub(super) fn send_reports(&mut self) {
        let worker_info = self.incarnation.as_ref().map(|incarnation| incarnation.worker_info());
        let is_closed = !self.accepts_starts();
        let now = self.now;
        let capacity_interval = REPORT_INTERVAL.min(CAPACITY_INTERVAL_PER_SESSION * self.sessions.len() as u32);
        for (session, lease) in &mut self.sessions {
            let used_by_others = self.runs.used().saturating_sub(&self.runs.used_by(*session));
            let interval = if lease.reported_used_by_others == used_by_others { REPORT_INTERVAL } else { capacity_interval };
            let is_due = lease.reported_at.is_none_or(|at| now.since(at) >= interval);
            if !is_due && lease.ends.is_empty() && lease.reported_worker == worker_info && lease.reported_closed == is_closed {
                continue;
            }
            let report = RunReport {
                nonce: lease.record_report_sent(now),
                ends: std::mem::take(&mut lease.ends),
                used: self.runs.used(),
                used_by_entry: self.runs.used_by(*session),
                worker: if lease.reported_worker == worker_info { None } else { worker_info.clone() },
                is_closed,
                plan_version: self.plan.version().0,
                progress: self.runs.progress_of(*session),
            };
            lease.reported_worker.clone_from(&worker_info);
            lease.reported_closed = is_closed;
            lease.reported_used_by_others = used_by_others;
            self.actions.push(RunnerAction::Send { session: *session, frame: RunFrame::Report(report) });
        }
    }

    /// Dials the entries that are due. While there is no session, it waits until the worker is settled, which means that
    /// all runs that earlier agents started there have ended. Entries rely on this: they record the runs of an earlier
    /// agent incarnation as ended when a new one opens a session.
    pub(super) fn dial_entries(&mut self) {
        let is_settled = self.incarnation.as_ref().is_some_and(|incarnation| incarnation.is_settled);
        if !is_settled && self.sessions.is_empty() {
            return;
        }
        let dials = self.dialer.due_addresses(self.now, &mut self.rng);
        self.actions.extend(dials.into_iter().map(RunnerAction::Dial));
    }
}
