//! Jobs of one or more tasks, as callers submit them under a ticket.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::ids::{ServiceName, TeamName};
use crate::units::{Megabytes, Millis};

/// Maximum number of tasks in a job.
pub const JOB_TASKS_MAX: usize = 400;
/// Maximum length of a task's payload, in bytes.
pub const PAYLOAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum deadline that a caller may set.
pub const DEADLINE_MILLIS_MAX: Millis = Millis(120_000);
/// Deadline of a job whose caller sets none.
pub const DEADLINE_MILLIS_DEFAULT: Millis = Millis(30_000);

/// A job, as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The service that runs the tasks.
    pub service: ServiceName,
    /// The team whose quota the job's tasks count against.
    pub team: TeamName,
    /// Deadline for the answer, in milliseconds from the arrival of the job.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
    /// The tasks: at least one and at most [`JOB_TASKS_MAX`].
    pub tasks: Vec<TaskSpec>,
}

fn default_deadline() -> Millis {
    DEADLINE_MILLIS_DEFAULT
}

/// One task of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The payload that the upstream receives.
    pub payload: String,
    /// Run time that the caller expects, in milliseconds. It is only a hint.
    #[serde(default)]
    pub declared_ms: Option<Millis>,
    /// Capacity that a worker must have to run the task.
    #[serde(default)]
    pub demand: TaskDemand,
}

/// Resources that a task needs. Also describes the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TaskDemand {
    /// Memory, in megabytes.
    pub memory_mb: Megabytes,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl TaskDemand {
    /// Returns whether a worker with `capacity` can run the task at all.
    pub fn fits(&self, capacity: &TaskDemand) -> bool {
        self.memory_mb <= capacity.memory_mb && self.accelerators <= capacity.accelerators
    }
}

/// Digest of a job's body, which detects a different body under the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 16]);

impl JobSpec {
    /// Returns the digest over all fields of the job.
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

    /// Returns the first violated rule, or `None` if the job is valid.
    pub fn validation_error(&self) -> Option<SmolStr> {
        if self.tasks.is_empty() || self.tasks.len() > JOB_TASKS_MAX {
            return Some(SmolStr::new(format!("tasks: {} given, 1 to {JOB_TASKS_MAX} allowed", self.tasks.len())));
        }
        if self.deadline_ms.0 == 0 || self.deadline_ms > DEADLINE_MILLIS_MAX {
            return Some(SmolStr::new(format!("deadline_ms: {} given, 1 to {DEADLINE_MILLIS_MAX} allowed", self.deadline_ms)));
        }
        let longest_payload = self.tasks.iter().map(|task| task.payload.len()).max().unwrap_or(0);
        if longest_payload > PAYLOAD_BYTES_MAX {
            return Some(SmolStr::new(format!("payload: {longest_payload} bytes given, at most {PAYLOAD_BYTES_MAX} allowed")));
        }
        None
    }
}

/// Hashes the length before the text, so that two different sequences of texts never hash the same bytes.
fn hash_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}
