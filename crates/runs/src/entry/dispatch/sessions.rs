//! Sessions with agents: reports, orders, distribution of the plan, and lost sessions.

use std::time::Duration;

use vanillacleat_control::SessionId;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{
    EndEvidence, EndSign, EntryRecord, OrderFrame, OrderedRun, RunEnd, RunFrame, RunHello, RunOutcome, RunReport,
};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::Millis;

use super::{DispatchAction, DispatchControl};
use crate::entry::workers::worker_capacity::WorkerCapacity;
use crate::entry::workers::worker_registry::HelloOutcome;
use crate::log_fields::{format_age, format_list};

/// Maximum delay of the renewal of a session's lease. The delay lets the renewal share a frame with orders.
const ECHO_DELAY_MAX: Duration = Duration::from_millis(40);

/// Time without a report after which a session is closed. Agents without runs of this entry report once a second, and close the
/// session if a report is not answered for a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

impl DispatchControl {
    pub(super) fn handle_frame(&mut self, session: SessionId, frame: RunFrame) {
        match frame {
            RunFrame::Hello(hello) => self.handle_hello(session, &hello),
            RunFrame::Report(report) => self.handle_report(session, &report),
            RunFrame::Plan(plan) => self.handle_plan(&plan, "agent"),
            RunFrame::Crashes(runs) => self.record_crashes(session, &runs),
        }
    }

