//! Callers' requests: submission, queries and cancellation of jobs, and the answers.

use std::sync::Arc;
use std::time::Duration;

use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJob, CallerJobId};
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::site_plan::RouteRule;

use super::{DispatchAction, DispatchControl, Measurement};
use crate::entry::caller_api::{parse_target, CallerAnswer, CallerRequest, JobDraft, JobPhase, PathTarget, RequestKind};
use crate::entry::jobs::job_table::JobEffect;
use crate::entry::jobs::open_job::OpenJob;
use crate::entry::order::job_order::{resubmit_delay, JobTimes};
use crate::entry::workers::crash_log::CrashVerdict;
use crate::log_fields::format_list;

/// Delay after which a caller should retry if the entry has no configuration yet or is about to exit.
const RETRY_AFTER_UNREADY: Duration = Duration::from_secs(1);
/// Delay after which a caller should retry if entries don't support the kind of job that it submitted.
const RETRY_AFTER_UNSUPPORTED: Duration = Duration::from_secs(60);

impl DispatchControl {
    pub(super) fn handle_request(&mut self, reply: ReplyId, request: CallerRequest) {
        let Some(table) = self.plan.table.clone() else {
            return self.refuse(reply, "no configuration has been read yet", RETRY_AFTER_UNREADY);
        };
        let Some((route, rest)) = table.find(&request.host, &request.path) else {
            self.log(format!("event=request_unrouted host={} path={} version={}", request.host, request.path, table.version));
            return self.reply(reply, CallerAnswer::NoRoute);
        };
        match (request.kind, parse_target(rest)) {
            (RequestKind::Submit(draft), PathTarget::Job(id)) => self.handle_submission(reply, id, route, draft, request.caller_timeout),
            (RequestKind::Query, PathTarget::Queue) => self.answer_queue_query(reply, route),
            (RequestKind::Query, PathTarget::Job(id)) => self.answer_job_query(reply, &id),
            (RequestKind::Cancel, PathTarget::Job(id)) => self.cancel_job(reply, &id),
            (RequestKind::Submit(_), _) => {
                self.reply(reply, CallerAnswer::Malformed("the path names no job: 16 hexadecimal digits".into()))
            }
            (_, _) => self.reply(reply, CallerAnswer::UnknownJob),
        }
    }

    fn handle_submission(
        &mut self,
        reply: ReplyId,
        id: CallerJobId,
        route: &Arc<RouteRule>,
        draft: JobDraft,
        caller_timeout: Option<Duration>,
    ) {
        if let Some(phase) = self.job_table.final_phase(&id) {
            self.log(format!("event=job_repeated job={id} verdict={phase:?}"));
            return self.reply(reply, CallerAnswer::Ended(phase));
        }
        if self.join_claim(reply, &id, caller_timeout) {
            return;
        }
        let open_job = self.job_table.get(&id);
        if open_job.is_some_and(|job| job.is_given_up) {
            return self.reply(reply, CallerAnswer::Abandoned("the job was given up to another entry"));
        }
        let is_open = open_job.is_some();
        if !is_open && (self.refuses_new_jobs() || self.load.is_strained()) {
            return self.refuse_submission(reply, id, self.must_ask(&id, route, caller_timeout));
        }
        if let Some(unsupported) = draft.unsupported {
            self.log(format!("event=job_refused job={id} reason={unsupported:?}"));
            return self.refuse(reply, unsupported, RETRY_AFTER_UNSUPPORTED);
        }
        if draft.is_durable {
            self.log(format!("event=job_refused job={id} reason=durable"));
            return self.refuse(reply, "jobs that must be kept are not accepted here", RETRY_AFTER_UNSUPPORTED);
        }
        let job = CallerJob { id, payload: draft.payload, steps: draft.steps };
        if let Some(problem) = job.validation_error() {
            return self.reply(reply, CallerAnswer::Malformed(problem.into()));
        }
        self.worker_registry.add_route(&route.name, |route| self.route_times.ratio(route));
        let times = self.job_times(&job, route, caller_timeout);
        if !is_open && self.must_ask(&id, route, caller_timeout) {
            return self.ask_peers(reply, Arc::new(job), route, times.abandon_at);
        }
        self.admit_job(reply, Arc::new(job), route, times);
    }

    /// Refuses a submission because this entry is about to exit or is behind. A job that may run at another entry is not refused: that would
    /// say that it has not run.
    fn refuse_submission(&mut self, reply: ReplyId, id: CallerJobId, may_run_elsewhere: bool) {
        let is_leaving = self.refuses_new_jobs();
        let reason = if is_leaving { "leaving" } else { "strained" };
        self.log(format!("event=job_refused job={id} reason={reason} may_run_elsewhere={may_run_elsewhere}"));
        if may_run_elsewhere {
            self.reply(reply, CallerAnswer::Abandoned("the entry can't ask whether the job runs"));
        } else if is_leaving {
            self.refuse(reply, "the entry is leaving", RETRY_AFTER_UNREADY);
        } else {
            self.refuse(reply, "the entry is overloaded", resubmit_delay(None, id));
        }
    }

