//! Stand-ins for the systems around vanillacleat, with fault injection, for tests and load experiments: the platform's
//! key-value service with the etcd v3 JSON gateway's interface, upstreams that run tasks and record every start, and a model
//! of a worker without I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod platform;
mod standin_server;
mod start_log;
mod store;
mod upstream;
mod worker_model;

pub use platform::{PlatformFaults, PlatformStandin};
pub use start_log::{StartLog, StartRecord};
pub use upstream::{TaskScript, UpstreamFaults, UpstreamStandin, STATUS_FAILED};
pub use worker_model::WorkerModel;
