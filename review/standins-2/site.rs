//! A small deployment on loopback: the project's programs as processes, the store and the workers as stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

const PROGRAM: &str = "target/release/vanillacleat-site";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const CALLERS_PORT: u16 = 8_161;
const HEALTH_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
const WORKER_PORT: u16 = 8_165;
const STORE_PORT: u16 = 8_169;
const MESH_PORT: u16 = 7_720;
/// Maximum time until all entries are ready.
const START_TIME_MAX: Duration = Duration::from_secs(20);

/// The processes that were started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    STARTED.lock().unwrap().iter().for_each(|id| send_signal(*id, "KILL"));
}

fn send_signal(id: u32, signal: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {id}")).status();
}

/// One process of the project.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    subnet: [u8; 3],
    directory: PathBuf,
    _guard: TcpListener,
}

/// A route of the configuration.
pub fn route(name: &str, host: &str, prefix: &str, service: &str) -> Json {
    Json::object(vec![
        ("name", Json::text(name)),
        ("host", Json::text(host)),
        ("prefix", Json::text(prefix)),
        ("kind", Json::text("non_idempotent")),
        ("timeout_ms", Json::number(1_500)),
        ("target_latency_ms", Json::number(60)),
        ("priority", Json::number(0)),
        ("service", Json::text(service)),
        ("max_attempts", Json::number(2)),
        ("slack_factor", Json::Number(1.6)),
    ])
}

pub fn config(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    let service = |name: &&str| {
        Json::object(vec![
            ("name", Json::text(*name)),
            ("health_path", Json::text("/healthz")),
            ("max_conns", Json::number(64)),
            ("admission_check", Json::Bool(true)),
            ("standby", Json::Bool(false)),
        ])
    };
    Json::object(vec![
        ("version", Json::number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(services.iter().map(service).collect())),
        ("limits", Json::object(vec![("max_body_bytes", Json::number(262_144)), ("max_header_bytes", Json::number(16_384))])),
    ])
}

impl Site {
    /// Starts a site of entries and of one agent and one worker for each name in `services`, in three zones in turn, and waits until
    /// all entries are ready.
    pub fn start(entries: usize, services: &[&str], config: &Json, record: &Record) -> Result<Self, String> {
        let (subnet, guard) = find_subnet().ok_or("no free loopback addresses")?;
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let at = |host: u8, port: u16| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(subnet[0], subnet[1], subnet[2], host)), port);
        let store = Store::default();
        store.start(at(250, STORE_PORT)).map_err(|error| error.to_string())?;
        store.write("op/config", config);
        let mut site = Self { entries: Vec::new(), agents: Vec::new(), workers: Vec::new(), subnet, directory, _guard: guard };
        let seeds: Vec<String> = (0..entries.min(3)).map(|index| format!("\"{}\"", at(1 + index as u8, CONTROL_PORT))).collect();
        let common = |name: &str, host: u8, index: usize, cores: f64| {
            format!(
                "name = \"{name}\"\nzone = \"{}\"\nip = \"{}\"\ncores = {cores}\nmesh_port = {MESH_PORT}\nseeds = [{}]\n",
                ZONES[index % 3],
                at(host, 1).ip(),
                seeds.join(", ")
            )
        };
        let rest = |memory: u32, descriptors: u32| {
            format!(
                "[store]\naddress = \"{}\"\nlease_min_ms = 1000\n[leases]\nresubmit_ms = 1300\nhold_max_ms = 1000\nstop_ms = 50\n\
                 grace_s = 6\n[limits]\nmemory_mb = {memory}\ndescriptors = {descriptors}\n",
                at(250, STORE_PORT)
            )
        };
        for (index, service) in services.iter().enumerate() {
            let host = 100 + index as u8;
            let (worker_at, control) = (at(host, WORKER_PORT), at(host, CONTROL_PORT));
            let worker = Worker::new(&format!("i-{index}"), worker_at, control, ZONES[index % 3], service, record);
            worker.start().map_err(|error| error.to_string())?;
            site.workers.push(worker);
            let name = format!("side-{index}");
            let doors = format!(
                "[doors]\nworker = \"{control}\"\nmetrics = \"{}\"\n[worker]\naddress = \"{worker_at}\"\nservice = \"{service}\"\n",
                at(host, 9_464)
            );
            let text = common(&name, host, index, 0.15) + &doors + &rest(128, 4_096);
            site.agents.push(Process::new(&site.directory, &name, "agent", &text)?);
        }
        for index in 0..entries {
            let (name, host) = (format!("front-{index}"), 1 + index as u8);
            let doors = format!(
                "[doors]\ncallers = \"{}\"\nhealth = \"{}\"\nmetrics = \"{}\"\n",
                at(host, CALLERS_PORT),
                at(host, HEALTH_PORT),
                at(host, 9_464)
            );
            let text = common(&name, host, index, 0.25) + &doors + &rest(260, 4_100);
            site.entries.push(Process::new(&site.directory, &name, "entry", &text)?);
        }
        for process in site.entries.iter_mut().chain(&mut site.agents) {
            process.start()?;
        }
        let started_at = Instant::now();
        while !(0..entries).all(|entry| site.is_ready(entry)) {
            if started_at.elapsed() > START_TIME_MAX {
                return Err("the entries are not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // The first traffic comes ten seconds after the machines' start in the users' deployments; here all sessions are open by then.
        std::thread::sleep(Duration::from_secs(5));
        record.line(format!("site started entries={entries} agents={}", services.len()));
        Ok(site)
    }

    pub fn callers_at(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(self.subnet[0], self.subnet[1], self.subnet[2], 1 + entry as u8)), CALLERS_PORT)
    }

    /// Asks an entry whether it takes new channels, as the platform does.
    pub fn is_ready(&self, entry: usize) -> bool {
        let address = SocketAddr::new(self.callers_at(entry).ip(), HEALTH_PORT);
        let answer = http::call(address, "GET", "/v1/readyz", &[], "", Duration::from_secs(1));
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Returns the processes that have ended though nobody ended them.
    pub fn ended(&mut self) -> Vec<String> {
        let processes = self.entries.iter_mut().chain(&mut self.agents);
        let ended = processes.filter_map(|process| {
            let status = process.child.as_mut()?.try_wait().ok()??;
            Some(format!("{} {status}", process.name))
        });
        ended.collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Process {
    fn new(directory: &Path, name: &str, role: &'static str, text: &str) -> Result<Self, String> {
        let settings = directory.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        Ok(Self { name: name.to_owned(), role, settings, child: None })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), String> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.settings.with_extension("log"));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.arg(self.role).env_clear().env("VANILLACLEAT_BOOT", &self.settings);
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.map_err(|error| format!("{PROGRAM}: {error}"))?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Sends a signal by its name, such as `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Returns the processor time of the process so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let Some(child) = &self.child else { return 0.0 };
        let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }
}

/// Finds three parts of loopback addresses that no other site uses.
fn find_subnet() -> Option<([u8; 3], TcpListener)> {
    let seed = std::process::id();
    (0..200).find_map(|step| {
        let number = seed.wrapping_mul(7).wrapping_add(step * 131);
        let subnet = [127, 20 + (number % 200) as u8, (number / 200 % 250) as u8];
        let guard = TcpListener::bind((Ipv4Addr::new(subnet[0], subnet[1], subnet[2], 251), 7_019)).ok()?;
        Some((subnet, guard))
    })
}
