//! The process of an entry for leased runs: its start, its port for adapters, its sessions and its drain.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use vanillacleat_control::ReplyId;
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::run_frames::EntryRecord;
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_daemon::{
    install_metrics, serve_sockets, spawn_batch_thread, unix_millis, ConnectionGuard, ConnectionSlot, DaemonError, EventSender,
    GuardedStream, PauseSwitch, ProcessHandle, ProcessRuntime, StopSignal,
};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchControl, DispatchEvent, DispatchOptions};
use vanillacleat_wire::{run_session, serve_session_connection, session_queue, IncomingStream, SessionStream};

use crate::entry_input::EntryInput;
use crate::entry_loop::{make_frame_event, EntryLoop, EntryStatus};
use crate::peer_sessions::serve_peer;
use crate::run_settings::RunsEntrySettings;

/// Number of threads of the I/O runtime. The hosts provide only a share of one core.
const RUNTIME_THREADS: usize = 1;
/// Maximum time for which a draining entry still serves new requests. The load balancer stops sending new connections
/// only after two missed health checks, which are one second apart, and callers use open connections until then.
const DRAIN_DELAY_MAX: Duration = Duration::from_millis(3_200);

/// Handle through which the adapters for callers and for the platform reach an entry.
#[derive(Clone, Debug)]
pub struct EntryPort {
    events: EventSender<EntryInput>,
    status: Arc<EntryStatus>,
    next_reply: Arc<AtomicU64>,
}

/// Withdraws a caller's request if it is dropped before the answer, which happens when the caller disconnects.
struct RequestGuard<'a> {
    port: &'a EntryPort,
    reply: ReplyId,
    is_answered: bool,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.port.events.send(EntryInput::Event(DispatchEvent::CallerDisconnected(self.reply)));
        }
    }
}

impl EntryPort {
    /// Submits a request and returns its answer. Dropping the future withdraws the request.
    pub async fn submit_request(&self, request: CallerRequest) -> CallerAnswer {
        let reply = ReplyId(self.next_reply.fetch_add(1, Ordering::Relaxed));
        let (answer_sender, answer) = oneshot::channel();
        let mut guard = RequestGuard { port: self, reply, is_answered: false };
        self.events.send(EntryInput::Request(reply, request, answer_sender));
        let answer = answer.await;
        guard.is_answered = true;
        // The channel closes without an answer if the control thread exits while the job is open. Some of the job's
        // tasks may have run.
        answer.unwrap_or(CallerAnswer::Abandoned("the entry has ended"))
    }

    /// Updates the site plan, as read from the platform.
    pub fn update_plan(&self, plan: SitePlan) {
        self.events.send(EntryInput::Event(DispatchEvent::PlanRead(plan)));
    }

    /// Updates the list of all entries.
    pub fn update_entries(&self, entries: Vec<EntryRecord>) {
        self.events.send(EntryInput::Event(DispatchEvent::EntriesRead(entries)));
    }

    /// Returns whether the entry is ready for new connections.
    pub fn is_ready(&self) -> bool {
        self.status.is_ready.load(Ordering::Relaxed)
    }

    /// Returns whether the process was asked to exit.
    pub fn is_draining(&self) -> bool {
        self.status.is_draining.load(Ordering::Relaxed)
    }

    /// Returns a dump of the control state, or `None` if the control thread has exited.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (state_sender, state) = oneshot::channel();
        self.events.send(EntryInput::Dump(state_sender));
        state.await.ok()
    }
}

/// A running entry. Dropping it stops the entry at once without a drain, as if the process were killed.
#[derive(Debug)]
pub struct RunsEntry {
    port: EntryPort,
    process: ProcessHandle<EntryInput>,
}