    /// Admits a job whose home is here, unless it can't start in time.
    pub(super) fn admit_job(&mut self, reply: ReplyId, job: Arc<CallerJob>, route: &Arc<RouteRule>, times: JobTimes) {
        let id = job.id;
        if self.crash_log.job_verdict(id) == CrashVerdict::Deadly {
            self.log(format!("event=job_failed job={id} cause=deadly"));
            return self.reply(reply, CallerAnswer::Ended(JobPhase::Failed));
        }
        let delay = self.start_delay(&times, route);
        let is_open = self.job_table.get(&id).is_some();
        let delay_ms = delay.map_or_else(|| "unknown".to_owned(), |delay| delay.as_millis().to_string());
        let is_too_late = delay.is_none_or(|delay| !delay.is_zero() && times.is_too_late(self.now, delay));
        if !is_open && is_too_late {
            self.log(format!("event=job_refused job={id} reason=load delay_ms={delay_ms}"));
            return self.refuse(reply, "there is no room in time", resubmit_delay(delay, id));
        }
        self.urgency_record.record(self.now, &route.service, route.priority);
        let open_job = OpenJob::new(job, route.clone(), self.now, times);
        self.log(format!(
            "event=job_admitted job={id} route={} version={} tasks={} age_ms={} wanted_ms={} patience_ms={} delay_ms={delay_ms}",
            route.name,
            self.plan.version(),
            open_job.steps.iter().map(Vec::len).sum::<usize>(),
            self.now.since(times.submitted_at).as_millis(),
            times.target_at.since(times.submitted_at).as_millis(),
            times.abandon_at.since(self.now).as_millis()
        ));
        self.job_table.submit(open_job, reply);
    }

    /// Removes a caller that disconnected before it was answered, and stops its job if no other caller waits for it.
    pub(super) fn handle_disconnected_caller(&mut self, reply: ReplyId) {
        if self.withdraw_claimant(reply) {
            return;
        }
        let Some(id) = self.job_table.awaited_job(reply) else {
            return;
        };
        let effects = self.job_table.remove_waiter(reply);
        let waiters = self.job_table.get(&id).map_or(0, |job| job.waiters.len());
        let stops = effects.iter().filter_map(|effect| match effect {
            JobEffect::Stop { agent, run } => Some((agent, run)),
            JobEffect::Answer { .. } => None,
        });
        // No stop is sent to an agent without a session: it stops the runs of a lost session by itself.
        let is_reachable = |agent: &AgentId| self.worker_registry.get(agent).is_some_and(|worker| worker.session.is_some());
        let (reachable, unreachable): (Vec<_>, Vec<_>) = stops.partition(|(agent, _)| is_reachable(agent));
        self.log(format!(
            "event=caller_disconnected job={id} waiters={waiters} stopped={} unreachable={}",
            format_list(reachable.into_iter().map(|(_, ordered)| ordered.run)),
            format_list(unreachable.into_iter().map(|(_, ordered)| ordered.run))
        ));
        self.apply_effects(effects);
    }

    fn answer_queue_query(&mut self, reply: ReplyId, route: &Arc<RouteRule>) {
        let queued = self.job_table.jobs().filter(|job| job.route.name == route.name && !job.has_begun());
        let length = queued.count();
        self.reply(reply, CallerAnswer::QueueLength(length));
    }

    fn answer_job_query(&mut self, reply: ReplyId, id: &CallerJobId) {
        let phase = self.job_table.get(id).map(OpenJob::phase).or_else(|| self.job_table.final_phase(id));
        self.reply(reply, phase.map_or(CallerAnswer::UnknownJob, CallerAnswer::Phase));
    }

    fn cancel_job(&mut self, reply: ReplyId, id: &CallerJobId) {
        let Some(effects) = self.job_table.cancel(self.now, id) else {
            return self.reply(reply, CallerAnswer::UnknownJob);
        };
        self.log(format!("event=job_cancelled job={id}"));
        self.apply_effects(effects);
        self.reply(reply, CallerAnswer::Cancelled);
    }

    pub(super) fn refuse(&mut self, reply: ReplyId, reason: &'static str, retry_after: Duration) {
        self.reply(reply, CallerAnswer::Refused { reason, retry_after });
    }

    pub(super) fn reply(&mut self, reply: ReplyId, answer: CallerAnswer) {
        if self.reply_remote(reply, &answer) {
            return;
        }
        self.actions.push(DispatchAction::Reply { reply, answer });
    }

    /// Answers the callers and queues the stop orders that a change of the job table requires.
    pub(super) fn apply_effects(&mut self, effects: Vec<JobEffect>) {
        for effect in effects {
            match effect {
                JobEffect::Answer { job, arrival, delay, waiters, answer } => {
                    let after = self.now.since(arrival.at);
                    let measurement = Measurement::Answered { priority: arrival.priority, kind: answer.kind(), after };
                    self.actions.push(DispatchAction::Measured(measurement));
                    if let Some(delay) = delay {
                        self.actions.push(DispatchAction::Measured(Measurement::Delayed { cause: delay.cause, late: delay.late }));
                        self.log(format!("event=job_delayed job={job} route={} {delay}", arrival.route));
                    }
                    self.log(format!("event=job_answered job={job} answer={answer:?} waiters={}", waiters.len()));
                    waiters.into_iter().for_each(|waiter| self.reply(waiter, answer.clone()));
                }
                JobEffect::Stop { agent, run } => {
                    if let Some(session) = self.worker_registry.get(&agent).and_then(|worker| worker.session) {
                        self.pending_orders.entry(session).or_default().stops.push(run);
                    }
                }
            }
        }
    }
}
