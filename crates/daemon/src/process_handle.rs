//! A running daemon: its control thread, its I/O runtime, and how it is stopped.

use std::sync::{Arc, Mutex, OnceLock};
use std::thread::JoinHandle;

use crate::control_thread::{EventSender, PauseSwitch};
use crate::process_runtime::ProcessRuntime;
use crate::signals::StopSignal;

/// Sends events from I/O tasks to the control thread. It can be created and cloned before that thread is started.
#[derive(Debug)]
pub struct EventSink<E> {
    sender: Arc<OnceLock<EventSender<E>>>,
    /// The events that were sent before the sink was connected.
    early_events: Arc<Mutex<Vec<E>>>,
}

impl<E> Clone for EventSink<E> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone(), early_events: self.early_events.clone() }
    }
}

impl<E> Default for EventSink<E> {
    fn default() -> Self {
        Self { sender: Arc::default(), early_events: Arc::default() }
    }
}

impl<E> EventSink<E> {
    /// Connects the sink to the control thread, and sends the events that were sent before. Only the first call has an effect.
    pub fn set(&self, sender: EventSender<E>) {
        let mut early_events = self.early_events.lock().expect("no holder of the lock panics");
        early_events.drain(..).for_each(|event| sender.send(event));
        let _ = self.sender.set(sender);
    }

    /// Sends an event. An event sent before [`Self::set`] is called is kept until then.
    pub fn send(&self, event: E) {
        if let Some(sender) = self.sender.get() {
            return sender.send(event);
        }
        let mut early_events = self.early_events.lock().expect("no holder of the lock panics");
        match self.sender.get() {
            Some(sender) => sender.send(event),
            None => early_events.push(event),
        }
    }
}

/// Owns a running daemon. Dropping it stops the daemon at once and without a drain, like a killed process.
#[derive(Debug)]
pub struct ProcessHandle<E> {
    events: EventSender<E>,
    stop_event: fn() -> E,
    pause: PauseSwitch,
    control_thread: Option<JoinHandle<()>>,
    runtime: ProcessRuntime,
}

impl<E> ProcessHandle<E> {
    /// Returns the handle of a daemon. Its control thread exits on the event that `stop_event` returns.
    pub fn new(
        events: EventSender<E>,
        stop_event: fn() -> E,
        pause: PauseSwitch,
        control_thread: JoinHandle<()>,
        runtime: ProcessRuntime,
    ) -> Self {
        Self { events, stop_event, pause, control_thread: Some(control_thread), runtime }
    }

    /// Returns the I/O runtime.
    pub fn runtime(&self) -> &ProcessRuntime {
        &self.runtime
    }

    /// Returns the switch that pauses the control thread, for tests and experiments.
    pub fn pause(&self) -> PauseSwitch {
        self.pause.clone()
    }

    /// Sends `event`, which asks the daemon to drain, and waits until its control thread has exited.
    pub fn drain(mut self, event: E) {
        self.events.send(event);
        self.join();
    }

    /// Waits for a signal that asks the process to exit, then drains the daemon with `event`.
    pub fn run(self, stop: StopSignal, event: E) {
        stop.wait();
        self.drain(event);
    }

    fn join(&mut self) {
        if let Some(thread) = self.control_thread.take() {
            // An error means that the control thread panicked. The panic has already reported the violated invariant.
            let _ = thread.join();
        }
    }
}

impl<E> Drop for ProcessHandle<E> {
    fn drop(&mut self) {
        self.pause.set(false);
        self.events.send((self.stop_event)());
        self.join();
    }
}
