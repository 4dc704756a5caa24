//! Passes inputs to an agent's control state and executes the actions that it returns.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics::{Counter, Gauge, Histogram};
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::timeout;
use vanillacleat_control::SessionId;
use vanillacleat_core::run_frames::{OrderFrame, RunFrame};
use vanillacleat_core::units::MonoTime;
use vanillacleat_daemon::{ControlStep, EventSink, SuspensionWatch};
use vanillacleat_runs::agent::{RunnerAction, RunnerControl, RunnerEvent, WorkerCall, WorkerReply};
use vanillacleat_wire::{run_session, session_queue, OpenSession, SessionQueue};

/// Time for sending the last frames before a drained agent exits.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// A call to the worker, with the worker name and the fencing token that it carries.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// The worker's name.
    pub worker: SmolStr,
    /// The agent's fencing token.
    pub fencing_token: u64,
    /// The call.
    pub call: WorkerCall,
}

/// Function that makes a call to the worker. The returned future must always complete; otherwise the call stays pending.
pub type WorkerPort = Arc<dyn Fn(WorkerRequest) -> Pin<Box<dyn Future<Output = WorkerReply> + Send>> + Send + Sync>;

/// Input of the control thread.
#[derive(Debug)]
pub(crate) enum AgentInput {
    /// An event for the control state.
    Event(RunnerEvent),
    /// Adds the outgoing queue of a session. Sent before the session's first event.
    RegisterSession(SessionId, SessionQueue<RunFrame>),
    /// Requests a dump of the control state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Stops the control thread, because the daemon was dropped.
    Stop,
}

/// Channel on which I/O tasks send inputs to the control thread.
pub(crate) type InputSink = EventSink<AgentInput>;

/// Owns the control state and the resources that its actions need.
pub(crate) struct AgentLoop {
    control: RunnerControl,
    event_sink: InputSink,
    runtime_handle: Handle,
    worker_port: WorkerPort,
    session_queues: HashMap<SessionId, SessionQueue<RunFrame>>,
    next_session: u64,
    suspension_watch: SuspensionWatch,
    runs_at_worker: Gauge,
    sessions: Gauge,
    refused_speeds: Counter,
    worker_crashes: Counter,
    /// Time from a start call until the worker has answered it.
    start_time: Histogram,
}

impl AgentLoop {
    pub(crate) fn new(control: RunnerControl, worker_port: WorkerPort, runtime_handle: Handle) -> Self {
        Self {
            control,
            event_sink: InputSink::default(),
            runtime_handle,
            worker_port,
            session_queues: HashMap::new(),
            next_session: 0,
            suspension_watch: SuspensionWatch::default(),
            runs_at_worker: metrics::gauge!("runs_at_worker"),
            sessions: metrics::gauge!("runs_sessions"),
            refused_speeds: metrics::counter!("runs_refused_speeds_total"),
            worker_crashes: metrics::counter!("runs_worker_crashes_total"),
            start_time: metrics::histogram!("runs_worker_start_seconds"),
        }
    }

    pub(crate) fn event_sink(&self) -> InputSink {
        self.event_sink.clone()
    }

    pub(crate) fn step(&mut self, now: MonoTime, input: AgentInput) -> ControlStep {
        let event = match input {
            AgentInput::Event(event) => event,
            AgentInput::RegisterSession(session, queue) => {
                self.session_queues.insert(session, queue);
                return ControlStep::Continue;
            }
            AgentInput::Dump(state_sender) => {
                // The send fails if the requester has disconnected.
                let _ = state_sender.send(self.control.dump());
                return ControlStep::Continue;
            }
            AgentInput::Stop => return ControlStep::Stop,
        };
        if let RunnerEvent::SessionClosed { session: Some(session), .. } = &event {
            self.session_queues.remove(session);
        }
        // Looked for after `now` was read, so that no event that is dated after a suspension is handled before it is known.
        let suspended = self.suspension_watch.detect().map(RunnerEvent::HostSuspended);
        let events = suspended.into_iter().chain([event]);
        let actions: Vec<RunnerAction> = events.flat_map(|event| self.control.handle(now, event)).collect();
        let is_drained = actions.iter().any(|action| matches!(action, RunnerAction::Drained));
        actions.into_iter().for_each(|action| self.execute(action));
        self.runs_at_worker.set(self.control.run_table().len() as f64);
        self.sessions.set(self.control.session_count() as f64);
        self.refused_speeds.absolute(self.control.refused_speeds());
        self.worker_crashes.absolute(self.control.crash_count());
        if is_drained {
            std::thread::sleep(FLUSH_DELAY);
            return ControlStep::Stop;
        }
        ControlStep::Continue
    }

    fn execute(&mut self, action: RunnerAction) {
        match action {
            RunnerAction::Dial(address) => {
                self.next_session += 1;
                let session = SessionId(self.next_session);
                self.runtime_handle.spawn(dial_entry(session, address, self.event_sink.clone()));
            }
            RunnerAction::Send { session, frame } => {
                let is_sent = self.session_queues.get(&session).is_some_and(|queue| queue.try_send(frame));
                if !is_sent {
                    self.session_queues.remove(&session);
                }
            }
            RunnerAction::Close(session) => drop(self.session_queues.remove(&session)),
            RunnerAction::Call { incarnation_number, worker, fencing_token, call } => {
                let start_time = matches!(call, WorkerCall::Start { .. }).then(|| (self.start_time.clone(), Instant::now()));
                let (event_sink, reply) = (self.event_sink.clone(), (self.worker_port)(WorkerRequest { worker, fencing_token, call }));
                self.runtime_handle.spawn(async move {
                    let reply = reply.await;
                    if let Some((histogram, called_at)) = start_time {
                        histogram.record(called_at.elapsed().as_secs_f64());
                    }
                    event_sink.send(AgentInput::Event(RunnerEvent::Replied { incarnation_number, reply }));
                });
            }
            RunnerAction::Log(line) => log::info!("{line}"),
            RunnerAction::EndRecorded { outcome, sign } => {
                metrics::counter!("runs_ended_total", "outcome" => outcome.as_str(), "evidence" => sign.as_str()).increment(1);
            }
            RunnerAction::Drained => {}
        }
    }
}

async fn dial_entry(session: SessionId, address: SmolStr, event_sink: InputSink) {
    let opened = timeout(crate::DIAL_TIMEOUT, OpenSession::<RunFrame, OrderFrame>::dial(&address)).await;
    let Ok(Ok(OpenSession { connection, sender, receiver })) = opened else {
        return event_sink.send(AgentInput::Event(RunnerEvent::SessionClosed { session: None, address }));
    };
    let (queue, unsent_frames) = session_queue();
    event_sink.send(AgentInput::RegisterSession(session, queue));
    event_sink.send(AgentInput::Event(RunnerEvent::SessionOpened { session, address: address.clone() }));
    let handle_frame = |frame| event_sink.send(AgentInput::Event(RunnerEvent::Frame { session, frame }));
    let cause = run_session(sender, receiver, unsent_frames, handle_frame).await;
    log::debug!("event=session_ended session={session} cause={:?}", cause.to_string());
    drop(connection);
    event_sink.send(AgentInput::Event(RunnerEvent::SessionClosed { session: Some(session), address }));
}
