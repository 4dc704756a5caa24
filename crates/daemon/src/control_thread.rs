//! The one thread that owns a process's control state.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use vanillacleat_core::units::MonoTime;

/// Time between two ticks of the control state.
const TICK_PERIOD: Duration = Duration::from_millis(10);

/// Whether the control thread goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlStep {
    /// More events are taken.
    Continue,
    /// The thread ends.
    Stop,
}

/// An `EventSender` hands events to the control thread. It never blocks.
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
    /// Hands over an event. After the thread has ended the event is dropped, as it is when a process dies.
    pub fn send(&self, event: E) {
        let _ = self.sender.send(event);
    }
}

/// A `ThreadPause` holds a control thread still, as a process that the system does not schedule. For experiments.
#[derive(Clone, Debug, Default)]
pub struct ThreadPause {
    state: Arc<(Mutex<bool>, Condvar)>,
}

impl ThreadPause {
    /// Holds the thread before its next event, or lets it go on.
    pub fn set(&self, is_paused: bool) {
        let (paused, changed) = &*self.state;
        *paused.lock().expect("no holder of the lock panics") = is_paused;
        changed.notify_all();
    }

    fn wait(&self) {
        let (paused, changed) = &*self.state;
        let guard = paused.lock().expect("no holder of the lock panics");
        drop(changed.wait_while(guard, |is_paused| *is_paused).expect("no holder of the lock panics"));
    }
}

/// Starts the control thread. `step` takes each event with the time since the start, and `tick` makes the event of
/// passing time. The thread ends when `step` says so or every sender is gone.
pub fn spawn_control<E: Send + 'static>(
    name: &str,
    pause: ThreadPause,
    tick: fn() -> E,
    mut step: impl FnMut(MonoTime, E) -> ControlStep + Send + 'static,
) -> std::io::Result<(EventSender<E>, JoinHandle<()>)> {
    let (sender, receiver) = mpsc::channel();
    let run = move || run_control(&receiver, &pause, tick, &mut step);
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok((EventSender { sender }, thread))
}

fn run_control<E>(receiver: &Receiver<E>, pause: &ThreadPause, tick: fn() -> E, step: &mut impl FnMut(MonoTime, E) -> ControlStep) {
    let started_at = read_clock();
    let mut ticked_at = started_at;
    loop {
        let until_tick = TICK_PERIOD.saturating_sub(read_clock().saturating_sub(ticked_at));
        let event = receiver.recv_timeout(until_tick);
        pause.wait();
        let now = MonoTime::from_elapsed(read_clock().saturating_sub(started_at));
        let outcome = match event {
            Ok(event) => step(now, event),
            Err(RecvTimeoutError::Timeout) => ControlStep::Continue,
            Err(RecvTimeoutError::Disconnected) => ControlStep::Stop,
        };
        if outcome == ControlStep::Stop {
            return;
        }
        if read_clock().saturating_sub(ticked_at) < TICK_PERIOD {
            continue;
        }
        ticked_at = read_clock();
        if step(now, tick()) == ControlStep::Stop {
            return;
        }
    }
}

/// Returns the time since the host's start, the time that it was suspended included: leases run on meanwhile.
fn read_clock() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
