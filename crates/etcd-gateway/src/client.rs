//! The store operations of an entry, expressed as range reads, transactions and leases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Mutex;
use vanillacleat_control::entry::{EntryPresence, HomeClaim, NameBinding, PlatformOp, PlatformReply, StoreVersion};
use vanillacleat_core::ticket::Ticket;

use crate::gateway::KvGateway;
use crate::gateway_types::{
    decode_bytes, encode_bytes, Compare, KeyValue, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse,
};

/// TTL of the lease on an entry's own key, in seconds. The store deletes the key if the lease is not renewed within this
/// time.
const PRESENCE_TTL_SECONDS: u64 = 15;
/// Time for which new names share a lease. The next name after that gets a new lease.
const NAME_LEASE_INTERVAL: Duration = Duration::from_secs(60);
/// TTL of a lease for names, in seconds. It is longer than the default lifetime of a ticket, which is 600 seconds.
const NAME_TTL_SECONDS: u64 = 900;

/// Addresses of the store and limits of the calls to it.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Base URLs, such as `http://127.0.0.1:2379`.
    pub addresses: Vec<SmolStr>,
    /// Prefix of every key.
    pub key_prefix: SmolStr,
    /// Timeout of one call.
    pub call_timeout: Duration,
    /// Maximum number of concurrent calls.
    pub open_calls_max: usize,
    /// Maximum number of calls per second.
    pub calls_per_second: f64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            key_prefix: SmolStr::new_static("vanillacleat/"),
            call_timeout: Duration::from_millis(1_500),
            open_calls_max: 32,
            calls_per_second: 200.0,
        }
    }
}

/// Executes an entry's operations on the store.
#[derive(Debug)]
pub struct PlatformClient {
    gateway: KvGateway,
    prefix: SmolStr,
    presence_lease: Mutex<Option<String>>,
    name_lease: Mutex<Option<(Instant, String)>>,
}

impl PlatformClient {
    /// Returns a client. No call is made until the first operation.
    pub fn new(options: PlatformOptions) -> Arc<Self> {
        let PlatformOptions { addresses, key_prefix, call_timeout, open_calls_max, calls_per_second } = options;
        Arc::new(Self {
            gateway: KvGateway::new(addresses, call_timeout, open_calls_max, calls_per_second),
            prefix: key_prefix,
            presence_lease: Mutex::new(None),
            name_lease: Mutex::new(None),
        })
    }

    /// Executes one operation. After [`PlatformReply::Failed`] a write may or may not have taken effect.
    pub async fn execute(&self, op: PlatformOp) -> PlatformReply {
        let reply = match op {
            PlatformOp::ReadConfig => {
                self.read_value(&self.config_key()).await.map(|(version, value)| PlatformReply::Config(version, value))
            }
            PlatformOp::WriteConfig(version, value) => self.write_value(&self.config_key(), version, &*value).await,
            PlatformOp::ReadClaim(home) => {
                self.read_value(&self.claim_key(&home)).await.map(|(version, claim)| PlatformReply::Claim(version, claim))
            }
            PlatformOp::WriteClaim(home, version, claim) => self.write_value::<HomeClaim>(&self.claim_key(&home), version, &claim).await,
            PlatformOp::Announce(presence) => self.announce(&presence).await,
            PlatformOp::BindNames(bindings) => self.bind_names(&bindings).await,
        };
        reply.unwrap_or(PlatformReply::Failed)
    }

    fn config_key(&self) -> String {
        format!("{}config", self.prefix)
    }

    fn claim_key(&self, home: &impl std::fmt::Display) -> String {
        format!("{}claims/{home}", self.prefix)
    }

    async fn read_value<T: DeserializeOwned>(&self, key: &str) -> Option<(StoreVersion, Option<T>)> {
        let request = RangeRequest { key: encode_bytes(key), range_end: None };
        let response: RangeResponse = self.gateway.post("/v3/kv/range", &request).await?;
        let Some(pair) = response.kvs.first() else {
            return Some((StoreVersion(0), None));
        };
        let version = pair.mod_revision.parse().ok()?;
        // A value that can't be decoded must not be reported as absent, or it would be overwritten. The operation fails.
        let value = decode_value(pair)?;
        Some((StoreVersion(version), Some(value)))
    }

    async fn write_value<T: Serialize>(&self, key: &str, expected: StoreVersion, value: &T) -> Option<PlatformReply> {
        let value = serde_json::to_vec(value).ok()?;
        let request = TxnRequest {
            compare: vec![compare_version(key, expected)],
            success: vec![RequestOp::Put(PutRequest { key: encode_bytes(key), value: encode_bytes(value), lease: None })],
            failure: Vec::new(),
        };
        let response: TxnResponse = self.gateway.post("/v3/kv/txn", &request).await?;
        Some(if response.succeeded { PlatformReply::Written } else { PlatformReply::Outdated })
    }

