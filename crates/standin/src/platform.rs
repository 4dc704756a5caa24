//! A small HTTP server in place of the platform's key-value service, with fault injection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::prelude::{Engine, BASE64_STANDARD};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{post, routes, Shutdown, State};
use serde_json::{json, Value};
use vanillacleat_daemon::ServerError;

use crate::standin_server::{standin_config, start_server};
use crate::store::KeyStore;

/// The faults that the stand-in injects.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Answers every call with status 503 without executing it.
    pub is_down: bool,
    /// Delay before each call is executed.
    pub delay: Duration,
    /// With the value `n`, every `n`th write or lease call is executed but answered with status 504. Zero disables the fault.
    pub lose_answer_every: u64,
    /// Maximum number of calls per second; those beyond it are answered with status 503. Zero means no limit.
    pub calls_per_second: u64,
}

/// A running stand-in for the platform's key-value service.
#[derive(Clone)]
pub struct PlatformStandin {
    /// Address at which the server listens.
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
    /// Start of the current one-second window of the rate limit and the number of calls in it.
    rate_window: Mutex<(Option<Instant>, u64)>,
}

impl PlatformStandin {
    /// Starts a server at a free loopback port. It runs until it is stopped or the runtime shuts down.
    pub async fn start() -> Result<Self, ServerError> {
        let state = Arc::new(StandinState::default());
        let server = rocket::custom(standin_config()).manage(state.clone());
        let (address, shutdown) = start_server(server.mount("/v3", routes![range, put, txn, grant, keep_alive])).await?;
        Ok(Self { address, state, shutdown })
    }

    /// Replaces the injected faults. Applies to calls that arrive from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.state.faults.lock().expect("no holder of the lock panics") = faults;
    }

    /// Returns the number of calls received so far, including those that were answered with an error.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Removes all keys and leases, as when the service is restored from an old backup.
    pub fn clear(&self) {
        *self.state.store.lock().expect("no holder of the lock panics") = KeyStore::default();
    }

    /// Stops the server.
    pub fn stop(&self) {
        self.shutdown.clone().notify();
    }
}

impl StandinState {
    /// Counts a call, applies the faults that take effect before it is executed, and removes expired leases.
    async fn begin_call(&self) -> Result<PlatformFaults, Status> {
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
        let mut rate_window = self.rate_window.lock().expect("no holder of the lock panics");
        let has_elapsed = rate_window.0.is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if has_elapsed {
            *rate_window = (Some(Instant::now()), 0);
        }
        rate_window.1 += 1;
        calls_per_second == 0 || rate_window.1 <= calls_per_second
    }

    /// Returns the answer of a write or lease call, or status 504 if its answer is to be lost.
    fn finish_write(&self, faults: &PlatformFaults, answer: Value) -> Result<Json<Value>, Status> {
        let count = self.writes.fetch_add(1, Ordering::Relaxed) + 1;
        if faults.lose_answer_every > 0 && count.is_multiple_of(faults.lose_answer_every) {
            return Err(Status::GatewayTimeout);
        }
        Ok(Json(answer))
    }
}

/// Decodes base64; missing or invalid text yields no bytes.
fn decode(text: Option<&Value>) -> Vec<u8> {
    let text = text.and_then(Value::as_str).unwrap_or_default();
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

/// Parses a number that the gateway encodes as a JSON string; a missing or invalid one is zero.
fn parse_number(value: Option<&Value>) -> u64 {
    let text = value.and_then(Value::as_str).unwrap_or("0");
    text.parse().unwrap_or(0)
}

fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

type GatewayResponse = Result<Json<Value>, Status>;
type SharedState = State<Arc<StandinState>>;

#[post("/kv/range", data = "<body>")]
async fn range(state: &SharedState, body: Json<Value>) -> GatewayResponse {
    state.begin_call().await?;
    let store = state.store.lock().expect("no holder of the lock panics");
    Ok(Json(handle_range(&store, &body)))
}

#[post("/kv/put", data = "<body>")]
async fn put(state: &SharedState, body: Json<Value>) -> GatewayResponse {
    let faults = state.begin_call().await?;
    handle_put(&mut state.store.lock().expect("no holder of the lock panics"), &body);
    state.finish_write(&faults, json!({}))
}

#[post("/kv/txn", data = "<body>")]
async fn txn(state: &SharedState, body: Json<Value>) -> GatewayResponse {
    let faults = state.begin_call().await?;
    let answer = handle_txn(&mut state.store.lock().expect("no holder of the lock panics"), &body);
    state.finish_write(&faults, answer)
}

#[post("/lease/grant", data = "<body>")]
async fn grant(state: &SharedState, body: Json<Value>) -> GatewayResponse {
    let faults = state.begin_call().await?;
    let ttl = parse_number(body.get("TTL"));
    let id = state.store.lock().expect("no holder of the lock panics").grant(Instant::now(), ttl);
    state.finish_write(&faults, json!({"ID": id.to_string(), "TTL": ttl.to_string()}))
}

#[post("/lease/keepalive", data = "<body>")]
async fn keep_alive(state: &SharedState, body: Json<Value>) -> GatewayResponse {
    let faults = state.begin_call().await?;
    let id = parse_number(body.get("ID"));
    let ttl = state.store.lock().expect("no holder of the lock panics").keep_alive(Instant::now(), id);
    state.finish_write(&faults, json!({"result": {"ID": id.to_string(), "TTL": ttl.to_string()}}))
}

fn handle_range(store: &KeyStore, body: &Value) -> Value {
    let end = body.get("range_end").map(|end| decode(Some(end)));
    store.range(&decode(body.get("key")), end.as_deref(), encode)
}

fn handle_put(store: &mut KeyStore, body: &Value) {
    let value = body.get("value").and_then(Value::as_str).unwrap_or_default().to_owned();
    let lease = Some(parse_number(body.get("lease"))).filter(|lease| *lease > 0);
    store.put(decode(body.get("key")), value, lease);
}

/// Executes a transaction: compares revisions and runs the operations of `success` or `failure`.
fn handle_txn(store: &mut KeyStore, body: &Value) -> Value {
    let list = |name: &str| body.get(name).and_then(Value::as_array).cloned().unwrap_or_default();
    let is_satisfied = |compare: &Value| store.mod_revision(&decode(compare.get("key"))) == parse_number(compare.get("mod_revision"));
    let succeeded = list("compare").iter().all(is_satisfied);
    let ops = list(if succeeded { "success" } else { "failure" });
    let responses: Vec<Value> = ops.iter().map(|op| handle_op(store, op)).collect();
    json!({"succeeded": succeeded, "responses": responses})
}

fn handle_op(store: &mut KeyStore, op: &Value) -> Value {
    if let Some(body) = op.get("requestRange") {
        return json!({"response_range": handle_range(store, body)});
    }
    if let Some(body) = op.get("requestTxn") {
        return json!({"response_txn": handle_txn(store, body)});
    }
    if let Some(body) = op.get("requestPut") {
        handle_put(store, body);
    }
    json!({"response_put": {}})
}
