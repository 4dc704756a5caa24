//! The control thread, which owns the state of a daemon.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use vanillacleat_core::units::MonoTime;

/// Interval between the tick events, which trigger periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the control thread continues after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlStep {
    /// The thread waits for the next event.
    Continue,
    /// The thread exits.
    Stop,
}

/// Sends events to the control thread without blocking.
#[derive(Debug)]
pub struct EventSender<E> {
    sender: Sender<E>,
}

impl<E> Clone for EventSender<E> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<E> EventSender<E> {
    /// Sends an event. An event sent after the control thread has exited is dropped, as if the process had died.
    pub fn send(&self, event: E) {
        let _ = self.sender.send(event);
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
    let (sender, receiver) = mpsc::channel();
    let run = move || run_control(&receiver, &pause, tick, &mut step);
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok((EventSender { sender }, thread))
}

fn run_control<E>(receiver: &Receiver<E>, pause: &PauseSwitch, tick: fn() -> E, step: &mut impl FnMut(MonoTime, E) -> ControlStep) {
    let started_at = time_since_boot();
    let mut last_tick_at = started_at;
    loop {
        let until_tick = TICK_INTERVAL.saturating_sub(time_since_boot().saturating_sub(last_tick_at));
        let event = receiver.recv_timeout(until_tick);
        pause.wait_while_paused();
        let now = MonoTime::from_elapsed(time_since_boot().saturating_sub(started_at));
        let outcome = match event {
            Ok(event) => step(now, event),
            Err(RecvTimeoutError::Timeout) => ControlStep::Continue,
            Err(RecvTimeoutError::Disconnected) => ControlStep::Stop,
        };
        if outcome == ControlStep::Stop {
            return;
        }
        if time_since_boot().saturating_sub(last_tick_at) < TICK_INTERVAL {
            continue;
        }
        last_tick_at = time_since_boot();
        if step(now, tick()) == ControlStep::Stop {
            return;
        }
    }
}

/// Returns the time since the host booted. It includes the time that the host was suspended, because leases expire during a
/// suspension too.
fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
