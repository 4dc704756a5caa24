//! The control state of an entry that runs jobs under ids that callers choose.
//!
//! [`DispatchControl`] handles events and returns actions. It keeps the open jobs in a [`JobTable`], the workers in a
//! [`WorkerRegistry`] and the observed run times in [`RouteTimes`].

mod caller_api;
mod crash_log;
mod dispatch;
mod entry_load;
mod job_delay;
mod job_homes;
mod job_order;
mod job_table;
mod open_job;
mod peer_registry;
mod quarantine;
mod resume_barrier;
mod room_claim;
mod run_times;
mod straggler_rule;
mod worker_capacity;
mod worker_performance;
mod worker_registry;
mod worker_speeds;

pub use caller_api::{CallerAnswer, CallerRequest, JobDraft, JobPhase, RequestKind};
pub use crash_log::{CrashLog, CrashVerdict};
pub use dispatch::{DispatchAction, DispatchControl, DispatchEvent, DispatchOptions, Measurement, PeerAction, PeerEvent};
pub use entry_load::EntryLoad;
pub use job_delay::{DelayCause, JobDelay, SendRecord};
pub use job_order::{core_share, job_age, queue_wait, resubmit_delay, JobRank, JobTimes};
pub use job_table::{JobArrival, JobEffect, JobTable};
pub use open_job::{FormerRun, OpenJob, TaskSlot};
pub use peer_registry::{FrameRefusal, PeerIdentity, PeerLink, PeerRegistry};
pub use quarantine::{ConfinementChange, Quarantine, WorkerPool};
pub use room_claim::{RoomClaim, UrgencyRecord};
pub use run_times::RouteTimes;
pub use straggler_rule::{slowness_threshold, RunForecast};
pub use worker_capacity::WorkerCapacity;
pub use worker_performance::WorkerPerformance;
pub use worker_registry::{CapacityRequest, HelloOutcome, WorkerRegistry};
pub use worker_speeds::{RouteIndex, RouteSummary, SpeedTable, TaskTiming, TimeFit, WorkerRatio};
