//! A whole deployment in one process on loopback: the programs' own code between stand-ins.

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

/// Service that every stand-in upstream runs.
pub const SERVICE: &str = "readings";
/// Time between two announcements of an upstream.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for a new deployment to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);
/// Connections that each upstream accepts.
const CONNECTIONS: u32 = 64;
/// Threads that carry the stand-ins.
const STANDIN_THREADS: usize = 2;

/// `DeploymentOptions` size a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// The availability zones.
    pub zones: Vec<ZoneName>,
    /// Entries, spread over the zones.
    pub entries: usize,
    /// Agents, spread over the zones, each with an upstream.
    pub agents: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// How the entries place and bound work.
    pub policy: PolicySettings,
    /// Bounds of the gates.
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

/// A `LocalDeployment` is a running deployment.
pub struct LocalDeployment {
    /// The entries; a killed one is absent.
    pub entries: Vec<Option<EntryDaemon>>,
    /// The entries' HTTP addresses.
    pub entry_addresses: Vec<SocketAddr>,
    /// The agents; a killed one is absent.
    pub agents: Vec<Option<AgentDaemon>>,
    /// The agents' settings, for a restart.
    pub agent_settings: Vec<AgentSettings>,
    /// The upstreams, one for each agent.
    pub upstreams: Vec<UpstreamStandin>,
    /// The platform's store.
    pub platform: PlatformStandin,
    /// What started where, from the upstreams.
    pub log: StartLog,
    /// Runs the stand-ins and the callers.
    pub runtime: ProcessRuntime,
}

impl LocalDeployment {
    /// Starts a deployment and waits until every entry sees every agent and has told every other which it uses.
    pub fn start(options: &DeploymentOptions) -> Result<Self, Report<CommandError>> {
        let runtime = ProcessRuntime::start("standins", STANDIN_THREADS).change_context(CommandError::Start)?;
        let log = StartLog::default();
        let platform = runtime.block_on(PlatformStandin::start(free_port())).change_context(CommandError::Start)?;
        let entry_settings = make_entry_settings(options, platform.address);
        let entries = entry_settings.iter().map(EntryDaemon::start).collect::<Result<Vec<_>, _>>().change_context(CommandError::Start)?;
        let mesh: Vec<SocketAddr> = entry_settings.iter().map(|settings| settings.mesh_listen).collect();
        let agent_settings: Vec<AgentSettings> = (0..options.agents).map(|index| make_agent_settings(options, index, &mesh)).collect();
        let agents = agent_settings.iter().map(AgentDaemon::start).collect::<Result<Vec<_>, _>>().change_context(CommandError::Start)?;
        let mut upstreams = Vec::new();
        for settings in &agent_settings {
            let name = format!("upstream-{}", settings.id);
            let start = UpstreamStandin::start(free_port(), &name, settings.zone.as_str(), log.clone());
            let upstream = runtime.block_on(start).change_context(CommandError::Start)?;
            let notice = make_notice(&name, upstream.address, options.slots);
            runtime.handle().spawn(announce_forever(settings.http_listen, notice));
            upstreams.push(upstream);
        }
        let deployment = Self {
            entries: entries.into_iter().map(Some).collect(),
            entry_addresses: entry_settings.iter().map(|settings| settings.http_listen).collect(),
            agents: agents.into_iter().map(Some).collect(),
            agent_settings,
            upstreams,
            platform,
            log,
            runtime,
        };
        deployment.runtime.block_on(wait_until_ready(&deployment.entry_addresses, options.agents))?;
        Ok(deployment)
    }
}

fn make_entry_settings(options: &DeploymentOptions, platform: SocketAddr) -> Vec<EntrySettings> {
    let mesh: Vec<SocketAddr> = (0..options.entries).map(|_| free_port()).collect();
    let make_one = |index: usize| EntrySettings {
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
    (0..options.entries).map(make_one).collect()
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

fn make_notice(name: &str, address: SocketAddr, slots: u32) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        upstream: name.parse().expect("the name is valid"),
        service: SERVICE.parse().expect("the name is valid"),
        address: SmolStr::new(address.to_string()),
        slots,
        connections: CONNECTIONS,
    }
}

async fn announce_forever(agent: SocketAddr, notice: UpstreamAnnouncement) {
    let http = reqwest::Client::new();
    loop {
        // An agent that is down hears the next announcement.
        let _ = http.post(format!("http://{agent}/v1/upstreams")).json(&notice).timeout(ANNOUNCE_INTERVAL).send().await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn wait_until_ready(entries: &[SocketAddr], agents: usize) -> Result<(), Report<CommandError>> {
    let http = reqwest::Client::new();
    let started_at = std::time::Instant::now();
    let mut waiting: Vec<SocketAddr> = entries.to_vec();
    while let Some(entry) = waiting.last() {
        if is_ready(&http, *entry, agents).await {
            waiting.pop();
            continue;
        }
        if started_at.elapsed() > READY_WAIT {
            return Err(Report::new(CommandError::Start).attach_printable(format!("entry={entry} state=not_ready")));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn is_ready(http: &reqwest::Client, entry: SocketAddr, agents: usize) -> bool {
    let Ok(response) = http.get(format!("http://{entry}/v1/state")).send().await else {
        return false;
    };
    let Ok(state) = response.json::<serde_json::Value>().await else {
        return false;
    };
    let offers = |agent: &serde_json::Value| agent["upstreams"].as_array().is_some_and(|offers| !offers.is_empty());
    let has_agents = state["agents"].as_array().is_some_and(|known| known.iter().filter(|agent| offers(agent)).count() == agents);
    let has_told = |peer: &serde_json::Value| peer["acked_version"] == state["fleet_version"];
    has_agents && state["peers"].as_object().is_some_and(|peers| peers.values().all(has_told))
}
