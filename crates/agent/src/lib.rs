//! The agent daemon, which runs beside the upstreams of one host.
//!
//! This crate does the input and output only: sessions with entries, HTTP calls to upstreams, the HTTP server and the
//! clock. All decisions, including those of the start gate, are made by
//! [`vanillacleat_control::agent::AgentControl`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent_input;
mod control_loop;
mod daemon;
mod http_api;
mod sessions;
mod upstream_calls;

pub use daemon::AgentDaemon;