    /// Renews the entry's own key and returns the presence of every entry that has one.
    async fn announce(&self, presence: &EntryPresence) -> Option<PlatformReply> {
        self.renew_presence(presence).await?;
        let prefix = format!("{}entries/", self.prefix);
        let request = RangeRequest { key: encode_bytes(&prefix), range_end: Some(encode_bytes(prefix_end(&prefix))) };
        let response: RangeResponse = self.gateway.post("/v3/kv/range", &request).await?;
        let entries = response.kvs.iter().filter_map(decode_value).collect();
        Some(PlatformReply::Entries(entries))
    }

    async fn renew_presence(&self, presence: &EntryPresence) -> Option<()> {
        let mut lease = self.presence_lease.lock().await;
        if let Some(id) = lease.as_ref() {
            let request = LeaseKeepAliveRequest { id: id.clone() };
            let response: LeaseKeepAliveResponse = self.gateway.post("/v3/lease/keepalive", &request).await?;
            let is_alive = response.result.ttl.parse::<u64>().is_ok_and(|ttl| ttl > 0);
            if is_alive {
                return Some(());
            }
        }
        *lease = None;
        let id = self.grant_lease(PRESENCE_TTL_SECONDS).await?;
        let key = format!("{}entries/{}", self.prefix, presence.home.entry);
        let value = serde_json::to_vec(presence).ok()?;
        let request = PutRequest { key: encode_bytes(key), value: encode_bytes(value), lease: Some(id.clone()) };
        let _: serde_json::Value = self.gateway.post("/v3/kv/put", &request).await?;
        *lease = Some(id);
        Some(())
    }

    async fn grant_lease(&self, ttl_seconds: u64) -> Option<String> {
        let request = LeaseGrantRequest { ttl: ttl_seconds.to_string() };
        let response: LeaseGrantResponse = self.gateway.post("/v3/lease/grant", &request).await?;
        Some(response.id)
    }

    /// Returns the id of the lease for new names. Requests a new lease if there is none or the last one is older than
    /// `NAME_LEASE_INTERVAL`.
    async fn ensure_name_lease(&self) -> Option<String> {
        let mut lease = self.name_lease.lock().await;
        if let Some((granted_at, id)) = lease.as_ref() {
            if granted_at.elapsed() < NAME_LEASE_INTERVAL {
                return Some(id.clone());
            }
        }
        let id = self.grant_lease(NAME_TTL_SECONDS).await?;
        *lease = Some((Instant::now(), id.clone()));
        Some(id)
    }

    async fn bind_names(&self, bindings: &[NameBinding]) -> Option<PlatformReply> {
        let lease = self.ensure_name_lease().await?;
        let ops = bindings.iter().map(|binding| RequestOp::Txn(self.bind_name_txn(binding, &lease)));
        let request = TxnRequest { success: ops.collect(), ..TxnRequest::default() };
        let response: TxnResponse = self.gateway.post("/v3/kv/txn", &request).await?;
        let bound = response.responses.iter().zip(bindings).map(|(response, binding)| {
            let txn = response.response_txn.as_ref()?;
            if txn.succeeded {
                return Some(binding.ticket.clone());
            }
            let pair = txn.responses.first()?.response_range.as_ref()?.kvs.first()?;
            decode_value::<SmolStr>(pair)?.parse::<Ticket>().ok()
        });
        let tickets: Vec<Ticket> = bound.collect::<Option<_>>()?;
        (tickets.len() == bindings.len()).then_some(PlatformReply::Names(tickets))
    }

    /// Returns the transaction that binds a name if it is free, and otherwise reads its ticket.
    fn bind_name_txn(&self, binding: &NameBinding, lease: &str) -> TxnRequest {
        let key = format!("{}names/{}", self.prefix, binding.name);
        let value = serde_json::Value::from(binding.ticket.to_string()).to_string();
        let put = PutRequest { key: encode_bytes(&key), value: encode_bytes(value), lease: Some(lease.to_owned()) };
        TxnRequest {
            compare: vec![compare_version(&key, StoreVersion(0))],
            success: vec![RequestOp::Put(put)],
            failure: vec![RequestOp::Range(RangeRequest { key: encode_bytes(&key), range_end: None })],
        }
    }
}

fn compare_version(key: &str, version: StoreVersion) -> Compare {
    Compare { key: encode_bytes(key), target: "MOD", result: "EQUAL", mod_revision: version.0.to_string() }
}

fn decode_value<T: DeserializeOwned>(pair: &KeyValue) -> Option<T> {
    serde_json::from_slice(&decode_bytes(&pair.value)?).ok()
}

/// Returns the exclusive end of the range of keys that start with `prefix`. The last byte of `prefix` must not be 255.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
