//! A complete deployment on loopback in one process: real entries and agents with stand-ins for the platform's store and the
//! upstreams.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use smol_str::{SmolStr, ToSmolStr};
use tokio::task::JoinHandle;
use vanillacleat_agent::AgentDaemon;
use vanillacleat_control::gate::UpstreamAnnouncement;
use vanillacleat_core::ids::ZoneName;
use vanillacleat_core::settings::{AgentSettings, CapacitySettings, EntrySettings, GateSettings, PolicySettings};
use vanillacleat_daemon::ProcessRuntime;
use vanillacleat_entry::EntryDaemon;
use vanillacleat_standin::{PlatformStandin, StartLog, UpstreamStandin};

use crate::operators::CommandError;

/// Service whose tasks the upstreams run.
pub const SERVICE: &str = "readings";
/// Interval at which an upstream is announced to its agent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for a new deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time allowed for a read of an entry's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);
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
    /// The agents' settings, with the addresses at which they listen.
    pub agent_settings: Vec<AgentSettings>,
    /// The upstreams, in the order of their agents.
    pub upstreams: Vec<UpstreamStandin>,
    /// Stand-in for the platform's store.
    pub platform: PlatformStandin,
    /// All task starts, recorded by the upstreams.
    pub start_log: StartLog,
    /// Runtime of the stand-ins and the callers.
    pub runtime: ProcessRuntime,
    /// The tasks that announce each upstream to its agent.
    announcers: Vec<JoinHandle<()>>,
    slots: u32,
}

impl LocalDeployment {
    /// Starts a deployment. Returns when every entry knows an upstream of every agent, and every entry's peers have
    /// acknowledged the version of its fleet, which is the list of agents that it uses.
    pub fn start(options: &DeploymentOptions) -> Result<Self, Report<CommandError>> {
        let runtime = ProcessRuntime::start("standins", STANDIN_THREADS).change_context(CommandError::Start)?;
        let start_log = StartLog::default();
        let platform = runtime.block_on(PlatformStandin::start()).change_context(CommandError::Start)?;
        let mesh = bind_listeners(options.entries).change_context(CommandError::Start)?;
        let mesh_addresses: Vec<SocketAddr> = mesh.iter().map(|(address, _)| *address).collect();
        let mut entries = Vec::new();
        for (index, (address, listener)) in mesh.into_iter().enumerate() {
            let settings = make_entry_settings(options, index, address, &mesh_addresses, platform.address);
            entries.push(EntryDaemon::start_with_listener(&settings, listener).change_context(CommandError::Start)?);
        }
        let agent_settings = (0..options.agents).map(|index| make_agent_settings(options, index, &mesh_addresses));
        let mut deployment = Self {
            entry_addresses: entries.iter().map(|entry| entry.http_address).collect(),
            entries: entries.into_iter().map(Some).collect(),
            agents: Vec::new(),
            agent_settings: agent_settings.collect(),
            upstreams: Vec::new(),
            platform,
            start_log,
            runtime,
            announcers: Vec::new(),
            slots: options.slots,
        };
        for index in 0..options.agents {
            deployment.start_upstream(index)?;
            deployment.agents.push(None);
            deployment.start_agent(index)?;
        }
        deployment.runtime.block_on(wait_until_ready(&deployment.entry_addresses, options.agents))?;
        Ok(deployment)
    }

    fn start_upstream(&mut self, index: usize) -> Result<(), Report<CommandError>> {
        let settings = &self.agent_settings[index];
        let name = upstream_name(settings);
        let start = UpstreamStandin::start(&name, settings.zone.as_str(), self.start_log.clone());
        self.upstreams.push(self.runtime.block_on(start).change_context(CommandError::Start)?);
        Ok(())
    }

