//! The carrying of one session: frames queued by the control state go out, received frames come in.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::errors::{closed_error, WireError};
use crate::streams::{FrameReceiver, FrameSender};

/// Frames that may wait to be sent on one session; a session that falls further behind is ended.
const UNSENT_FRAMES_MAX: usize = 4_096;

/// A `SessionQueue` holds the frames that wait to be sent on one session. Dropping it ends the session.
#[derive(Debug)]
pub struct SessionQueue<S> {
    frames: mpsc::Sender<S>,
}

impl<S> SessionQueue<S> {
    /// Queues a frame; returns whether there was room.
    pub fn try_send(&self, frame: S) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// An `UnsentFrames` is the other end of a [`SessionQueue`].
#[derive(Debug)]
pub struct UnsentFrames<S> {
    frames: mpsc::Receiver<S>,
}

/// Returns a queue and its other end.
pub fn make_queue<S>() -> (SessionQueue<S>, UnsentFrames<S>) {
    let (sender, receiver) = mpsc::channel(UNSENT_FRAMES_MAX);
    (SessionQueue { frames: sender }, UnsentFrames { frames: receiver })
}

/// Carries a session until it ends; returns why.
pub async fn run_session<S: Serialize, R: DeserializeOwned>(
    sender: FrameSender<S>,
    receiver: FrameReceiver<R>,
    unsent: UnsentFrames<S>,
    take_frame: impl FnMut(R),
) -> WireError {
    tokio::select! {
        cause = write_frames(sender, unsent) => cause,
        cause = read_frames(receiver, take_frame) => cause,
    }
}

async fn write_frames<S: Serialize>(mut sender: FrameSender<S>, mut unsent: UnsentFrames<S>) -> WireError {
    while let Some(frame) = unsent.frames.recv().await {
        if let Err(error) = sender.send(&frame).await {
            return error;
        }
    }
    closed_error("this side ended the session")
}

async fn read_frames<R: DeserializeOwned>(mut receiver: FrameReceiver<R>, mut take_frame: impl FnMut(R)) -> WireError {
    loop {
        match receiver.receive().await {
            Ok(frame) => take_frame(frame),
            Err(error) => return error,
        }
    }
}
