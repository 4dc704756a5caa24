//! Starting and stopping an agent.

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use std::net::SocketAddr;
use tokio::runtime::Handle;
use vanillacleat_control::agent::{AgentControl, AgentEvent, AgentOptions};
use vanillacleat_core::ids::{Incarnation, ProcessStart, WorkerKey};
use vanillacleat_core::job::TaskDemand;
use vanillacleat_core::settings::AgentSettings;
use vanillacleat_daemon::{
    install_metrics, spawn_control_thread, unix_millis, DaemonError, PauseSwitch, ProcessHandle, ProcessRuntime, StopSignal,
};

use crate::agent_input::AgentInput;
use crate::control_loop::ControlLoop;
use crate::http_api;

/// Number of threads of an agent's I/O runtime.
const RUNTIME_THREADS: usize = 2;

/// A running agent. Dropping it stops it at once and without a drain, like a killed process.
#[derive(Debug)]
pub struct AgentDaemon {
    /// The address of the HTTP server, where upstreams announce themselves and operators read the state.
    pub http_address: SocketAddr,
    process: ProcessHandle<AgentInput>,
}

impl AgentDaemon {
    /// Starts an agent. Returns once its HTTP server accepts connections.
    pub fn start(settings: &AgentSettings) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("agent-traffic", RUNTIME_THREADS).change_context(DaemonError::Start)?;
        let pause = PauseSwitch::default();
        let control = AgentControl::new(control_options(settings));
        let mut control_loop = ControlLoop::new(control, settings.id.clone(), settings.gate.connections, runtime.handle());
        let sink = control_loop.event_sink();
        let step = move |now, input| control_loop.step(now, input);
        let (events, thread) = spawn_control_thread("agent-control", pause.clone(), || AgentInput::Event(AgentEvent::Tick), step)
            .change_context(DaemonError::Start)?;
        sink.set(events.clone());
        let http_server = http_api::start_server(settings.http_listen, events.clone());
        let http_address = runtime.block_on(http_server).change_context(DaemonError::Start)?;
        log::info!("event=agent_started agent={} zone={} http={http_address}", settings.id, settings.zone);
        let process = ProcessHandle::new(events, || AgentInput::Stop, pause, thread, runtime);
        Ok(Self { http_address, process })
    }

    /// Returns a handle to the I/O runtime.
    pub fn runtime_handle(&self) -> Handle {
        self.process.runtime().handle()
    }

    /// Returns the switch that pauses the control thread, for tests and experiments.
    pub fn pause(&self) -> PauseSwitch {
        self.process.pause()
    }

    /// Drains the agent and waits until it has exited. Queued tasks are returned to their homes; running tasks are
    /// awaited.
    pub fn drain(self) {
        self.process.drain(AgentInput::Event(AgentEvent::Drain));
    }

    /// Waits for a signal that asks the process to exit, then drains the agent.
    pub fn run(self, stop: StopSignal) {
        self.process.run(stop, AgentInput::Event(AgentEvent::Drain));
    }
}

fn control_options(settings: &AgentSettings) -> AgentOptions {
    AgentOptions {
        worker: WorkerKey { agent: settings.id.clone(), incarnation: Incarnation(rand::random()) },
        process_start: ProcessStart(unix_millis()),
        zone: settings.zone.clone(),
        capacity: TaskDemand { memory_mb: settings.capacity.memory_mb, accelerators: settings.capacity.accelerators },
        entries: settings.entries.iter().map(|address| -> SmolStr { address.to_smolstr() }).collect(),
        gate: settings.gate.clone(),
        seed: rand::random(),
    }
}
