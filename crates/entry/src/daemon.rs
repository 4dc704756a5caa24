//! Start and end of an entry.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use tokio::runtime::Handle;
use vanillacleat_control::entry::{EntryControl, EntryEvent, EntryOptions};
use vanillacleat_core::ids::Incarnation;
use vanillacleat_core::settings::EntrySettings;
use vanillacleat_core::ticket::TicketSecret;
use vanillacleat_daemon::{install_metrics, spawn_control, DaemonError, ProcessHandle, ProcessRuntime, ThreadPause};
use vanillacleat_etcd_gateway::{PlatformClient, PlatformOptions};

use crate::control_loop::ControlLoop;
use crate::entry_input::EntryInput;
use crate::{http_api, mesh_server};

/// Traffic threads of an entry.
const TRAFFIC_THREADS: usize = 2;

/// An `EntryDaemon` is a running entry. Dropping it ends it at once, as a killed process.
#[derive(Debug)]
pub struct EntryDaemon {
    /// Where callers and operators connect.
    pub http_address: SocketAddr,
    /// Where agents and other entries connect.
    pub mesh_address: SocketAddr,
    process: ProcessHandle<EntryInput>,
}

impl EntryDaemon {
    /// Starts an entry, or says why it can't start.
    pub fn start(settings: &EntrySettings) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("entry-traffic", TRAFFIC_THREADS).change_context(DaemonError::Start)?;
        let pause = ThreadPause::default();
        let platform = PlatformClient::new(platform_options(settings));
        let control = EntryControl::new(make_options(settings));
        let mut control_loop = ControlLoop::new(control, settings.id.clone(), platform, runtime.handle());
        let outlet = control_loop.event_sink();
        let step = move |now, input| control_loop.step(now, input);
        let tick = || EntryInput::Event(EntryEvent::Tick);
        let (events, thread) = spawn_control("entry-control", pause.clone(), tick, step).change_context(DaemonError::Start)?;
        outlet.set(events.clone());
        runtime.block_on(mesh_server::start_server(settings.mesh_listen, events.clone())).change_context(DaemonError::Start)?;
        runtime.block_on(http_api::start_server(settings.http_listen, events.clone())).change_context(DaemonError::Start)?;
        log::info!(
            "event=entry_started entry={} zone={} http={} mesh={}",
            settings.id,
            settings.zone,
            settings.http_listen,
            settings.mesh_listen
        );
        let (http_address, mesh_address) = (settings.http_listen, settings.mesh_listen);
        let process = ProcessHandle::new(events, || EntryInput::Stop, pause, thread, runtime);
        Ok(Self { http_address, mesh_address, process })
    }

    /// Returns the traffic threads.
    pub fn traffic(&self) -> Handle {
        self.process.runtime().handle()
    }

    /// Returns the hold on the control thread, for experiments.
    pub fn pause(&self) -> ThreadPause {
        self.process.pause()
    }

    /// Asks the entry to leave and waits until it has: open jobs end, and a peer takes the kept answers.
    pub fn drain(self) {
        self.process.drain(EntryInput::Event(EntryEvent::Drain));
    }

    /// Waits until the process is asked to leave, then drains.
    pub fn run(self) -> Result<(), Report<DaemonError>> {
        self.process.run(EntryInput::Event(EntryEvent::Drain))
    }
}

fn platform_options(settings: &EntrySettings) -> PlatformOptions {
    PlatformOptions { addresses: settings.platform.clone(), key_prefix: settings.key_prefix.clone(), ..PlatformOptions::default() }
}

fn make_options(settings: &EntrySettings) -> EntryOptions {
    EntryOptions {
        id: settings.id.clone(),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        address: settings.mesh_listen.to_smolstr(),
        seeds: settings.seeds.iter().map(|seed| -> SmolStr { seed.to_smolstr() }).collect(),
        secret: TicketSecret::new(settings.ticket_secret.as_bytes()),
        policy: settings.policy.clone(),
        seed: rand::random(),
    }
}
