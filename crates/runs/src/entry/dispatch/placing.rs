//! Which waiting task goes to which worker, and which job is given up.

use std::time::Duration;

use vanillacleat_core::caller_job::{CallerJob, CallerJobId, TaskId};
use vanillacleat_core::run_frames::RunStart;
use vanillacleat_core::site_plan::RouteRule;
use vanillacleat_core::units::MonoTime;

use super::DispatchControl;
use crate::entry::job_entry::JobEntry;
use crate::entry::worker_board::RoomRequest;

/// Multiple of the wanted time within which a late answer is still worth something to its caller.
const LATE_FACTOR: u32 = 3;
/// When a caller should come back that was refused for load.
const RETRY_LOAD: Duration = Duration::from_secs(1);

impl DispatchControl {
    /// Returns the time within which a job's answer is wanted: a multiple of its longest chain of steps, and more.
    pub(super) fn find_objective(&self, job: &CallerJob, route: &RouteRule) -> Duration {
        self.expect_chain(job, route) * route.slack_percent / 100 + route.target_latency.to_duration()
    }

    /// Returns the run time to expect of a job's longest chain of steps.
    fn expect_chain(&self, job: &CallerJob, route: &RouteRule) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
        for step in &job.steps {
            let begin = step.after.iter().map(|earlier| ends[usize::from(*earlier)]).max().unwrap_or_default();
            ends.push(begin + self.times.expect(&route.name, step.estimate.to_duration()));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Binds waiting tasks to workers with room, job by job.
    pub(super) fn place(&mut self) {
        for id in self.book.ready_jobs() {
            self.place_job(&id);
        }
    }

    fn place_job(&mut self, id: &CallerJobId) {
        let Some(job) = self.book.get(id).filter(|job| job.is_live()) else {
            return;
        };
        let (payload, route, job_spec) = (job.job.payload.clone(), job.route.clone(), job.job.clone());
        for task in job.ready_tasks() {
            let step = &job_spec.steps[usize::from(task.step)];
            let Some(entry) = self.book.get(id) else {
                return;
            };
            let avoided = &entry.steps[usize::from(task.step)][usize::from(task.index)].avoided;
            let request = RoomRequest {
                service: &route.service,
                demand: &step.demand,
                required_label: step.required_label.as_ref(),
                preferred_rack: step.preferred_rack.as_ref(),
                avoided,
            };
            let last = entry.last_agent.as_ref();
            let chosen = self.board.choose(self.now, &self.options.zone, &self.plan.zones_out, &request, last);
            let Some(agent) = chosen.cloned() else {
                return;
            };
            self.send_start(&task, &agent, step.demand, &payload);
        }
    }

    fn send_start(
        &mut self,
        task: &TaskId,
        agent: &vanillacleat_core::ids::AgentId,
        demand: vanillacleat_core::caller_job::ResourceAmount,
        payload: &smol_str::SmolStr,
    ) {
        let Some(session) = self.board.get(agent).and_then(|room| room.session) else {
            return;
        };
        let Some(run) = self.book.mark_sent(self.now, task, agent) else {
            return;
        };
        self.board.occupy(agent, demand);
        let orders = self.orders.entry(session).or_default();
        if orders.payloads.last() != Some(payload) {
            orders.payloads.push(payload.clone());
        }
        let place = orders.payloads.len() - 1;
        orders.starts.push(RunStart { run, demand, payload: place as u16 });
        self.log(format!("event=run_sent run={run} agent={agent}"));
    }

    /// Refuses waiting jobs that can't end in time any more, and gives up started ones that nobody waits for.
    pub(super) fn give_up_late_jobs(&mut self) {
        let late: Vec<CallerJobId> = self.book.jobs().filter(|job| job.is_live() && self.is_late(job)).map(|job| job.job.id).collect();
        for id in late {
            let Some(job) = self.book.get(&id) else {
                continue;
            };
            let has_started = job.has_run || job.has_sent();
            let waited = self.now.since(job.arrived_at);
            self.log(format!("event=job_late job={id} waited_ms={} started={has_started}", waited.as_millis()));
            let effects = if has_started { self.book.abandon(&id) } else { self.book.refuse(&id, "there is no room in time", RETRY_LOAD) };
            self.apply(effects);
        }
    }

    fn is_late(&self, job: &JobEntry) -> bool {
        if job.has_run || job.has_sent() {
            return self.now >= job.give_up_at;
        }
        self.now + self.expect_chain(&job.job, &job.route) > latest_end(job)
    }
}

/// Returns when an answer is of no use any more.
fn latest_end(job: &JobEntry) -> MonoTime {
    let useful = job.arrived_at + job.wanted_at.since(job.arrived_at) * LATE_FACTOR;
    useful.min(job.give_up_at)
}
