//! The control state of an entry that runs jobs under ids that callers choose.
//!
//! [`DispatchControl`] handles events and returns actions. It keeps the open jobs in a [`JobTable`], the workers in a
//! [`WorkerRegistry`] and the observed run times in [`RouteTimes`].

mod caller_api;
mod dispatch;
mod homes;
mod jobs;
mod order;
mod workers;

pub use caller_api::{CallerAnswer, CallerRequest, JobDraft, JobPhase, RequestKind};
pub use dispatch::{DispatchAction, DispatchControl, DispatchEvent, DispatchOptions, Measurement, PeerAction, PeerEvent};
pub use homes::peer_registry::{FrameRefusal, PeerIdentity, PeerLink, PeerRegistry};
pub use jobs::job_delay::{DelayCause, JobDelay, SendRecord};
pub use jobs::job_table::{JobArrival, JobEffect, JobTable};
pub use jobs::open_job::{FormerRun, OpenJob, TaskSlot};
pub use order::entry_load::EntryLoad;
pub use order::job_order::{core_share, job_age, queue_wait, resubmit_delay, JobRank, JobTimes};
pub use order::room_claim::{RoomClaim, UrgencyRecord};
pub use workers::crash_log::{CrashLog, CrashVerdict};
pub use workers::quarantine::{ConfinementChange, Quarantine, WorkerPool};
pub use workers::run_times::RouteTimes;
pub use workers::straggler_rule::slowness_threshold;
pub use workers::worker_capacity::WorkerCapacity;
pub use workers::worker_ratio::WorkerRatio;
pub use workers::worker_registry::{CapacityRequest, HelloOutcome, WorkerRegistry};
pub use workers::worker_speeds::{RouteIndex, RouteSummary, SpeedTable, TaskTiming, TimeFit};
