//! The accepting side of a connection.

use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::errors::{closed_error, WireError};
use crate::streams::{FrameReceiver, FrameSender};
use crate::{CALL_PATH, CONNECTION_WINDOW, SESSION_PATH, STREAM_WINDOW};

/// Pause after a failed accept, so that a lack of descriptors is not met by spinning.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most streams open at once on one connection.
const STREAMS_MAX: u32 = 10_000;

/// A `SessionStream` is an agent's session that waits to be opened.
#[derive(Debug)]
pub struct SessionStream {
    request: RecvStream,
    respond: SendResponse<Bytes>,
}

impl SessionStream {
    /// Opens the session; returns its two directions.
    pub fn open<S: Serialize, R: DeserializeOwned>(mut self) -> Result<(FrameSender<S>, FrameReceiver<R>), WireError> {
        let stream = self.respond.send_response(Response::new(()), false).map_err(closed_error)?;
        Ok((FrameSender::new(stream), FrameReceiver::new(self.request)))
    }
}

/// A `CallStream` is a call that waits for its reply.
#[derive(Debug)]
pub struct CallStream {
    request: RecvStream,
    respond: SendResponse<Bytes>,
}

impl CallStream {
    /// Reads the call; returns it with what its reply is sent by.
    pub async fn read<Q: DeserializeOwned, A: Serialize>(mut self) -> Result<(Q, FrameSender<A>), WireError> {
        let mut receiver = FrameReceiver::new(self.request);
        let call = receiver.receive().await?;
        let stream = self.respond.send_response(Response::new(()), false).map_err(closed_error)?;
        Ok((call, FrameSender::new(stream)))
    }
}

/// An `IncomingStream` is a stream that the other side opened.
#[derive(Debug)]
pub enum IncomingStream {
    /// A session.
    Session(SessionStream),
    /// A call.
    Call(CallStream),
}

/// Accepts connections for as long as it is polled, and serves each by [`accept_streams`]. Descriptors may run out for a
/// while; that is logged, and ends nothing.
pub async fn serve_listener(listener: TcpListener, take_stream: impl Fn(IncomingStream) + Clone + Send + 'static) {
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed port=mesh cause={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let take_stream = take_stream.clone();
        tokio::spawn(async move {
            if let Err(error) = accept_streams(socket, take_stream).await {
                log::debug!("event=connection_ended peer={peer} cause={:?}", error.to_string());
            }
        });
    }
}

/// Serves a connection until it ends, handing each stream to `take_stream`. A stream of an unknown path is answered
/// with status 404 and costs the others nothing.
pub async fn accept_streams(socket: TcpStream, mut take_stream: impl FnMut(IncomingStream)) -> Result<(), WireError> {
    socket.set_nodelay(true).map_err(closed_error)?;
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW).max_concurrent_streams(STREAMS_MAX);
    let mut connection = builder.handshake(socket).await.map_err(closed_error)?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted.map_err(closed_error)?;
        if let Some(stream) = sort_stream(request, respond) {
            take_stream(stream);
        }
    }
    Ok(())
}

fn sort_stream(request: Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Option<IncomingStream> {
    let path = request.uri().path().to_owned();
    let request = request.into_body();
    match path.as_str() {
        SESSION_PATH => Some(IncomingStream::Session(SessionStream { request, respond })),
        CALL_PATH => Some(IncomingStream::Call(CallStream { request, respond })),
        _ => {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::NOT_FOUND;
            // The other side may be gone already; then nobody needs the answer.
            let _ = respond.send_response(response, true);
            None
        }
    }
}
