//! Why a job was answered late: the parts of its response time, and the longest of those that could have been shorter.

use std::fmt;
use std::time::Duration;

use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;

use crate::entry::order::job_order::JobTimes;

/// When the tasks of a job were sent to workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendRecord {
    /// When the first task was sent for the first time. Absent until then.
    first_at: Option<MonoTime>,
    /// When a task was last sent.
    last_at: MonoTime,
    /// How the former run of the task that was sent last had ended, if it had one.
    last_former: Option<RunOutcome>,
}

impl SendRecord {
    /// Records that a task is sent whose former run, if it had one, ended with `former`.
    pub fn record(&mut self, now: MonoTime, former: Option<RunOutcome>) {
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.last_former = former;
    }
}

/// What made a job late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DelayCause {
    /// The caller had submitted the job before, and its request was interrupted.
    Resubmitted,
    /// The first task waited for a worker.
    FirstStart,
    /// A task was sent again after a start that did not run, such as one for which its worker had no room.
    ReturnedStart,
    /// A task was sent again after a run that had begun.
    RepeatedRun,
    /// A later task waited for a worker, or for an earlier step.
    LaterStart,
    /// The last run alone took longer than the job had.
    LongRun,
}

impl DelayCause {
    /// Returns the name that is used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Resubmitted => "resubmitted",
            Self::FirstStart => "first_start",
            Self::ReturnedStart => "returned_start",
            Self::RepeatedRun => "repeated_run",
            Self::LaterStart => "later_start",
            Self::LongRun => "long_run",
        }
    }
}

/// The parts of the response time of a job that was answered late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobDelay {
    /// How much later than its target the answer came.
    pub late: Duration,
    /// Time from the first submission to the arrival at this entry.
    pub before_arrival: Duration,
    /// Time from the arrival to the first start.
    pub first_start: Duration,
    /// Time from the first start to the last one.
    pub later_starts: Duration,
    /// Time from the last start to the answer.
    pub last_run: Duration,
    /// What made the job late.
    pub cause: DelayCause,
}

impl JobDelay {
    /// Returns the parts of the response time of a job that is answered at `now`. Returns `None` if the answer is in time, or no task of
    /// the job was sent.
    pub fn new(now: MonoTime, arrived_at: MonoTime, times: &JobTimes, sends: &SendRecord) -> Option<Self> {
        let first_at = sends.first_at.filter(|_| now > times.target_at)?;
        let before_arrival = arrived_at.since(times.submitted_at);
        let (first_start, later_starts) = (first_at.since(arrived_at), sends.last_at.since(first_at));
        let last_run = now.since(sends.last_at);
        let later_cause = match sends.last_former {
            None => DelayCause::LaterStart,
            Some(outcome) if outcome.has_run() => DelayCause::RepeatedRun,
            Some(_) => DelayCause::ReturnedStart,
        };
        let waits = [(before_arrival, DelayCause::Resubmitted), (first_start, DelayCause::FirstStart), (later_starts, later_cause)];
        let longest_wait = waits.into_iter().max_by_key(|(wait, _)| *wait).map(|(_, cause)| cause);
        let is_run_late = times.submitted_at + last_run > times.target_at;
        let cause = longest_wait.filter(|_| !is_run_late).unwrap_or(DelayCause::LongRun);
        Some(Self { late: now.since(times.target_at), before_arrival, first_start, later_starts, last_run, cause })
    }
}

impl fmt::Display for JobDelay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cause={} late_ms={} before_arrival_ms={} first_start_ms={} later_starts_ms={} last_run_ms={}",
            self.cause.as_str(),
            self.late.as_millis(),
            self.before_arrival.as_millis(),
            self.first_start.as_millis(),
            self.later_starts.as_millis(),
            self.last_run.as_millis()
        )
    }
}
