//! What callers submit: a job of one or more tasks.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::ids::{ServiceName, TeamName};
use crate::units::{Megabytes, Millis};

/// Most tasks in a job.
pub const JOB_TASKS_MAX: usize = 400;
/// Longest payload of a task, in bytes.
pub const PAYLOAD_BYTES_MAX: usize = 64 * 1024;
/// Longest deadline a caller may ask for, in milliseconds.
pub const DEADLINE_MILLIS_MAX: Millis = Millis(120_000);
/// Deadline of a job that names none, in milliseconds.
pub const DEADLINE_MILLIS_DEFAULT: Millis = Millis(30_000);

/// A `JobSpec` is a job as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The service that runs the tasks.
    pub service: ServiceName,
    /// The team whose quota pays.
    pub team: TeamName,
    /// Time from arrival within which the answer is wanted, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// The tasks, at least one.
    pub tasks: Vec<TaskSpec>,
}

fn default_deadline() -> Millis {
    DEADLINE_MILLIS_DEFAULT
}

/// A `TaskSpec` is one task of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The text handed to the upstream.
    pub payload: String,
    /// Run time the caller expects, in milliseconds; a hint only.
    #[serde(default)]
    pub declared_ms: Option<Millis>,
    /// What a worker must have to hold the task.
    #[serde(default)]
    pub demand: TaskDemand,
}

/// A `TaskDemand` is what a task needs of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskDemand {
    /// Memory, in megabytes.
    pub memory_mb: Megabytes,
    /// Accelerators.
    pub accelerators: u32,
}

impl TaskDemand {
    /// Returns whether a worker with `capacity` could ever hold the task.
    pub fn fits(&self, capacity: &TaskDemand) -> bool {
        self.memory_mb <= capacity.memory_mb && self.accelerators <= capacity.accelerators
    }
}

/// A `BodyDigest` identifies a job's body, so that a different body under the same ticket is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 16]);

impl JobSpec {
    /// Returns the digest of every field of the job.
    pub fn digest(&self) -> BodyDigest {
        let mut hasher = Sha256::new();
        hash_text(&mut hasher, self.service.as_str());
        hash_text(&mut hasher, self.team.as_str());
        hasher.update(self.deadline_ms.0.to_le_bytes());
        for task in &self.tasks {
            hash_text(&mut hasher, &task.payload);
            hasher.update(task.declared_ms.map_or(u64::MAX, |millis| millis.0).to_le_bytes());
            hasher.update(task.demand.memory_mb.0.to_le_bytes());
            hasher.update(task.demand.accelerators.to_le_bytes());
        }
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        BodyDigest(bytes)
    }

    /// Returns what is wrong with the job, if anything.
    pub fn validation_error(&self) -> Option<SmolStr> {
        if self.tasks.is_empty() || self.tasks.len() > JOB_TASKS_MAX {
            return Some(SmolStr::new(format!("tasks: {} given, 1 to {JOB_TASKS_MAX} allowed", self.tasks.len())));
        }
        if self.deadline_ms.0 == 0 || self.deadline_ms > DEADLINE_MILLIS_MAX {
            return Some(SmolStr::new(format!("deadline_ms: {} given, 1 to {DEADLINE_MILLIS_MAX} allowed", self.deadline_ms)));
        }
        let longest = self.tasks.iter().map(|task| task.payload.len()).max().unwrap_or(0);
        if longest > PAYLOAD_BYTES_MAX {
            return Some(SmolStr::new(format!("payload: {longest} bytes given, at most {PAYLOAD_BYTES_MAX} allowed")));
        }
        None
    }
}

fn hash_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
