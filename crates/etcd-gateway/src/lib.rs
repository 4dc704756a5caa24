//! The platform's key-value service over the etcd v3 JSON gateway.
//!
//! Everything that this crate asks of the store is in [`PlatformClient::execute`]; a deployment whose store speaks
//! another protocol replaces this crate alone. Every call has a deadline, and calls are bounded in number and rate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call_budget;
mod client;
mod gateway;
mod gateway_types;

pub use client::{PlatformClient, PlatformOptions};
