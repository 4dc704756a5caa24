//! The client of the platform's key-value store, over the etcd v3 JSON gateway.
//!
//! All calls to the store are made by [`PlatformClient::execute`], so a deployment whose store has another protocol needs to
//! replace this crate only. Every call has a timeout, and the number of concurrent calls and their rate are limited.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod gateway;
mod gateway_types;
mod rate_limiter;

pub use client::{PlatformClient, PlatformOptions};
