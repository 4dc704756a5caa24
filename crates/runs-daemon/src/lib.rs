//! The daemons for leased runs. They carry frames between entries and agents and carry out the actions of
//! [`vanillacleat_runs`]. Callers, workers and the platform are reached through ports: an [`EntryPort`] and an
//! [`AgentPort`] take what their adapters hear, and a [`WorkerPort`] makes the calls of a worker.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent_daemon;
mod agent_loop;
mod entry_daemon;
mod entry_loop;
mod run_settings;

pub use agent_daemon::{AgentPort, RunsAgent};
pub use agent_loop::{CallOrder, WorkerPort};
pub use entry_daemon::{EntryPort, RunsEntry};
pub use run_settings::{LeaseSettings, RunsAgentSettings, RunsEntrySettings};
