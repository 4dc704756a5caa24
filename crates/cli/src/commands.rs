//! The commands and their options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use vanillacleat_core::ids::{ChangeId, JobName, ServiceName, TeamName, UpstreamName, ZoneName};
use vanillacleat_core::units::Revision;

/// Dispatcher for sub-second tasks: every request its whole answer once, no task started twice.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum CliCommand {
    /// Runs a whole small deployment in this process and checks its promises
    #[bpaf(command)]
    Quickstart {
        /// Stays up afterwards, for trying the API by hand
        hold: bool,
    },
    /// Runs an experiment: seeded work and faults over the programs' own code
    #[bpaf(command)]
    Load {
        /// Settings of the experiment in TOML
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Writes the report as TOML
        #[bpaf(argument("FILE"), optional)]
        report: Option<PathBuf>,
    },
    /// Measures what idle sessions cost and what remembered things weigh
    #[bpaf(command)]
    Measure {
        /// Agents
        #[bpaf(argument("COUNT"), fallback(30))]
        agents: usize,
        /// Entries
        #[bpaf(argument("COUNT"), fallback(3))]
        entries: usize,
        /// How long the idle deployment is watched
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
    },
    /// Submits a job and prints its answer
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Takes an availability zone out of service or brings it back
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_change))] ZoneChange),
    /// Retires an upstream or restores it
    #[bpaf(command)]
    Upstream(#[bpaf(external(upstream_change))] UpstreamChange),
    /// Sets a team's quota
    #[bpaf(command)]
    Set(#[bpaf(external(quota_change))] QuotaChange),
    /// Applies a sheet of changes, all of it or nothing
    #[bpaf(command)]
    Apply {
        /// Where the change is sent
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// The sheet in TOML
        #[bpaf(positional("SHEET"))]
        sheet: PathBuf,
    },
    /// Reads the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_show))] ConfigShow),
    /// Prints the whole state of an entry or an agent
    #[bpaf(command)]
    Dump {
        /// The process's HTTP address
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// Prints the story of one request in order, from the logs of all processes
    #[bpaf(command)]
    Explain {
        /// The request's id
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files, one for each process; standard input where there are none
        #[bpaf(positional("LOG"))]
        files: Vec<PathBuf>,
    },
    /// Checks a settings file of an entry or an agent
    #[bpaf(command)]
    Check {
        /// The settings in TOML
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
}

/// Where a change is sent and what it is based on.
#[derive(Clone, Debug, Bpaf)]
pub struct ChangeTarget {
    /// HTTP address of an entry; may be given more than once
    #[bpaf(long("entry"), argument("ADDRESS"), some("at least one --entry is needed"))]
    pub entries: Vec<SocketAddr>,
    /// The change's id; a change with an id that was accepted before has no further effect
    #[bpaf(long("id"), argument("ID"), optional)]
    pub id: Option<ChangeId>,
    /// The revision that the change is based on; the one in force now if not given
    #[bpaf(long("based-on"), argument("REVISION"), optional)]
    pub based_on: Option<Revision>,
}

/// A job to submit.
#[derive(Clone, Debug, Bpaf)]
pub struct SubmitOptions {
    /// HTTP address of an entry; may be given more than once
    #[bpaf(long("entry"), argument("ADDRESS"), some("at least one --entry is needed"))]
    pub entries: Vec<SocketAddr>,
    /// The service
    #[bpaf(argument("SERVICE"))]
    pub service: ServiceName,
    /// The team
    #[bpaf(argument("TEAM"))]
    pub team: TeamName,
    /// Time within which the answer is wanted, in milliseconds
    #[bpaf(argument("MILLIS"), fallback(30_000))]
    pub deadline_ms: u64,
    /// Submits under this name instead of a ticket
    #[bpaf(argument("NAME"), optional)]
    pub name: Option<JobName>,
    /// One payload for each task
    #[bpaf(positional("PAYLOAD"), some("at least one payload is needed"))]
    pub payloads: Vec<String>,
}

/// A change of an availability zone.
#[derive(Clone, Debug, Bpaf)]
pub enum ZoneChange {
    /// Takes the availability zone out of service
    #[bpaf(command("out"))]
    Out {
        /// Where the change is sent
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// The availability zone
        #[bpaf(positional("ZONE"))]
        zone: ZoneName,
    },
    /// Brings the availability zone back
    #[bpaf(command("in"))]
    In {
        /// Where the change is sent
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// The availability zone
        #[bpaf(positional("ZONE"))]
        zone: ZoneName,
    },
}

/// A change of an upstream.
#[derive(Clone, Debug, Bpaf)]
pub enum UpstreamChange {
    /// Gives the upstream no more work
    #[bpaf(command("retire"))]
    Retire {
        /// Where the change is sent
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// The upstream
        #[bpaf(positional("UPSTREAM"))]
        upstream: UpstreamName,
    },
    /// Gives the upstream work again
    #[bpaf(command("restore"))]
    Restore {
        /// Where the change is sent
        #[bpaf(external(change_target))]
        target: ChangeTarget,
        /// The upstream
        #[bpaf(positional("UPSTREAM"))]
        upstream: UpstreamName,
    },
}

/// A change of a team's quota.
#[derive(Clone, Debug, Bpaf)]
pub struct QuotaChange {
    /// Where the change is sent
    #[bpaf(external(change_target))]
    pub target: ChangeTarget,
    /// The team
    #[bpaf(argument("TEAM"))]
    pub team: TeamName,
    /// Most tasks of the team at workers at once
    #[bpaf(argument("TASKS"))]
    pub in_flight: u32,
}

/// What to read of the configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigShow {
    /// Prints the configuration in force as TOML
    #[bpaf(command("show"))]
    Show {
        /// HTTP address of an entry; may be given more than once
        #[bpaf(long("entry"), argument("ADDRESS"), some("at least one --entry is needed"))]
        entries: Vec<SocketAddr>,
    },
}
