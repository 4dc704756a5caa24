//! A complete deployment on loopback in one process: real entries and agents with stand-ins for the platform's store and the
//! upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use smol_str::SmolStr;
use vanillacleat_agent::AgentDaemon;
use vanillacleat_control::gate::UpstreamAnnouncement;
use vanillacleat_core::ids::ZoneName;
use vanillacleat_core::settings::{AgentSettings, CapacitySettings, EntrySettings, GateSettings, PolicySettings};
use vanillacleat_daemon::ProcessRuntime;
use vanillacleat_entry::EntryDaemon;
use vanillacleat_standin::{free_port, PlatformStandin, StartLog, UpstreamStandin};

use crate::operators::CommandError;

/// Service whose tasks the upstreams run.
pub const SERVICE: &str = "readings";
/// Interval at which an upstream is announced to its agent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for a new deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of connections to each upstream.
const UPSTREAM_CONNECTIONS: u32 = 64;
/// Number of threads of the runtime that the stand-ins and the callers share.
const STANDIN_THREADS: usize = 2;

/// The size and the settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Names of the availability zones.
    pub zones: Vec<ZoneName>,
    /// Number of entries, spread over the availability zones.
    pub entries: usize,
    /// Number of agents, spread over the availability zones. Each has one upstream.
    pub agents: usize,
    /// Number of tasks that each upstream runs at the same time.
    pub slots: u32,
    /// Policies and limits of the entries.
    pub policy: PolicySettings,
    /// Limits of the agents' start gates.
    pub gate: GateSettings,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        let zones = ["serra-norte", "planalto-centro", "alentejo-sul"];
        Self {
            zones: zones.iter().map(|zone| zone.parse().expect("the name is valid")).collect(),
            entries: 2,
            agents: 3,
            slots: 8,
            policy: PolicySettings::default(),
            gate: GateSettings::default(),
        }
    }
}

/// A running deployment with handles to its parts.
pub struct LocalDeployment {
    /// The entries; `None` for one that was killed.
    pub entries: Vec<Option<EntryDaemon>>,
    /// The entries' HTTP addresses.
    pub entry_addresses: Vec<SocketAddr>,
    /// The agents; `None` for one that was killed.
    pub agents: Vec<Option<AgentDaemon>>,
    /// The agents' settings, with which they can be restarted.
    pub agent_settings: Vec<AgentSettings>,
    /// The upstreams, in the order of their agents.
    pub upstreams: Vec<UpstreamStandin>,
    /// Stand-in for the platform's store.
    pub platform: PlatformStandin,
    /// All task starts, recorded by the upstreams.
    pub start_log: StartLog,
    /// Runtime of the stand-ins and the callers.
    pub runtime: ProcessRuntime,
}

impl LocalDeployment {
    /// Starts a deployment. Returns when every entry knows an upstream of every agent, and every entry's peers have
    /// acknowledged the version of its fleet, which is the list of agents that it uses.
    pub fn start(options: &DeploymentOptions) -> Result<Self, Report<CommandError>> {
        let runtime = ProcessRuntime::start("standins", STANDIN_THREADS).change_context(CommandError::Start)?;
        let start_log = StartLog::default();
        let platform = runtime.block_on(PlatformStandin::start(free_port())).change_context(CommandError::Start)?;
        let entry_settings = make_entry_settings(options, platform.address);
        let entries = entry_settings.iter().map(EntryDaemon::start).collect::<Result<Vec<_>, _>>().change_context(CommandError::Start)?;
        let mesh: Vec<SocketAddr> = entry_settings.iter().map(|settings| settings.mesh_listen).collect();
        let agent_settings: Vec<AgentSettings> = (0..options.agents).map(|index| make_agent_settings(options, index, &mesh)).collect();
        let agents = agent_settings.iter().map(AgentDaemon::start).collect::<Result<Vec<_>, _>>().change_context(CommandError::Start)?;
        let mut upstreams = Vec::new();
        for settings in &agent_settings {
            let name = format!("upstream-{}", settings.id);
            let start = UpstreamStandin::start(free_port(), &name, settings.zone.as_str(), start_log.clone());
            let upstream = runtime.block_on(start).change_context(CommandError::Start)?;
            let announcement = make_announcement(&name, upstream.address, options.slots);
            runtime.handle().spawn(announce_periodically(settings.http_listen, announcement));
            upstreams.push(upstream);
        }
        let deployment = Self {
            entries: entries.into_iter().map(Some).collect(),
            entry_addresses: entry_settings.iter().map(|settings| settings.http_listen).collect(),
            agents: agents.into_iter().map(Some).collect(),
            agent_settings,
            upstreams,
            platform,
            start_log,
            runtime,
        };
        deployment.runtime.block_on(wait_until_ready(&deployment.entry_addresses, options.agents))?;
        Ok(deployment)
    }
}

