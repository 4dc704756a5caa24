//! Passes inputs to the control state and executes the actions that it returns.

use std::collections::HashMap;
use std::time::Duration;

use tokio::runtime::Handle;
use vanillacleat_control::agent::{AgentAction, AgentControl, AgentEvent};
use vanillacleat_control::SessionId;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::units::MonoTime;
use vanillacleat_daemon::ControlStep;

use crate::agent_input::{AgentInput, FrameQueue, InputSink};
use crate::sessions::dial_entry;
use crate::upstream_calls::UpstreamCaller;

/// Delay before a drained agent exits, so that its last frames are still sent.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Owns the control state and the resources needed to execute its actions.
pub(crate) struct ControlLoop {
    control: AgentControl,
    id: AgentId,
    sink: InputSink,
    runtime: Handle,
    upstreams: UpstreamCaller,
    queues: HashMap<SessionId, FrameQueue>,
    next_session: u64,
}

impl ControlLoop {
    pub(crate) fn new(control: AgentControl, id: AgentId, connections: u32, runtime: Handle) -> Self {
        let sink = InputSink::default();
        let upstreams = UpstreamCaller::new(sink.clone(), connections as usize);
        Self { control, id, sink, runtime, upstreams, queues: HashMap::new(), next_session: 0 }
    }

    pub(crate) fn event_sink(&self) -> InputSink {
        self.sink.clone()
    }

    pub(crate) fn step(&mut self, now: MonoTime, input: AgentInput) -> ControlStep {
        let event = match input {
            AgentInput::Event(event) => event,
            AgentInput::RegisterSession(session, queue) => {
                self.queues.insert(session, queue);
                return ControlStep::Continue;
            }
            AgentInput::Dump(reply) => {
                let _ = reply.send(self.control.dump());
                return ControlStep::Continue;
            }
            AgentInput::Health(reply) => {
                let _ = reply.send(!self.control.gate().is_draining());
                return ControlStep::Continue;
            }
            AgentInput::Stop => return ControlStep::Stop,
        };
        if let AgentEvent::SessionClosed { session: Some(session), .. } = &event {
            self.queues.remove(session);
        }
        let is_tick = matches!(event, AgentEvent::Tick);
        let actions = self.control.handle(now, event);
        let is_drained = actions.iter().any(|action| matches!(action, AgentAction::Drained));
        actions.into_iter().for_each(|action| self.execute(action));
        if is_tick {
            self.publish_metrics();
        }
        if is_drained {
            std::thread::sleep(FLUSH_DELAY);
            log::info!("event=agent_drained agent={}", self.id);
            return ControlStep::Stop;
        }
        ControlStep::Continue
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::Dial(address) => {
                self.next_session += 1;
                let session = SessionId(self.next_session);
                self.runtime.spawn(dial_entry(session, address, self.sink.clone()));
            }
            AgentAction::Send { session, envelope } => {
                let is_sent = self.queues.get(&session).is_some_and(|queue| queue.try_send(envelope));
                if !is_sent {
                    // Dropping the queue closes the session.
                    self.queues.remove(&session);
                }
            }
            AgentAction::Close(session) => drop(self.queues.remove(&session)),
            AgentAction::Start(order) => drop(self.runtime.spawn(self.upstreams.clone().run_task(order))),
            AgentAction::Drained => {}
        }
    }

    fn publish_metrics(&self) {
        let gate = self.control.gate();
        let label = || self.id.to_string();
        metrics::gauge!("agent_tasks_running", "agent" => label()).set(gate.running());
        metrics::gauge!("agent_tasks_queued", "agent" => label()).set(gate.queued() as f64);
        metrics::gauge!("agent_tasks_remembered", "agent" => label()).set(gate.retention_stats().0 as f64);
        metrics::counter!("agent_tasks_started_total", "agent" => label()).absolute(self.control.started());
    }
}
