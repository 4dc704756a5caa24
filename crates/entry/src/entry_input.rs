//! What the entry's control thread takes.

use tokio::sync::oneshot;
use vanillacleat_control::entry::{CallerCall, CallerReply, EntryEvent};
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentFrame, EntryFrame, Envelope, PeerCall, PeerReply};
use vanillacleat_daemon::EventSink;
use vanillacleat_wire::SessionQueue;

/// The frames to one agent.
pub(crate) type FrameQueue = SessionQueue<Envelope<EntryFrame>>;

/// An `EntryInput` is what the control thread takes.
#[derive(Debug)]
pub(crate) enum EntryInput {
    /// An event for the control state.
    Event(EntryEvent),
    /// A call of a caller or an operator.
    Call(CallerCall, oneshot::Sender<CallerReply>),
    /// A call of a peer.
    PeerCall(Envelope<PeerCall>, oneshot::Sender<Envelope<PeerReply>>),
    /// An agent opened a session; its number is sent back.
    Opened(FrameQueue, oneshot::Sender<SessionId>),
    /// An agent's frame.
    Frame(SessionId, Envelope<AgentFrame>),
    /// An agent's session ended.
    Gone(SessionId),
    /// The daemon is dropped.
    Stop,
}

/// Where traffic tasks hand their events.
pub(crate) type InputSink = EventSink<EntryInput>;
