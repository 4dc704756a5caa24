//! Signals that ask a daemon to stop.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::signal::unix::{signal, SignalKind};

/// The signals that ask a process to exit, SIGTERM and SIGINT. Once it is installed, they no longer terminate the process.
#[derive(Debug)]
pub struct StopSignal {
    signals: Signals,
}

impl StopSignal {
    /// Installs the signal handlers. Call it before anything is served: until then, a signal terminates the process without a drain.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self { signals: Signals::new([SIGTERM, SIGINT])? })
    }

    /// Blocks the thread until a signal has been received since the handlers were installed.
    pub fn wait(mut self) {
        self.signals.forever().next();
    }
}

/// Waits until SIGTERM or SIGINT is received. Fails if the signal handlers can't be installed.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
