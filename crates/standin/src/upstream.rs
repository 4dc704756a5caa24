//! An upstream that simulates tasks by sleeping and records every start.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{post, routes, Shutdown, State};
use serde::{Deserialize, Serialize};
use vanillacleat_daemon::ServerError;

use crate::standin_server::{standin_config, start_server};
use crate::start_log::{StartLog, StartRecord};

/// HTTP status of a failed task.
pub const STATUS_FAILED: u16 = 500;

/// The payload that the stand-in parses. It specifies how the task is simulated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskScript {
    /// Id that is unique to the task among all tasks of all jobs.
    pub id: String,
    /// Run time of the task, in milliseconds.
    pub run_ms: u64,
    /// Whether the task fails at the end of its run time.
    #[serde(default)]
    pub fails: bool,
}

impl TaskScript {
    /// Serializes the script as JSON.
    pub fn to_payload(&self) -> String {
        serde_json::to_string(self).expect("a script can be serialized")
    }
}

/// The faults that an upstream injects.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFaults {
    /// Fails every task as soon as it arrives.
    pub is_broken: bool,
    /// Additional run time of every task.
    pub stall: Duration,
}

/// A running upstream.
#[derive(Clone)]
pub struct UpstreamStandin {
    /// Address at which the server listens.
    pub address: SocketAddr,
    state: Arc<UpstreamState>,
    shutdown: Shutdown,
}

struct UpstreamState {
    name: String,
    zone: String,
    start_log: StartLog,
    faults: Mutex<UpstreamFaults>,
    running: AtomicUsize,
}

impl UpstreamStandin {
    /// Starts an upstream at a free loopback port. It runs until it is stopped or the runtime shuts down.
    pub async fn start(name: &str, zone: &str, start_log: StartLog) -> Result<Self, ServerError> {
        let state = Arc::new(UpstreamState {
            name: name.to_owned(),
            zone: zone.to_owned(),
            start_log,
            faults: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let server = rocket::custom(standin_config()).manage(state.clone()).mount("/", routes![run_task]);
        let (address, shutdown) = start_server(server).await?;
        Ok(Self { address, state, shutdown })
    }

    /// Replaces the injected faults. Applies to tasks that arrive from now on.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *self.state.faults.lock().expect("no holder of the lock panics") = faults;
    }

    /// Stops the server.
    pub fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

/// Request guard with the task's key from the header that the agent sends; `direct` if the header is missing.
struct TaskKeyHeader(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for TaskKeyHeader {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let key = request.headers().get_one("vanillacleat-task").unwrap_or("direct");
        Outcome::Success(Self(key.to_owned()))
    }
}

#[derive(rocket::Responder)]
struct TaskResponse {
    body: (Status, String),
    content_type: Header<'static>,
}

#[post("/<_service>", data = "<payload>")]
async fn run_task(state: &State<Arc<UpstreamState>>, key: TaskKeyHeader, _service: &str, payload: String) -> TaskResponse {
    let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
    let script: TaskScript = serde_json::from_str(&payload).unwrap_or_default();
    let id = if script.id.is_empty() { payload } else { script.id.clone() };
    let (name, zone) = (state.name.clone(), state.zone.clone());
    state.start_log.record(StartRecord { task_key: key.0, task_id: id, upstream: name, zone, arrived_at: Instant::now(), running });
    let faults = state.faults.lock().expect("no holder of the lock panics").clone();
    if !faults.is_broken {
        tokio::time::sleep(Duration::from_millis(script.run_ms) + faults.stall).await;
    }
    state.running.fetch_sub(1, Ordering::Relaxed);
    let has_failed = faults.is_broken || script.fails;
    let status = if has_failed { Status::new(STATUS_FAILED) } else { Status::Ok };
    let text = if has_failed { "failed".to_owned() } else { format!("done {}", script.id) };
    TaskResponse { body: (status, text), content_type: Header::new("content-type", "text/plain") }
}
