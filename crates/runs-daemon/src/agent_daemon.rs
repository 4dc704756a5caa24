//! Start and end of an agent for leased runs.

use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use vanillacleat_core::ids::Incarnation;
use vanillacleat_daemon::{install_metrics, spawn_control, DaemonError, EventSender, ProcessHandle, ProcessRuntime, ThreadPause};
use vanillacleat_runs::agent::{RunnerControl, RunnerEvent, RunnerOptions, WorkerNotice};

use crate::agent_loop::{AgentInput, AgentLoop, WorkerPort};
use crate::run_settings::RunsAgentSettings;

/// Traffic threads; the hosts have a share of one core.
const TRAFFIC_THREADS: usize = 1;

/// An `AgentPort` is where the adapters of the worker and of the platform reach an agent.
#[derive(Clone, Debug)]
pub struct AgentPort {
    events: EventSender<AgentInput>,
}

impl AgentPort {
    /// Hands over a heartbeat of the worker.
    pub fn announce(&self, notice: WorkerNotice) {
        self.events.send(AgentInput::Event(RunnerEvent::Announced(notice)));
    }

    /// Notes that the worker of this name ends.
    pub fn report_worker_left(&self, worker: SmolStr) {
        self.events.send(AgentInput::Event(RunnerEvent::WorkerLeft(worker)));
    }

    /// Hands over the addresses of all entries.
    pub fn update_entries(&self, entries: Vec<SmolStr>) {
        self.events.send(AgentInput::Event(RunnerEvent::EntriesRead(entries)));
    }

    /// Returns the whole state, or nothing if the process is ending.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (reply, state) = oneshot::channel();
        self.events.send(AgentInput::Dump(reply));
        state.await.ok()
    }
}

/// A `RunsAgent` is a running agent. Dropping it ends it at once, as a killed process.
#[derive(Debug)]
pub struct RunsAgent {
    port: AgentPort,
    process: ProcessHandle<AgentInput>,
}

impl RunsAgent {
    /// Starts an agent that calls its worker through `worker`, or says why it can't start.
    pub fn start(settings: &RunsAgentSettings, worker: WorkerPort) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("agent-traffic", TRAFFIC_THREADS).change_context(DaemonError::Start)?;
        let pause = ThreadPause::default();
        let control = RunnerControl::new(make_options(settings));
        let mut agent_loop = AgentLoop::new(control, worker, runtime.handle());
        let outlet = agent_loop.event_sink();
        let step = move |now, input| agent_loop.step(now, input);
        let tick = || AgentInput::Event(RunnerEvent::Tick);
        let (events, thread) = spawn_control("agent-control", pause.clone(), tick, step).change_context(DaemonError::Start)?;
        outlet.set(events.clone());
        log::info!("event=agent_started agent={} zone={}", settings.id, settings.zone);
        let port = AgentPort { events: events.clone() };
        let process = ProcessHandle::new(events, || AgentInput::Stop, pause, thread, runtime);
        Ok(Self { port, process })
    }

    /// Returns where adapters reach the agent.
    pub fn port(&self) -> AgentPort {
        self.port.clone()
    }

    /// Returns the traffic threads.
    pub fn traffic(&self) -> Handle {
        self.process.runtime().handle()
    }

    /// Returns the switch that freezes the control thread.
    pub fn pause(&self) -> ThreadPause {
        self.process.pause()
    }

    /// Waits until the process is asked to leave, then until its runs have ended.
    pub fn run(self) -> Result<(), Report<DaemonError>> {
        self.process.run(AgentInput::Event(RunnerEvent::Drain))
    }
}

fn make_options(settings: &RunsAgentSettings) -> RunnerOptions {
    RunnerOptions {
        agent: settings.id.clone(),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        entries: settings.entries.iter().map(|entry| -> SmolStr { entry.to_smolstr() }).collect(),
        // The clock orders the agents of one host; a refusal raises the token where it stepped back.
        token: SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |at| at.as_millis() as u64),
        terms: settings.leases.terms(),
        drain_max: settings.leases.drain_max(),
        seed: rand::random(),
    }
}
