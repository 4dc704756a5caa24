//! The decision logic of vanillacleat, without sockets, clocks, threads or unseeded randomness.
//!
//! The components are plain structs whose methods take the current time and an event and return the actions to
//! perform:
//!
//! - [`ledger::JobLedger`] tracks each job at its home, from acceptance to the answer.
//! - [`gate::StartGate`] runs in each agent and is the only place where tasks start.
//! - [`fleet::FleetView`] tracks the agents and chooses a worker for each task.
//! - [`config_holder::ConfigHolder`] keeps the newest configuration and never returns to an older one.
//!
//! [`entry::EntryControl`] and [`agent::AgentControl`] combine them into the control state of the two daemons.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod agent;
pub mod breaker;
pub mod config_holder;
pub mod entry;
pub mod fleet;
pub mod gate;
pub mod ledger;
pub mod quorum;
pub mod retry_budget;
pub mod run_times;
pub mod team_limits;
pub mod ticket_issuer;

mod local_ids;

pub use local_ids::{CallId, ReplyId, SessionId};
