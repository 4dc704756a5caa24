//! h2 streams that carry bincode frames between the system's own processes.
//!
//! Each frame is a length of four bytes and a bincode body; both are bounded before anything is decoded. A connection
//! carries one long stream for a session and a short stream for each call, so that answers are matched by stream.
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
pub use server::{accept_streams, serve_listener, CallStream, IncomingStream, SessionStream};
pub use session::{make_queue, run_session, SessionQueue, UnsentFrames};
pub use streams::{FrameReceiver, FrameSender};

/// Path of the stream that carries a session.
const SESSION_PATH: &str = "/session";
/// Path of the streams that carry one call each.
const CALL_PATH: &str = "/call";
/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;
