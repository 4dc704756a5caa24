//! The transfer of a session's frames: queued frames are sent, and received frames are passed to a handler.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::errors::{closed_error, WireError};
use crate::streams::{FrameReceiver, FrameSender};

/// Maximum number of frames queued for one session. The owner of a [`SessionQueue`] closes a session whose queue is full.
const UNSENT_FRAMES_MAX: usize = 4_096;

/// The sending end of a session's queue of outgoing frames. Dropping it closes the session.
#[derive(Debug)]
pub struct SessionQueue<S> {
    frames: mpsc::Sender<S>,
}

impl<S> SessionQueue<S> {
    /// Queues a frame without blocking. Returns `false` if the queue is full or the session is closed.
    pub fn try_send(&self, frame: S) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// The receiving end of a [`SessionQueue`].
#[derive(Debug)]
pub struct UnsentFrames<S> {
    frames: mpsc::Receiver<S>,
}

/// Returns the two ends of a new queue.
pub fn session_queue<S>() -> (SessionQueue<S>, UnsentFrames<S>) {
    let (sender, receiver) = mpsc::channel(UNSENT_FRAMES_MAX);
    (SessionQueue { frames: sender }, UnsentFrames { frames: receiver })
}

/// Sends the frames of `unsent` and passes received frames to `handle_frame` until the session is closed or lost. Returns
/// the reason why it ended.
pub async fn run_session<S: Serialize, R: DeserializeOwned>(
    sender: FrameSender<S>,
    receiver: FrameReceiver<R>,
    unsent: UnsentFrames<S>,
    handle_frame: impl FnMut(R),
) -> WireError {
    tokio::select! {
        cause = write_frames(sender, unsent) => cause,
        cause = read_frames(receiver, handle_frame) => cause,
    }
}

async fn write_frames<S: Serialize>(mut sender: FrameSender<S>, mut unsent: UnsentFrames<S>) -> WireError {
    while let Some(frame) = unsent.frames.recv().await {
        if let Err(error) = sender.send(&frame).await {
            return error;
        }
    }
    closed_error("this side closed the session")
}

async fn read_frames<R: DeserializeOwned>(mut receiver: FrameReceiver<R>, mut handle_frame: impl FnMut(R)) -> WireError {
    loop {
        match receiver.receive().await {
            Ok(frame) => handle_frame(frame),
            Err(error) => return error,
        }
    }
}
