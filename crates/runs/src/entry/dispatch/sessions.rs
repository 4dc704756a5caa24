//! Sessions with agents: reports, orders, the plan and losses.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::RunId;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::{OrderFrame, RunEnd, RunFrame, RunHello, RunOutcome, RunReport};
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_core::units::Millis;

use super::{DispatchAction, DispatchControl};

/// Longest time that the renewal of a session's lease waits for orders to travel with.
const ECHO_DELAY_MAX: Duration = Duration::from_millis(40);

/// Time without a report after which a session is ended; agents do the same without orders.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl DispatchControl {
    pub(super) fn take_frame(&mut self, session: SessionId, frame: RunFrame) {
        match frame {
            RunFrame::Hello(hello) => self.take_hello(session, &hello),
            RunFrame::Report(report) => self.take_report(session, &report),
            RunFrame::Plan(plan) => self.take_plan(&plan, "agent"),
        }
    }

    fn take_hello(&mut self, session: SessionId, hello: &RunHello) {
        let is_restarted = self.board.record_hello(self.now, session, hello);
        self.log(format!(
            "event=agent_found agent={} session={session} restarted={is_restarted} unsettled={} plan_version={}",
            hello.agent,
            hello.unsettled.len(),
            hello.plan_version
        ));
        // What the agent does not list has ended: it stops everything when a session is lost.
        let is_over = |run: &RunId| is_restarted || !hello.unsettled.contains(run);
        let over: Vec<RunId> = self.book.runs_at(&hello.agent).into_iter().filter(is_over).collect();
        over.into_iter().for_each(|run| self.settle_lost(&hello.agent, run));
        if !self.entries.is_empty() {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Entries(self.entries.clone()) });
        }
        self.send_zones(session);
        if hello.plan_version > self.plan.version().0 {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::PlanWanted });
        }
    }

    fn send_zones(&mut self, session: SessionId) {
        let plan = Box::new(self.plan.without_routes());
        self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Plan(plan) });
    }

    /// Gives the routes to the agents that keep them for entries that can't reach the store. They are few: many routes
    /// sent to all agents would fill a slow link for seconds.
    fn send_routes(&mut self, session: SessionId, agent: &AgentId, kept_version: u64) {
        let version = self.plan.version().0;
        let is_sent = self.routes_sent.get(&session).is_some_and(|sent| *sent >= version);
        if kept_version >= version || is_sent || !self.board.is_keeper(agent, &self.options.zone) {
            return;
        }
        self.routes_sent.insert(session, version);
        let plan = Box::new(self.plan.clone());
        self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Plan(plan) });
    }

    fn take_report(&mut self, session: SessionId, report: &RunReport) {
        let Some(agent) = self.board.record_report(self.now, session, report) else {
            return;
        };
        for end in &report.ends {
            self.settle(&agent, end);
        }
        self.record_progress(&agent, &report.progress);
        self.send_routes(session, &agent, report.plan_version);
        self.echoes.entry(session).or_insert(self.now);
    }

    fn settle(&mut self, agent: &AgentId, end: &RunEnd) {
        self.record_end(agent, end);
        let Some(settled) = self.book.settle(self.now, agent, end) else {
            return;
        };
        self.board.release(agent, settled.demand);
        if !end.outcome.has_run() {
            self.board.record_refusal(self.now, agent);
        }
        if end.outcome != RunOutcome::Done {
            self.log(format!("event=run_back run={} agent={agent} outcome={:?} ran_ms={}", end.run, end.outcome, end.ran));
        }
        self.apply(settled.effects);
    }

    fn settle_lost(&mut self, agent: &AgentId, run: RunId) {
        self.settle(agent, &RunEnd { run, outcome: RunOutcome::Lost, ran: Millis(0) });
    }

    pub(super) fn lose_session(&mut self, session: SessionId, cause: &str) {
        self.orders.remove(&session);
        self.echoes.remove(&session);
        self.routes_sent.remove(&session);
        if let Some(agent) = self.board.record_lost(self.now, session) {
            let runs = self.book.runs_at(&agent).len();
            self.log(format!("event=agent_lost agent={agent} session={session} cause={cause} runs={runs}"));
        }
    }

    /// Ends sessions whose agents have been silent for so long that they open others.
    pub(super) fn close_silent_sessions(&mut self) {
        for session in self.board.silent_sessions(self.now, self.resumed_at, SILENCE_TIMEOUT) {
            self.actions.push(DispatchAction::Close(session));
            self.lose_session(session, "silent");
        }
    }

    /// Takes back what was at agents that have been gone for longer than any lease.
    pub(super) fn abandon_dead_agents(&mut self) {
        for agent in self.board.take_dead_agents(self.now, self.resumed_at, self.options.terms.agent_loss_timeout()) {
            for run in self.book.runs_at(&agent) {
                self.settle_lost(&agent, run);
            }
        }
    }

    pub(super) fn take_plan(&mut self, plan: &SitePlan, source: &str) {
        let zones_before = self.plan.zones_out.clone();
        if !self.plan.merge(plan) {
            return;
        }
        let (version, zones, revision) = (self.plan.version(), self.plan.zones_out.len(), self.plan.zones_revision);
        self.log(format!("event=plan_taken source={source} version={version} zones_out={zones} revision={revision}"));
        if zones_before != self.plan.zones_out {
            let sessions: Vec<SessionId> = self.board.workers().filter_map(|room| room.session).collect();
            sessions.into_iter().for_each(|session| self.send_zones(session));
        }
    }

    pub(super) fn take_entries(&mut self, entries: Vec<SmolStr>) {
        if entries == self.entries {
            return;
        }
        self.log(format!("event=entries_read entries={}", entries.len()));
        self.entries = entries;
        let sessions: Vec<SessionId> = self.board.workers().filter_map(|room| room.session).collect();
        for session in sessions {
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Entries(self.entries.clone()) });
        }
    }

    /// Sends the orders, and renews the leases of sessions whose reports have waited long enough.
    pub(super) fn flush_orders(&mut self) {
        let due = self.echoes.iter().filter(|(_, at)| self.now.since(**at) >= ECHO_DELAY_MAX).map(|(session, _)| *session);
        for session in due.collect::<Vec<_>>() {
            self.orders.entry(session).or_default();
        }
        for (session, mut orders) in std::mem::take(&mut self.orders) {
            self.echoes.remove(&session);
            orders.echoed_nonce = self.board.nonce_of(session);
            self.actions.push(DispatchAction::Send { session, frame: OrderFrame::Orders(orders) });
        }
    }
}
