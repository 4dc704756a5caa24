//! Calls of a worker and what it says to them.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::caller_job::RunId;

/// A `WorkerCall` is a call of the worker beside the agent. Every call carries the agent's fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    /// Starts a run.
    Start {
        /// The run.
        run: RunId,
        /// The task's text.
        payload: SmolStr,
        /// End of the worker's lease, on the worker's clock, in milliseconds.
        lease_end: u64,
    },
    /// Stops a run, also one that has not started.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Reads the lists of runs, and renews the lease if an end is given.
    LeasePoll {
        /// Names the call for its reply.
        number: u64,
        /// End of the worker's lease, on the worker's clock, in milliseconds.
        lease_end: Option<u64>,
        /// Ends up to this number have been taken.
        observed: u64,
        /// Longest time that the worker waits for an end.
        wait: Duration,
    },
}

/// A `WorkerReply` is what came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// Of a start.
    Start(RunId, StartReply),
    /// Of a stop.
    Stop(RunId, StopReply),
    /// Of a lease poll.
    LeasePoll(u64, LeasePollReply),
}

impl WorkerReply {
    /// Returns whether the worker answered at all.
    pub fn is_answer(&self) -> bool {
        !matches!(
            self,
            Self::Start(_, StartReply::Unanswered) | Self::Stop(_, StopReply::Unanswered) | Self::LeasePoll(_, LeasePollReply::Unanswered)
        )
    }
}

/// What came of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is at work; the worker's clock in milliseconds.
    Started(u64),
    /// The worker refused; its clock in milliseconds.
    Refused(StartRefusal, u64),
    /// The worker is unhealthy and did nothing.
    Shed,
    /// Another life of the worker answered and did nothing.
    OtherIncarnation,
    /// No answer came; the start may still be carried out.
    Unanswered,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run, or a later one of the task, was stopped or ended there.
    Outdated,
    /// The lease that the start carried had ended.
    Late,
    /// There is no room.
    NoRoom,
    /// The call can't be obeyed.
    Malformed,
}

/// What came of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends within the stop timeout and never starts; the worker's clock in milliseconds.
    Taken(u64),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life of the worker answered.
    OtherIncarnation,
    /// No answer came.
    Unanswered,
}

/// What came of a lease poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeasePollReply {
    /// The lists.
    Listed(RunList),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life of the worker answered.
    OtherIncarnation,
    /// No answer came.
    Unanswered,
}

/// A `RunList` is what a worker says of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunList {
    /// The start of the worker's life, in Unix milliseconds; zero where it does not say.
    pub born: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// What is at work.
    pub running: Vec<RunningTask>,
    /// What has ended beyond the observed number, oldest first.
    pub ended: Vec<EndedRun>,
}

/// A `RunningTask` is a run at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The run.
    pub run: RunId,
    /// Share of its work that is done, in percent.
    pub percent: u8,
}

/// An `EndedRun` is a run that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Counts the ends of the worker's life from one.
    pub number: u64,
    /// The run; absent where the name is not one of ours.
    pub run: Option<RunId>,
    /// How it ended.
    pub outcome: vanillacleat_core::run_frames::RunOutcome,
}
