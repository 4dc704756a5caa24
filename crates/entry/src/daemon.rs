//! Starting and stopping an entry.

use std::net::{SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use tokio::runtime::Handle;
use vanillacleat_control::entry::{EntryControl, EntryEvent, EntryOptions};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::settings::EntrySettings;
use vanillacleat_core::ticket::TicketSecret;
use vanillacleat_daemon::{install_metrics, spawn_control_thread, DaemonError, PauseSwitch, ProcessHandle, ProcessRuntime, StopSignal};
use vanillacleat_etcd_gateway::{PlatformClient, PlatformOptions};

use crate::control_loop::ControlLoop;
use crate::entry_input::EntryInput;
use crate::{http_api, mesh_server};

/// Number of threads of an entry's I/O runtime.
const RUNTIME_THREADS: usize = 2;

/// A running entry. Dropping it stops it at once and without a drain, like a killed process.
#[derive(Debug)]
pub struct EntryDaemon {
    /// The address of the HTTP server, for callers and operators.
    pub http_address: SocketAddr,
    /// The address of the mesh server, for agents and other entries.
    pub mesh_address: SocketAddr,
    process: ProcessHandle<EntryInput>,
}

impl EntryDaemon {
    /// Starts an entry. Returns once both of its servers accept connections.
    pub fn start(settings: &EntrySettings) -> Result<Self, Report<DaemonError>> {
        let mesh_listener = TcpListener::bind(settings.mesh_listen).change_context(DaemonError::Start)?;
        Self::start_with_listener(settings, mesh_listener)
    }

    /// Starts an entry whose mesh server accepts connections on `mesh_listener`, so that other processes can be told its address
    /// before it starts. The address in the settings is not used.
    pub fn start_with_listener(settings: &EntrySettings, mesh_listener: TcpListener) -> Result<Self, Report<DaemonError>> {
        let mesh_address = mesh_listener.local_addr().change_context(DaemonError::Start)?;
        install_metrics();
        let runtime = ProcessRuntime::start("entry-traffic", RUNTIME_THREADS).change_context(DaemonError::Start)?;
        let pause = PauseSwitch::default();
        let platform = PlatformClient::new(platform_options(settings));
        let control = EntryControl::new(control_options(settings, mesh_address));
        let mut control_loop = ControlLoop::new(control, settings.id.clone(), platform, runtime.handle());
        let sink = control_loop.event_sink();
        let step = move |now, input| control_loop.step(now, input);
        let tick = || EntryInput::Event(EntryEvent::Tick);
        let (events, thread) = spawn_control_thread("entry-control", pause.clone(), tick, step).change_context(DaemonError::Start)?;
        sink.set(events.clone());
        runtime.block_on(mesh_server::start_server(mesh_listener, events.clone())).change_context(DaemonError::Start)?;
        let http_server = http_api::start_server(settings.http_listen, events.clone());
        let http_address = runtime.block_on(http_server).change_context(DaemonError::Start)?;
        log::info!("event=entry_started entry={} zone={} http={http_address} mesh={mesh_address}", settings.id, settings.zone);
        let process = ProcessHandle::new(events, || EntryInput::Stop, pause, thread, runtime);
        Ok(Self { http_address, mesh_address, process })
    }

    /// Returns a handle to the I/O runtime.
    pub fn runtime_handle(&self) -> Handle {
        self.process.runtime().handle()
    }

    /// Returns the switch that pauses the control thread, for tests and experiments.
    pub fn pause(&self) -> PauseSwitch {
        self.process.pause()
    }

    /// Drains the entry and waits until it has exited. Open jobs are awaited, and the retained answers are handed over to
    /// another entry.
    pub fn drain(self) {
        self.process.drain(EntryInput::Event(EntryEvent::Drain));
    }

    /// Waits for a signal that asks the process to exit, then drains the entry.
    pub fn run(self, stop: StopSignal) {
        self.process.run(stop, EntryInput::Event(EntryEvent::Drain));
    }
}

fn platform_options(settings: &EntrySettings) -> PlatformOptions {
    PlatformOptions { addresses: settings.platform.clone(), key_prefix: settings.key_prefix.clone(), ..PlatformOptions::default() }
}

fn control_options(settings: &EntrySettings, mesh_address: SocketAddr) -> EntryOptions {
    EntryOptions {
        id: settings.id.clone(),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        address: mesh_address.to_smolstr(),
        seeds: settings.seeds.iter().map(|seed| -> SmolStr { seed.to_smolstr() }).collect(),
        secret: TicketSecret::new(settings.ticket_secret.as_bytes()),
        policy: settings.policy.clone(),
        seed: rand::random(),
    }
}
