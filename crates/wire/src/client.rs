//! The dialing side of a connection.

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
use crate::{CALL_PATH, CONNECTION_WINDOW, SESSION_PATH, STREAM_WINDOW};

/// Longest time to connect and to agree on the protocol.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for the transport's own part of it, which the other host's kernel answers within a few round trips. A
/// packet to a host that is still starting is lost, and would be sent again only after a second.
const TRANSPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// A `WireConnection` is a connection to an entry. Dropping it ends its streams.
#[derive(Debug)]
pub struct WireConnection {
    requests: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

/// An `OpenSession` is a session with the connection that carries it.
#[derive(Debug)]
pub struct OpenSession<S, R> {
    /// Ends the session when it is dropped.
    pub connection: WireConnection,
    /// Where frames go out.
    pub sender: FrameSender<S>,
    /// Where frames come in.
    pub receiver: FrameReceiver<R>,
}

impl<S: Serialize, R: DeserializeOwned> OpenSession<S, R> {
    /// Connects to `address` and opens a session, or fails if it is no address or nobody answers there.
    pub async fn dial(address: &str) -> Result<Self, WireError> {
        let address: SocketAddr = address.parse().map_err(|_| closed_error(format!("{address} is no address")))?;
        let connection = WireConnection::connect(address).await?;
        let (sender, receiver) = connection.open_session().await?;
        Ok(Self { connection, sender, receiver })
    }
}

impl Drop for WireConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl WireConnection {
    /// Connects to `address`, or fails after two seconds.
    pub async fn connect(address: SocketAddr) -> Result<Self, WireError> {
        timeout(CONNECT_TIMEOUT, Self::connect_slowly(address)).await.map_err(closed_error)?
    }

    async fn connect_slowly(address: SocketAddr) -> Result<Self, WireError> {
        let socket = timeout(TRANSPORT_TIMEOUT, TcpStream::connect(address)).await.map_err(closed_error)?.map_err(closed_error)?;
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

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }

    /// Opens a session; returns its two directions.
    pub async fn open_session<S: Serialize, R: DeserializeOwned>(&self) -> Result<(FrameSender<S>, FrameReceiver<R>), WireError> {
        let mut requests = self.requests.clone().ready().await.map_err(closed_error)?;
        let (response, stream) = requests.send_request(make_request(SESSION_PATH)?, false).map_err(closed_error)?;
        let response = response.await.map_err(closed_error)?;
        check_status(response.status())?;
        Ok((FrameSender::new(stream), FrameReceiver::new(response.into_body())))
    }

    /// Makes a call and returns its reply, however long it takes.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(&self, call: &Q) -> Result<A, WireError> {
        let mut requests = self.requests.clone().ready().await.map_err(closed_error)?;
        let (response, stream) = requests.send_request(make_request(CALL_PATH)?, false).map_err(closed_error)?;
        FrameSender::new(stream).send_last(call).await?;
        let response = response.await.map_err(closed_error)?;
        check_status(response.status())?;
        FrameReceiver::new(response.into_body()).receive().await
    }
}

fn make_request(path: &str) -> Result<Request<()>, WireError> {
    Request::builder().method(Method::POST).uri(format!("http://mesh{path}")).body(()).map_err(closed_error)
}

fn check_status(status: StatusCode) -> Result<(), WireError> {
    if status.is_success() {
        return Ok(());
    }
    Err(closed_error(format!("the peer answered with status {status}")))
}
