//! The entry daemon, which serves callers and operators over HTTP, is the home of the jobs whose tickets it issued, and
//! places their tasks on agents.
//!
//! This crate does the input and output only: the HTTP server, sessions with agents, calls between entries, calls to the
//! platform's store and the clock. All decisions are made by [`vanillacleat_control::entry::EntryControl`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control_loop;
mod daemon;
mod entry_input;
mod http_api;
mod mesh_server;
mod peer_calls;

pub use daemon::EntryDaemon;
