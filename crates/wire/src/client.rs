//! The client side of a connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::errors::{closed_error, WireError};
use crate::streams::{FrameReceiver, FrameSender};
use crate::{CALL_PATH, CONNECTION_WINDOW, PEER_PATH, SESSION_PATH, STREAM_WINDOW};

/// Timeout of the TCP connect and the HTTP/2 handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the TCP connect alone, which the peer's kernel completes within a few round trips. A SYN packet to a host
/// that is still booting is lost, and the kernel retransmits it only after a second. Failing after this timeout lets the
/// caller retry earlier.
const TCP_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A connection to an entry. Dropping it closes its streams.
#[derive(Debug)]
pub struct WireConnection {
    requests: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

/// A session on a connection of its own.
#[derive(Debug)]
pub struct OpenSession<S, R> {
    /// The connection. Dropping it closes the session.
    pub connection: WireConnection,
    /// Sends frames to the peer.
    pub sender: FrameSender<S>,
    /// Receives frames from the peer.
    pub receiver: FrameReceiver<R>,
}

impl<S: Serialize, R: DeserializeOwned> OpenSession<S, R> {
    /// Connects to `address`, in the form `ip:port`, and opens a session. Fails if the address is not valid or the peer does
    /// not answer.
    pub async fn dial(address: &str) -> Result<Self, WireError> {
        Self::dial_path(address, SESSION_PATH).await
    }

    /// Connects to the entry at `address` and opens a session between two entries. Fails like [`Self::dial`].
    pub async fn dial_peer(address: &str) -> Result<Self, WireError> {
        Self::dial_path(address, PEER_PATH).await
    }

    async fn dial_path(address: &str, path: &str) -> Result<Self, WireError> {
        let address: SocketAddr = address.parse().map_err(|_| closed_error(format!("{address} is not a socket address")))?;
        let connection = WireConnection::connect(address).await?;
        let (sender, receiver) = connection.open_stream(path).await?;
        Ok(Self { connection, sender, receiver })
    }
}

impl Drop for WireConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl WireConnection {
    /// Connects to `address`. Fails if the TCP connect takes longer than 200 milliseconds, or the connect and the handshake
    /// together longer than two seconds.
    pub async fn connect(address: SocketAddr) -> Result<Self, WireError> {
        timeout(CONNECT_TIMEOUT, Self::connect_and_handshake(address)).await.map_err(closed_error)?
    }

    async fn connect_and_handshake(address: SocketAddr) -> Result<Self, WireError> {
        let socket = timeout(TCP_CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(closed_error)?.map_err(closed_error)?;
        socket.set_nodelay(true).map_err(closed_error)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW);
        let (requests, connection) = builder.handshake(socket).await.map_err(closed_error)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_ended peer={address} cause={:?}", error.to_string());
            }
        });
        Ok(Self { requests, driver })
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }

    /// Opens a session and returns its two directions.
    pub async fn open_session<S: Serialize, R: DeserializeOwned>(&self) -> Result<(FrameSender<S>, FrameReceiver<R>), WireError> {
        self.open_stream(SESSION_PATH).await
    }

    async fn open_stream<S: Serialize, R: DeserializeOwned>(&self, path: &str) -> Result<(FrameSender<S>, FrameReceiver<R>), WireError> {
        let mut requests = self.requests.clone().ready().await.map_err(closed_error)?;
        let (response, stream) = requests.send_request(build_request(path)?, false).map_err(closed_error)?;
        let response = response.await.map_err(closed_error)?;
        check_status(response.status())?;
        Ok((FrameSender::new(stream), FrameReceiver::new(response.into_body())))
    }

    /// Makes a call and returns its reply. There is no timeout: the caller of this function sets one if it needs one.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(&self, call: &Q) -> Result<A, WireError> {
        let mut requests = self.requests.clone().ready().await.map_err(closed_error)?;
        let (response, stream) = requests.send_request(build_request(CALL_PATH)?, false).map_err(closed_error)?;
        FrameSender::new(stream).send_last(call).await?;
        let response = response.await.map_err(closed_error)?;
        check_status(response.status())?;
        FrameReceiver::new(response.into_body()).receive().await
    }
}

fn build_request(path: &str) -> Result<Request<()>, WireError> {
    Request::builder().method(Method::POST).uri(format!("http://mesh{path}")).body(()).map_err(closed_error)
}

fn check_status(status: StatusCode) -> Result<(), WireError> {
    if status.is_success() {
        return Ok(());
    }
    Err(closed_error(format!("the peer responded with status {status}")))
}
