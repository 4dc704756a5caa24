//! The server side of a connection.

use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

use crate::errors::{closed_error, WireError};
use crate::streams::{FrameReceiver, FrameSender};
use crate::{CALL_PATH, CONNECTION_WINDOW, PEER_PATH, SESSION_PATH, STREAM_WINDOW};

/// Delay after a failed accept. Without it the loop would spin while the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of concurrent streams of one connection.
const STREAMS_MAX: u32 = 10_000;
/// Maximum size of a stream's header fields, in bytes. The peers' own take less than 200.
const HEADER_BYTES_MAX: u32 = 4 * 1_024;

/// A session that an agent or another entry requested and that is not open yet.
#[derive(Debug)]
pub struct SessionStream {
    request: RecvStream,
    respond: SendResponse<Bytes>,
}

impl SessionStream {
    /// Opens the session and returns its two directions.
    pub fn open<S: Serialize, R: DeserializeOwned>(mut self) -> Result<(FrameSender<S>, FrameReceiver<R>), WireError> {
        let stream = self.respond.send_response(Response::new(()), false).map_err(closed_error)?;
        Ok((FrameSender::new(stream), FrameReceiver::new(self.request)))
    }
}

/// A call that is not answered yet.
#[derive(Debug)]
pub struct CallStream {
    request: RecvStream,
    respond: SendResponse<Bytes>,
}

impl CallStream {
    /// Receives the call and returns it with the sender of its reply.
    pub async fn receive<Q: DeserializeOwned, A: Serialize>(mut self) -> Result<(Q, FrameSender<A>), WireError> {
        let mut receiver = FrameReceiver::new(self.request);
        let call = receiver.receive().await?;
        let stream = self.respond.send_response(Response::new(()), false).map_err(closed_error)?;
        Ok((call, FrameSender::new(stream)))
    }
}

/// A stream that the peer opened.
#[derive(Debug)]
pub enum IncomingStream {
    /// A session with an agent.
    Session(SessionStream),
    /// A session with another entry.
    PeerSession(SessionStream),
    /// A call.
    Call(CallStream),
}

/// Accepts connections and serves each with [`serve_connection`]. Never returns: a failed accept, for example for lack of
/// file descriptors, is logged and retried.
pub async fn serve_listener(listener: TcpListener, handle_stream: impl Fn(IncomingStream) + Clone + Send + 'static) {
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed port=mesh cause={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handle_stream = handle_stream.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(socket, handle_stream).await {
                log::debug!("event=connection_ended peer={peer} cause={:?}", error.to_string());
            }
        });
    }
}

/// Serves a connection until it is closed and passes each incoming stream to `handle_stream`. A stream with an unknown
/// path is answered with status 404 and does not affect the other streams.
pub async fn serve_connection(socket: TcpStream, handle_stream: impl FnMut(IncomingStream)) -> Result<(), WireError> {
    socket.set_nodelay(true).map_err(closed_error)?;
    serve_streams(socket, STREAMS_MAX, handle_stream).await
}

/// Serves a connection like [`serve_connection`], of which each has one session.
pub async fn serve_session_connection(
    socket: impl AsyncRead + AsyncWrite + Unpin,
    handle_stream: impl FnMut(IncomingStream),
) -> Result<(), WireError> {
    serve_streams(socket, 1, handle_stream).await
}

async fn serve_streams(
    socket: impl AsyncRead + AsyncWrite + Unpin,
    streams_max: u32,
    mut handle_stream: impl FnMut(IncomingStream),
) -> Result<(), WireError> {
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW).max_concurrent_streams(streams_max);
    builder.max_header_list_size(HEADER_BYTES_MAX);
    let mut connection = builder.handshake(socket).await.map_err(closed_error)?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted.map_err(closed_error)?;
        if let Some(stream) = classify_stream(request, respond) {
            handle_stream(stream);
        }
    }
    Ok(())
}

fn classify_stream(request: Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Option<IncomingStream> {
    let path = request.uri().path().to_owned();
    let request = request.into_body();
    match path.as_str() {
        SESSION_PATH => Some(IncomingStream::Session(SessionStream { request, respond })),
        PEER_PATH => Some(IncomingStream::PeerSession(SessionStream { request, respond })),
        CALL_PATH => Some(IncomingStream::Call(CallStream { request, respond })),
        _ => {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::NOT_FOUND;
            // Fails if the peer has closed the stream already and so does not need the response.
            let _ = respond.send_response(response, true);
            None
        }
    }
}
