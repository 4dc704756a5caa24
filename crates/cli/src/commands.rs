//! The commands and their options. The doc comments are the help texts; those of structs and nested enums are the headings
//! of their options and subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use vanillacleat_core::ids::{ChangeId, JobName, ServiceName, TeamName, UpstreamName, ZoneName};
use vanillacleat_core::units::Revision;

/// Dispatcher for sub-second tasks: each request gets one complete answer and no task is started twice.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum CliCommand {
    /// Runs a small deployment in this process and checks its guarantees
    #[bpaf(command)]
    Quickstart {
        /// Keeps the deployment running afterwards, for trying out the API
        hold: bool,
    },
    /// Runs a load experiment: a seeded workload with injected faults on a local deployment
    #[bpaf(command)]
    Load {
        /// TOML file with the settings of the experiment
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// File to which the report is written as TOML
        #[bpaf(argument("FILE"), optional)]
        report: Option<PathBuf>,
    },
    /// Measures the resource usage of idle sessions and the memory of retained tasks and jobs
    #[bpaf(command)]
    Measure {
        /// Number of agents
        #[bpaf(argument("COUNT"), fallback(30))]
        agents: usize,
        /// Number of entries
        #[bpaf(argument("COUNT"), fallback(3))]
        entries: usize,
        /// Duration of the idle measurement
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Submits a job and prints its answer
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Takes an availability zone out of service or brings it back into service
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_change))] ZoneChange),
    /// Retires or restores an upstream
    #[bpaf(command)]
    Upstream(#[bpaf(external(upstream_change))] UpstreamChange),
    /// Sets a team's quota
    #[bpaf(command)]
    Set(#[bpaf(external(quota_change))] QuotaChange),
    /// Applies the changes in a file, either all or none of them
    #[bpaf(command)]
    Apply {
        /// Target of the change
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// TOML file with the changes
        #[bpaf(positional("SHEET"))]
        change_set: PathBuf,
    },
    /// Prints the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_show))] ConfigShow),
    /// Prints the complete state of an entry or an agent
    #[bpaf(command)]
    Dump {
        /// HTTP address of the process
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// Prints the timeline of one request, merged from the logs of several processes
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files, one for each process; standard input if none are given
        #[bpaf(positional("LOG"))]
        files: Vec<PathBuf>,
    },
    /// Counts from the logs of entries why jobs were late or refused
    #[bpaf(command)]
    Causes {
        /// Log files of entries; standard input if none are given
        #[bpaf(positional("LOG"))]
        files: Vec<PathBuf>,
    },
    /// Checks a settings file of an entry or an agent
    #[bpaf(command)]
    Check {
        /// TOML file with the settings
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
}

/// Target, id and base revision of the change
#[derive(Clone, Debug, Bpaf)]
pub struct ChangeTarget {
    /// HTTP address of an entry; may be repeated
    #[bpaf(long("entry"), argument("ADDRESS"), some("at least one --entry is needed"))]
    pub entries: Vec<SocketAddr>,
    /// Id of the change; a change with an id that was accepted before has no further effect
    #[bpaf(long("id"), argument("ID"), optional)]
    pub id: Option<ChangeId>,
    /// Revision that the change is based on; the one in force if not given
    #[bpaf(long("based-on"), argument("REVISION"), optional)]
    pub based_on: Option<Revision>,
}

/// Job to submit
#[derive(Clone, Debug, Bpaf)]
pub struct SubmitOptions {
    /// HTTP address of an entry; may be repeated
    #[bpaf(long("entry"), argument("ADDRESS"), some("at least one --entry is needed"))]
    pub entries: Vec<SocketAddr>,
    /// Service that runs the tasks
    #[bpaf(argument("SERVICE"))]
    pub service: ServiceName,
    /// Team whose quota the job uses
    #[bpaf(argument("TEAM"))]
    pub team: TeamName,
    /// Time within which the answer is needed, in milliseconds
    #[bpaf(argument("MILLIS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// Name that identifies the job instead of a ticket
    #[bpaf(argument("NAME"), optional)]
    pub name: Option<JobName>,
    /// Payloads, one for each task
    #[bpaf(positional("PAYLOAD"), some("at least one payload is needed"))]
    pub payloads: Vec<String>,
}

/// Changes of an availability zone
#[derive(Clone, Debug, Bpaf)]
pub enum ZoneChange {
    /// Takes the availability zone out of service
    #[bpaf(command("out"))]
    Out {
        /// Target of the change
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// Availability zone
        #[bpaf(positional("ZONE"))]
        zone: ZoneName,
    },
    /// Brings the availability zone back into service
    #[bpaf(command("in"))]
    In {
        /// Target of the change
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// Availability zone
        #[bpaf(positional("ZONE"))]
        zone: ZoneName,
    },
}

/// Changes of an upstream
#[derive(Clone, Debug, Bpaf)]
pub enum UpstreamChange {
    /// Stops sending tasks to the upstream
    #[bpaf(command("retire"))]
    Retire {
        /// Target of the change
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// Upstream
        #[bpaf(positional("UPSTREAM"))]
        upstream: UpstreamName,
    },
    /// Resumes sending tasks to the upstream
    #[bpaf(command("restore"))]
    Restore {
        /// Target of the change
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// Upstream
        #[bpaf(positional("UPSTREAM"))]
        upstream: UpstreamName,
    },
}

/// Quota of a team
#[derive(Clone, Debug, Bpaf)]
pub struct QuotaChange {
    /// Target of the change
    #[bpaf(external(change_target))]
    pub target: ChangeTarget,
    /// Team whose quota is set
    #[bpaf(argument("TEAM"))]
    pub team: TeamName,
    /// Maximum number of the team's tasks that are at workers at the same time
    #[bpaf(argument("TASKS"))]
    pub in_flight: u32,
}

/// Views of the configuration
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigShow {
    /// Prints the configuration in force as TOML
    #[bpaf(command("show"))]
    Show {
        /// HTTP address of an entry; may be repeated
        #[bpaf(long("entry"), argument("ADDRESS"), some("at least one --entry is needed"))]
        entries: Vec<SocketAddr>,
    },
}
