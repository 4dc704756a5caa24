//! Passes inputs to an entry's control state and executes the actions that it returns.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use tokio::runtime::Handle;
use tokio::sync::oneshot;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::run_frames::{OrderFrame, RunFrame};
use vanillacleat_core::units::MonoTime;
use vanillacleat_daemon::{ControlStep, EventBatch, EventSink};
use vanillacleat_runs::entry::{CallerAnswer, DispatchAction, DispatchControl, DispatchEvent, PeerAction, PeerEvent};
use vanillacleat_wire::SessionQueue;

use crate::caller_confirmation::confirm_callers;
use crate::entry_input::EntryInput;
use crate::entry_metrics::EntryMetrics;
use crate::peer_sessions::{dial_peer, PeerQueues};

/// The part of the control state that I/O threads read.
#[derive(Debug, Default)]
pub(crate) struct EntryStatus {
    pub(crate) is_ready: AtomicBool,
    pub(crate) is_draining: AtomicBool,
}

/// Owns the control state and the resources that its actions need.
pub(crate) struct EntryLoop {
    control: DispatchControl,
    status: Arc<EntryStatus>,
    answer_senders: HashMap<ReplyId, oneshot::Sender<CallerAnswer>>,
    session_queues: HashMap<SessionId, SessionQueue<OrderFrame>>,
    peer_queues: PeerQueues,
    next_session: u64,
    runtime_handle: Handle,
    event_sink: EventSink<EntryInput>,
    metrics: EntryMetrics,
}

impl EntryLoop {
    pub(crate) fn new(control: DispatchControl, status: Arc<EntryStatus>, runtime_handle: Handle) -> Self {
        Self {
            control,
            status,
            answer_senders: HashMap::new(),
            session_queues: HashMap::new(),
            peer_queues: PeerQueues::default(),
            next_session: 0,
            runtime_handle,
            event_sink: EventSink::default(),
            metrics: EntryMetrics::new(),
        }
    }

    /// Returns the sink through which the loop's own tasks send inputs. Connect it to the control thread.
    pub(crate) fn event_sink(&self) -> EventSink<EntryInput> {
        self.event_sink.clone()
    }

    /// Handles the inputs that are waiting.
    pub(crate) fn step(&mut self, now: MonoTime, batch: EventBatch<EntryInput>) -> ControlStep {
        self.metrics.control_lag.record(batch.lag.as_secs_f64());
        let mut events = Vec::with_capacity(batch.events.len());
        for input in batch.events {
            match input {
                EntryInput::Event(event) => events.push(event),
                EntryInput::Request(reply, request, answer_sender) => {
                    self.answer_senders.insert(reply, answer_sender);
                    events.push(DispatchEvent::Requested { reply, request });
                }
                EntryInput::RegisterSession(queue, session_sender) => self.register_session(queue, session_sender),
                EntryInput::RegisterPeer(queue, session_sender) => {
                    self.next_session += 1;
                    self.peer_queues.add(SessionId(self.next_session), queue, session_sender);
                }
                // The send fails if the requester has disconnected.
                EntryInput::Dump(state_sender) => drop(state_sender.send(self.control.dump())),
                EntryInput::Stop => return ControlStep::Stop,
            }
        }
        for event in &events {
            match event {
                DispatchEvent::SessionClosed(session) => drop(self.session_queues.remove(session)),
                DispatchEvent::Peer(PeerEvent::Closed(session)) => self.peer_queues.remove(*session),
                DispatchEvent::CallerDisconnected(reply) => drop(self.answer_senders.remove(reply)),
                _ => {}
            }
        }
        let actions = self.control.handle_batch(now, batch.lag, events);
        let is_drained = actions.iter().any(|action| matches!(action, DispatchAction::Drained));
        actions.into_iter().for_each(|action| self.execute(action));
        self.publish_status();
        if is_drained {
            return ControlStep::Stop;
        }
        ControlStep::Continue
    }

    fn register_session(&mut self, queue: SessionQueue<OrderFrame>, session_sender: oneshot::Sender<SessionId>) {
        self.next_session += 1;
        let session = SessionId(self.next_session);
        self.session_queues.insert(session, queue);
        // The send fails if the task that serves the session no longer exists. The session then ends with it.
        let _ = session_sender.send(session);
    }

    fn execute(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Reply { reply, answer } => {
                self.metrics.count_answer(answer.kind());
                if let Some(answer_sender) = self.answer_senders.remove(&reply) {
                    // The send fails if the caller has disconnected.
                    let _ = answer_sender.send(answer);
                }
            }
            DispatchAction::Send { session, frame } => {
                let is_sent = self.session_queues.get(&session).is_some_and(|queue| queue.try_send(frame));
                if !is_sent {
                    self.session_queues.remove(&session);
                }
            }
            DispatchAction::Close(session) => drop(self.session_queues.remove(&session)),
            DispatchAction::Peer(PeerAction::Dial(address)) => {
                self.runtime_handle.spawn(dial_peer(address, self.event_sink.clone()));
            }
            DispatchAction::Peer(PeerAction::Send { session, frame }) => self.peer_queues.send(session, frame),
            DispatchAction::Peer(PeerAction::Close(session)) => self.peer_queues.remove(session),
            DispatchAction::ConfirmCallers(number) => {
                let event_sink = self.event_sink.clone();
                self.runtime_handle.spawn(async move {
                    confirm_callers().await;
                    event_sink.send(EntryInput::Event(DispatchEvent::CallersConfirmed(number)));
                });
            }
            DispatchAction::Log(line) => log::info!("{line}"),
            DispatchAction::Measured(measurement) => self.metrics.record(measurement),
            DispatchAction::Drained => {}
        }
    }

    fn publish_status(&self) {
        self.metrics.sessions.set(self.session_queues.len() as f64);
        self.metrics.outdated_hellos.absolute(self.control.outdated_hellos());
        self.metrics.refused_speeds.absolute(self.control.refused_speeds());
        self.peer_queues.publish(&self.control);
        self.metrics.deadly_tasks.absolute(self.control.deadly_tasks());
        self.metrics.confined_routes.set(self.control.confined_routes() as f64);
        self.metrics.strained.set(if self.control.is_strained() { 1.0 } else { 0.0 });
        self.status.is_ready.store(self.control.is_ready(), Ordering::Relaxed);
        self.status.is_draining.store(self.control.is_draining(), Ordering::Relaxed);
    }
}

/// Returns the input for a frame that an agent sent.
pub(crate) fn make_frame_event(session: SessionId, frame: RunFrame) -> EntryInput {
    EntryInput::Event(DispatchEvent::Frame { session, frame })
}
