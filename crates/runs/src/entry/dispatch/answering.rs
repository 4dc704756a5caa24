//! Requests of callers, from arrival to answer.

use std::sync::Arc;
use std::time::Duration;

use vanillacleat_control::ReplyId;
use vanillacleat_core::caller_job::{CallerJob, CallerJobId};
use vanillacleat_core::site_plan::RouteRule;

use super::{DispatchAction, DispatchControl};
use crate::entry::caller_calls::{parse_target, CallerAnswer, CallerRequest, JobDraft, PathTarget, RequestKind};
use crate::entry::job_entry::JobEntry;
use crate::entry::job_order::resubmit_delay;
use crate::entry::job_table::JobEffect;

/// When a caller should come back that met an entry without a plan or workers.
const RETRY_UNREADY: Duration = Duration::from_secs(1);
/// When a caller should come back whose kind of job is not served here.
const RETRY_UNSERVED: Duration = Duration::from_secs(60);

impl DispatchControl {
    pub(super) fn take_request(&mut self, reply: ReplyId, request: CallerRequest) {
        let Some(table) = self.plan.table.clone() else {
            return self.refuse(reply, "no configuration has been read yet", RETRY_UNREADY);
        };
        let Some((route, rest)) = table.find(&request.host, &request.path) else {
            self.log(format!("event=request_unrouted host={} path={} version={}", request.host, request.path, table.version));
            return self.reply(reply, CallerAnswer::NoRoute);
        };
        match (request.kind, parse_target(rest)) {
            (RequestKind::Submit(draft), PathTarget::Job(id)) => self.take_submission(reply, id, route, draft, request.caller_timeout),
            (RequestKind::Query, PathTarget::Queue) => self.answer_queue(reply, route),
            (RequestKind::Query, PathTarget::Job(id)) => self.answer_query(reply, &id),
            (RequestKind::Cancel, PathTarget::Job(id)) => self.cancel(reply, &id),
            (RequestKind::Submit(_), _) => {
                self.reply(reply, CallerAnswer::Malformed("the path names no job: 16 hexadecimal digits".into()))
            }
            (_, _) => self.reply(reply, CallerAnswer::UnknownJob),
        }
    }

    fn take_submission(&mut self, reply: ReplyId, id: CallerJobId, route: &Arc<RouteRule>, draft: JobDraft, caller: Option<Duration>) {
        if let Some(verdict) = self.book.verdict(&id) {
            self.log(format!("event=job_repeated job={id} verdict={verdict:?}"));
            return self.reply(reply, CallerAnswer::Ended(verdict));
        }
        if self.is_leaving() && self.book.get(&id).is_none() {
            self.log(format!("event=job_refused job={id} reason=leaving"));
            return self.refuse(reply, "the entry is leaving", RETRY_UNREADY);
        }
        if let Some(unsupported) = draft.unsupported {
            self.log(format!("event=job_refused job={id} reason={unsupported:?}"));
            return self.refuse(reply, unsupported, RETRY_UNSERVED);
        }
        if draft.is_durable {
            self.log(format!("event=job_refused job={id} reason=durable"));
            return self.refuse(reply, "jobs that must be kept are not accepted here", RETRY_UNSERVED);
        }
        let job = CallerJob { id, payload: draft.payload, steps: draft.steps };
        if let Some(problem) = job.validation_error() {
            return self.reply(reply, CallerAnswer::Malformed(problem.into()));
        }
        let times = self.find_times(&job, route, caller);
        let delay = self.find_delay(&times, route);
        let is_open = self.book.get(&id).is_some();
        let delay_ms = delay.map_or_else(|| "unknown".to_owned(), |delay| delay.as_millis().to_string());
        let is_too_late = delay.is_none_or(|delay| !delay.is_zero() && times.is_too_late(self.now, delay));
        if !is_open && is_too_late {
            self.log(format!("event=job_refused job={id} reason=load delay_ms={delay_ms}"));
            return self.refuse(reply, "there is no room in time", resubmit_delay(delay, id));
        }
        let entry = JobEntry::new(Arc::new(job), route.clone(), self.now, times);
        self.log(format!(
            "event=job_admitted job={id} route={} version={} tasks={} age_ms={} wanted_ms={} patience_ms={} delay_ms={delay_ms}",
            route.name,
            self.plan.version(),
            entry.steps.iter().map(Vec::len).sum::<usize>(),
            self.now.since(times.asked_at).as_millis(),
            times.target_at.since(times.asked_at).as_millis(),
            times.abandon_at.since(self.now).as_millis()
        ));
        self.book.submit(entry, reply);
    }

    fn answer_queue(&mut self, reply: ReplyId, route: &Arc<RouteRule>) {
        let queued = self.book.jobs().filter(|job| job.route.name == route.name && !job.has_run && !job.has_sent());
        let length = queued.count();
        self.reply(reply, CallerAnswer::QueueLength(length));
    }

    fn answer_query(&mut self, reply: ReplyId, id: &CallerJobId) {
        let phase = self.book.get(id).map(JobEntry::phase).or_else(|| self.book.verdict(id));
        self.reply(reply, phase.map_or(CallerAnswer::UnknownJob, CallerAnswer::Phase));
    }

    fn cancel(&mut self, reply: ReplyId, id: &CallerJobId) {
        let Some(effects) = self.book.cancel(self.now, id) else {
            return self.reply(reply, CallerAnswer::UnknownJob);
        };
        self.log(format!("event=job_cancelled job={id}"));
        self.apply(effects);
        self.reply(reply, CallerAnswer::Cancelled);
    }

    fn refuse(&mut self, reply: ReplyId, reason: &'static str, retry_after: Duration) {
        self.reply(reply, CallerAnswer::Refused { reason, retry_after });
    }

    fn reply(&mut self, reply: ReplyId, answer: CallerAnswer) {
        self.actions.push(DispatchAction::Reply { reply, answer });
    }

    pub(super) fn apply(&mut self, effects: Vec<JobEffect>) {
        for effect in effects {
            match effect {
                JobEffect::Answer { job, waiters, answer } => {
                    self.log(format!("event=job_answered job={job} answer={answer:?} waiters={}", waiters.len()));
                    waiters.into_iter().for_each(|waiter| self.reply(waiter, answer.clone()));
                }
                JobEffect::Stop { agent, run } => {
                    if let Some(session) = self.board.get(&agent).and_then(|room| room.session) {
                        self.orders.entry(session).or_default().stops.push(run);
                    }
                }
            }
        }
    }
}
