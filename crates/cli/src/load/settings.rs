//! Settings of an experiment.

use serde::{Deserialize, Serialize};
use vanillacleat_core::settings::{GateSettings, PolicySettings};

/// `LoadSettings` describe an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Seed of arrivals and task times.
    pub seed: u64,
    /// How long jobs arrive, in seconds.
    pub seconds: u64,
    /// Entries.
    pub entries: usize,
    /// Agents, each with an upstream, spread over three availability zones.
    pub agents: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Fewest and most tasks of a job.
    pub job_tasks: [usize; 2],
    /// Shortest and longest ordinary task, in milliseconds.
    pub task_ms: [u64; 2],
    /// Share of tasks that run 2 to 5 seconds.
    pub long_share: f64,
    /// Deadline of each job, in milliseconds.
    pub deadline_ms: u64,
    /// Teams, among which jobs are spread evenly.
    pub teams: usize,
    /// Share of jobs that are also submitted through another entry.
    pub resubmit_share: f64,
    /// Length of a burst and of the calm after it, in seconds; zero for steady arrivals.
    pub burst_seconds: f64,
    /// Single requests that are timed against calling the upstream directly.
    pub single_requests: usize,
    /// What goes wrong, and when.
    pub faults: Vec<LoadFault>,
    /// What is compared; each variant runs on a new deployment with the same seed.
    pub variants: Vec<LoadVariant>,
}

/// A `LoadVariant` is one side of a comparison.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadVariant {
    /// The variant's name.
    pub name: String,
    /// Offered work over the work that all slots can do.
    pub load: f64,
    /// How the entries place and bound work.
    pub policy: PolicySettings,
    /// Bounds of the gates.
    pub gate: GateSettings,
}

/// A `LoadFault` is one thing that goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFault {
    /// When, in seconds after the first arrival.
    pub at: f64,
    /// What.
    pub kind: FaultKind,
    /// Which process, counted from zero.
    #[serde(default)]
    pub index: usize,
    /// For how long, in seconds.
    #[serde(default)]
    pub seconds: f64,
}

/// A `FaultKind` is a kind of fault or of operators' change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Takes the availability zone of agent `index` out, and brings it back after `seconds`.
    ZoneOut,
    /// Retires the upstream of agent `index`, and restores it after `seconds`.
    UpstreamRetire,
    /// The upstream of agent `index` holds every task for `seconds` longer, for `seconds`.
    UpstreamStall,
    /// The upstream of agent `index` fails everything at once.
    UpstreamBroken,
    /// Kills agent `index` and starts it anew after `seconds`.
    AgentKill,
    /// Pauses agent `index` for `seconds`.
    AgentPause,
    /// Kills entry `index`.
    EntryKill,
    /// Pauses entry `index` for `seconds`.
    EntryPause,
    /// The platform's store is down for `seconds`.
    PlatformDown,
    /// The platform's store takes a second for each call, for `seconds`.
    PlatformSlow,
    /// The platform's store loses every second answer of a write, for `seconds`.
    PlatformSilent,
    /// Callers cancel their open jobs.
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
    /// Returns the settings in `text`, or what is wrong with them.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let is_range = |least: u64, most: u64| least >= 1 && least <= most;
        let tasks = self.job_tasks;
        if !is_range(tasks[0] as u64, tasks[1] as u64) || !is_range(self.task_ms[0], self.task_ms[1]) {
            return Err("job_tasks, task_ms: the first number is 1 or more and at most the second".to_owned());
        }
        if self.entries == 0 || self.agents == 0 || self.teams == 0 || self.variants.is_empty() {
            return Err("entries, agents, teams, variants: at least one of each is needed".to_owned());
        }
        let is_known = |fault: &LoadFault| match fault.kind {
            FaultKind::EntryKill | FaultKind::EntryPause => fault.index < self.entries,
            _ => fault.index < self.agents,
        };
        match self.faults.iter().find(|fault| !is_known(fault)) {
            Some(fault) => Err(format!("faults: there is no process {}", fault.index)),
            None => Ok(()),
        }
    }
}
