//! Start and end of an entry for leased runs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use vanillacleat_control::ReplyId;
use vanillacleat_core::site_plan::SitePlan;
use vanillacleat_daemon::{install_metrics, spawn_control, DaemonError, EventSender, ProcessHandle, ProcessRuntime, ThreadPause};
use vanillacleat_runs::entry::{CallerAnswer, CallerRequest, DispatchControl, DispatchEvent, DispatchOptions};
use vanillacleat_wire::{make_queue, run_session, serve_listener, IncomingStream, SessionStream};

use crate::entry_loop::{frame_event, EntryInput, EntryLoop, EntryStatus};
use crate::run_settings::RunsEntrySettings;

/// Traffic threads; the hosts have a share of one core.
const TRAFFIC_THREADS: usize = 1;
/// Time after the request to leave for which new requests are served: the balancer needs two missed health checks, a
/// second apart, to stop sending new connections, and callers use open ones until then.
const LINGER: Duration = Duration::from_millis(3_200);

/// An `EntryPort` is where the adapters of callers and of the platform reach an entry.
#[derive(Clone, Debug)]
pub struct EntryPort {
    events: EventSender<EntryInput>,
    status: Arc<EntryStatus>,
    next_reply: Arc<AtomicU64>,
}

/// A `CallerHold` withdraws a request when its caller has gone before the answer.
struct CallerHold<'a> {
    port: &'a EntryPort,
    reply: ReplyId,
    is_answered: bool,
}

impl Drop for CallerHold<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.port.events.send(EntryInput::Event(DispatchEvent::CallerDisconnected(self.reply)));
        }
    }
}

impl EntryPort {
    /// Returns the answer to a request. Dropping the future withdraws the request.
    pub async fn ask(&self, request: CallerRequest) -> CallerAnswer {
        let reply = ReplyId(self.next_reply.fetch_add(1, Ordering::Relaxed));
        let (target, answer) = oneshot::channel();
        let mut hold = CallerHold { port: self, reply, is_answered: false };
        self.events.send(EntryInput::Requested(reply, request, target));
        let answer = answer.await;
        hold.is_answered = true;
        // The control thread has ended with the job open: some of it may have run.
        answer.unwrap_or(CallerAnswer::Abandoned("the entry has ended"))
    }

    /// Hands over the plan as read from the platform.
    pub fn update_plan(&self, plan: SitePlan) {
        self.events.send(EntryInput::Event(DispatchEvent::PlanRead(plan)));
    }

    /// Hands over the addresses of all entries.
    pub fn update_entries(&self, entries: Vec<SmolStr>) {
        self.events.send(EntryInput::Event(DispatchEvent::EntriesRead(entries)));
    }

    /// Returns whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        self.status.is_ready.load(Ordering::Relaxed)
    }

    /// Returns whether the process was asked to leave.
    pub fn is_draining(&self) -> bool {
        self.status.is_draining.load(Ordering::Relaxed)
    }

    /// Returns the whole state, or nothing if the process is ending.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (reply, state) = oneshot::channel();
        self.events.send(EntryInput::Dump(reply));
        state.await.ok()
    }
}

/// A `RunsEntry` is a running entry. Dropping it ends it at once, as a killed process.
#[derive(Debug)]
pub struct RunsEntry {
    port: EntryPort,
    process: ProcessHandle<EntryInput>,
}

impl RunsEntry {
    /// Starts an entry, or says why it can't start.
    pub fn start(settings: &RunsEntrySettings) -> Result<Self, Report<DaemonError>> {
        install_metrics();
        let runtime = ProcessRuntime::start("entry-traffic", TRAFFIC_THREADS).change_context(DaemonError::Start)?;
        let pause = ThreadPause::default();
        let status = Arc::new(EntryStatus::default());
        let mut entry_loop = EntryLoop::new(DispatchControl::new(make_options(settings)), status.clone());
        let step = move |now, input| entry_loop.step(now, input);
        let tick = || EntryInput::Event(DispatchEvent::Tick);
        let (events, thread) = spawn_control("entry-control", pause.clone(), tick, step).change_context(DaemonError::Start)?;
        let listener = runtime.block_on(TcpListener::bind(settings.mesh_listen)).change_context(DaemonError::Start)?;
        let sessions = events.clone();
        runtime.handle().spawn(serve_listener(listener, move |stream| serve_stream(stream, sessions.clone())));
        let port = EntryPort { events: events.clone(), status, next_reply: Arc::default() };
        log::info!("event=entry_started entry={} zone={} mesh={}", settings.id, settings.zone, settings.mesh_listen);
        let process = ProcessHandle::new(events, || EntryInput::Stop, pause, thread, runtime);
        Ok(Self { port, process })
    }

    /// Returns where adapters reach the entry.
    pub fn port(&self) -> EntryPort {
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

    /// Waits until the process is asked to leave, then until its open jobs have ended.
    pub fn run(self) -> Result<(), Report<DaemonError>> {
        self.process.run(EntryInput::Event(DispatchEvent::Drain))
    }
}

fn make_options(settings: &RunsEntrySettings) -> DispatchOptions {
    let drain_max = settings.leases.drain_max();
    DispatchOptions {
        zone: settings.zone.clone(),
        terms: settings.leases.terms(),
        resubmit_after: settings.leases.resubmit_ms.to_duration(),
        drain_delay: LINGER.min(drain_max / 2),
        drain_max,
    }
}

fn serve_stream(stream: IncomingStream, events: EventSender<EntryInput>) {
    match stream {
        IncomingStream::Session(session) => drop(tokio::spawn(serve_session(session, events))),
        IncomingStream::Call(_) => log::warn!("event=call_ignored port=mesh"),
    }
}

async fn serve_session(stream: SessionStream, events: EventSender<EntryInput>) {
    let Ok((sender, receiver)) = stream.open() else {
        return;
    };
    let (queue, unsent) = make_queue();
    let (opened, session) = oneshot::channel();
    events.send(EntryInput::Opened(queue, opened));
    let Ok(session) = session.await else {
        return;
    };
    let cause = run_session(sender, receiver, unsent, |frame| events.send(frame_event(session, frame))).await;
    log::debug!("event=session_ended session={session} cause={:?}", cause.to_string());
    events.send(EntryInput::Event(DispatchEvent::SessionClosed(session)));
}
