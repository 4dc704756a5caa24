//! Daemons for leased runs. They feed events to the control states of [`vanillacleat_runs`], carry out the resulting
//! actions and maintain the sessions between entries and agents.
//!
//! Adapters connect the daemons to callers, workers and the platform through ports. An [`EntryPort`] and an [`AgentPort`]
//! receive requests and notices from the adapters, and a [`WorkerPort`] makes calls to the worker.
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
