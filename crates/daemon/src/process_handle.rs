//! A running process: its control thread, its traffic threads and its end.

use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;

use error_stack::{Report, ResultExt};

use crate::control_thread::{EventSender, ThreadPause};
use crate::process_runtime::ProcessRuntime;
use crate::settings_file::DaemonError;
use crate::signals::wait_for_stop;

/// An `EventSink` is where traffic tasks hand their events, once the control thread runs.
#[derive(Debug)]
pub struct EventSink<E> {
    sender: Arc<OnceLock<EventSender<E>>>,
}

impl<E> Clone for EventSink<E> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<E> Default for EventSink<E> {
    fn default() -> Self {
        Self { sender: Arc::default() }
    }
}

impl<E> EventSink<E> {
    /// Connects the sink to the control thread, once.
    pub fn set(&self, sender: EventSender<E>) {
        let _ = self.sender.set(sender);
    }

    /// Hands over an event; before the control thread runs it is dropped.
    pub fn send(&self, event: E) {
        if let Some(sender) = self.sender.get() {
            sender.send(event);
        }
    }
}

/// A `ProcessHandle` holds a running process. Dropping it ends the process at once, as if it were killed.
#[derive(Debug)]
pub struct ProcessHandle<E> {
    events: EventSender<E>,
    stop: fn() -> E,
    pause: ThreadPause,
    control: Option<JoinHandle<()>>,
    runtime: ProcessRuntime,
}

impl<E> ProcessHandle<E> {
    /// Returns the handle of a process whose control thread ends on the event that `stop` makes.
    pub fn new(events: EventSender<E>, stop: fn() -> E, pause: ThreadPause, control: JoinHandle<()>, runtime: ProcessRuntime) -> Self {
        Self { events, stop, pause, control: Some(control), runtime }
    }

    /// Returns the traffic threads.
    pub fn runtime(&self) -> &ProcessRuntime {
        &self.runtime
    }

    /// Returns the hold on the control thread, for experiments.
    pub fn pause(&self) -> ThreadPause {
        self.pause.clone()
    }

    /// Sends the event that asks the process to leave, and waits until it has.
    pub fn drain(mut self, event: E) {
        self.events.send(event);
        self.join();
    }

    /// Waits for a signal, then drains.
    pub fn run(self, event: E) -> Result<(), Report<DaemonError>> {
        self.runtime.block_on(wait_for_stop()).change_context(DaemonError::Start)?;
        self.drain(event);
        Ok(())
    }

    fn join(&mut self) {
        if let Some(thread) = self.control.take() {
            // A control thread that panicked has logged its broken invariant.
            let _ = thread.join();
        }
    }
}

impl<E> Drop for ProcessHandle<E> {
    fn drop(&mut self) {
        self.pause.set(false);
        self.events.send((self.stop)());
        self.join();
    }
}
