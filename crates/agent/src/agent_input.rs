//! What the agent's control thread takes.

use tokio::sync::oneshot;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentFrame, Envelope};
use vanillacleat_daemon::EventSink;
use vanillacleat_wire::SessionQueue;

/// A frame to an entry.
pub(crate) type SentFrame = Envelope<AgentFrame>;
/// The frames to one entry.
pub(crate) type SessionWriter = SessionQueue<SentFrame>;

/// An `AgentInput` is what the control thread takes.
#[derive(Debug)]
pub(crate) enum AgentInput {
    /// An event for the control state.
    Event(AgentEvent),
    /// A session's writer, before the session's first event.
    Opened(SessionId, SessionWriter),
    /// A question whether work is taken.
    Health(oneshot::Sender<bool>),
    /// A request for the state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The daemon is dropped.
    Stop,
}

/// Where traffic tasks hand their events.
pub(crate) type InputSink = EventSink<AgentInput>;
