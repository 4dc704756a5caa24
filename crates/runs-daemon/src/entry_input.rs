//! What the threads of an entry pass to its control thread.

use tokio::sync::oneshot;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::peer_frames::PeerFrame;
use vanillacleat_core::run_frames::OrderFrame;
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchEvent};
use vanillacleat_wire::SessionQueue;

/// Input of the control thread.
#[derive(Debug)]
pub(crate) enum EntryInput {
    /// An event for the control state.
    Event(DispatchEvent),
    /// A caller's request, and the channel for its answer.
    Request(ReplyId, CallerRequest, oneshot::Sender<CallerAnswer>),
    /// Adds the outgoing queue of a session that an agent opened, and returns the session's id through the channel.
    RegisterSession(SessionQueue<OrderFrame>, oneshot::Sender<SessionId>),
    /// Adds the outgoing queue of a link to another entry, and returns the link's session through the channel.
    RegisterPeer(SessionQueue<PeerFrame>, oneshot::Sender<SessionId>),
    /// Requests a dump of the control state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Stops the control thread, because the daemon was dropped.
    Stop,
}
