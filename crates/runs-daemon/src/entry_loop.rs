//! Carries out the actions of an entry's control state.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use tokio::sync::oneshot;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::run_frames::{OrderFrame, RunFrame};
use vanillacleat_core::units::MonoTime;
use vanillacleat_daemon::ControlStep;
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchAction, DispatchControl, DispatchEvent};
use vanillacleat_wire::SessionQueue;

/// An `EntryInput` is what the control thread takes.
#[derive(Debug)]
pub(crate) enum EntryInput {
    /// An event for the control state.
    Event(DispatchEvent),
    /// A caller's request.
    Requested(ReplyId, CallerRequest, oneshot::Sender<CallerAnswer>),
    /// An agent opened a session; its number is sent back.
    Opened(SessionQueue<OrderFrame>, oneshot::Sender<SessionId>),
    /// A request for the state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The daemon is dropped.
    Stop,
}

/// An `EntryStatus` is what traffic threads read of the control state.
#[derive(Debug, Default)]
pub(crate) struct EntryStatus {
    pub(crate) is_ready: AtomicBool,
    pub(crate) is_draining: AtomicBool,
}

/// An `EntryLoop` owns the control state and everything that its actions need.
pub(crate) struct EntryLoop {
    control: DispatchControl,
    status: Arc<EntryStatus>,
    replies: HashMap<ReplyId, oneshot::Sender<CallerAnswer>>,
    sessions: HashMap<SessionId, SessionQueue<OrderFrame>>,
    next_session: u64,
}

impl EntryLoop {
    pub(crate) fn new(control: DispatchControl, status: Arc<EntryStatus>) -> Self {
        Self { control, status, replies: HashMap::new(), sessions: HashMap::new(), next_session: 0 }
    }

    pub(crate) fn step(&mut self, now: MonoTime, input: EntryInput) -> ControlStep {
        let event = match input {
            EntryInput::Event(event) => event,
            EntryInput::Requested(reply, request, target) => {
                self.replies.insert(reply, target);
                DispatchEvent::Requested { reply, request }
            }
            EntryInput::Opened(queue, opened) => {
                self.next_session += 1;
                let session = SessionId(self.next_session);
                self.sessions.insert(session, queue);
                // An agent that has gone already ends its session by itself.
                let _ = opened.send(session);
                return ControlStep::Continue;
            }
            EntryInput::Dump(reply) => {
                // Whoever asked may have gone.
                let _ = reply.send(self.control.dump());
                return ControlStep::Continue;
            }
            EntryInput::Stop => return ControlStep::Stop,
        };
        match &event {
            DispatchEvent::SessionClosed(session) => drop(self.sessions.remove(session)),
            DispatchEvent::CallerDisconnected(reply) => drop(self.replies.remove(reply)),
            _ => {}
        }
        let actions = self.control.handle(now, event);
        let is_drained = actions.iter().any(|action| matches!(action, DispatchAction::Drained));
        actions.into_iter().for_each(|action| self.execute(action));
        self.publish();
        if is_drained {
            return ControlStep::Stop;
        }
        ControlStep::Continue
    }

    fn execute(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::Reply { reply, answer } => {
                count_answer(&answer);
                if let Some(target) = self.replies.remove(&reply) {
                    // A caller that has gone meanwhile is told nothing.
                    let _ = target.send(answer);
                }
            }
            DispatchAction::Send { session, frame } => {
                let is_sent = self.sessions.get(&session).is_some_and(|queue| queue.try_send(frame));
                if !is_sent {
                    self.sessions.remove(&session);
                }
            }
            DispatchAction::Close(session) => drop(self.sessions.remove(&session)),
            DispatchAction::Log(line) => log::info!("{line}"),
            DispatchAction::Drained => {}
        }
    }

    fn publish(&self) {
        self.status.is_ready.store(self.control.is_ready(), Ordering::Relaxed);
        self.status.is_draining.store(self.control.is_draining(), Ordering::Relaxed);
    }
}

fn count_answer(answer: &CallerAnswer) {
    let kind = match answer {
        CallerAnswer::Ended(_) => "ended",
        CallerAnswer::Phase(_) | CallerAnswer::QueueLength(_) => "read",
        CallerAnswer::UnknownJob => "unknown",
        CallerAnswer::Cancelled => "cancelled",
        CallerAnswer::NoRoute => "no_route",
        CallerAnswer::Refused { .. } => "refused",
        CallerAnswer::Abandoned(_) => "abandoned",
        CallerAnswer::Malformed(_) => "malformed",
    };
    metrics::counter!("runs_answers_total", "kind" => kind).increment(1);
}

/// The frames of agents as events.
pub(crate) fn frame_event(session: SessionId, frame: RunFrame) -> EntryInput {
    EntryInput::Event(DispatchEvent::Frame { session, frame })
}
