//! The entry daemon: callers' and operators' HTTP, the home of tickets, placement. It moves bytes and time to and from
//! the decisions of [`vanillacleat_control::entry::EntryControl`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod control_loop;
mod daemon;
mod entry_input;
mod http_api;
mod mesh_server;
mod peer_calls;

pub use daemon::EntryDaemon;
