//! Decisions about leased runs, without sockets, clocks, threads or unseeded randomness.
//!
//! A caller names its own job; an entry holds it while it is open and binds its tasks to workers with room; the agent
//! beside a worker starts, renews and stops runs. [`agent::RunnerControl`] and [`entry::DispatchControl`] are the whole
//! control state of the two processes: feed them events and carry out the actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
pub mod entry;
mod lease_terms;

pub use lease_terms::LeaseTerms;
