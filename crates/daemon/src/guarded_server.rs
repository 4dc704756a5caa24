//! HTTP server whose connections are admitted by a [`ConnectionGuard`].

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::connection_guard::{ConnectionGuard, ConnectionSlot};

/// Maximum size of a request's head, in bytes. Above the users' limit of 16 KiB.
const HEAD_BYTES_MAX: usize = 18 * 1024;
/// Maximum size of a connection's read buffer, in bytes. Has room for a head.
const READ_BUFFER_BYTES: usize = 20 * 1024;
/// Delay after a failed `accept`, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request that is being received.
pub type GuardedRequest = Request<RequestBody>;

/// Options of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Name of the port in the log.
    pub door: &'static str,
    /// Maximum time from the end of an answer, or from the start of the connection, to the end of the next request's head.
    pub head_timeout: Duration,
}

/// Accepts connections on `listener` and serves each with `serve` in a task of its own, until it ends or is closed to make room for
/// others. Never returns: a failed accept, for example for lack of file descriptors, is logged and retried.
pub async fn serve_sockets<F, Fut>(listener: TcpListener, door: &'static str, guard: ConnectionGuard, serve: F)
where
    F: Fn(GuardedStream, SocketAddr) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let refused = metrics::counter!("connections_refused_total", "door" => door);
    let evicted = metrics::counter!("connections_evicted_total", "door" => door);
    loop {
        let (socket, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=accept_failed door={door} cause={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(slot) = guard.admit().await else {
            refused.increment(1);
            log::debug!("event=connection_refused door={door} peer={peer}");
            continue;
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("event=nodelay_failed peer={peer} cause={:?}", error.to_string());
        }
        let connection = serve(GuardedStream { socket, slot: slot.clone() }, peer);
        let evicted = evicted.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = connection => {}
                () = slot.evicted() => log::debug!("event=connection_evicted door={door} peer={peer}"),
            }
            evicted.increment(u64::from(slot.is_evicted()));
        });
    }
}

/// Accepts connections on `listener` and answers their requests with `handle`, until the runtime shuts down. When a caller closes
/// its connection before the answer, the future of `handle` is dropped.
pub async fn serve_http<F, Fut>(listener: TcpListener, options: ServerOptions, guard: ConnectionGuard, handle: F)
where
    F: Fn(GuardedRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let serve = move |stream: GuardedStream, peer| {
        let handle = handle.clone();
        async move {
            let slot = stream.slot.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let slot = slot.clone();
                let response = handle(request.map(|incoming| RequestBody { incoming, slot: slot.clone() }));
                async move {
                    let response = response.await;
                    slot.finish_answer(response.body().size_hint().lower() as usize);
                    Ok::<_, Infallible>(response)
                }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(options.head_timeout);
            builder.max_header_size(HEAD_BYTES_MAX).max_buf_size(READ_BUFFER_BYTES);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("event=connection_ended door={} peer={peer} cause={:?}", options.door, error.to_string());
            }
        }
    };
    serve_sockets(listener, options.door, guard, serve).await;
}

/// The body of a request that is being received.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    slot: Arc<ConnectionSlot>,
}

/// The reason why a body was rejected.
#[derive(Debug, thiserror::Error)]
pub enum BodyProblem {
    /// The body is over the limit; `is_drained` says whether all of it was read.
    #[error("the body is over {bytes_max} bytes")]
    Oversized {
        /// The limit.
        bytes_max: usize,
        /// Whether the whole body was read, so that the connection can be used again.
        is_drained: bool,
    },
    /// The caller stopped sending the body, or its connection broke.
    #[error("the body can't be read: {0}")]
    Interrupted(hyper::Error),
}

impl RequestBody {
    /// Reads the body. The rest of one over `bytes_max` is read and discarded up to `discarded_max`, so that the caller can send its
    /// next request on the same connection.
    pub async fn read(&mut self, bytes_max: usize, discarded_max: usize) -> Result<Vec<u8>, BodyProblem> {
        let (mut bytes, mut total) = (Vec::new(), 0);
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(BodyProblem::Interrupted)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            total += data.len();
            if total > discarded_max {
                return Err(BodyProblem::Oversized { bytes_max, is_drained: false });
            }
            if total <= bytes_max {
                bytes.extend_from_slice(data);
            } else if total - data.len() <= bytes_max {
                bytes = Vec::new();
                self.slot.discard();
            }
        }
        if total > bytes_max {
            return Err(BodyProblem::Oversized { bytes_max, is_drained: true });
        }
        Ok(bytes)
    }

    /// Marks the request as complete and counts `bytes` for it until its answer. Returns `false` if there is no room for it.
    pub fn begin_answer(&self, bytes: usize) -> bool {
        self.slot.begin_answer(bytes)
    }
}

/// A socket whose received bytes are counted.
#[derive(Debug)]
pub struct GuardedStream {
    socket: TcpStream,
    slot: Arc<ConnectionSlot>,
}

impl GuardedStream {
    /// Returns the place of the connection among those of its port.
    pub fn slot(&self) -> Arc<ConnectionSlot> {
        self.slot.clone()
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.slot.has_backlog() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let received = buffer.filled().len() - filled;
        Poll::Ready(self.slot.hold(received).map_err(|error| io::Error::new(io::ErrorKind::ConnectionAborted, error)))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(mut self: Pin<&mut Self>, context: &mut Context<'_>, buffers: &[io::IoSlice<'_>]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
