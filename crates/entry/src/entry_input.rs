//! Inputs of the entry's control thread.

use tokio::sync::oneshot;
use vanillacleat_control::entry::{CallerCall, CallerReply, EntryEvent};
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentFrame, EntryFrame, Envelope, PeerCall, PeerReply};
use vanillacleat_daemon::EventSink;
use vanillacleat_wire::SessionQueue;

/// The queue of outgoing frames of one session with an agent.
pub(crate) type FrameQueue = SessionQueue<Envelope<EntryFrame>>;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum EntryInput {
    /// Passes an event to the control state.
    Event(EntryEvent),
    /// A call from a caller or an operator, with the channel for its reply.
    Call(CallerCall, oneshot::Sender<CallerReply>),
    /// A call from another entry, with the channel for its reply.
    PeerCall(Envelope<PeerCall>, oneshot::Sender<Envelope<PeerReply>>),
    /// Registers a session that an agent opened. The id assigned to it is sent back.
    RegisterSession(FrameQueue, oneshot::Sender<SessionId>),
    /// A frame received from an agent.
    Frame(SessionId, Envelope<AgentFrame>),
    /// A session with an agent was closed or lost.
    SessionClosed(SessionId),
    /// Stops the control thread because the daemon is dropped.
    Stop,
}

/// Sends inputs from I/O tasks to the control thread.
pub(crate) type InputSink = EventSink<EntryInput>;
