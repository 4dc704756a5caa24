//! The HTTP API for callers and operators.

use std::net::SocketAddr;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{catch, catchers, delete, get, post, put, routes, State};
use tokio::sync::oneshot;
use vanillacleat_control::entry::{CallerCall, CallerReply};
use vanillacleat_core::api::{ChangeRequest, JobView, ProblemBody, TicketList};
use vanillacleat_core::config::{ChangeOutcome, ConfigChange, ConfigValue};
use vanillacleat_core::ids::{JobName, ServiceName, TeamName};
use vanillacleat_core::job::{JobSpec, TaskDemand, TaskSpec, DEADLINE_MILLIS_DEFAULT};
use vanillacleat_core::outcome::{CallRefusal, RefusalCode, TaskOutcome};
use vanillacleat_core::ticket::Ticket;
use vanillacleat_core::units::Millis;
use vanillacleat_daemon::{
    launch_server, render_metrics, server_config, BodyError, EventSender, JsonBody, ProblemReply, ServerError, TextBody,
};

use crate::entry_input::EntryInput;

type Events = State<EventSender<EntryInput>>;
type Reply<T> = Result<Json<T>, ProblemReply>;
type JobBody = Result<JsonBody<JobSpec>, BodyError>;

/// Starts the server, which runs until the runtime is shut down. Returns the address at which it listens.
pub(crate) async fn start_server(address: SocketAddr, events: EventSender<EntryInput>) -> Result<SocketAddr, ServerError> {
    let jobs = routes![issue_tickets, submit_job, submit_named, query_job, cancel_job, run_request];
    let operators = routes![read_config, change_config, health, state, metrics];
    let server = rocket::custom(server_config(address)).manage(events);
    let server = server.mount("/", jobs).mount("/", operators).register("/", catchers![default_catcher]);
    launch_server(server).await
}

#[post("/v1/tickets?<count>")]
async fn issue_tickets(events: &Events, count: Option<usize>) -> Reply<TicketList> {
    match call_control(events, CallerCall::Tickets(count.unwrap_or(1))).await? {
        CallerReply::Tickets(tickets) => Ok(Json(TicketList { tickets: tickets.iter().map(Ticket::to_string).collect() })),
        other => Err(problem_reply(&other)),
    }
}

#[put("/v1/jobs/<ticket>", data = "<spec>")]
async fn submit_job(events: &Events, ticket: &str, spec: JobBody) -> Reply<JobView> {
    let ticket = parse_ticket(ticket)?;
    let spec = read_body(spec)?;
    job_reply(call_control(events, CallerCall::Submit(ticket, spec)).await?)
}

#[put("/v1/jobs/by-name/<name>", data = "<spec>")]
async fn submit_named(events: &Events, name: &str, spec: JobBody) -> Reply<JobView> {
    let name: JobName = name.parse().map_err(bad_request)?;
    let spec = read_body(spec)?;
    job_reply(call_control(events, CallerCall::SubmitNamed(name, spec)).await?)
}

#[get("/v1/jobs/<ticket>")]
async fn query_job(events: &Events, ticket: &str) -> Reply<JobView> {
    let ticket = parse_ticket(ticket)?;
    job_reply(call_control(events, CallerCall::Query(ticket)).await?)
}

#[delete("/v1/jobs/<ticket>")]
async fn cancel_job(events: &Events, ticket: &str) -> Reply<JobView> {
    let ticket = parse_ticket(ticket)?;
    job_reply(call_control(events, CallerCall::Cancel(ticket)).await?)
}

#[post("/v1/requests/<service>?<team>&<idempotent>&<deadline_ms>", data = "<payload>")]
async fn run_request(
    events: &Events,
    service: &str,
    team: &str,
    idempotent: Option<bool>,
    deadline_ms: Option<u64>,
    payload: Result<TextBody, BodyError>,
) -> Result<String, ProblemReply> {
    let service: ServiceName = service.parse().map_err(bad_request)?;
    let team: TeamName = team.parse().map_err(bad_request)?;
    let deadline_ms = deadline_ms.map_or(DEADLINE_MILLIS_DEFAULT, Millis);
    let TextBody(payload) = payload.map_err(|error| bad_request(&error).with_body_error(&error))?;
    let task = TaskSpec { payload, declared_ms: None, demand: TaskDemand::default() };
    let spec = JobSpec { service, team, deadline_ms, tasks: vec![task] };
    match call_control(events, CallerCall::Request(spec, idempotent.unwrap_or(false))).await? {
        CallerReply::Answer(answer) => request_reply(&answer.outcomes[0]),
        other => Err(problem_reply(&other)),
    }
}

#[get("/v1/config")]
async fn read_config(events: &Events) -> Reply<ConfigValue> {
    match call_control(events, CallerCall::ReadConfig).await? {
        CallerReply::Config(value) => Ok(Json(*value)),
        other => Err(problem_reply(&other)),
    }
}

#[post("/v1/config/changes", data = "<change>")]
async fn change_config(events: &Events, change: Result<JsonBody<ChangeRequest>, BodyError>) -> Reply<ChangeOutcome> {
    let ChangeRequest { id, based_on, edits } = read_body(change)?;
    match call_control(events, CallerCall::Change(ConfigChange { id, based_on, edits })).await? {
        CallerReply::Changed(outcome) => Ok(Json(outcome)),
        other => Err(problem_reply(&other)),
    }
}