impl RunsEntry {
    /// Starts an entry that listens for agents at the configured address.
    pub fn start(settings: &RunsEntrySettings) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("entry-traffic", RUNTIME_THREADS).change_context(DaemonError::Start)?;
        let pause = PauseSwitch::default();
        let status = Arc::new(EntryStatus::default());
        let mut entry_loop = EntryLoop::new(DispatchControl::new(make_options(settings)), status.clone(), runtime.handle());
        let event_sink = entry_loop.event_sink();
        let step = move |now, batch| entry_loop.step(now, batch);
        let tick = || EntryInput::Event(DispatchEvent::Tick);
        let (events, thread) = spawn_batch_thread("entry-control", pause.clone(), tick, step).change_context(DaemonError::Start)?;
        event_sink.set(events.clone());
        let listener = runtime.block_on(TcpListener::bind(settings.mesh_listen)).change_context(DaemonError::Start)?;
        let session_events = events.clone();
        let serve = move |socket, peer| serve_peer_socket(socket, peer, session_events.clone());
        runtime.handle().spawn(serve_sockets(listener, "mesh", ConnectionGuard::new(settings.mesh_limits), serve));
        let port = EntryPort { events: events.clone(), status, next_reply: Arc::default() };
        log::info!("event=entry_started entry={} zone={} mesh={}", settings.id, settings.zone, settings.mesh_listen);
        let process = ProcessHandle::new(events, || EntryInput::Stop, pause, thread, runtime);
        Ok(Self { port, process })
    }

    /// Returns the port for adapters.
    pub fn port(&self) -> EntryPort {
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

    /// Waits until the process is asked to exit, then drains: waits until its open jobs have ended or the drain timeout
    /// has passed.
    pub fn run(self, stop: StopSignal) {
        self.process.run(stop, EntryInput::Event(DispatchEvent::Drain));
    }
}

fn make_options(settings: &RunsEntrySettings) -> DispatchOptions {
    let drain_timeout = settings.leases.drain_timeout();
    DispatchOptions {
        incarnation: Incarnation(rand::random()),
        process_start: ProcessStart(unix_millis().max(1)),
        address: settings.mesh_listen.to_smolstr(),
        zone: settings.zone.clone(),
        lease_terms: settings.leases.lease_terms(),
        resubmit_after: settings.leases.resubmit_ms.to_duration(),
        drain_delay: DRAIN_DELAY_MAX.min(drain_timeout / 2),
        drain_timeout,
    }
}

async fn serve_peer_socket(socket: GuardedStream, peer: SocketAddr, events: EventSender<EntryInput>) {
    let slot = socket.slot();
    let served = serve_session_connection(socket, |stream| serve_stream(stream, Arc::downgrade(&slot), events.clone())).await;
    if let Err(error) = served {
        log::debug!("event=connection_ended peer={peer} cause={:?}", error.to_string());
    }
}

/// Serves a stream. Each frame that it completes marks the connection at `slot` as used.
fn serve_stream(stream: IncomingStream, slot: Weak<ConnectionSlot>, events: EventSender<EntryInput>) {
    match stream {
        IncomingStream::Session(session) => drop(tokio::spawn(serve_session(session, slot, events))),
        IncomingStream::PeerSession(session) => {
            let send_input = move |input| {
                complete_frame(&slot);
                events.send(input);
            };
            drop(tokio::spawn(serve_peer(session, send_input)));
        }
        IncomingStream::Call(_) => log::warn!("event=call_ignored port=mesh"),
    }
}

fn complete_frame(slot: &Weak<ConnectionSlot>) {
    if let Some(slot) = slot.upgrade() {
        slot.finish_answer(0);
    }
}

async fn serve_session(stream: SessionStream, slot: Weak<ConnectionSlot>, events: EventSender<EntryInput>) {
    let Ok((sender, receiver)) = stream.open() else {
        return;
    };
    let (queue, unsent_frames) = session_queue();
    let (session_sender, session) = oneshot::channel();
    events.send(EntryInput::RegisterSession(queue, session_sender));
    let Ok(session) = session.await else {
        return;
    };
    let handle_frame = |frame| {
        complete_frame(&slot);
        events.send(make_frame_event(session, frame));
    };
    let cause = run_session(sender, receiver, unsent_frames, handle_frame).await;
    log::debug!("event=session_ended session={session} cause={:?}", cause.to_string());
    events.send(EntryInput::Event(DispatchEvent::SessionClosed(session)));
}
