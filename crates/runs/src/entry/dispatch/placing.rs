//! Placement of waiting tasks on workers, and expiry of jobs that can't end in time to be useful to their callers.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{CallerJob, CallerJobId, JobStep, ResourceAmount, RunId, TaskId};
use vanillacleat_core::ids::{AgentId, ServiceName};
use vanillacleat_core::run_frames::{OrderId, RunStart};
use vanillacleat_core::site_plan::RouteRule;

use super::{DispatchAction, DispatchControl, Measurement};
use crate::entry::jobs::open_job::{FormerRun, OpenJob};
use crate::entry::order::job_order::{job_age, queue_wait, resubmit_delay, JobTimes};
use crate::entry::order::room_claim::RoomClaim;
use crate::entry::workers::quarantine::WorkerPool;
use crate::entry::workers::worker_registry::CapacityRequest;
use crate::entry::workers::worker_speeds::TaskTiming;

/// Maximum number of requests that are remembered as unmet. They differ in service, demand and label, of which a site has few.
const UNMET_REQUESTS_MAX: usize = 16;

/// The requests for which no worker was found since the placement of all ready jobs began. Free capacity only shrinks until it ends,
/// so that a request that needs at least as much finds none either.
#[derive(Debug, Default)]
struct UnmetRequests {
    requests: Vec<UnmetRequest>,
}

/// What a worker would have needed for a request without excluded agents.
#[derive(Debug)]
struct UnmetRequest {
    service: ServiceName,
    demand: ResourceAmount,
    required_label: Option<SmolStr>,
    claim: RoomClaim,
    pool: WorkerPool,
}

impl UnmetRequests {
    fn record(&mut self, request: &CapacityRequest<'_>) {
        if request.excluded.is_empty() && self.requests.len() < UNMET_REQUESTS_MAX {
            self.requests.push(UnmetRequest {
                service: request.service.clone(),
                demand: *request.demand,
                required_label: request.required_label.cloned(),
                claim: request.claim,
                pool: request.pool,
            });
        }
    }

    /// Returns whether a request was unmet that any worker for `request` would have met.
    fn covers(&self, request: &CapacityRequest<'_>) -> bool {
        let is_covering = |unmet: &UnmetRequest| {
            let has_label = unmet.required_label.is_none() || unmet.required_label.as_ref() == request.required_label;
            let has_pool = unmet.pool == request.pool || unmet.pool == WorkerPool::All;
            has_pool && unmet.service == *request.service && unmet.demand.fits(request.demand) && has_label && unmet.claim <= request.claim
        };
        self.requests.iter().any(is_covering)
    }
}

impl DispatchControl {
    /// Returns the times that decide a job's rank. The time until the answer is due is the run time of the job's critical
    /// path on a typical worker, multiplied by the route's slack factor, plus the route's target latency. The job is
    /// expected to run on quick workers, where it has the best prospect to meet it.
    pub(super) fn job_times(&self, job: &CallerJob, route: &RouteRule, caller_timeout: Option<Duration>) -> JobTimes {
        let index = self.worker_registry.speed_table().index(&route.name);
        let ratios =
            index.map(|index| (self.worker_registry.speed_table().typical(index), self.worker_registry.speed_table().quick(index)));
        let (typical, quick) = ratios.unwrap_or((1.0, 1.0));
        let estimate = critical_path_estimate(job);
        let expected = estimate.mul_f64(quick);
        let latency_target = estimate.mul_f64(typical) * route.slack_percent / 100 + route.target_latency.to_duration();
        let timeout = route.timeout.to_duration();
        // The route's timeout limits only the wait for the start. A caller that sets no timeout of its own is therefore
        // assumed to wait longer, by the time within which the answer is due.
        let caller_timeout = caller_timeout.unwrap_or(timeout + latency_target);
        let age = job_age(caller_timeout, timeout, self.options.resubmit_after);
        let submitted_at = self.now.before(age);
        JobTimes { submitted_at, target_at: submitted_at + latency_target, abandon_at: self.now + caller_timeout, expected }
    }

