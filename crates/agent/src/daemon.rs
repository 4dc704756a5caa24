//! Start and end of an agent.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use tokio::runtime::Handle;
use vanillacleat_control::agent::{AgentControl, AgentEvent, AgentOptions};
use vanillacleat_core::ids::{Incarnation, WorkerKey};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::settings::AgentSettings;
use vanillacleat_daemon::{install_metrics, spawn_control, DaemonError, ProcessHandle, ProcessRuntime, ThreadPause};

use crate::agent_input::AgentInput;
use crate::control_loop::ControlLoop;
use crate::http_api;

/// Traffic threads of an agent.
const TRAFFIC_THREADS: usize = 2;

/// An `AgentDaemon` is a running agent. Dropping it ends it at once, as a killed process.
#[derive(Debug)]
pub struct AgentDaemon {
    /// Where upstreams announce themselves and state is read.
    pub http_address: SocketAddr,
    process: ProcessHandle<AgentInput>,
}

impl AgentDaemon {
    /// Starts an agent, or says why it can't start.
    pub fn start(settings: &AgentSettings) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("agent-traffic", TRAFFIC_THREADS).change_context(DaemonError::Start)?;
        let pause = ThreadPause::default();
        let control = AgentControl::new(make_options(settings));
        let mut control_loop = ControlLoop::new(control, settings.id.clone(), settings.gate.connections, runtime.handle());
        let outlet = control_loop.event_sink();
        let step = move |now, input| control_loop.step(now, input);
        let (events, thread) = spawn_control("agent-control", pause.clone(), || AgentInput::Event(AgentEvent::Tick), step)
            .change_context(DaemonError::Start)?;
        outlet.set(events.clone());
        runtime.block_on(http_api::start_server(settings.http_listen, events.clone())).change_context(DaemonError::Start)?;
        log::info!("event=agent_started agent={} zone={} http={}", settings.id, settings.zone, settings.http_listen);
        let process = ProcessHandle::new(events, || AgentInput::Stop, pause, thread, runtime);
        Ok(Self { http_address: settings.http_listen, process })
    }

    /// Returns the traffic threads.
    pub fn traffic(&self) -> Handle {
        self.process.runtime().handle()
    }

    /// Returns the hold on the control thread, for experiments.
    pub fn pause(&self) -> ThreadPause {
        self.process.pause()
    }

    /// Asks the agent to leave and waits until it has: queued tasks go back to their homes, running ones end.
    pub fn drain(self) {
        self.process.drain(AgentInput::Event(AgentEvent::Drain));
    }

    /// Waits until the process is asked to leave, then drains.
    pub fn run(self) -> Result<(), Report<DaemonError>> {
        self.process.run(AgentInput::Event(AgentEvent::Drain))
    }
}

fn make_options(settings: &AgentSettings) -> AgentOptions {
    AgentOptions {
        worker: WorkerKey { agent: settings.id.clone(), incarnation: Incarnation(rand::random()) },
        zone: settings.zone.clone(),
        capacity: TaskDemand { memory_mb: settings.capacity.memory_mb, accelerators: settings.capacity.accelerators },
        entries: settings.entries.iter().map(|address| -> SmolStr { address.to_smolstr() }).collect(),
        gate: settings.gate.clone(),
        seed: rand::random(),
    }
}