#[get("/v1/health")]
async fn health(events: &Events) -> (Status, &'static str) {
    match call_control(events, CallerCall::Health).await {
        Ok(CallerReply::Health(true)) => (Status::Ok, "ready\n"),
        _ => (Status::ServiceUnavailable, "not ready\n"),
    }
}

#[get("/v1/state")]
async fn state(events: &Events) -> Reply<serde_json::Value> {
    match call_control(events, CallerCall::Dump).await? {
        CallerReply::Dump(state) => Ok(Json(state)),
        other => Err(problem_reply(&other)),
    }
}

#[get("/metrics")]
fn metrics() -> String {
    render_metrics()
}

#[catch(default)]
fn default_catcher(status: Status, _: &rocket::Request<'_>) -> ProblemReply {
    let refusal = CallRefusal::new(RefusalCode::BadRequest, format!("the call is not served: status {}", status.code));
    ProblemReply { status, ..refusal_reply(&refusal) }
}

/// Passes a call to the control thread and returns its reply.
async fn call_control(events: &Events, call: CallerCall) -> Result<CallerReply, ProblemReply> {
    let (target, reply) = oneshot::channel();
    events.send(EntryInput::Call(call, target));
    let entry_ended = || refusal_reply(&CallRefusal::new(RefusalCode::HomeUnreachable, "the entry has ended"));
    reply.await.map_err(|_| entry_ended())
}

fn parse_ticket(text: &str) -> Result<Ticket, ProblemReply> {
    text.parse().map_err(|error: vanillacleat_core::Error| refusal_reply(&CallRefusal::new(RefusalCode::TicketForged, error)))
}

fn read_body<T>(body: Result<JsonBody<T>, BodyError>) -> Result<T, ProblemReply> {
    body.map(|JsonBody(body)| body).map_err(|error| bad_request(&error).with_body_error(&error))
}

/// Converts a reply to the view of a job. A reply that is neither an answer nor pending becomes a problem.
fn job_reply(reply: CallerReply) -> Reply<JobView> {
    match reply {
        CallerReply::Answer(answer) => Ok(Json(JobView::from_answer(&answer))),
        CallerReply::Pending => Ok(Json(JobView::pending())),
        other => Err(problem_reply(&other)),
    }
}

/// Returns the answer of a single request. If its task did not succeed, the problem's code is `request-` followed by
/// the name of the outcome.
fn request_reply(outcome: &TaskOutcome) -> Result<String, ProblemReply> {
    let (status, ran, detail) = match outcome {
        TaskOutcome::Done(text) => return Ok(text.clone()),
        TaskOutcome::Failed(cause) => (Status::BadGateway, "yes", cause.to_string()),
        TaskOutcome::NotRun(reason) => (Status::GatewayTimeout, "no", reason.as_str().to_owned()),
        TaskOutcome::Unknown(reason) => (Status::GatewayTimeout, "unknown", reason.as_str().to_owned()),
    };
    let code = format!("request-{}", outcome.name().replace('_', "-"));
    let body = ProblemBody { code, outcome: outcome.name().to_owned(), ran: ran.to_owned(), detail, retry_after_ms: None };
    Err(ProblemReply { status, body, closes_connection: false })
}

/// Returns the problem for a reply that is not the expected answer: a refusal, or a reply to another kind of call.
fn problem_reply(reply: &CallerReply) -> ProblemReply {
    match reply {
        CallerReply::Refused(refusal) => refusal_reply(refusal),
        _ => refusal_reply(&CallRefusal::new(RefusalCode::BadRequest, "the call was answered with the wrong kind of reply")),
    }
}

fn bad_request(problem: impl std::fmt::Display) -> ProblemReply {
    refusal_reply(&CallRefusal::new(RefusalCode::BadRequest, problem))
}

/// Returns the HTTP form of a refusal.
fn refusal_reply(refusal: &CallRefusal) -> ProblemReply {
    let ran = if refusal.code.proves_not_run() { "no" } else { "unknown" };
    let body = ProblemBody {
        code: refusal.code.to_string(),
        outcome: "refused".to_owned(),
        ran: ran.to_owned(),
        detail: refusal.detail.to_string(),
        retry_after_ms: refusal.retry_after_ms.map(|millis| millis.0),
    };
    ProblemReply { status: refusal_status(refusal.code), body, closes_connection: false }
}

fn refusal_status(code: RefusalCode) -> Status {
    match code {
        RefusalCode::BadRequest => Status::BadRequest,
        RefusalCode::TicketForged => Status::Forbidden,
        RefusalCode::TicketExpired | RefusalCode::AnswerLost => Status::Gone,
        RefusalCode::BodyConflict | RefusalCode::ChangeConflict => Status::Conflict,
        RefusalCode::JobMissing => Status::NotFound,
        RefusalCode::NeverRunnable | RefusalCode::ServiceUnknown => Status::UnprocessableEntity,
        RefusalCode::DeadlineInfeasible | RefusalCode::Overloaded => Status::TooManyRequests,
        RefusalCode::Draining | RefusalCode::HomeUnreachable | RefusalCode::HomeFenced | RefusalCode::PlatformDown => {
            Status::ServiceUnavailable
        }
    }
}
