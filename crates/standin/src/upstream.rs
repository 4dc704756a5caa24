//! An upstream that runs tasks by sleeping, and says so in its own log.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{post, routes, Shutdown, State};
use serde::{Deserialize, Serialize};

use crate::platform::quiet_config;
use crate::start_log::{StartLog, StartRecord};

/// Status of a task at an upstream that fails everything.
pub const STATUS_BROKEN: u16 = 500;

/// A `TaskScript` is the payload that the stand-in understands: what the task does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskScript {
    /// Unique to a task of one submission.
    pub id: String,
    /// How long the task runs, in milliseconds.
    pub run_ms: u64,
    /// Whether the task fails in the end.
    #[serde(default)]
    pub fails: bool,
}

impl TaskScript {
    /// Returns the payload text.
    pub fn to_payload(&self) -> String {
        serde_json::to_string(self).expect("a script is plain data")
    }
}

/// `UpstreamFaults` are how an upstream fails.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFaults {
    /// Fails every task as soon as it arrives.
    pub is_broken: bool,
    /// Holds every task for this much longer.
    pub stall: Duration,
}

/// An `UpstreamStandin` is a running upstream.
#[derive(Clone)]
pub struct UpstreamStandin {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<UpstreamState>,
    shutdown: Shutdown,
}

struct UpstreamState {
    name: String,
    zone: String,
    log: StartLog,
    faults: Mutex<UpstreamFaults>,
    running: AtomicUsize,
}

impl UpstreamStandin {
    /// Starts an upstream; it runs until it is stopped or the runtime ends.
    pub async fn start(address: SocketAddr, name: &str, zone: &str, log: StartLog) -> Result<Self, rocket::Error> {
        let state = Arc::new(UpstreamState {
            name: name.to_owned(),
            zone: zone.to_owned(),
            log,
            faults: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let config = rocket::Config { address: address.ip(), port: address.port(), ..quiet_config() };
        let server = rocket::custom(config).manage(state.clone()).mount("/", routes![run_task]);
        let server = server.ignite().await?;
        let shutdown = server.shutdown();
        tokio::spawn(server.launch());
        Ok(Self { address, state, shutdown })
    }

    /// Changes how the upstream fails from now on.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *self.state.faults.lock().expect("no holder of the lock panics") = faults;
    }

    /// Stops the server.
    pub fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

/// The task's key, from the agent's header.
struct TaskHeader(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for TaskHeader {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let key = request.headers().get_one("vanillacleat-task").unwrap_or("direct");
        Outcome::Success(Self(key.to_owned()))
    }
}

#[derive(rocket::Responder)]
struct TaskAnswer {
    body: (Status, String),
    kind: Header<'static>,
}

#[post("/<_service>", data = "<payload>")]
async fn run_task(state: &State<Arc<UpstreamState>>, key: TaskHeader, _service: &str, payload: String) -> TaskAnswer {
    let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
    let script: TaskScript = serde_json::from_str(&payload).unwrap_or_default();
    let id = if script.id.is_empty() { payload } else { script.id.clone() };
    let (name, zone) = (state.name.clone(), state.zone.clone());
    state.log.record(StartRecord { task: key.0, payload: id, upstream: name, zone, at: Instant::now(), running });
    let faults = state.faults.lock().expect("no holder of the lock panics").clone();
    if !faults.is_broken {
        tokio::time::sleep(Duration::from_millis(script.run_ms) + faults.stall).await;
    }
    state.running.fetch_sub(1, Ordering::Relaxed);
    let is_failed = faults.is_broken || script.fails;
    let status = if is_failed { Status::new(STATUS_BROKEN) } else { Status::Ok };
    let text = if is_failed { "failed".to_owned() } else { format!("done {}", script.id) };
    TaskAnswer { body: (status, text), kind: Header::new("content-type", "text/plain") }
}
