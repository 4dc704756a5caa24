//! Signals that ask a daemon to leave.

use tokio::signal::unix::{signal, SignalKind};

/// Returns once SIGTERM or SIGINT has come. Fails if the signals can't be watched.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
