//! Settings of the HTTP servers and the body of every refusal.

use std::net::SocketAddr;

use rocket::data::{Limits, ToByteUnit};
use rocket::http::{Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use rocket::serde::json::Json;
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
