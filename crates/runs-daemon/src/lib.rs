//! Daemons for leased runs. They run the control states of [`vanillacleat_runs`], execute their actions and keep the
//! sessions between entries and agents.
//!
//! Callers, workers and the platform are connected by adapters, which use ports: an [`EntryPort`] and an [`AgentPort`]
//! receive requests and heartbeats from the adapters, and a [`WorkerPort`] makes calls to the worker.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent_daemon;
mod agent_loop;
mod caller_confirmation;
mod entry_daemon;
mod entry_input;
mod entry_loop;
mod entry_metrics;
mod peer_sessions;
mod run_settings;

use std::time::Duration;

pub use agent_daemon::{AgentPort, RunsAgent};
pub use agent_loop::{WorkerPort, WorkerRequest};
pub use entry_daemon::{EntryPort, RunsEntry};
pub use run_settings::{LeaseSettings, RunsAgentSettings, RunsEntrySettings};

/// Timeout for opening a session with an entry; the round trip takes a few milliseconds.
const DIAL_TIMEOUT: Duration = Duration::from_millis(700);
