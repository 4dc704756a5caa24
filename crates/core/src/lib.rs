//! Types shared by all crates of vanillacleat: identifiers, units, jobs, outcomes, the operators' configuration,
//! settings and the frames that the system's processes exchange. This crate does no I/O.
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
pub mod peer_frames;
pub mod run_frames;
pub mod settings;
pub mod site_plan;
pub mod ticket;
pub mod units;

pub use errors::Error;
