//! The platform's key-value service as a small server that can be made to fail.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::prelude::{Engine, BASE64_STANDARD};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{post, routes, Shutdown, State};
use serde_json::{json, Value};

use crate::store::KeyStore;

/// `PlatformFaults` are how the stand-in fails.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Answers nothing but status 503, and does nothing.
    pub is_down: bool,
    /// Waits before each call.
    pub delay: Duration,
    /// Of this many writes one takes effect without an answer; zero for none.
    pub lose_answer_every: u64,
    /// Most calls in a second; zero for no bound.
    pub calls_per_second: u64,
}

/// A `PlatformStandin` is a running stand-in.
#[derive(Clone)]
pub struct PlatformStandin {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<StandinState>,
    shutdown: Shutdown,
}

#[derive(Default)]
struct StandinState {
    store: Mutex<KeyStore>,
    faults: Mutex<PlatformFaults>,
    calls: AtomicU64,
    writes: AtomicU64,
    second: Mutex<(Option<Instant>, u64)>,
}

impl PlatformStandin {
    /// Starts a stand-in on a free loopback port; it runs until it is stopped or the runtime ends.
    pub async fn start(address: SocketAddr) -> Result<Self, rocket::Error> {
        let state = Arc::new(StandinState::default());
        let config = rocket::Config { address: address.ip(), port: address.port(), ..quiet_config() };
        let server = rocket::custom(config).manage(state.clone()).mount("/v3", routes![range, put, txn, grant, keep_alive]);
        let server = server.ignite().await?;
        let shutdown = server.shutdown();
        tokio::spawn(server.launch());
        Ok(Self { address, state, shutdown })
    }

    /// Changes how the stand-in fails from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.state.faults.lock().expect("no holder of the lock panics") = faults;
    }

    /// Returns how many calls came so far.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Removes every key, as a store that was restored from an old copy.
    pub fn clear(&self) {
        *self.state.store.lock().expect("no holder of the lock panics") = KeyStore::default();
    }

    /// Stops the server.
    pub fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

/// Returns a server configuration that prints nothing and handles no signals.
pub(crate) fn quiet_config() -> rocket::Config {
    rocket::Config {
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown { ctrlc: false, signals: Default::default(), ..Default::default() },
        workers: 2,
        ..rocket::Config::release_default()
    }
}

impl StandinState {
    /// Counts a call and applies the faults that come before it.
    async fn admit(&self) -> Result<PlatformFaults, Status> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let faults = self.faults.lock().expect("no holder of the lock panics").clone();
        if faults.is_down || !self.is_within_rate(faults.calls_per_second) {
            return Err(Status::ServiceUnavailable);
        }
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        self.store.lock().expect("no holder of the lock panics").expire(Instant::now());
        Ok(faults)
    }

    fn is_within_rate(&self, calls_per_second: u64) -> bool {
        let mut second = self.second.lock().expect("no holder of the lock panics");
        let is_over = second.0.is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if is_over {
            *second = (Some(Instant::now()), 0);
        }
        second.1 += 1;
        calls_per_second == 0 || second.1 <= calls_per_second
    }

    /// Loses the answer of some writes.
    fn answer_write(&self, faults: &PlatformFaults, answer: Value) -> Result<Json<Value>, Status> {
        let count = self.writes.fetch_add(1, Ordering::Relaxed) + 1;
        if faults.lose_answer_every > 0 && count.is_multiple_of(faults.lose_answer_every) {
            return Err(Status::GatewayTimeout);
        }
        Ok(Json(answer))
    }
}

fn decode(text: Option<&Value>) -> Vec<u8> {
    let text = text.and_then(Value::as_str).unwrap_or_default();
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

fn read_number(value: Option<&Value>) -> u64 {
    let text = value.and_then(Value::as_str).unwrap_or("0");
    text.parse().unwrap_or(0)
}

fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

type Answer = Result<Json<Value>, Status>;
type SharedState = State<Arc<StandinState>>;

#[post("/kv/range", data = "<body>")]
async fn range(state: &SharedState, body: Json<Value>) -> Answer {
    state.admit().await?;
    let store = state.store.lock().expect("no holder of the lock panics");
    Ok(Json(run_range(&store, &body)))
}

#[post("/kv/put", data = "<body>")]
async fn put(state: &SharedState, body: Json<Value>) -> Answer {
    let faults = state.admit().await?;
    run_put(&mut state.store.lock().expect("no holder of the lock panics"), &body);
    state.answer_write(&faults, json!({}))
}

#[post("/kv/txn", data = "<body>")]
async fn txn(state: &SharedState, body: Json<Value>) -> Answer {
    let faults = state.admit().await?;
    let answer = run_txn(&mut state.store.lock().expect("no holder of the lock panics"), &body);
    state.answer_write(&faults, answer)
}

#[post("/lease/grant", data = "<body>")]
async fn grant(state: &SharedState, body: Json<Value>) -> Answer {
    let faults = state.admit().await?;
    let ttl = read_number(body.get("TTL"));
    let id = state.store.lock().expect("no holder of the lock panics").grant(Instant::now(), ttl);
    state.answer_write(&faults, json!({"ID": id.to_string(), "TTL": ttl.to_string()}))
}

#[post("/lease/keepalive", data = "<body>")]
async fn keep_alive(state: &SharedState, body: Json<Value>) -> Answer {
    let faults = state.admit().await?;
    let id = read_number(body.get("ID"));
    let ttl = state.store.lock().expect("no holder of the lock panics").keep_alive(Instant::now(), id);
    state.answer_write(&faults, json!({"result": {"ID": id.to_string(), "TTL": ttl.to_string()}}))
}

fn run_range(store: &KeyStore, body: &Value) -> Value {
    let end = body.get("range_end").map(|end| decode(Some(end)));
    store.range(&decode(body.get("key")), end.as_deref(), encode)
}

fn run_put(store: &mut KeyStore, body: &Value) {
    let value = body.get("value").and_then(Value::as_str).unwrap_or_default().to_owned();
    let lease = Some(read_number(body.get("lease"))).filter(|lease| *lease > 0);
    store.put(decode(body.get("key")), value, lease);
}

fn run_txn(store: &mut KeyStore, body: &Value) -> Value {
    let list = |name: &str| body.get(name).and_then(Value::as_array).cloned().unwrap_or_default();
    let holds = |compare: &Value| store.mod_revision(&decode(compare.get("key"))) == read_number(compare.get("mod_revision"));
    let succeeded = list("compare").iter().all(holds);
    let ops = list(if succeeded { "success" } else { "failure" });
    let responses: Vec<Value> = ops.iter().map(|op| run_op(store, op)).collect();
    json!({"succeeded": succeeded, "responses": responses})
}

fn run_op(store: &mut KeyStore, op: &Value) -> Value {
    if let Some(body) = op.get("requestRange") {
        return json!({"response_range": run_range(store, body)});
    }
    if let Some(body) = op.get("requestTxn") {
        return json!({"response_txn": run_txn(store, body)});
    }
    if let Some(body) = op.get("requestPut") {
        run_put(store, body);
    }
    json!({"response_put": {}})
}
