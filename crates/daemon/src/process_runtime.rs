//! The I/O runtime of a daemon.

use std::future::Future;

use tokio::runtime::{Builder, Handle, Runtime};

/// The Tokio runtime of a daemon's I/O tasks. Dropping it closes all connections at once, like a killed process.
#[derive(Debug)]
pub struct ProcessRuntime {
    runtime: Option<Runtime>,
}

impl ProcessRuntime {
    /// Starts a runtime with `threads` threads, all named `name`.
    pub fn start(name: &str, threads: usize) -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()?;
        Ok(Self { runtime: Some(runtime) })
    }

    /// Returns a handle for spawning tasks.
    pub fn handle(&self) -> Handle {
        self.runtime.as_ref().expect("the runtime is present until the drop").handle().clone()
    }

    /// Runs a future to completion on the calling thread.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.runtime.as_ref().expect("the runtime is present until the drop").block_on(future)
    }
}

impl Drop for ProcessRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
