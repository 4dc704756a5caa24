//! The control thread, which owns the state of a daemon.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use metrics::Histogram;
use rustix::time::ClockId;
use vanillacleat_core::units::MonoTime;

use crate::host_clock::read_clock;

/// Interval between the tick events, which trigger periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of events that are handled in one step.
const BATCH_EVENTS_MAX: usize = 256;

/// Delay between two steps, or duration of one step, above which the process counts as having been stalled. A step begins at
/// each tick, and no lease is shorter than this.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Whether the control thread continues after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlStep {
    /// The thread waits for the next event.
    Continue,
    /// The thread exits.
    Stop,
}

/// The events that a control thread handles in one step.
#[derive(Debug)]
pub struct EventBatch<E> {
    /// The events, in the order in which they were sent.
    pub events: Vec<E>,
    /// How long the oldest event has waited.
    pub lag: Duration,
}

/// Sends events to the control thread without blocking.
#[derive(Debug)]
pub struct EventSender<E> {
    sender: Sender<(Duration, E)>,
}

impl<E> Clone for EventSender<E> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<E> EventSender<E> {
    /// Sends an event. An event sent after the control thread has exited is dropped, as if the process had died.
    pub fn send(&self, event: E) {
        let _ = self.sender.send((time_since_boot(), event));
    }
}

/// A switch that pauses a control thread, for tests and experiments. The daemon then behaves like a process that the
/// operating system does not schedule.
#[derive(Clone, Debug, Default)]
pub struct PauseSwitch {
    state: Arc<(Mutex<bool>, Condvar)>,
}

impl PauseSwitch {
    /// Pauses the thread before it handles its next event, or resumes it.
    pub fn set(&self, is_paused: bool) {
        let (paused, changed) = &*self.state;
        *paused.lock().expect("no holder of the lock panics") = is_paused;
        changed.notify_all();
    }

    fn wait_while_paused(&self) {
        let (paused, changed) = &*self.state;
        let guard = paused.lock().expect("no holder of the lock panics");
        drop(changed.wait_while(guard, |is_paused| *is_paused).expect("no holder of the lock panics"));
    }
}

/// Starts the control thread. It calls `step` with each event and the time since the thread started. At each tick it calls
/// `step` with the event that `tick` returns. The thread exits when `step` returns [`ControlStep::Stop`] or all senders are dropped.
pub fn spawn_control_thread<E: Send + 'static>(
    name: &str,
    pause: PauseSwitch,
    tick: fn() -> E,
    mut step: impl FnMut(MonoTime, E) -> ControlStep + Send + 'static,
) -> std::io::Result<(EventSender<E>, JoinHandle<()>)> {
    let step_batch = move |now, batch: EventBatch<E>| {
        let is_stopped = batch.events.into_iter().any(|event| step(now, event) == ControlStep::Stop);
        if is_stopped {
            ControlStep::Stop
        } else {
            ControlStep::Continue
        }
    };
    spawn_batch_thread(name, pause, tick, step_batch)
}

/// Starts a control thread like [`spawn_control_thread`], which calls `step` with all events that are waiting. The time that it
/// passes is not earlier than any of these events.
pub fn spawn_batch_thread<E: Send + 'static>(
    name: &str,
    pause: PauseSwitch,
    tick: fn() -> E,
    mut step: impl FnMut(MonoTime, EventBatch<E>) -> ControlStep + Send + 'static,
) -> std::io::Result<(EventSender<E>, JoinHandle<()>)> {
    let (sender, receiver) = mpsc::channel();
    let run = move || run_control(&receiver, &pause, tick, &mut step);
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok((EventSender { sender }, thread))
}

fn run_control<E>(
    receiver: &Receiver<(Duration, E)>,
    pause: &PauseSwitch,
    tick: fn() -> E,
    step: &mut impl FnMut(MonoTime, EventBatch<E>) -> ControlStep,
) {
    let (waiting_stalls, handling_stalls) = (StallLog::new("waiting"), StallLog::new("handling"));
    let started_at = time_since_boot();
    let mut last_tick_at = started_at;
    let mut handled_at = started_at;
    loop {
        let until_tick = TICK_INTERVAL.saturating_sub(time_since_boot().saturating_sub(last_tick_at));
        let first = receiver.recv_timeout(until_tick);
        pause.wait_while_paused();
        let mut batch = EventBatch { events: Vec::new(), lag: Duration::ZERO };
        let first_sent_at = match first {
            Ok((sent_at, event)) => {
                batch.events.push(event);
                batch.events.extend(receiver.try_iter().take(BATCH_EVENTS_MAX - 1).map(|(_, event)| event));
                Some(sent_at)
            }
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // Read after the events were taken: a reading of another process's clock must not count as received before it was sent.
        let taken_at = time_since_boot();
        batch.lag = first_sent_at.map_or(Duration::ZERO, |sent_at| taken_at.saturating_sub(sent_at));
        if taken_at.saturating_sub(last_tick_at) >= TICK_INTERVAL {
            last_tick_at = taken_at;
            batch.events.push(tick());
        }
        let events = batch.events.len();
        waiting_stalls.record(taken_at.saturating_sub(handled_at), events);
        let now = MonoTime::from_elapsed(taken_at.saturating_sub(started_at));
        let is_stopped = !batch.events.is_empty() && step(now, batch) == ControlStep::Stop;
        handled_at = time_since_boot();
        handling_stalls.record(handled_at.saturating_sub(taken_at), events);
        if is_stopped {
            return;
        }
    }
}

/// Logs and counts the stalls in one phase of a control thread's loop.
struct StallLog {
    /// `waiting` for the time from one step until the next batch was taken, `handling` for the time from then until it was handled.
    phase: &'static str,
    length: Histogram,
}

impl StallLog {
    fn new(phase: &'static str) -> Self {
        Self { phase, length: metrics::histogram!("control_stall_seconds", "phase" => phase) }
    }

    /// Records that the phase took `length` and that `events` were handled in the step.
    fn record(&self, length: Duration, events: usize) {
        if length >= STALL_THRESHOLD {
            self.length.record(length.as_secs_f64());
            log::warn!("event=stalled ms={} phase={} events={events}", length.as_millis(), self.phase);
        }
    }
}

/// Returns the time since the host booted. It includes the time that the host was suspended, because leases expire during a
/// suspension too.
fn time_since_boot() -> Duration {
    read_clock(ClockId::Boottime)
}
