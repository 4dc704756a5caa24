//! The whole control state of an entry that holds jobs under their callers' names.

mod caller_calls;
mod dispatch;
mod job_entry;
mod job_order;
mod job_table;
mod run_times;
mod straggler_rule;
mod worker_capacity;
mod worker_performance;
mod worker_registry;

pub use caller_calls::{CallerAnswer, CallerRequest, JobDraft, JobPhase, RequestKind};
pub use dispatch::{DispatchAction, DispatchControl, DispatchEvent, DispatchOptions};
pub use job_entry::{JobEntry, TaskSlot};
pub use job_order::{core_share, job_age, queue_wait, resubmit_delay, JobRank, JobTimes};
pub use job_table::{JobEffect, JobTable};
pub use run_times::RouteTimes;
pub use straggler_rule::{slowness_threshold, RunForecast};
pub use worker_capacity::WorkerCapacity;
pub use worker_performance::WorkerPerformance;
pub use worker_registry::{CapacityRequest, WorkerRegistry};