    /// Starts an agent, or starts it again, at a free port. Its upstream is announced to it from now on.
    pub fn start_agent(&mut self, index: usize) -> Result<(), Report<CommandError>> {
        let settings = &mut self.agent_settings[index];
        settings.http_listen = free_loopback_port();
        let agent = AgentDaemon::start(settings).change_context(CommandError::Start)?;
        settings.http_listen = agent.http_address;
        let announcement = make_announcement(&upstream_name(settings), self.upstreams[index].address, self.slots);
        let announcer = self.runtime.handle().spawn(announce_periodically(agent.http_address, announcement));
        match self.announcers.get_mut(index) {
            Some(earlier) => std::mem::replace(earlier, announcer).abort(),
            None => self.announcers.push(announcer),
        }
        self.agents[index] = Some(agent);
        Ok(())
    }
}

/// Returns the loopback address whose port the system chooses when it is bound. A port that is chosen before it is bound may be taken
/// by another process in between.
fn free_loopback_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Binds free ports for the mesh servers of all entries, each of which must know the addresses of the others when it starts.
fn bind_listeners(count: usize) -> std::io::Result<Vec<(SocketAddr, TcpListener)>> {
    let bind = |_| {
        let listener = TcpListener::bind(free_loopback_port())?;
        Ok((listener.local_addr()?, listener))
    };
    (0..count).map(bind).collect()
}

fn make_entry_settings(
    options: &DeploymentOptions,
    index: usize,
    mesh_address: SocketAddr,
    mesh: &[SocketAddr],
    platform: SocketAddr,
) -> EntrySettings {
    EntrySettings {
        id: format!("entry-{index}").parse().expect("the name is valid"),
        zone: options.zones[index % options.zones.len()].clone(),
        zones: options.zones.clone(),
        http_listen: free_loopback_port(),
        mesh_listen: mesh_address,
        seeds: mesh.to_vec(),
        platform: vec![format!("http://{platform}").to_smolstr()],
        ticket_secret: SmolStr::new_static("a secret of the local deployment"),
        key_prefix: SmolStr::new_static("vanillacleat/"),
        policy: options.policy.clone(),
    }
}

fn make_agent_settings(options: &DeploymentOptions, index: usize, mesh: &[SocketAddr]) -> AgentSettings {
    AgentSettings {
        id: format!("agent-{index:03}").parse().expect("the name is valid"),
        zone: options.zones[index % options.zones.len()].clone(),
        http_listen: free_loopback_port(),
        entries: mesh.to_vec(),
        capacity: CapacitySettings::default(),
        gate: options.gate.clone(),
    }
}

fn upstream_name(settings: &AgentSettings) -> String {
    format!("upstream-{}", settings.id)
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
        let state = read_state(&http, *entry).await;
        if state.as_ref().is_ok_and(|state| is_ready(state, agents)) {
            pending_entries.pop();
            continue;
        }
        if started_at.elapsed() > READY_TIMEOUT {
            let seen = state.map_or_else(|error| error.to_string(), |state| state.to_string());
            return Err(Report::new(CommandError::Start).attach_printable(format!("entry={entry} state=not_ready seen={seen}")));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn read_state(http: &reqwest::Client, entry: SocketAddr) -> reqwest::Result<serde_json::Value> {
    http.get(format!("http://{entry}/v1/state")).timeout(STATE_TIMEOUT).send().await?.json().await
}

/// Returns whether an entry in this state knows an upstream of each of `agents` agents and all of its peers have acknowledged its
/// fleet version.
fn is_ready(state: &serde_json::Value, agents: usize) -> bool {
    let has_upstreams = |agent: &serde_json::Value| agent["upstreams"].as_array().is_some_and(|upstreams| !upstreams.is_empty());
    let has_agents = state["agents"].as_array().is_some_and(|known| known.iter().filter(|agent| has_upstreams(agent)).count() == agents);
    let is_acknowledged = |peer: &serde_json::Value| peer["acked_version"] == state["fleet_version"];
    has_agents && state["peers"].as_object().is_some_and(|peers| peers.values().all(is_acknowledged))
}
