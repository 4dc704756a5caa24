//! The listening port of the system's own frames.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use vanillacleat_core::frames::{AgentFrame, EntryFrame, Envelope, PeerCall, PeerReply};
use vanillacleat_daemon::EventSender;
use vanillacleat_wire::{accept_streams, CallStream, FrameReceiver, FrameSender, IncomingStream, SessionStream, WireError};

use crate::control_loop::{EntryInput, UNSENT_FRAMES_MAX};

type Events = EventSender<EntryInput>;

/// Starts the server; it ends with the runtime.
pub(crate) async fn start_server(address: SocketAddr, events: Events) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept_connections(listener, events));
    Ok(())
}

async fn accept_connections(listener: TcpListener, events: Events) {
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            continue;
        };
        let events = events.clone();
        tokio::spawn(async move {
            let ended = accept_streams(socket, |stream| serve_stream(stream, events.clone())).await;
            if let Err(error) = ended {
                log::debug!("event=connection_ended peer={peer} cause={:?}", error.to_string());
            }
        });
    }
}

fn serve_stream(stream: IncomingStream, events: Events) {
    match stream {
        IncomingStream::Session(session) => drop(tokio::spawn(serve_session(session, events))),
        IncomingStream::Call(call) => drop(tokio::spawn(serve_call(call, events))),
    }
}

async fn serve_call(call: CallStream, events: Events) {
    let served = answer_call(call, events).await;
    if let Err(error) = served {
        log::info!("event=peer_call_failed cause={:?}", error.to_string());
    }
}

async fn answer_call(call: CallStream, events: Events) -> Result<(), WireError> {
    let (call, mut sender): (Envelope<PeerCall>, FrameSender<Envelope<PeerReply>>) = call.read().await?;
    let (target, reply) = oneshot::channel();
    events.send(EntryInput::PeerCall(call, target));
    match reply.await {
        Ok(reply) => sender.send_last(&reply).await,
        Err(_) => Err(WireError::Closed("the entry has ended".to_owned())),
    }
}

async fn serve_session(stream: SessionStream, events: Events) {
    let Ok((sender, receiver)) = stream.open() else {
        return;
    };
    let (frames, queue) = mpsc::channel(UNSENT_FRAMES_MAX);
    let (opened, session) = oneshot::channel();
    events.send(EntryInput::Opened(frames, opened));
    let Ok(session) = session.await else {
        return;
    };
    let cause = tokio::select! {
        cause = write_frames(sender, queue) => cause,
        cause = read_frames(receiver, |frame| events.send(EntryInput::Frame(session, frame))) => cause,
    };
    log::info!("event=session_ended session={session} cause={:?}", cause.to_string());
    events.send(EntryInput::Gone(session));
}

async fn write_frames(mut sender: FrameSender<Envelope<EntryFrame>>, mut queue: mpsc::Receiver<Envelope<EntryFrame>>) -> WireError {
    while let Some(frame) = queue.recv().await {
        if let Err(error) = sender.send(&frame).await {
            return error;
        }
    }
    WireError::Closed("the entry ended the session".to_owned())
}

async fn read_frames(mut receiver: FrameReceiver<Envelope<AgentFrame>>, take_frame: impl Fn(Envelope<AgentFrame>)) -> WireError {
    loop {
        match receiver.receive().await {
            Ok(frame) => take_frame(frame),
            Err(error) => return error,
        }
    }
}