    /// Sends waiting tasks to workers with free capacity, in the order of their jobs' ranks. An entry that is behind sends
    /// none: it could not follow their runs. Neither does one that has resumed and does not know yet which callers still wait.
    pub(super) fn place_ready_tasks(&mut self) {
        let is_held = self.load.is_strained() || self.resume_barrier.is_raised();
        if is_held || !self.job_table.has_ready() || !self.worker_registry.has_free_capacity(self.now) {
            return;
        }
        let mut unmet = UnmetRequests::default();
        for id in self.job_table.ready_jobs(self.now) {
            if !self.job_homes.is_unconfirmed(&id) {
                self.place_job(&id, &mut unmet);
            }
        }
    }

    fn place_job(&mut self, id: &CallerJobId, unmet: &mut UnmetRequests) {
        let Some(job) = self.job_table.get(id).filter(|job| job.is_active()) else {
            return;
        };
        let (payload, route, job_spec) = (job.job.payload.clone(), job.route.clone(), job.job.clone());
        let claim = self.room_claim(job);
        let ready: Vec<TaskId> = job.ready_tasks().collect();
        for task in ready {
            let step = &job_spec.steps[usize::from(task.step)];
            let Some(job) = self.job_table.get(id) else {
                return;
            };
            let mut request = CapacityRequest {
                service: &route.service,
                demand: &step.demand,
                required_label: step.required_label.as_ref(),
                preferred_rack: step.preferred_rack.as_ref(),
                excluded: &[],
                claim,
                pool: self.worker_registry.quarantine().pool(&route.service, &route.name),
                timing: self.task_timing(job, step),
            };
            if unmet.covers(&request) {
                return;
            }
            let excluded = job.excluded_agents(&task, || self.worker_registry.connected_count(&route.service));
            request.excluded = &excluded;
            let last = job.last_agent.as_ref();
            let chosen = self.worker_registry.choose_worker(self.now, &self.options.zone, &self.plan.zones_out, &request, last);
            let Some(agent) = chosen.cloned() else {
                return unmet.record(&request);
            };
            self.send_start(&task, &agent, step, &payload);
        }
    }

    /// Returns the claim of a job's waiting tasks on the workers' free capacity. The rest of a job that has begun has the strongest, since
    /// the work that is done would be lost.
    fn room_claim(&self, job: &OpenJob) -> RoomClaim {
        if job.has_begun() {
            return RoomClaim::Urgent;
        }
        if job.times.is_late(self.now) {
            return RoomClaim::Late;
        }
        let is_urgent = self.urgency_record.is_most_urgent(self.now, &job.route.service, job.route.priority);
        if is_urgent {
            RoomClaim::Urgent
        } else {
            RoomClaim::Ordinary
        }
    }

    /// Returns the time that a task of a step has: until its job's target, less what has to follow it at least.
    fn task_timing(&self, job: &OpenJob, step: &JobStep) -> Option<TaskTiming> {
        let speed_table = self.worker_registry.speed_table();
        let route = speed_table.index(&job.route.name)?;
        let estimate = step.estimate.to_duration();
        let others = job.times.expected.saturating_sub(estimate.mul_f64(speed_table.quick(route)));
        Some(TaskTiming { route, estimate, due_at: job.times.target_at.before(others) })
    }

    fn send_start(&mut self, task: &TaskId, agent: &AgentId, step: &JobStep, payload: &SmolStr) {
        let Some(session) = self.worker_registry.get(agent).and_then(|worker| worker.session) else {
            return;
        };
        let (demand, estimate) = (step.demand, step.estimate);
        let Some((arrived_at, route, is_first)) = self.job_table.get(&task.job).map(|job| {
            let is_first = !job.has_begun();
            (job.arrived_at, job.route.clone(), is_first)
        }) else {
            return;
        };
        let order = OrderId { entry: self.options.incarnation, number: self.last_order + 1 };
        let Some(run) = self.job_table.mark_sent(self.now, task, agent, order) else {
            return;
        };
        self.last_order = order.number;
        if is_first {
            let measurement = Measurement::Placed { priority: route.priority, after: self.now.since(arrived_at) };
            self.actions.push(DispatchAction::Measured(measurement));
        }
        let is_idle = self.worker_registry.get(agent).is_some_and(|worker| worker.runs == 0);
        self.worker_registry.reserve(self.now, agent, demand);
        let orders = self.pending_orders.entry(session).or_default();
        if orders.payloads.last() != Some(payload) {
            orders.payloads.push(payload.clone());
        }
        let index = orders.payloads.len() - 1;
        if orders.routes.last() != Some(&route.name) {
            orders.routes.push(route.name.clone());
        }
        let route = (orders.routes.len() - 1) as u16;
        orders.starts.push(RunStart { run, order, demand, payload: index as u16, route, estimate });
        self.log_start(&run, agent, session, is_idle);
    }

