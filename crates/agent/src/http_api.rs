//! The agent's HTTP API: announcement and withdrawal of upstreams, health, state and metrics.

use std::net::SocketAddr;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{catch, catchers, delete, get, post, routes, State};
use tokio::sync::oneshot;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::gate::UpstreamAnnouncement;
use vanillacleat_core::api::ProblemBody;
use vanillacleat_core::ids::UpstreamName;
use vanillacleat_core::outcome::RefusalCode;
use vanillacleat_daemon::{launch_server, render_metrics, server_config, BodyError, EventSender, JsonBody, ProblemReply, ServerError};

use crate::agent_input::AgentInput;

type Events = State<EventSender<AgentInput>>;

/// Starts the server, which runs until the runtime is shut down. Returns the address at which it listens.
pub(crate) async fn start_server(address: SocketAddr, events: EventSender<AgentInput>) -> Result<SocketAddr, ServerError> {
    let routes = routes![announce_upstream, withdraw_upstream, health, state, metrics];
    let server = rocket::custom(server_config(address)).manage(events).mount("/", routes).register("/", catchers![default_catcher]);
    launch_server(server).await
}

#[post("/v1/upstreams", data = "<announcement>")]
fn announce_upstream(events: &Events, announcement: Result<JsonBody<UpstreamAnnouncement>, BodyError>) -> Result<Status, ProblemReply> {
    let JsonBody(announcement) = announcement.map_err(|error| bad_request(error.to_string()).with_body_error(&error))?;
    if announcement.address.parse::<SocketAddr>().is_err() {
        return Err(bad_request(format!("address: {:?} is not an ip:port", announcement.address)));
    }
    if announcement.slots == 0 || announcement.connections == 0 {
        return Err(bad_request("slots and connections: must be at least 1".to_owned()));
    }
    events.send(AgentInput::Event(AgentEvent::Announced(announcement)));
    Ok(Status::NoContent)
}

#[delete("/v1/upstreams/<name>")]
fn withdraw_upstream(events: &Events, name: &str) -> Result<Status, ProblemReply> {
    let name: UpstreamName = name.parse().map_err(|error: vanillacleat_core::Error| bad_request(error.to_string()))?;
    events.send(AgentInput::Event(AgentEvent::Withdrawn(name)));
    Ok(Status::NoContent)
}

#[get("/v1/health")]
async fn health(events: &Events) -> (Status, &'static str) {
    let (reply, answer) = oneshot::channel();
    events.send(AgentInput::Health(reply));
    match answer.await {
        Ok(true) => (Status::Ok, "ready\n"),
        _ => (Status::ServiceUnavailable, "not ready\n"),
    }
}

#[get("/v1/state")]
async fn state(events: &Events) -> Result<Json<serde_json::Value>, Status> {
    read_state(events).await.map(Json).ok_or(Status::ServiceUnavailable)
}

#[get("/metrics")]
fn metrics() -> String {
    render_metrics()
}

#[catch(default)]
fn default_catcher(status: Status, _: &rocket::Request<'_>) -> ProblemReply {
    ProblemReply { status, ..bad_request(format!("status {}", status.code)) }
}

async fn read_state(events: &Events) -> Option<serde_json::Value> {
    let (reply, answer) = oneshot::channel();
    events.send(AgentInput::Dump(reply));
    answer.await.ok()
}

fn bad_request(detail: String) -> ProblemReply {
    let code = RefusalCode::BadRequest.to_string();
    let body = ProblemBody { code, outcome: "refused".to_owned(), ran: "no".to_owned(), detail, retry_after_ms: None };
    ProblemReply { status: Status::BadRequest, body, closes_connection: false }
}
