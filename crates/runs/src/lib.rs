//! Decisions about leased runs, without sockets, clocks, threads or unseeded randomness.
//!
//! Callers choose the id of a job themselves. An entry keeps the job while it is open and assigns its tasks to workers
//! with free capacity. The agent beside each worker starts the runs, renews their leases and stops them.
//!
//! [`entry::DispatchControl`] and [`agent::RunnerControl`] are the complete control state of the two processes. Each
//! handles events, which come with the current time, and returns the actions that the process has to execute.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
pub mod entry;
mod lease_terms;
mod log_fields;
mod ratio_sketch;
mod remote_clock;
mod run_forecast;
mod worker_performance;

pub use lease_terms::LeaseTerms;
pub use ratio_sketch::RatioSketch;
pub use remote_clock::RemoteClock;
pub use run_forecast::RunForecast;
pub use worker_performance::WorkerPerformance;
