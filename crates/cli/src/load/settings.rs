//! Settings of a load experiment.

use serde::{Deserialize, Serialize};
use vanillacleat_core::settings::{GateSettings, PolicySettings};

/// The workload, the deployment, the faults and the variants of a load experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Seed of the arrival times and the tasks' run times.
    pub seed: u64,
    /// Duration of the arrivals, in seconds.
    pub seconds: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with one upstream. They are spread over three availability zones.
    pub agents: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Minimum and maximum number of tasks of a job.
    pub job_tasks: [usize; 2],
    /// Minimum and maximum run time of an ordinary task, in milliseconds.
    pub task_ms: [u64; 2],
    /// Share of tasks that are long: they run for 2 to 5 seconds.
    pub long_share: f64,
    /// Deadline of each job, in milliseconds.
    pub deadline_ms: u64,
    /// Number of teams. Jobs are spread evenly over them.
    pub teams: usize,
    /// Share of jobs that are submitted a second time, through the next entry in turn.
    pub resubmit_share: f64,
    /// Duration of a burst and of the calm after it, in seconds. Zero makes arrivals steady.
    pub burst_seconds: f64,
    /// Number of single requests whose latency is compared with that of direct calls to the upstream.
    pub single_requests: usize,
    /// Faults and operators' changes, in any order.
    pub faults: Vec<LoadFault>,
    /// The variants to compare. Each runs on a new deployment with the same seed.
    pub variants: Vec<LoadVariant>,
}

/// The settings of one variant in a comparison.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadVariant {
    /// Name of the variant in the report.
    pub name: String,
    /// Offered work, as a share of the work that all slots can do.
    pub load: f64,
    /// The entries' placement and limits.
    pub policy: PolicySettings,
    /// Limits of the agents' start gates.
    pub gate: GateSettings,
}

/// A fault or an operators' change that is injected during the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFault {
    /// Start of the fault, in seconds after the start of the arrivals.
    pub at: f64,
    /// What happens.
    pub kind: FaultKind,
    /// Index of the affected entry, or of the agent whose process, upstream or availability zone is affected.
    #[serde(default)]
    pub index: usize,
    /// Duration of the fault, in seconds. Zero makes it last until the end of the run.
    #[serde(default)]
    pub seconds: f64,
}

/// The kinds of faults and operators' changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Takes the availability zone of agent `index` out of service and brings it back after `seconds`.
    ZoneOut,
    /// Retires the upstream of agent `index` and restores it after `seconds`.
    UpstreamRetire,
    /// For `seconds`, the upstream of agent `index` delays every task by `seconds`.
    UpstreamStall,
    /// For `seconds`, the upstream of agent `index` fails every task immediately.
    UpstreamBroken,
    /// Kills agent `index` and restarts it after `seconds`.
    AgentKill,
    /// Pauses agent `index` for `seconds`.
    AgentPause,
    /// Kills entry `index`, which is not restarted.
    EntryKill,
    /// Pauses entry `index` for `seconds`.
    EntryPause,
    /// For `seconds`, the platform's store answers every call with status 503.
    PlatformDown,
    /// For `seconds`, the platform's store delays every call by one second.
    PlatformSlow,
    /// For `seconds`, the platform's store executes all writes and lease calls but loses the answer of every second
    /// one.
    PlatformSilent,
    /// Callers cancel all jobs of the run, whether submitted yet or not.
    CancelWave,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 20,
            entries: 3,
            agents: 10,
            slots: 8,
            job_tasks: [1, 16],
            task_ms: [50, 1_000],
            long_share: 0.01,
            deadline_ms: 20_000,
            teams: 4,
            resubmit_share: 0.0,
            burst_seconds: 0.0,
            single_requests: 0,
            faults: Vec::new(),
            variants: vec![LoadVariant::default()],
        }
    }
}

impl Default for LoadVariant {
    fn default() -> Self {
        Self { name: "default".to_owned(), load: 0.7, policy: PolicySettings::default(), gate: GateSettings::default() }
    }
}

impl LoadSettings {
    /// Parses and checks settings in TOML. The error states why they are invalid.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let is_range = |min: u64, max: u64| min >= 1 && min <= max;
        let job_tasks = self.job_tasks;
        if !is_range(job_tasks[0] as u64, job_tasks[1] as u64) || !is_range(self.task_ms[0], self.task_ms[1]) {
            return Err("job_tasks, task_ms: the minimum must be at least 1 and must not exceed the maximum".to_owned());
        }
        if self.entries == 0 || self.agents == 0 || self.teams == 0 || self.variants.is_empty() {
            return Err("entries, agents, teams, variants: at least one of each is required".to_owned());
        }
        let is_valid = |fault: &LoadFault| match fault.kind {
            FaultKind::EntryKill | FaultKind::EntryPause => fault.index < self.entries,
            _ => fault.index < self.agents,
        };
        match self.faults.iter().find(|fault| !is_valid(fault)) {
            Some(fault) => Err(format!("faults: process index {} is out of range", fault.index)),
            None => Ok(()),
        }
    }
}
