//! The control state of an agent that runs tasks under leases at one worker.

mod calls;
mod crash_records;
mod end_forecast;
mod entry_selection;
mod run_speeds;
mod run_table;
mod runner;
mod session_lease;
mod worker_incarnation;

pub use calls::{EndedRun, LeasePollReply, RunList, RunningTask, StartRejection, StartReply, StopReply, WorkerCall, WorkerReply};
pub use entry_selection::{select_entries, EntryCandidate, SelectionLimits};
pub(crate) use run_speeds::is_plausible;
pub use run_speeds::RunSpeeds;
pub use run_table::{RunState, RunTable};
pub use runner::{RunnerAction, RunnerControl, RunnerEvent, RunnerOptions};
pub use session_lease::SessionLease;
pub use worker_incarnation::{WorkerIncarnation, WorkerNotice};
