//! Reading of request bodies with a size limit.
//!
//! A body over the limit is read to its end and discarded. If the server answered while the caller still sends the body,
//! the connection would have to be closed, and the caller could lose the answer or its next request on that connection.

use std::time::Duration;

use rocket::data::{Data, FromData, Outcome, ToByteUnit};
use rocket::http::Status;
use rocket::request::Request;
use rocket::tokio::io::{AsyncRead, AsyncReadExt};
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use vanillacleat_core::units::ByteCount;

/// Maximum size of a request body, in bytes.
pub const BODY_BYTES_MAX: u64 = 4 * 1024 * 1024;
/// Maximum number of bytes that are read from one request. The connection is closed if a body is longer.
const DISCARDED_BYTES_MAX: u64 = 4 * BODY_BYTES_MAX;
/// Maximum time for which the rest of an oversized body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// The reason why a request body was rejected.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is over [`BODY_BYTES_MAX`].
    #[error("the body is over {limit} bytes")]
    Oversized {
        /// The limit.
        limit: ByteCount,
        /// Whether the whole body was read, so that the connection can be used again.
        is_drained: bool,
    },
    /// The caller stopped sending the body, or its connection broke.
    #[error("the body can't be read: {0}")]
    Interrupted(std::io::Error),
    /// The body is not valid.
    #[error("the body is not valid: {0}")]
    Malformed(String),
}

/// A request body that was parsed as JSON.
#[derive(Debug)]
pub struct JsonBody<T>(pub T);

/// A request body that was parsed as text.
#[derive(Debug)]
pub struct TextBody(pub String);

#[rocket::async_trait]
impl<'r, T: DeserializeOwned> FromData<'r> for JsonBody<T> {
    type Error = BodyError;

    async fn from_data(_: &'r Request<'_>, data: Data<'r>) -> Outcome<'r, Self> {
        let parsed = read_body(data).await.and_then(|bytes| {
            let parsed = serde_json::from_slice(&bytes);
            parsed.map(Self).map_err(|error| BodyError::Malformed(error.to_string()))
        });
        into_outcome(parsed)
    }
}

#[rocket::async_trait]
impl<'r> FromData<'r> for TextBody {
    type Error = BodyError;

    async fn from_data(_: &'r Request<'_>, data: Data<'r>) -> Outcome<'r, Self> {
        let parsed = read_body(data).await.and_then(|bytes| {
            let parsed = String::from_utf8(bytes);
            parsed.map(Self).map_err(|error| BodyError::Malformed(error.to_string()))
        });
        into_outcome(parsed)
    }
}

fn into_outcome<'r, T>(parsed: Result<T, BodyError>) -> Outcome<'r, T, BodyError> {
    match parsed {
        Ok(body) => Outcome::Success(body),
        Err(error) => Outcome::Error((error.status(), error)),
    }
}

impl BodyError {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> Status {
        match self {
            Self::Oversized { .. } => Status::PayloadTooLarge,
            Self::Interrupted(_) | Self::Malformed(_) => Status::BadRequest,
        }
    }

    /// Returns whether the connection has to be closed after the answer, because a part of the body was not read.
    pub fn closes_connection(&self) -> bool {
        !matches!(self, Self::Malformed(_) | Self::Oversized { is_drained: true, .. })
    }
}

async fn read_body(data: Data<'_>) -> Result<Vec<u8>, BodyError> {
    let mut stream = data.open(DISCARDED_BYTES_MAX.bytes());
    let mut bytes = Vec::new();
    (&mut stream).take(BODY_BYTES_MAX + 1).read_to_end(&mut bytes).await.map_err(BodyError::Interrupted)?;
    if bytes.len() as u64 <= BODY_BYTES_MAX {
        return Ok(bytes);
    }
    drop(bytes);
    let discarded = timeout(DISCARD_TIMEOUT, discard_rest(&mut stream)).await;
    let is_drained = matches!(discarded, Ok(Ok(rest)) if BODY_BYTES_MAX + 1 + rest < DISCARDED_BYTES_MAX);
    Err(BodyError::Oversized { limit: ByteCount(BODY_BYTES_MAX), is_drained })
}

/// Reads a stream to its end; returns the number of bytes.
async fn discard_rest(stream: &mut (impl AsyncRead + Unpin)) -> std::io::Result<u64> {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut total = 0;
    loop {
        match stream.read(&mut buffer).await? {
            0 => return Ok(total),
            count => total += count as u64,
        }
    }
}
