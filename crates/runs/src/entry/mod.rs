//! The whole control state of an entry that holds jobs under their callers' names.

mod caller_calls;
mod dispatch;
mod job_book;
mod job_entry;
mod job_order;
mod run_times;
mod straggler_rule;
mod worker_board;
mod worker_pace;
mod worker_room;

pub use caller_calls::{CallerAnswer, CallerRequest, JobDraft, JobPhase, RequestKind};
pub use dispatch::{DispatchAction, DispatchControl, DispatchEvent, DispatchOptions};
pub use job_book::{JobBook, JobEffect};
pub use job_entry::{JobEntry, TaskSlot};
pub use job_order::{find_age, find_return, find_share, find_wait, JobRank, JobTimes};
pub use run_times::RouteTimes;
pub use straggler_rule::{find_threshold, RunForecast};
pub use worker_board::{RoomRequest, WorkerBoard};
pub use worker_pace::WorkerPace;
pub use worker_room::WorkerRoom;
