//! The calls from an agent to its worker, and the worker's replies.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::RunId;

/// A call to the worker beside the agent. Every call is sent with the agent's fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts a run.
    Start {
        /// The run to start.
        run: RunId,
        /// The task's payload.
        payload: SmolStr,
        /// When the worker's lease ends, on the worker's clock, in milliseconds.
        lease_end: u64,
    },
    /// Stops a run, or prevents its start if the run has not started yet.
    Stop {
        /// The run to stop.
        run: RunId,
    },
    /// Reads the lists of running and ended runs, and renews the lease if `lease_end` is given.
    LeasePoll {
        /// Identifies the call in its reply.
        number: u64,
        /// When the worker's lease ends, on the worker's clock, in milliseconds.
        lease_end: Option<u64>,
        /// Acknowledges all ends up to this number; the worker need not list them again.
        observed: u64,
        /// Maximum time that the worker delays its reply while no run ends.
        wait: Duration,
    },
}

/// The result of a call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The result of a start.
    Start(RunId, StartReply),
    /// The result of a stop.
    Stop(RunId, StopReply),
    /// The result of the lease poll with this number.
    LeasePoll(u64, LeasePollReply),
}

impl WorkerReply {
    /// Returns whether the worker answered the call.
    pub fn is_answer(&self) -> bool {
        !matches!(
            self,
            Self::Start(_, StartReply::NotSent | StartReply::Unanswered)
                | Self::Stop(_, StopReply::Unanswered)
                | Self::LeasePoll(_, LeasePollReply::Refused | LeasePollReply::Unanswered)
        )
    }
}

/// The result of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is running. Holds the worker's clock in milliseconds.
    Started(u64),
    /// The worker rejected the start. Holds the reason and the worker's clock in milliseconds.
    Rejected(StartRejection, u64),
    /// The worker is unhealthy and did not start the run.
    Shed,
    /// Another incarnation of the worker answered and did not start the run.
    OtherIncarnation,
    /// No connection to the worker could be opened, so that it never receives the call.
    NotSent,
    /// No answer arrived; the worker may still start the run.
    Unanswered,
}

/// The reason why a worker rejected a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRejection {
    /// The worker has received a higher fencing token.
    Fenced,
    /// The worker has already stopped or ended this run or a later run of the same task.
    Outdated,
    /// The lease that the start carried had already ended.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The worker can't process the call.
    Malformed,
}

/// The result of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The worker accepted the stop: the run ends within the stop timeout and can't start afterwards. Holds the
    /// worker's clock in milliseconds.
    Accepted(u64),
    /// The worker has received a higher fencing token.
    Fenced,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
    /// No answer arrived.
    Unanswered,
}

/// The result of a lease poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeasePollReply {
    /// The lists of running and ended runs.
    Runs(RunList),
    /// The worker has received a higher fencing token.
    Fenced,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
    /// The worker's address refused the connection: no process listens there.
    Refused,
    /// No answer arrived.
    Unanswered,
}

/// The running and ended runs that a worker lists in its reply to a lease poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunList {
    /// Start of the worker's incarnation, in Unix milliseconds; zero if the worker does not report it.
    pub born: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The runs that are running.
    pub running: Vec<RunningTask>,
    /// The runs that ended after the acknowledged number, oldest first.
    pub ended: Vec<EndedRun>,
    /// Whether `running` names all runs that are running. Otherwise a run that it doesn't name may be running.
    pub is_complete: bool,
}

impl Default for RunList {
    fn default() -> Self {
        Self { born: 0, clock: 0, running: Vec::new(), ended: Vec::new(), is_complete: true }
    }
}

/// A run that is running at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The run.
    pub run: RunId,
    /// Share of its work that is done, in percent.
    pub percent: u8,
}

/// A run that has ended at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end within the worker's incarnation, counted from one.
    pub number: u64,
    /// The run; absent if the listed name is not a valid run id.
    pub run: Option<RunId>,
    /// How the run ended.
    pub outcome: vanillacleat_core::run_frames::RunOutcome,
}
