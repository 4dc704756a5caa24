//! Inputs of the agent's control thread.

use tokio::sync::oneshot;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentFrame, Envelope};
use vanillacleat_daemon::EventSink;
use vanillacleat_wire::SessionQueue;

/// A frame that the agent sends to an entry.
pub(crate) type OutgoingFrame = Envelope<AgentFrame>;
/// The queue of outgoing frames of one session.
pub(crate) type FrameQueue = SessionQueue<OutgoingFrame>;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum AgentInput {
    /// Passes an event to the control state.
    Event(AgentEvent),
    /// Registers the queue of a session. Sent before the session's first event.
    RegisterSession(SessionId, FrameQueue),
    /// Queries whether the agent accepts work.
    Health(oneshot::Sender<bool>),
    /// Requests a dump of the control state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Stops the control thread because the daemon is dropped.
    Stop,
}

/// Sends inputs from I/O tasks to the control thread.
pub(crate) type InputSink = EventSink<AgentInput>;
