//! The process of an agent for leased runs: its start, its port for adapters and its drain.

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_daemon::{
    install_metrics, spawn_control_thread, unix_millis, DaemonError, EventSender, PauseSwitch, ProcessHandle, ProcessRuntime, StopSignal,
};
use vanillacleat_runs::agent::{RunnerControl, RunnerEvent, RunnerOptions, WorkerNotice};

use crate::agent_loop::{AgentInput, AgentLoop, WorkerPort};
use crate::run_settings::RunsAgentSettings;

/// Number of threads of the I/O runtime. The hosts provide only a share of one core.
const RUNTIME_THREADS: usize = 1;

/// Handle through which the adapters for the worker and for the platform reach an agent.
#[derive(Clone, Debug)]
pub struct AgentPort {
    events: EventSender<AgentInput>,
}

impl AgentPort {
    /// Reports a heartbeat of the worker.
    pub fn report_heartbeat(&self, notice: WorkerNotice) {
        self.events.send(AgentInput::Event(RunnerEvent::WorkerHeartbeat(notice)));
    }

    /// Reports that the worker with this name deregistered because it is exiting.
    pub fn report_deregistration(&self, worker: SmolStr) {
        self.events.send(AgentInput::Event(RunnerEvent::WorkerDeregistered(worker)));
    }

    /// Updates the entries that the agent selects from. Known entries that are missing from a list with zones are forgotten
    /// once they can't be reached.
    pub fn update_entries(&self, entries: Vec<EntryRecord>) {
        self.events.send(AgentInput::Event(RunnerEvent::EntriesRead(entries)));
    }

    /// Returns a dump of the control state, or `None` if the control thread has exited.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (state_sender, state) = oneshot::channel();
        self.events.send(AgentInput::Dump(state_sender));
        state.await.ok()
    }
}

/// A running agent. Dropping it stops the agent at once without a drain, as if the process were killed.
#[derive(Debug)]
pub struct RunsAgent {
    port: AgentPort,
    process: ProcessHandle<AgentInput>,
}

impl RunsAgent {
    /// Starts an agent that calls its worker through `worker_port`.
    pub fn start(settings: &RunsAgentSettings, worker_port: WorkerPort) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("agent-traffic", RUNTIME_THREADS).change_context(DaemonError::Start)?;
        let pause = PauseSwitch::default();
        let options = make_options(settings);
        let (incarnation, fencing_token) = (options.incarnation, options.fencing_token);
        let control = RunnerControl::new(options);
        let mut agent_loop = AgentLoop::new(control, worker_port, runtime.handle());
        let event_sink = agent_loop.event_sink();
        let step = move |now, input| agent_loop.step(now, input);
        let tick = || AgentInput::Event(RunnerEvent::Tick);
        let (events, thread) = spawn_control_thread("agent-control", pause.clone(), tick, step).change_context(DaemonError::Start)?;
        event_sink.set(events.clone());
        log::info!(
            "event=agent_started agent={} zone={} incarnation={incarnation} fencing_token={fencing_token}",
            settings.id,
            settings.zone
        );
        let port = AgentPort { events: events.clone() };
        let process = ProcessHandle::new(events, || AgentInput::Stop, pause, thread, runtime);
        Ok(Self { port, process })
    }

    /// Returns the port for adapters.
    pub fn port(&self) -> AgentPort {
        self.port.clone()
    }

    /// Returns the handle of the I/O runtime.
    pub fn runtime_handle(&self) -> Handle {
        self.process.runtime().handle()
    }

    /// Returns the switch that pauses the control thread.
    pub fn pause(&self) -> PauseSwitch {
        self.process.pause()
    }

    /// Waits until the process is asked to exit, then drains: waits until its runs have ended or the drain timeout has
    /// passed.
    pub fn run(self, stop: StopSignal) {
        self.process.run(stop, AgentInput::Event(RunnerEvent::Drain));
    }
}

fn make_options(settings: &RunsAgentSettings) -> RunnerOptions {
    RunnerOptions {
        agent: settings.id.clone(),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        entries: settings.entries.iter().map(|entry| -> SmolStr { entry.to_smolstr() }).collect(),
        // Taken from the wall clock, so that later agents of a host have higher tokens. If the clock was set back, the
        // worker rejects the token and the agent raises it.
        fencing_token: unix_millis().max(1),
        lease_terms: settings.leases.lease_terms(),
        drain_timeout: settings.leases.drain_timeout(),
        seed: rand::random(),
    }
}
