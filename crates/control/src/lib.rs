//! Decisions of vanillacleat without sockets, clocks, threads or unseeded randomness.
//!
//! Each aggregate is a plain struct that takes the time and an event and returns what is to be done:
//! [`ledger::JobLedger`] holds jobs at their home, [`gate::StartGate`] is the only place where a task starts,
//! [`fleet::FleetView`] chooses workers, [`config_holder::ConfigHolder`] never steps back.
//! [`entry::EntryControl`] and [`agent::AgentControl`] compose them into the two daemons' whole state.
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
