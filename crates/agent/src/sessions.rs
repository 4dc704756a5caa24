//! The agent's sessions with entries.

use smol_str::SmolStr;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{EntryFrame, Envelope};
use vanillacleat_wire::{run_session, session_queue, OpenSession};

use crate::agent_input::{AgentInput, InputSink, OutgoingFrame};

type IncomingFrame = Envelope<EntryFrame>;

/// Opens a session with the entry at `address` and transfers its frames until it is closed or lost.
pub(crate) async fn dial_entry(session: SessionId, address: SmolStr, sink: InputSink) {
    let opened = OpenSession::<OutgoingFrame, IncomingFrame>::dial(&address).await;
    let Ok(OpenSession { connection, sender, receiver }) = opened else {
        return sink.send(AgentInput::Event(AgentEvent::SessionClosed { session: None, address }));
    };
    let (queue, unsent) = session_queue();
    sink.send(AgentInput::RegisterSession(session, queue));
    sink.send(AgentInput::Event(AgentEvent::SessionOpened { session, address: address.clone() }));
    let handle_frame = |frame| sink.send(AgentInput::Event(AgentEvent::Frame { session, frame }));
    let cause = run_session(sender, receiver, unsent, handle_frame).await;
    log::info!("event=session_ended session={session} cause={:?}", cause.to_string());
    drop(connection);
    sink.send(AgentInput::Event(AgentEvent::SessionClosed { session: Some(session), address }));
}
