//! The agent's HTTP interface: announcements of upstreams, health, state and metrics.

use std::net::SocketAddr;

use rocket::http::Status;
use rocket::serde::json::{self, Json};
use rocket::{catch, catchers, delete, get, post, routes, State};
use tokio::sync::oneshot;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::gate::UpstreamAnnouncement;
use vanillacleat_core::api::ProblemBody;
use vanillacleat_core::ids::UpstreamName;
use vanillacleat_core::outcome::RefusalCode;
use vanillacleat_daemon::{launch_server, render_metrics, server_config, EventSender, ProblemReply, ServerError};

use crate::agent_input::AgentInput;

type Events = State<EventSender<AgentInput>>;

/// Starts the server; it ends with the runtime.
pub(crate) async fn start_server(address: SocketAddr, events: EventSender<AgentInput>) -> Result<(), ServerError> {
    let routes = routes![announce, leave, health, state, metrics];
    let server = rocket::custom(server_config(address)).manage(events).mount("/", routes).register("/", catchers![not_served]);
    launch_server(server).await
}

#[post("/v1/upstreams", data = "<notice>")]
fn announce(events: &Events, notice: Result<Json<UpstreamAnnouncement>, json::Error<'_>>) -> Result<Status, ProblemReply> {
    let notice = notice.map_err(|error| bad_request(error.to_string()))?.into_inner();
    if notice.address.parse::<SocketAddr>().is_err() {
        return Err(bad_request(format!("address: {:?} is no ip:port", notice.address)));
    }
    if notice.slots == 0 || notice.connections == 0 {
        return Err(bad_request("slots and connections: at least 1 is needed".to_owned()));
    }
    events.send(AgentInput::Event(AgentEvent::Announced(notice)));
    Ok(Status::NoContent)
}

#[delete("/v1/upstreams/<name>")]
fn leave(events: &Events, name: &str) -> Result<Status, ProblemReply> {
    let name: UpstreamName = name.parse().map_err(|error: vanillacleat_core::Error| bad_request(error.to_string()))?;
    events.send(AgentInput::Event(AgentEvent::Leaving(name)));
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
fn not_served(status: Status, _: &rocket::Request<'_>) -> ProblemReply {
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
    ProblemReply { status: Status::BadRequest, body }
}
