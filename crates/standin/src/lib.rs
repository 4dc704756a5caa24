//! Small stand-ins for what is outside of the system, for tests and experiments: the platform's key-value service
//! over the etcd v3 JSON gateway, and upstreams that run tasks and keep a log of their own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod platform;
mod ports;
mod start_log;
mod store;
mod upstream;
mod worker_model;

pub use platform::{PlatformFaults, PlatformStandin};
pub use ports::free_port;
pub use start_log::{StartLog, StartRecord};
pub use upstream::{TaskScript, UpstreamFaults, UpstreamStandin, STATUS_BROKEN};
pub use worker_model::WorkerModel;
