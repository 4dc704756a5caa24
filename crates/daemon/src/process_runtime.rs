//! The traffic threads of one process.

use std::future::Future;

use tokio::runtime::{Builder, Handle, Runtime};

/// A `ProcessRuntime` carries a process's traffic. Dropping it ends every connection at once, as a killed process does.
#[derive(Debug)]
pub struct ProcessRuntime {
    runtime: Option<Runtime>,
}

impl ProcessRuntime {
    /// Starts `threads` traffic threads.
    pub fn start(name: &str, threads: usize) -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()?;
        Ok(Self { runtime: Some(runtime) })
    }

    /// Returns a handle for starting tasks.
    pub fn handle(&self) -> Handle {
        self.runtime.as_ref().expect("the runtime is there until it is dropped").handle().clone()
    }

    /// Runs a future to its end on the calling thread.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.runtime.as_ref().expect("the runtime is there until it is dropped").block_on(future)
    }
}

impl Drop for ProcessRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
