//! Stand-in for the platform's store: keys with revisions, leases and watches, in memory.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start(&self, address: SocketAddr) -> std::io::Result<()> {
        self.state.lock().unwrap().revision = 100;
        let store = self.clone();
        http::serve(address, move |request| store.handle(request))
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, encode(value.write().as_bytes()), 0);
    }

    fn handle(&self, request: Request) -> Answer {
        let path = request.path.as_str();
        if path == "/v1/kv-watch" {
            return self.watch(&request);
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (request.method.as_str(), path) {
            ("GET", "/v1/kv-key") => {
                let key = request.query.get("key")?;
                Some(match state.items.get(key) {
                    Some(item) => (200, state.row(key, item, true).write()),
                    None => (404, "{}".to_owned()),
                })
            }
            ("GET", "/v1/kv-range") => {
                let prefix = request.query.get("prefix").cloned().unwrap_or_default();
                let after = request.query.get("after").cloned().unwrap_or_default();
                let rows = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut rows: Vec<Json> = rows.map(|(key, item)| state.row(key, item, false)).collect();
                let has_more = rows.len() > 500;
                rows.truncate(500);
                let fields =
                    vec![("items", Json::List(rows)), ("has_more", Json::Bool(has_more)), ("current_rev", Json::number(state.revision))];
                Some((200, Json::object(fields).write()))
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = Json::parse(&request.body)?.get("ttl_ms").as_u64()?.max(1_000);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
                Some((200, Json::object(vec![("lease", Json::number(lease)), ("ttl_ms", Json::number(ttl))]).write()))
            }
            ("POST", "/v1/kv-txn") => state.transact(&Json::parse(&request.body)?),
            ("POST", _) => {
                let lease: u64 = path.strip_prefix("/v1/kv-keep/")?.parse().ok()?;
                match state.leases.get_mut(&lease) {
                    Some((ttl, renewed_at)) => {
                        *renewed_at = Instant::now();
                        Some((200, Json::object(vec![("ttl_ms", Json::number(ttl.as_millis() as u64))]).write()))
                    }
                    None => Some((404, "{}".to_owned())),
                }
            }
            ("DELETE", _) => {
                let lease: u64 = path.strip_prefix("/v1/kv-lease-end/")?.parse().ok()?;
                state.leases.remove(&lease);
                state.expire();
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after: u64 = request.query.get("after")?.parse().ok()?;
        let wait: u64 = request.query.get("wait_ms")?.parse().ok()?;
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let new = state.events.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let rows: Vec<Json> = new
                    .map(|(revision, key, item)| match item {
                        Some(item) => state.row(key, item, false),
                        None => Json::object(vec![
                            ("key", Json::text(key)),
                            ("revision", Json::number(*revision)),
                            ("removed", Json::Bool(true)),
                        ]),
                    })
                    .collect();
                if !rows.is_empty() || Instant::now() >= deadline {
                    let fields = vec![("events", Json::List(rows)), ("current_rev", Json::number(state.revision))];
                    return Some((200, Json::object(fields).write()));
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl State {
    fn row(&self, key: &str, item: &Item, with_revision: bool) -> Json {
        let mut fields = vec![
            ("key", Json::text(key)),
            ("value", Json::text(&item.value)),
            ("revision", Json::number(item.revision)),
            ("created", Json::number(item.created)),
            ("lease", Json::number(item.lease)),
        ];
        if with_revision {
            fields.push(("current_rev", Json::number(self.revision)));
        }
        Json::object(fields)
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        self.leases.retain(|_, (ttl, renewed_at)| renewed_at.elapsed() < *ttl);
        let is_gone = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let gone: Vec<String> = self.items.iter().filter(|(_, item)| is_gone(item)).map(|(key, _)| key.clone()).collect();
        for key in gone {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &Json) -> Answer {
        let is_met = |row: &Json| {
            let revision = row.get("key").as_str().and_then(|key| self.items.get(key)).map_or(0, |item| item.revision);
            row.get("revision").as_u64() == Some(revision)
        };
        if !body.get("precondition").items().iter().all(is_met) {
            let rows = body.get("precondition").items().iter().filter_map(|row| {
                let key = row.get("key").as_str()?;
                Some(self.row(key, self.items.get(key)?, false))
            });
            return Some((412, Json::object(vec![("items", Json::List(rows.collect()))]).write()));
        }
        let lease_of = |put: &Json| put.get("lease").as_u64().unwrap_or(0);
        if body.get("put").items().iter().any(|put| lease_of(put) != 0 && !self.leases.contains_key(&lease_of(put))) {
            return Some((404, "{}".to_owned()));
        }
        self.revision += 1;
        for put in body.get("put").items() {
            self.put(put.get("key").as_str()?, put.get("value").as_str()?.to_owned(), lease_of(put));
        }
        for key in body.get("remove").items().iter().filter_map(Json::as_str) {
            self.remove(key);
        }
        Some((200, Json::object(vec![("revision", Json::number(self.revision))]).write()))
    }
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16 | u32::from(*chunk.get(1).unwrap_or(&0)) << 8 | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            let letter = LETTERS[(word >> (18 - 6 * place)) as usize & 63] as char;
            out.push(if place <= chunk.len() { letter } else { '=' });
        }
    }
    out
}