    fn handle_hello(&mut self, session: SessionId, hello: &RunHello) {
        let contact_age = self.worker_registry.contact_age(self.now, &hello.agent);
        let is_restarted = match self.worker_registry.record_hello(self.now, session, hello) {
            HelloOutcome::Opened => false,
            HelloOutcome::Restarted => true,
            HelloOutcome::Outdated => return self.ignore_hello(session, hello),
        };
        // An agent stops all runs of a lost session, so a run that it no longer lists has ended. A new incarnation of an
        // agent opens its first session only after all earlier runs at its worker have ended.
        let has_ended = |run: &OrderedRun| is_restarted || !hello.unsettled.contains(run);
        let ended_runs: Vec<OrderedRun> = self.job_table.runs_at(&hello.agent).into_iter().filter(has_ended).collect();
        self.log(format!(
            "event=agent_found agent={} session={session} restarted={is_restarted} unsettled={} plan_version={} ended={} contact_age_ms={} \
             unsettled_runs={}",
            hello.agent,
            hello.unsettled.len(),
            hello.plan_version,
            ended_runs.len(),
            format_age(contact_age),
            format_list(hello.unsettled.iter().map(|unsettled| &unsettled.run))
        ));
        let sign = if is_restarted { EndSign::AgentRestarted } else { EndSign::NotUnsettled };
        let evidence = self.agent_evidence(sign, contact_age);
        ended_runs.into_iter().for_each(|run| self.handle_lost_run(&hello.agent, run, evidence));
        if !self.entries.is_empty() {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Entries(self.entries.clone()) });
        }
        self.send_zones(session);
        let known = self.worker_registry.get(&hello.agent).map(WorkerCapacity::known_speeds);
        if let Some(known) = known.filter(|known| is_restarted && !known.routes.is_empty()) {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Speeds(known) });
        }
        if hello.plan_version > self.plan.version().0 {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::PlanRequest });
        }
    }

    /// Closes a session whose hello was delivered after that of a later one. An agent that still holds it opens another.
    fn ignore_hello(&mut self, session: SessionId, hello: &RunHello) {
        self.outdated_hellos += 1;
        let last = self.worker_registry.get(&hello.agent).map(|worker| worker.session_order).unwrap_or_default();
        self.log(format!(
            "event=hello_outdated agent={} session={session} order={} last_order={last} unsettled={}",
            hello.agent,
            hello.order,
            hello.unsettled.len()
        ));
        self.actions.push(DispatchAction::Close(session));
    }

    /// Sends the plan without its routes: the zones that are out of service.
    fn send_zones(&mut self, session: SessionId) {
        let plan = Box::new(self.plan.without_routes());
        self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Plan(plan) });
    }

    /// Sends the routes to an agent that keeps a copy of them, if its copy is older. Entries that can't reach the
    /// platform's store request the routes from such an agent. Only a few agents keep a copy, because a long list of routes
    /// that is sent to all agents would saturate a slow link for seconds.
    fn send_routes(&mut self, session: SessionId, agent: &AgentId, stored_version: u64) {
        let version = self.plan.version().0;
        let is_sent = self.sent_route_versions.get(&session).is_some_and(|sent| *sent >= version);
        if stored_version >= version || is_sent || !self.worker_registry.stores_routes(agent, &self.options.zone) {
            return;
        }
        self.sent_route_versions.insert(session, version);
        let plan = Box::new(self.plan.clone());
        self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Plan(plan) });
    }

    fn handle_report(&mut self, session: SessionId, report: &RunReport) {
        let Some(agent) = self.worker_registry.record_report(self.now, session, report) else {
            if !report.ends.is_empty() {
                let runs = format_list(report.ends.iter().map(|end| end.run));
                self.log(format!("event=report_ignored session={session} ends={} runs={runs}", report.ends.len()));
            }
            return;
        };
        for end in &report.ends {
            self.handle_run_end(&agent, end);
        }
        self.record_progress(&agent, &report.progress);
        self.send_routes(session, &agent, report.plan_version);
        if report.needs_answer {
            self.pending_echoes.entry(session).or_insert(self.now);
        }
    }

    fn handle_run_end(&mut self, agent: &AgentId, end: &RunEnd) {
        self.record_run_performance(agent, end);
        let Some(ended) = self.job_table.record_run_end(self.now, agent, end) else {
            return self.log_stale_end(agent, end);
        };
        self.worker_registry.release(agent, ended.demand);
        if !end.outcome.has_run() {
            self.worker_registry.record_rejection(self.now, agent);
        }
        if end.outcome != RunOutcome::Done {
            let RunEnd { run, outcome, ran, evidence, .. } = end;
            self.log(format!("event=run_back run={run} agent={agent} outcome={outcome:?} ran_ms={ran} {evidence}"));
        }
        self.apply_effects(ended.effects);
    }

    /// Logs the end of a run that is not at the agent any more as far as this entry knows.
    fn log_stale_end(&mut self, agent: &AgentId, end: &RunEnd) {
        let RunEnd { run, order, outcome, ran, evidence } = end;
        let expected = match self.job_table.last_run(&run.task) {
            None => "none".to_owned(),
            Some((number, None)) => format!("{number}@none"),
            Some((number, Some(sent_to))) => format!("{number}@{sent_to}"),
        };
        self.log(format!(
            "event=run_back run={run} agent={agent} outcome={outcome:?} ran_ms={ran} {evidence} stale=true order={order} expected={expected}"
        ));
    }

    fn handle_lost_run(&mut self, agent: &AgentId, lost: OrderedRun, evidence: EndEvidence) {
        let OrderedRun { run, order } = lost;
        self.handle_run_end(agent, &RunEnd { run, order, outcome: RunOutcome::Lost, ran: Millis(0), evidence });
    }

    /// Returns the evidence for the ends of the runs of an agent with which the last contact was `contact_age` ago.
    fn agent_evidence(&self, sign: EndSign, contact_age: Option<Duration>) -> EndEvidence {
        let loss_timeout = self.options.lease_terms.agent_loss_timeout();
        let lease_left = loss_timeout.saturating_sub(contact_age.unwrap_or(loss_timeout));
        EndEvidence { sign, age: contact_age.map(Millis::from_duration), lease_left: Millis::from_duration(lease_left) }
    }

    pub(super) fn handle_lost_session(&mut self, session: SessionId, cause: &str) {
        self.pending_orders.remove(&session);
        self.pending_echoes.remove(&session);
        self.sent_route_versions.remove(&session);
        if let Some(agent) = self.worker_registry.record_lost_session(self.now, session) {
            let runs = self.job_table.runs_at(&agent).len();
            let contact_age = self.worker_registry.contact_age(self.now, &agent).unwrap_or_default().as_millis();
            self.log(format!("event=agent_lost agent={agent} session={session} cause={cause} runs={runs} contact_age_ms={contact_age}"));
        }
    }

    /// Closes sessions without a report for [`SILENCE_TIMEOUT`]. Their agents close them as well and open new ones.
    pub(super) fn close_silent_sessions(&mut self) {
        for session in self.worker_registry.silent_sessions(self.now, self.resumed_at, SILENCE_TIMEOUT) {
            self.actions.push(DispatchAction::Close(session));
            self.handle_lost_session(session, "silent");
        }
    }

    /// Records the runs at silent agents as lost, once every lease under which they could still run has ended.
    pub(super) fn expire_agents(&mut self) {
        for agent in self.worker_registry.expire_agents(self.now, self.resumed_at, self.options.lease_terms.agent_loss_timeout()) {
            let runs = self.job_table.runs_at(&agent);
            let contact_age = self.worker_registry.contact_age(self.now, &agent);
            let is_connected = self.worker_registry.get(&agent).is_some_and(|worker| worker.session.is_some());
            let evidence = self.agent_evidence(EndSign::AgentExpired, contact_age);
            self.log(format!(
                "event=agent_expired agent={agent} runs={} connected={is_connected} contact_age_ms={} resumed_age_ms={}",
                runs.len(),
                contact_age.unwrap_or_default().as_millis(),
                self.now.since(self.resumed_at).as_millis()
            ));
            for run in runs {
                self.handle_lost_run(&agent, run, evidence);
            }
        }
    }

    /// Merges a plan that was read or received. If this changes the zones that are out of service, sends them to all
    /// connected agents.
    pub(super) fn handle_plan(&mut self, plan: &SitePlan, source: &str) {
        let zones_before = self.plan.zones_out.clone();
        if !self.plan.merge(plan) {
            return;
        }
        let (version, zones, revision) = (self.plan.version(), self.plan.zones_out.len(), self.plan.zones_revision);
        self.log(format!("event=plan_taken source={source} version={version} zones_out={zones} revision={revision}"));
        if zones_before != self.plan.zones_out {
            let sessions: Vec<SessionId> = self.worker_registry.workers().filter_map(|worker| worker.session).collect();
            sessions.into_iter().for_each(|session| self.send_zones(session));
        }
    }

    pub(super) fn handle_entries(&mut self, entries: Vec<EntryRecord>) {
        // Also if nothing has changed: an address that could not be dialed for minutes is dialed again.
        self.record_listed_peers(&entries);
        if entries == self.entries {
            return;
        }
        self.log(format!("event=entries_read entries={}", entries.len()));
        self.entries = entries;
        let sessions: Vec<SessionId> = self.worker_registry.workers().filter_map(|worker| worker.session).collect();
        for session in sessions {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Entries(self.entries.clone()) });
        }
    }

    /// Sends all pending orders. Each frame also renews the lease of its session. A session without orders gets an empty
    /// frame once a report has waited for [`ECHO_DELAY_MAX`].
    pub(super) fn flush_orders(&mut self) {
        let due = self.pending_echoes.iter().filter(|(_, at)| self.now.since(**at) >= ECHO_DELAY_MAX).map(|(session, _)| *session);
        for session in due.collect::<Vec<_>>() {
            self.pending_orders.entry(session).or_default();
        }
        for (session, mut orders) in std::mem::take(&mut self.pending_orders) {
            self.pending_echoes.remove(&session);
            orders.leased_from = self.worker_registry.lease_start(session);
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Orders(orders) });
        }
    }
}
