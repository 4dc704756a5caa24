//! Jobs that callers name themselves: steps of tasks, each task run under a lease.

use std::fmt;
use std::ops::{Add, AddAssign, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::errors::{malformed_error, Error};
use crate::units::{Megabytes, Millis};

/// Digits of a job's name.
const JOB_ID_DIGITS: usize = 16;
/// Most tasks in a job under its caller's name.
pub const CALLER_TASKS_MAX: usize = 2_000;

/// A `CallerJobId` is the name that a caller chose for a job.
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

/// A `RunId` names one start of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Counts the task's starts from one.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// A `TaskId` names one task of a job under its caller's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: CallerJobId,
    /// The step, counted from zero.
    pub step: u16,
    /// The task's place in its step, counted from zero.
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
        let refusal = || malformed_error("task id", text, "job, occurrence 0, step and index with dots between");
        let parts: Vec<&str> = text.split('.').collect();
        let [job, "0", step, index] = parts[..] else {
            return Err(refusal());
        };
        let (step, index) = (step.parse().map_err(|_| refusal())?, index.parse().map_err(|_| refusal())?);
        Ok(Self { job: job.parse()?, step, index })
    }
}

/// A `ResourceAmount` is what a task occupies or a worker holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// Processor time, in thousandths of a core.
    pub millicores: u64,
    /// Memory.
    pub memory: Megabytes,
    /// Accelerators.
    pub accelerators: u32,
}

impl ResourceAmount {
    /// Returns whether this amount fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.millicores <= room.millicores && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns what is left after `used`, never below zero.
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
            millicores: self.millicores + other.millicores,
            memory: Megabytes(self.memory.0 + other.memory.0),
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

/// A `JobStep` is a set of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobStep {
    /// How many tasks.
    pub count: u16,
    /// What each occupies while it runs.
    pub demand: ResourceAmount,
    /// The caller's rough guess at one task's run time.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// The rack near the step's data.
    pub preferred_rack: Option<SmolStr>,
    /// A label that the worker must have.
    pub required_label: Option<SmolStr>,
    /// Most tasks of the step on one worker; zero for no limit.
    pub per_worker_max: u32,
}

/// A `CallerJob` is a job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerJob {
    /// The caller's name for it.
    pub id: CallerJobId,
    /// The text handed to every task.
    pub payload: SmolStr,
    /// The steps, in the order of their numbers.
    pub steps: Vec<JobStep>,
}

impl CallerJob {
    /// Returns what is wrong with the job, if anything.
    pub fn validation_error(&self) -> Option<&'static str> {
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        if tasks == 0 || tasks > CALLER_TASKS_MAX {
            return Some("a job has 1 to 2000 tasks");
        }
        let is_ordered = |(number, step): (usize, &JobStep)| step.after.iter().all(|earlier| usize::from(*earlier) < number);
        if !self.steps.iter().enumerate().all(is_ordered) {
            return Some("a step comes after earlier steps only");
        }
        None
    }
}
