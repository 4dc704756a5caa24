//! The mesh server, which accepts sessions from agents and calls from other entries.

use tokio::net::TcpListener;
use tokio::sync::oneshot;
use vanillacleat_core::frames::{Envelope, PeerCall, PeerReply};
use vanillacleat_daemon::EventSender;
use vanillacleat_wire::{run_session, serve_listener, session_queue, CallStream, FrameSender, IncomingStream, SessionStream, WireError};

use crate::entry_input::EntryInput;

type Events = EventSender<EntryInput>;

/// Starts the server on `listener`. It runs until the runtime is shut down.
pub(crate) async fn start_server(listener: std::net::TcpListener, events: Events) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    tokio::spawn(serve_listener(listener, move |stream| serve_stream(stream, events.clone())));
    Ok(())
}

fn serve_stream(stream: IncomingStream, events: Events) {
    match stream {
        IncomingStream::Session(session) => drop(tokio::spawn(serve_session(session, events))),
        IncomingStream::PeerSession(_) => log::warn!("event=peer_session_ignored port=mesh"),
        IncomingStream::Call(call) => drop(tokio::spawn(serve_call(call, events))),
    }
}

async fn serve_call(call: CallStream, events: Events) {
    let result = answer_call(call, events).await;
    if let Err(error) = result {
        log::info!("event=peer_call_failed cause={:?}", error.to_string());
    }
}

async fn answer_call(call: CallStream, events: Events) -> Result<(), WireError> {
    let (call, mut sender): (Envelope<PeerCall>, FrameSender<Envelope<PeerReply>>) = call.receive().await?;
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
    let (queue, unsent) = session_queue();
    let (assigned, session) = oneshot::channel();
    events.send(EntryInput::RegisterSession(queue, assigned));
    let Ok(session) = session.await else {
        return;
    };
    let cause = run_session(sender, receiver, unsent, |frame| events.send(EntryInput::Frame(session, frame))).await;
    log::info!("event=session_ended session={session} cause={:?}", cause.to_string());
    events.send(EntryInput::SessionClosed(session));
}