fn make_entry_settings(options: &DeploymentOptions, platform: SocketAddr) -> Vec<EntrySettings> {
    let mesh: Vec<SocketAddr> = (0..options.entries).map(|_| free_port()).collect();
    let make_settings = |index: usize| EntrySettings {
        id: format!("entry-{index}").parse().expect("the name is valid"),
        zone: options.zones[index % options.zones.len()].clone(),
        zones: options.zones.clone(),
        http_listen: free_port(),
        mesh_listen: mesh[index],
        seeds: mesh.clone(),
        platform: vec![SmolStr::new(format!("http://{platform}"))],
        ticket_secret: SmolStr::new_static("a secret of the local deployment"),
        key_prefix: SmolStr::new_static("vanillacleat/"),
        policy: options.policy.clone(),
    };
    (0..options.entries).map(make_settings).collect()
}

fn make_agent_settings(options: &DeploymentOptions, index: usize, mesh: &[SocketAddr]) -> AgentSettings {
    AgentSettings {
        id: format!("agent-{index:03}").parse().expect("the name is valid"),
        zone: options.zones[index % options.zones.len()].clone(),
        http_listen: free_port(),
        entries: mesh.to_vec(),
        capacity: CapacitySettings::default(),
        gate: options.gate.clone(),
    }
}

fn make_announcement(name: &str, address: SocketAddr, slots: u32) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        upstream: name.parse().expect("the name is valid"),
        service: SERVICE.parse().expect("the name is valid"),
        address: SmolStr::new(address.to_string()),
        slots,
        connections: UPSTREAM_CONNECTIONS,
    }
}

/// Announces an upstream to its agent at a fixed interval, so that a restarted agent learns of it as well.
async fn announce_periodically(agent: SocketAddr, announcement: UpstreamAnnouncement) {
    let http = reqwest::Client::new();
    loop {
        // A failed announcement is not retried, because the next one follows after the interval.
        let _ = http.post(format!("http://{agent}/v1/upstreams")).json(&announcement).timeout(ANNOUNCE_INTERVAL).send().await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Waits until every entry is ready or `READY_TIMEOUT` has elapsed.
async fn wait_until_ready(entries: &[SocketAddr], agents: usize) -> Result<(), Report<CommandError>> {
    let http = reqwest::Client::new();
    let started_at = std::time::Instant::now();
    let mut pending_entries: Vec<SocketAddr> = entries.to_vec();
    while let Some(entry) = pending_entries.last() {
        if is_ready(&http, *entry, agents).await {
            pending_entries.pop();
            continue;
        }
        if started_at.elapsed() > READY_TIMEOUT {
            return Err(Report::new(CommandError::Start).attach_printable(format!("entry={entry} state=not_ready")));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Returns whether the entry knows an upstream of each of `agents` agents and all of its peers have acknowledged its fleet
/// version.
async fn is_ready(http: &reqwest::Client, entry: SocketAddr, agents: usize) -> bool {
    let Ok(response) = http.get(format!("http://{entry}/v1/state")).send().await else {
        return false;
    };
    let Ok(state) = response.json::<serde_json::Value>().await else {
        return false;
    };
    let has_upstreams = |agent: &serde_json::Value| agent["upstreams"].as_array().is_some_and(|upstreams| !upstreams.is_empty());
    let has_agents = state["agents"].as_array().is_some_and(|known| known.iter().filter(|agent| has_upstreams(agent)).count() == agents);
    let is_acknowledged = |peer: &serde_json::Value| peer["acked_version"] == state["fleet_version"];
    has_agents && state["peers"].as_object().is_some_and(|peers| peers.values().all(is_acknowledged))
}
