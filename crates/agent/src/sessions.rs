//! Sessions with entries.

use smol_str::SmolStr;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{EntryFrame, Envelope};
use vanillacleat_wire::{make_queue, run_session, OpenSession};

use crate::agent_input::{AgentInput, InputSink, SentFrame};

type ReceivedFrame = Envelope<EntryFrame>;

/// Opens a session with the entry at `address` and carries it until it ends.
pub(crate) async fn dial_entry(session: SessionId, address: SmolStr, outlet: InputSink) {
    let opened = OpenSession::<SentFrame, ReceivedFrame>::dial(&address).await;
    let Ok(OpenSession { connection, sender, receiver }) = opened else {
        return outlet.send(AgentInput::Event(AgentEvent::SessionClosed { session: None, address }));
    };
    let (queue, unsent) = make_queue();
    outlet.send(AgentInput::Opened(session, queue));
    outlet.send(AgentInput::Event(AgentEvent::SessionOpened { session, address: address.clone() }));
    let take_frame = |frame| outlet.send(AgentInput::Event(AgentEvent::Frame { session, frame }));
    let cause = run_session(sender, receiver, unsent, take_frame).await;
    log::info!("event=session_ended session={session} cause={:?}", cause.to_string());
    drop(connection);
    outlet.send(AgentInput::Event(AgentEvent::SessionClosed { session: Some(session), address }));
}
