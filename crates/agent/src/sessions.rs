//! Sessions with entries.

use std::net::SocketAddr;

use smol_str::SmolStr;
use tokio::sync::mpsc;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentFrame, EntryFrame, Envelope};
use vanillacleat_wire::{FrameReceiver, FrameSender, WireConnection, WireError};

use crate::control_loop::{AgentInput, Outlet};

/// Frames that may wait to be sent on one session; a session that falls further behind is ended.
const UNSENT_FRAMES_MAX: usize = 4_096;

type SentFrame = Envelope<AgentFrame>;
type ReceivedFrame = Envelope<EntryFrame>;

/// A `SessionWriter` queues frames for one session. Dropping it ends the session.
#[derive(Debug)]
pub(crate) struct SessionWriter {
    frames: mpsc::Sender<SentFrame>,
}

impl SessionWriter {
    /// Queues a frame; returns whether there was room.
    pub(crate) fn try_send(&self, frame: SentFrame) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}

/// Opens a session with the entry at `address` and carries it until it ends.
pub(crate) async fn dial_entry(session: SessionId, address: SmolStr, outlet: Outlet) {
    let opened = open_session(&address).await;
    let Ok((connection, sender, receiver)) = opened else {
        return outlet.send(AgentInput::Event(AgentEvent::SessionGone { session: None, address }));
    };
    let (frames, queue) = mpsc::channel(UNSENT_FRAMES_MAX);
    outlet.send(AgentInput::Opened(session, SessionWriter { frames }));
    outlet.send(AgentInput::Event(AgentEvent::SessionUp { session, address: address.clone() }));
    tokio::select! {
        () = write_frames(sender, queue) => {}
        () = read_frames(session, receiver, outlet.clone()) => {}
    }
    drop(connection);
    outlet.send(AgentInput::Event(AgentEvent::SessionGone { session: Some(session), address }));
}

type OpenedSession = (WireConnection, FrameSender<SentFrame>, FrameReceiver<ReceivedFrame>);

async fn open_session(address: &str) -> Result<OpenedSession, WireError> {
    let address: SocketAddr = address.parse().map_err(|_| WireError::Closed(format!("{address} is no address")))?;
    let connection = WireConnection::connect(address).await?;
    let (sender, receiver) = connection.open_session().await?;
    Ok((connection, sender, receiver))
}

async fn write_frames(mut sender: FrameSender<SentFrame>, mut queue: mpsc::Receiver<SentFrame>) {
    while let Some(frame) = queue.recv().await {
        if sender.send(&frame).await.is_err() {
            return;
        }
    }
}

async fn read_frames(session: SessionId, mut receiver: FrameReceiver<ReceivedFrame>, outlet: Outlet) {
    loop {
        match receiver.receive().await {
            Ok(frame) => outlet.send(AgentInput::Event(AgentEvent::Frame { session, frame })),
            Err(error) => {
                log::info!("event=session_ended session={session} cause={:?}", error.to_string());
                return;
            }
        }
    }
}
