//! Jobs whose ids the callers choose: ordered steps of tasks, where each task runs under a lease.

use std::fmt;
use std::ops::{Add, AddAssign, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::errors::{malformed_error, Error};
use crate::units::{Megabytes, Millis};

/// Number of hexadecimal digits in the text form of a job id.
const JOB_ID_DIGITS: usize = 16;
/// Maximum number of tasks in a job.
pub const CALLER_TASKS_MAX: usize = 2_000;
/// Maximum estimate of a task's run time: a day. The sums and multiples of estimates that decide a job's rank stay in range.
pub const ESTIMATE_MAX: Millis = Millis(24 * 3_600 * 1_000);

/// Identifies a job; chosen by its caller. The text form has 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerJobId(pub u64);

impl fmt::Display for CallerJobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CallerJobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_hex = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let id = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        id.map(Self).ok_or_else(|| malformed_error("job id", text, "16 lower-case hexadecimal digits"))
    }
}

/// Identifies one run of a task. A task that is started again gets a new run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the run among the task's starts, counted from one.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Identifies one task of a caller's job. The text form is `job.0.step.index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: CallerJobId,
    /// Number of the step in the job, counted from zero.
    pub step: u16,
    /// Index of the task in its step, counted from zero.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.0.{}.{}", self.job, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || malformed_error("task id", text, "job, occurrence 0, step and index, separated by dots");
        let parts: Vec<&str> = text.split('.').collect();
        let [job, "0", step, index] = parts[..] else {
            return Err(malformed());
        };
        let (step, index) = (step.parse().map_err(|_| malformed())?, index.parse().map_err(|_| malformed())?);
        Ok(Self { job: job.parse()?, step, index })
    }
}

/// An amount of a worker's resources: the demand of a task, the capacity of a worker or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// CPU, in thousandths of a core.
    pub millicores: u64,
    /// Memory, in megabytes.
    pub memory: Megabytes,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl ResourceAmount {
    /// Returns whether this amount fits into `free_capacity`.
    pub fn fits(&self, free_capacity: &Self) -> bool {
        self.millicores <= free_capacity.millicores
            && self.memory <= free_capacity.memory
            && self.accelerators <= free_capacity.accelerators
    }

    /// Subtracts `used` from each resource, saturating at zero.
    pub fn saturating_sub(&self, used: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(used.millicores),
            memory: Megabytes(self.memory.0.saturating_sub(used.memory.0)),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

impl AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for ResourceAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(&other);
    }
}

impl Add for ResourceAmount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory: Megabytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// A set of identical tasks within a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobStep {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task occupies while it runs.
    pub demand: ResourceAmount,
    /// The caller's rough estimate of the run time of one task.
    pub estimate: Millis,
    /// Numbers of the earlier steps whose tasks must all be done before this step starts.
    pub after: Vec<u16>,
    /// The rack that is close to the step's data, if any.
    pub preferred_rack: Option<SmolStr>,
    /// A label that a worker must have to run the tasks, if any.
    pub required_label: Option<SmolStr>,
    /// Maximum number of the step's tasks on one worker; zero means no limit.
    pub per_worker_max: u32,
}

/// A job, as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerJob {
    /// The id that the caller chose.
    pub id: CallerJobId,
    /// Payload that every task receives.
    pub payload: SmolStr,
    /// The steps; a step's number is its index.
    pub steps: Vec<JobStep>,
}

impl CallerJob {
    /// Returns the first violated rule, or `None` if the job is valid.
    pub fn validation_error(&self) -> Option<&'static str> {
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        if tasks == 0 || tasks > CALLER_TASKS_MAX {
            return Some("a job has 1 to 2000 tasks");
        }
        let is_ordered = |(number, step): (usize, &JobStep)| step.after.iter().all(|earlier| usize::from(*earlier) < number);
        if !self.steps.iter().enumerate().all(is_ordered) {
            return Some("a step comes after earlier steps only");
        }
        if self.steps.iter().any(|step| step.estimate > ESTIMATE_MAX) {
            return Some("a task's estimated run time is at most a day");
        }
        None
    }
}