    /// Logs a start with what its lease rests on and, if it is not the task's first, how the former run ended. Counts the
    /// latter.
    fn log_start(&mut self, run: &RunId, agent: &AgentId, session: SessionId, is_idle: bool) {
        let report_age = self.worker_registry.get(agent).map_or(Duration::ZERO, |worker| self.now.since(worker.last_received_at));
        let former = self.job_table.get(&run.task.job).and_then(|job| job.former_run(&run.task)).copied();
        let former_fields = former.map(|FormerRun { outcome, evidence, ended_at }| {
            self.actions.push(DispatchAction::Measured(Measurement::PlacedAgain { outcome, sign: evidence.sign }));
            format!(" after={outcome:?} ended_ms={} {evidence}", self.now.since(ended_at).as_millis())
        });
        self.log(format!(
            "event=run_sent run={run} agent={agent} report_age_ms={} leased_from_ms={} idle={is_idle}{}",
            report_age.as_millis(),
            self.worker_registry.lease_start(session),
            former_fields.unwrap_or_default()
        ));
    }

    /// Refuses waiting jobs that can no longer end early enough. Abandons started jobs whose callers have timed out.
    pub(super) fn expire_late_jobs(&mut self) {
        let late: Vec<CallerJobId> =
            self.job_table.jobs().filter(|job| job.is_active() && self.is_expired(job)).map(|job| job.job.id).collect();
        for id in late {
            let Some(job) = self.job_table.get(&id) else {
                continue;
            };
            let has_started = job.has_begun();
            let waited = self.now.since(job.arrived_at);
            let retry_after = resubmit_delay(self.start_delay(&job.times, &job.route), id);
            self.log(format!("event=job_late job={id} waited_ms={} started={has_started}", waited.as_millis()));
            let effects = if has_started {
                self.job_table.stop_job(&id)
            } else {
                self.job_table.refuse(&id, "there is no room in time", retry_after)
            };
            self.apply_effects(effects);
        }
    }

    /// Returns whether a job has expired. A started job expires when its caller times out. A waiting job expires when it
    /// can no longer end early enough to be useful to its caller.
    fn is_expired(&self, job: &OpenJob) -> bool {
        if job.has_begun() {
            return self.now >= job.times.abandon_at;
        }
        job.times.is_too_late(self.now, Duration::ZERO)
    }

    /// Returns the estimated time until a job with these times would start, after all waiting work that is placed before
    /// it. Returns `None` if there is such work and the service has no healthy worker and no run of this entry.
    pub(super) fn start_delay(&self, times: &JobTimes, route: &RouteRule) -> Option<Duration> {
        let quarantine = self.worker_registry.quarantine();
        let pool_of = |route: &RouteRule| quarantine.pool(&route.service, &route.name);
        let pool = pool_of(route);
        let queued = self.job_table.work_ahead(self.now, times.rank(self.now, route.priority), |job| pool_of(&job.route) == pool);
        queue_wait(queued, self.worker_registry.expected_cores(self.now, &route.service, &self.plan.zones_out, Some(&route.name)))
    }
}

/// Returns the estimated run time of a job's critical path, the longest chain of steps that depend on each other.
fn critical_path_estimate(job: &CallerJob) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let begin = step.after.iter().map(|earlier| ends[usize::from(*earlier)]).max().unwrap_or_default();
        ends.push(begin + step.estimate.to_duration());
    }
    ends.into_iter().max().unwrap_or_default()
}
