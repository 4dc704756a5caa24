//! Signals that ask a daemon to stop.

use tokio::signal::unix::{signal, SignalKind};

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
