//! Sessions with entries: opening, reports, leases and loss.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::ProcessStart;
use vanillacleat_core::run_frames::{EntryRecord, OrderedRun, RunFrame, RunHello, RunReport, SessionOrder};
use vanillacleat_core::units::{Millis, MonoTime};

use super::{RunnerAction, RunnerControl};
use crate::agent::run_table::StopCause;
use crate::agent::session_lease::SessionLease;
use crate::log_fields::format_age;

/// Interval between two reports that need an answer, on a session whose entry has runs here. It is about a third of the
/// session's lease, so that renewals overlap.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// The same on a session whose entry has no run here. The answer shows that the entry is still reachable.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Multiplied by the number of open sessions, this is the minimum interval between two reports on one session if the second
/// is sent only because the free capacity has changed. The total rate of such reports stays bounded as sessions are added.
const CAPACITY_INTERVAL_PER_SESSION: Duration = Duration::from_millis(15);
/// Free capacity, in percent of the worker's, below which each change of it is reported. Above it an entry finds room anyway, and
/// only changes by as much as this are reported.
const SCARCE_PERCENT: u64 = 25;
/// Interval between two selections of the entries to keep sessions with, if the list of entries has not changed.
const SELECTION_INTERVAL: Duration = Duration::from_millis(250);

impl RunnerControl {
    /// Introduces the agent to an entry, unless another session with it is open. The entry uses only the session that was introduced
    /// last, and ends the runs that its hello doesn't list.
    pub(super) fn handle_session_opened(&mut self, session: SessionId, address: SmolStr) {
        self.selection.record_connected(&address);
        if self.has_session_with(&address) {
            self.log(format!("event=session_surplus entry={address} session={session}"));
            return self.actions.push(RunnerAction::Close(session));
        }
        let mut unsettled = Vec::new();
        let owners = self.runs.iter_mut().flat_map(|(_, record)| &mut record.owners);
        for owner in owners.filter(|owner| owner.entry == address && owner.session.is_none()) {
            owner.session = Some(session);
            unsettled.push(OrderedRun { run: owner.run, order: owner.order });
        }
        self.log(format!("event=entry_found entry={address} unsettled={}", unsettled.len()));
        self.sessions.insert(session, SessionLease::new(self.now, address));
        self.last_session_number += 1;
        let process_start = ProcessStart(self.options.fencing_token);
        let hello = RunHello {
            agent: self.options.agent.clone(),
            incarnation: self.options.incarnation,
            order: SessionOrder { process_start, number: self.last_session_number },
            zone: self.options.zone.clone(),
            plan_version: self.plan.version().0,
            unsettled,
        };
        self.actions.push(RunnerAction::Send { session, frame: RunFrame::Hello(hello) });
    }

    fn has_session_with(&self, address: &SmolStr) -> bool {
        self.sessions.values().any(|lease| lease.address == *address)
    }

    pub(super) fn handle_session_closed(&mut self, session: Option<SessionId>, address: &SmolStr) {
        let is_open = session.map_or_else(|| !self.has_session_with(address), |session| self.sessions.contains_key(&session));
        if !is_open {
            return;
        }
        self.selection.dialer.record_disconnected(address, self.now, &mut self.rng);
        if let Some(session) = session {
            self.remove_session(session, "broken");
        }
    }

    /// Removes a session and stops its runs, because their entry may be lost and the caller may resubmit the job to
    /// another entry. A run that another entry ordered as well is stopped too: the lost one places its task again once the lease
    /// has ended.
    fn remove_session(&mut self, session: SessionId, cause: &str) {
        let Some(lease) = self.sessions.remove(&session) else {
            return;
        };
        let runs = self.runs.select(|record| record.is_owned_by(session));
        self.log(format!(
            "event=entry_lost entry={} cause={cause} runs={} session_left_ms={} received_age_ms={}",
            lease.address,
            runs.len(),
            lease.time_left(self.now).as_millis(),
            format_age(lease.received_at.map(|at| self.now.since(at)))
        ));
        for run in runs {
            if let Some(record) = self.runs.get_mut(&run) {
                let owners = record.owners.iter_mut().filter(|owner| owner.session == Some(session));
                owners.for_each(|owner| {
                    owner.session = None;
                    owner.lost_lease_end.get_or_insert(lease.leased_until());
                });
            }
            self.stop_run(&run, StopCause::EntryLost);
        }
    }

    /// Closes sessions whose entries are silent, and stops the runs of sessions whose lease has ended. An entry that is
    /// only late keeps its session, over which it receives how its runs ended.
    pub(super) fn check_sessions(&mut self) {
        let silent = self.sessions.iter().filter(|(_, lease)| lease.is_silent(self.now));
        let silent: Vec<(SessionId, SmolStr)> = silent.map(|(session, lease)| (*session, lease.address.clone())).collect();
        for (session, address) in silent {
            self.actions.push(RunnerAction::Close(session));
            self.selection.dialer.record_disconnected(&address, self.now, &mut self.rng);
            self.remove_session(session, "silent");
        }
        let now = self.now;
        let lapsed: Vec<SessionId> =
            self.sessions.iter_mut().filter_map(|(session, lease)| lease.detect_lapse(now).then_some(*session)).collect();
        for session in lapsed {
            let runs = self.runs.select(|record| record.is_owned_by(session));
            // The lease of an entry without runs is not renewed.
            if let Some(lease) = self.sessions.get(&session).filter(|_| !runs.is_empty()) {
                self.log(format!(
                    "event=lease_lapsed entry={} runs={} late_ms={} asked_age_ms={} received_age_ms={}",
                    lease.address,
                    runs.len(),
                    lease.time_since_end(now).as_millis(),
                    format_age(lease.asked_at.map(|at| now.since(at))),
                    format_age(lease.received_at.map(|at| now.since(at)))
                ));
            }
            runs.iter().for_each(|run| self.stop_run(run, StopCause::LeaseLapsed));
        }
    }

