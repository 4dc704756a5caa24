//! Configuration and start of HTTP servers, and the response to a refused call.

use std::net::SocketAddr;
use std::sync::Mutex;

use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::http::{Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use rocket::serde::json::Json;
use rocket::{Build, Rocket};
use tokio::sync::oneshot;
use vanillacleat_core::api::ProblemBody;

use crate::request_body::{BodyError, BODY_BYTES_MAX};

/// Returns the configuration of a server at `address`. The server writes no logs of its own and installs no signal handlers.
pub fn server_config(address: SocketAddr) -> rocket::Config {
    let limits = Limits::default().limit("json", BODY_BYTES_MAX.bytes()).limit("string", BODY_BYTES_MAX.bytes());
    rocket::Config {
        address: address.ip(),
        port: address.port(),
        limits,
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown { ctrlc: false, signals: Default::default(), grace: 1, mercy: 1, ..Default::default() },
        ..rocket::Config::release_default()
    }
}

/// The HTTP response to a refused call.
#[derive(Clone, Debug)]
pub struct ProblemReply {
    /// The HTTP status.
    pub status: Status,
    /// The body. Its `retry_after_ms`, if set, is also sent as the `retry-after` header, rounded up to seconds.
    pub body: ProblemBody,
    /// Whether the server closes the connection after the response. The response then says so.
    pub closes_connection: bool,
}

impl ProblemReply {
    /// Returns the reply with the status of a rejected body. It closes the connection if a part of the body is unread.
    pub fn with_body_error(self, error: &BodyError) -> Self {
        Self { status: error.status(), closes_connection: error.closes_connection(), ..self }
    }
}

impl<'r, 'o: 'r> Responder<'r, 'o> for ProblemReply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'o> {
        let retry_seconds = self.body.retry_after_ms.map(|millis| millis.div_ceil(1_000));
        let mut builder = Response::build_from(Json(self.body).respond_to(request)?);
        builder.status(self.status);
        if self.closes_connection {
            builder.header(Header::new("connection", "close"));
        }
        if let Some(seconds) = retry_seconds {
            builder.header(Header::new("retry-after", seconds.to_string()));
        }
        builder.ok()
    }
}

/// Starts a server on the current runtime. Returns the address at which it listens once it accepts connections, or an error if it
/// can't start. A server that is configured with port zero listens at a free port.
pub async fn launch_server(server: Rocket<Build>) -> Result<SocketAddr, ServerError> {
    let (liftoff_sender, liftoff) = oneshot::channel();
    let liftoff_sender = Mutex::new(Some(liftoff_sender));
    let report_liftoff = AdHoc::on_liftoff("listening", move |server| {
        Box::pin(async move {
            let address = SocketAddr::new(server.config().address, server.config().port);
            let sender = liftoff_sender.lock().ok().and_then(|mut sender| sender.take());
            sender.map(|sender| sender.send(address));
        })
    });
    let server_task = tokio::spawn(server.attach(report_liftoff).launch());
    tokio::select! {
        Ok(address) = liftoff => Ok(address),
        result = server_task => match result {
            // Rocket's error panics if it is dropped before it was inspected. Calling `kind` counts as an inspection.
            Ok(Err(error)) => Err(ServerError(error.kind().to_string())),
            _ => Err(ServerError("the server exited".to_owned())),
        },
    }
}

/// The reason why a server could not start.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP server could not start: {0}")]
pub struct ServerError(String);
