//! Sending and receiving frames on an HTTP/2 stream.

use std::future::poll_fn;
use std::marker::PhantomData;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use metrics::Counter;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::codec::{encode_frame, FrameBuffer};
use crate::errors::{closed_error, WireError};

/// Sends frames on one stream, within the flow-control window that the peer grants.
pub struct FrameSender<T> {
    stream: SendStream<Bytes>,
    frames_sent: Counter,
    bytes_sent: Counter,
    frame: PhantomData<fn(T)>,
}

impl<T> std::fmt::Debug for FrameSender<T> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("FrameSender").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl<T: Serialize> FrameSender<T> {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        let (frames_sent, bytes_sent) = (metrics::counter!("wire_frames_sent_total"), metrics::counter!("wire_bytes_sent_total"));
        Self { stream, frames_sent, bytes_sent, frame: PhantomData }
    }

    /// Sends a frame. Returns once the whole frame is passed to the HTTP/2 connection, and fails if the stream is closed.
    pub async fn send(&mut self, frame: &T) -> Result<(), WireError> {
        let bytes = encode_frame(frame)?;
        self.record_frame(bytes.len());
        self.send_bytes(bytes, false).await
    }

    /// Sends a frame and closes this direction of the stream.
    pub async fn send_last(&mut self, frame: &T) -> Result<(), WireError> {
        let bytes = encode_frame(frame)?;
        self.record_frame(bytes.len());
        self.send_bytes(bytes, true).await
    }

    fn record_frame(&self, bytes: usize) {
        self.frames_sent.increment(1);
        self.bytes_sent.increment(bytes as u64);
    }

    async fn send_bytes(&mut self, mut bytes: Bytes, is_last: bool) -> Result<(), WireError> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let granted = poll_fn(|context| self.stream.poll_capacity(context)).await;
            let granted = granted.ok_or_else(|| closed_error("the stream was reset"))?.map_err(closed_error)?;
            let chunk = bytes.split_to(granted.min(bytes.len()));
            let is_end = is_last && bytes.is_empty();
            self.stream.send_data(chunk, is_end).map_err(closed_error)?;
        }
        Ok(())
    }
}

/// Receives frames from one stream.
#[derive(Debug)]
pub struct FrameReceiver<T> {
    stream: RecvStream,
    buffer: FrameBuffer,
    frame: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> FrameReceiver<T> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, buffer: FrameBuffer::default(), frame: PhantomData }
    }

    /// Returns the next frame. Fails if it can't be decoded or the stream is closed.
    pub async fn receive(&mut self) -> Result<T, WireError> {
        loop {
            if let Some(frame) = self.buffer.try_next()? {
                return Ok(frame);
            }
            let data = self.stream.data().await;
            let data = data.ok_or_else(|| closed_error("the peer closed the stream"))?.map_err(closed_error)?;
            self.buffer.extend(&data);
            self.stream.flow_control().release_capacity(data.len()).map_err(closed_error)?;
        }
    }
}