    /// Sends the reports that are due. A run that ended is reported at once, and so is a change of the worker's
    /// information or of whether the agent accepts starts. Otherwise a report is sent at an interval that depends on whether
    /// the entry has runs here, or if the capacity used by other entries has changed.
    pub(super) fn send_reports(&mut self) {
        let worker_info = self.incarnation.as_ref().map(|incarnation| incarnation.worker_info());
        let accepts_starts = self.accepts_starts();
        let (now, entries) = (self.now, self.sessions.len() as u32);
        let capacity = worker_info.as_ref().map_or(0, |info| info.capacity.millicores);
        let capacity_interval = CAPACITY_INTERVAL_PER_SESSION * entries;
        let slowness_percent = self.slowness_percent();
        let is_slow = slowness_percent > 0;
        let (used, used_by_session) = (self.runs.used(), self.runs.used_by_owner());
        for (session, lease) in &mut self.sessions {
            if lease.reported_crash < self.crash_records.last_number() {
                let crashes = self.crash_records.since(lease.reported_crash);
                lease.reported_crash = self.crash_records.last_number();
                self.actions.push(RunnerAction::Send { session: *session, frame: RunFrame::Crashes(crashes) });
            }
            let used_by_entry = used_by_session.get(session).copied();
            let used_by_others = used.saturating_sub(&used_by_entry.unwrap_or_default());
            let is_closed = !accepts_starts || lease.is_retiring;
            let age = |at: Option<MonoTime>| at.map_or(Duration::MAX, |at| now.since(at));
            let ask_interval = if used_by_entry.is_some() { REPORT_INTERVAL } else { IDLE_REPORT_INTERVAL };
            let is_ask_due = age(lease.asked_at) >= ask_interval;
            let is_capacity_due = age(lease.reported_at) >= capacity_interval
                && is_significant(capacity, lease.reported_used_by_others.millicores, used_by_others.millicores, used.millicores);
            let is_description_new = lease.reported_worker != worker_info || lease.reported_slow != is_slow;
            let has_news = !lease.ends.is_empty() || is_description_new || lease.reported_closed != is_closed;
            if !is_ask_due && !is_capacity_due && !has_news {
                continue;
            }
            let needs_answer = is_ask_due || lease.is_retiring;
            lease.record_report_sent(now, needs_answer);
            let report = RunReport {
                sent_at: Millis(now.as_micros() / 1_000),
                needs_answer,
                entries,
                ends: std::mem::take(&mut lease.ends),
                used,
                used_by_entry: used_by_entry.unwrap_or_default(),
                worker: if lease.reported_worker == worker_info { None } else { worker_info.clone() },
                is_closed,
                plan_version: self.plan.version().0,
                progress: if used_by_entry.is_some() { self.runs.progress_of(*session) } else { Vec::new() },
                speeds: self.speeds.news(&mut lease.reported_speeds),
                slowness_percent,
            };
            lease.reported_worker.clone_from(&worker_info);
            lease.reported_closed = is_closed;
            lease.reported_slow = is_slow;
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
        let dials = self.selection.dialer.due_addresses(self.now, &mut self.rng);
        self.actions.extend(dials.into_iter().map(RunnerAction::Dial));
    }

    /// Adds entries that the platform's store lists.
    pub(super) fn add_entries(&mut self, entries: Vec<EntryRecord>) {
        self.selection.add_entries(entries);
        self.update_selection();
    }

    /// Selects the entries to keep sessions with. A session with an entry that is no longer selected is closed once none of
    /// its runs is left.
    pub(super) fn update_selection(&mut self) {
        self.next_selection_at = self.now + SELECTION_INTERVAL;
        self.selection.update(self.now);
        let mut retired = Vec::new();
        for (session, lease) in &mut self.sessions {
            lease.is_retiring = !self.selection.dialer.is_known(&lease.address);
            // An entry that is selected again while its session is still open must not be dialed.
            self.selection.record_connected(&lease.address);
            let is_idle = lease.ends.is_empty() && !self.runs.iter().any(|(_, record)| record.is_owned_by(*session));
            // The entry has answered the report that the agent is closed. A start that it sent before is usually here by now;
            // the run of one that is not is placed again once the lease of the session has ended.
            if lease.is_retiring && lease.reported_closed && lease.is_answered() && is_idle {
                retired.push((*session, lease.address.clone()));
            }
        }
        for (session, address) in retired {
            self.actions.push(RunnerAction::Close(session));
            self.selection.dialer.record_disconnected(&address, self.now, &mut self.rng);
            self.remove_session(session, "not_selected");
        }
    }
}

/// Returns whether entries should learn at once that other entries' use of a worker has changed from `before` to `after`, while
/// all entries use `used` of its `capacity`, all in millicores.
fn is_significant(capacity: u64, before: u64, after: u64, used: u64) -> bool {
    let scarce = capacity.saturating_mul(SCARCE_PERCENT) / 100;
    let freed = before.saturating_sub(after);
    before != after && (capacity.saturating_sub(used) < scarce.saturating_add(freed) || before.abs_diff(after) >= scarce)
}
