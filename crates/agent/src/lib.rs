//! The agent daemon beside each upstream. It moves bytes and time to and from the decisions of
//! [`vanillacleat_control::agent::AgentControl`], which holds the start gate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agent_input;
mod control_loop;
mod daemon;
mod http_api;
mod sessions;
mod upstream_calls;

pub use daemon::AgentDaemon;
