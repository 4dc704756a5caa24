//! Tasks that crash their workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::ServiceName;
use vanillacleat_core::run_frames::{CrashStage, CrashedRun};
use vanillacleat_core::site_plan::RouteRule;

use super::DispatchControl;
use crate::entry::workers::crash_log::CrashVerdict;
use crate::entry::workers::quarantine::ConfinementChange;
use crate::log_fields::format_list;

/// Maximum number of crashed runs that are read from one frame.
const CRASHED_RUNS_MAX: usize = 256;
/// Interval at which the workers that are left to confined routes are chosen again, since workers come and go.
const QUARANTINE_INTERVAL: Duration = Duration::from_millis(250);

impl DispatchControl {
    /// Records the runs that an agent's worker was running when it crashed, and gives up the jobs of tasks that have crashed too many.
    pub(super) fn record_crashes(&mut self, session: SessionId, runs: &[CrashedRun]) {
        let Some(agent) = self.worker_registry.agent_of(session).cloned() else {
            return self.log(format!("event=crashes_ignored session={session} runs={}", runs.len()));
        };
        for run in runs.iter().take(CRASHED_RUNS_MAX) {
            let Some(verdict) = self.crash_log.record(self.now, &agent, run) else {
                continue;
            };
            let is_open = self.job_table.get(&run.task.job).is_some();
            if is_open || verdict == CrashVerdict::Deadly {
                self.log(format!(
                    "event=task_crashed task={} agent={agent} born={} stage={:?} verdict={verdict:?} open={is_open}",
                    run.task, run.born, run.stage
                ));
            }
            if run.stage == CrashStage::Starting && !run.route.is_empty() {
                let deadly_job = (verdict == CrashVerdict::Deadly).then_some(run.task.job);
                self.worker_registry.quarantine_mut().record_crash(self.now, (&agent, run.born), &run.route, deadly_job);
            }
            if verdict == CrashVerdict::Deadly {
                let effects = self.job_table.fail(self.now, &run.task.job);
                self.apply_effects(effects);
            }
        }
    }

    /// Confines and releases routes, and chooses the workers that are left to the confined ones.
    pub(super) fn update_quarantine(&mut self) {
        if self.worker_registry.quarantine().is_empty() {
            return;
        }
        let counts = self.count_route_workers();
        let count = |route: &SmolStr| counts.get(route).copied().unwrap_or_default();
        let changes = self.worker_registry.quarantine_mut().update(self.now, count);
        let has_changed = !changes.is_empty();
        let is_due = self.worker_registry.quarantine().is_active() && self.now.since(self.quarantine_updated_at) >= QUARANTINE_INTERVAL;
        if has_changed || is_due {
            self.quarantine_updated_at = self.now;
            let confined: BTreeSet<&SmolStr> = self.worker_registry.quarantine().confined_routes().collect();
            let rules = self.plan.table.iter().flat_map(|table| &table.routes).filter(|rule| confined.contains(&rule.name));
            let services: BTreeSet<ServiceName> = rules.map(|rule| rule.service.clone()).collect();
            self.worker_registry.update_quarantine(services, &self.plan.zones_out);
        }
        for ConfinementChange { route, is_confined, jobs, workers: crashed } in changes {
            let rule = self.plan.table.iter().flat_map(|table| &table.routes).find(|rule| rule.name == route);
            let workers = rule.and_then(|rule| self.worker_registry.quarantine().workers(&rule.service));
            let agents = format_list(workers.into_iter().flatten());
            self.log(format!(
                "event=route_confined route={route} confined={is_confined} deadly_jobs={jobs} crashed_workers={crashed} agents={agents}"
            ));
        }
    }

    /// Returns the numbers of workers that serve the routes whose tasks have crashed some.
    fn count_route_workers(&self) -> BTreeMap<SmolStr, usize> {
        let rules = self.plan.table.iter().flat_map(|table| &table.routes);
        let crashing = rules.filter(|rule| self.worker_registry.quarantine().has_crashes(&rule.name));
        let count = |rule: &RouteRule| self.worker_registry.known_agents(&rule.service, &self.plan.zones_out).count();
        crashing.map(|rule| (rule.name.clone(), count(rule))).collect()
    }

    /// Returns the number of tasks that are not started again because workers have crashed under them.
    pub fn deadly_tasks(&self) -> u64 {
        self.crash_log.deadly_count()
    }

    /// Returns the number of routes whose tasks run on a part of the workers only, because they crash them.
    pub fn confined_routes(&self) -> usize {
        self.worker_registry.quarantine().confined_routes().count()
    }
}
