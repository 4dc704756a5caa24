//! Settings of the HTTP servers and the body of every refusal.

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

/// Longest request body, in bytes.
pub const BODY_BYTES_MAX: u64 = 4 * 1024 * 1024;

/// Returns the configuration of a server at `address` that prints nothing and leaves signals alone.
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

/// A `ProblemReply` is a refusal with its HTTP status.
#[derive(Clone, Debug)]
pub struct ProblemReply {
    /// The status.
    pub status: Status,
    /// The body.
    pub body: ProblemBody,
}

impl<'r, 'o: 'r> Responder<'r, 'o> for ProblemReply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'o> {
        let retry_seconds = self.body.retry_after_ms.map(|millis| millis.div_ceil(1_000));
        let mut builder = Response::build_from(Json(self.body).respond_to(request)?);
        builder.status(self.status);
        if let Some(seconds) = retry_seconds {
            builder.header(Header::new("retry-after", seconds.to_string()));
        }
        builder.ok()
    }
}

/// Starts a server on the current runtime and returns once it listens, or why it can't.
pub async fn launch_server(server: Rocket<Build>) -> Result<(), ServerError> {
    let (listening, has_listened) = oneshot::channel();
    let listening = Mutex::new(Some(listening));
    let announce = AdHoc::on_liftoff("listening", move |_| {
        Box::pin(async move {
            let sender = listening.lock().ok().and_then(|mut listening| listening.take());
            sender.map(|sender| sender.send(()));
        })
    });
    let launched = tokio::spawn(server.attach(announce).launch());
    tokio::select! {
        Ok(()) = has_listened => Ok(()),
        ended = launched => match ended {
            // Rocket's error panics when it is dropped unread, so it is read here.
            Ok(Err(error)) => Err(ServerError(error.kind().to_string())),
            _ => Err(ServerError("the server has ended".to_owned())),
        },
    }
}

/// A `ServerError` says why a server could not start.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP server could not start: {0}")]
pub struct ServerError(String);
