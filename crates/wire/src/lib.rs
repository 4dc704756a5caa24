//! The transport between entries, and between entries and agents: bincode frames on HTTP/2 streams.
//!
//! A frame is a length of four bytes followed by a bincode body. The length is checked against [`FRAME_BYTES_MAX`] before
//! the body is decoded, and the decoder has the same limit. A session uses one long-lived stream of a connection. Each
//! call uses a stream of its own, so that a reply is matched to its call by the stream.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod codec;
mod errors;
mod server;
mod session;
mod streams;

pub use client::{OpenSession, WireConnection};
pub use codec::{decode_body, encode_frame, FrameBuffer, FRAME_BYTES_MAX};
pub use errors::WireError;
pub use server::{serve_connection, serve_listener, serve_session_connection, CallStream, IncomingStream, SessionStream};
pub use session::{run_session, session_queue, SessionQueue, UnsentFrames};
pub use streams::{FrameReceiver, FrameSender};

/// Request path that opens a session.
const SESSION_PATH: &str = "/session";
/// Request path that opens a session between two entries.
const PEER_PATH: &str = "/peer";
/// Request path of a call.
const CALL_PATH: &str = "/call";
/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;
