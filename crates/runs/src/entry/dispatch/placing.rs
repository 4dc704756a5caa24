//! Which waiting task goes to which worker, and which job is given up.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::{CallerJob, CallerJobId, ResourceAmount, TaskId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::RunStart;
use vanillacleat_core::site_plan::RouteRule;

use super::DispatchControl;
use crate::entry::job_entry::JobEntry;
use crate::entry::job_order::{core_share, job_age, queue_wait, resubmit_delay, JobTimes};
use crate::entry::worker_registry::CapacityRequest;

impl DispatchControl {
    /// Returns the moments that decide a job's place. Its answer is wanted within a multiple of its longest chain of
    /// steps, and a fixed time more.
    pub(super) fn find_times(&self, job: &CallerJob, route: &RouteRule, caller: Option<Duration>) -> JobTimes {
        let expected = self.expect_chain(job, route);
        let objective = expected * route.slack_percent / 100 + route.target_latency.to_duration();
        let timeout = route.timeout.to_duration();
        // The route's timeout bounds the wait for a start; how long the answer may take is the caller's to say.
        let patience = caller.unwrap_or(timeout + objective);
        let age = job_age(patience, timeout, self.options.resubmit_after);
        let asked_at = self.now.before(age);
        JobTimes { asked_at, target_at: asked_at + objective, abandon_at: self.now + patience, expected }
    }

    /// Returns the run time to expect of a job's longest chain of steps.
    pub(super) fn expect_chain(&self, job: &CallerJob, route: &RouteRule) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
        for step in &job.steps {
            let begin = step.after.iter().map(|earlier| ends[usize::from(*earlier)]).max().unwrap_or_default();
            ends.push(begin + self.times.expect(&route.name, step.estimate.to_duration()));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Binds waiting tasks to workers with room, job by job.
    pub(super) fn place(&mut self) {
        if !self.board.has_room(self.now) {
            return;
        }
        for id in self.book.ready_jobs(self.now) {
            self.place_job(&id);
        }
    }

    fn place_job(&mut self, id: &CallerJobId) {
        let Some(job) = self.book.get(id).filter(|job| job.is_live()) else {
            return;
        };
        let (payload, route, job_spec) = (job.job.payload.clone(), job.route.clone(), job.job.clone());
        let workers = self.board.count_serving(&route.service);
        for task in job.ready_tasks() {
            let step = &job_spec.steps[usize::from(task.step)];
            let Some(entry) = self.book.get(id) else {
                return;
            };
            let excluded = entry.excluded_agents(&task, workers);
            let request = CapacityRequest {
                service: &route.service,
                demand: &step.demand,
                required_label: step.required_label.as_ref(),
                preferred_rack: step.preferred_rack.as_ref(),
                excluded: &excluded,
            };
            let last = entry.last_agent.as_ref();
            let chosen = self.board.choose(self.now, &self.options.zone, &self.plan.zones_out, &request, last);
            let Some(agent) = chosen.cloned() else {
                return;
            };
            self.send_start(&task, &agent, step.demand, &payload);
        }
    }

    fn send_start(&mut self, task: &TaskId, agent: &AgentId, demand: ResourceAmount, payload: &SmolStr) {
        let Some(session) = self.board.get(agent).and_then(|room| room.session) else {
            return;
        };
        let Some(run) = self.book.mark_sent(task, agent) else {
            return;
        };
        self.board.reserve(agent, demand);
        let orders = self.orders.entry(session).or_default();
        if orders.payloads.last() != Some(payload) {
            orders.payloads.push(payload.clone());
        }
        let place = orders.payloads.len() - 1;
        orders.starts.push(RunStart { run, demand, payload: place as u16 });
        self.log(format!("event=run_sent run={run} agent={agent}"));
    }

    /// Refuses waiting jobs that can't end in time any more, and gives up started ones that nobody waits for.
    pub(super) fn abandon_late_jobs(&mut self) {
        let late: Vec<CallerJobId> = self.book.jobs().filter(|job| job.is_live() && self.is_hopeless(job)).map(|job| job.job.id).collect();
        for id in late {
            let Some(job) = self.book.get(&id) else {
                continue;
            };
            let has_started = job.has_run || job.has_sent();
            let waited = self.now.since(job.arrived_at);
            let retry_after = resubmit_delay(self.find_delay(&job.times, &job.route), id);
            self.log(format!("event=job_late job={id} waited_ms={} started={has_started}", waited.as_millis()));
            let effects =
                if has_started { self.book.wind_down(&id) } else { self.book.refuse(&id, "there is no room in time", retry_after) };
            self.apply(effects);
        }
    }

    fn is_hopeless(&self, job: &JobEntry) -> bool {
        if job.has_run || job.has_sent() {
            return self.now >= job.times.abandon_at;
        }
        job.times.is_too_late(self.now, Duration::ZERO)
    }

    /// Returns the time until a job with these times would start behind what waits already, if it is placed by rank;
    /// nothing while work waits and no worker is known.
    pub(super) fn find_delay(&self, times: &JobTimes, route: &RouteRule) -> Option<Duration> {
        let queued = self.book.work_before(self.now, times.rank(self.now, route.priority));
        let cores = self.board.capacity_of(self.now, &route.service, &self.plan.zones_out);
        queue_wait(queued, core_share(cores, self.entries.len(), self.board.taken_of(&route.service)))
    }
}
