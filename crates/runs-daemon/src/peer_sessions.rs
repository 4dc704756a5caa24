//! The links to other entries: dialing, serving and the queues of outgoing frames.

use std::collections::HashMap;

use metrics::{Counter, Gauge};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::timeout;
use vanillacleat_control::SessionId;
use vanillacleat_core::peer_frames::PeerFrame;
use vanillacleat_daemon::EventSink;
use vanillacleat_runs::entry::{DispatchControl, DispatchEvent, PeerEvent};
use vanillacleat_wire::{run_session, session_queue, FrameReceiver, FrameSender, OpenSession, SessionQueue, SessionStream};

use crate::entry_input::EntryInput;

/// The queues of the frames to peers.
pub(crate) struct PeerQueues {
    queues: HashMap<SessionId, SessionQueue<PeerFrame>>,
    peers: Gauge,
    lost_peers: Counter,
    lost_questions: Counter,
    refused_frames: Counter,
    claims: Counter,
}

impl Default for PeerQueues {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            peers: metrics::gauge!("runs_peers"),
            lost_peers: metrics::counter!("runs_peers_lost_total"),
            lost_questions: metrics::counter!("runs_job_questions_lost_total"),
            refused_frames: metrics::counter!("runs_peer_frames_refused_total"),
            claims: metrics::counter!("runs_job_claims_total"),
        }
    }
}

impl PeerQueues {
    pub(crate) fn add(&mut self, session: SessionId, queue: SessionQueue<PeerFrame>, session_sender: oneshot::Sender<SessionId>) {
        self.queues.insert(session, queue);
        // The send fails if the task that serves the link no longer exists. The link then ends with it.
        let _ = session_sender.send(session);
    }

    /// Queues a frame. A link whose queue is full is closed.
    pub(crate) fn send(&mut self, session: SessionId, frame: PeerFrame) {
        let is_sent = self.queues.get(&session).is_some_and(|queue| queue.try_send(frame));
        if !is_sent {
            self.queues.remove(&session);
        }
    }

    pub(crate) fn remove(&mut self, session: SessionId) {
        self.queues.remove(&session);
    }

    pub(crate) fn publish(&self, control: &DispatchControl) {
        self.peers.set(control.peer_count() as f64);
        self.lost_peers.absolute(control.lost_peers());
        self.lost_questions.absolute(control.lost_questions());
        self.refused_frames.absolute(control.refused_peer_frames());
        self.claims.absolute(control.claim_count());
    }
}

/// Dials an entry and serves the link until it is closed.
pub(crate) async fn dial_peer(address: SmolStr, event_sink: EventSink<EntryInput>) {
    let opened = timeout(crate::DIAL_TIMEOUT, OpenSession::<PeerFrame, PeerFrame>::dial_peer(&address)).await;
    let Ok(Ok(OpenSession { connection, sender, receiver })) = opened else {
        return event_sink.send(make_event(PeerEvent::DialFailed(address)));
    };
    serve_link(sender, receiver, Some(address), |input| event_sink.send(input)).await;
    drop(connection);
}

/// Serves a link that a peer has opened until it is closed.
pub(crate) async fn serve_peer(stream: SessionStream, send_input: impl Fn(EntryInput)) {
    if let Ok((sender, receiver)) = stream.open() {
        serve_link(sender, receiver, None, send_input).await;
    }
}

async fn serve_link(
    sender: FrameSender<PeerFrame>,
    receiver: FrameReceiver<PeerFrame>,
    dialed: Option<SmolStr>,
    send_input: impl Fn(EntryInput),
) {
    let (queue, unsent_frames) = session_queue();
    let (session_sender, session) = oneshot::channel();
    send_input(EntryInput::RegisterPeer(queue, session_sender));
    let Ok(session) = session.await else {
        return;
    };
    send_input(make_event(PeerEvent::Opened { session, dialed }));
    let handle_frame = |frame| send_input(make_event(PeerEvent::Frame { session, frame }));
    let cause = run_session(sender, receiver, unsent_frames, handle_frame).await;
    log::debug!("event=peer_session_ended session={session} cause={:?}", cause.to_string());
    send_input(make_event(PeerEvent::Closed(session)));
}

fn make_event(event: PeerEvent) -> EntryInput {
    EntryInput::Event(DispatchEvent::Peer(event))
}
