//! Shared vocabulary of vanillacleat: identifiers, units, jobs, outcomes, the operators' configuration and the
//! frames between the system's own processes. Every other crate builds on this one.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod caller_job;
pub mod config;
pub mod errors;
pub mod frames;
pub mod ids;
pub mod job;
pub mod outcome;
pub mod run_frames;
pub mod settings;
pub mod site_plan;
pub mod ticket;
pub mod units;

pub use errors::Error;
