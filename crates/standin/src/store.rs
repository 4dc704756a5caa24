//! The stand-in's keys, leases and transactions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// A `KeyStore` holds keys with their versions, as text of the gateway's base64.
#[derive(Debug, Default)]
pub(crate) struct KeyStore {
    revision: u64,
    next_lease: u64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<u64, HeldLease>,
}

#[derive(Debug)]
struct StoredValue {
    value: String,
    mod_revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct HeldLease {
    ttl: Duration,
    renewed_at: Instant,
}

impl KeyStore {
    pub(crate) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| now.duration_since(lease.renewed_at) < lease.ttl);
        let leases = &self.leases;
        self.keys.retain(|_, stored| stored.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    pub(crate) fn grant(&mut self, now: Instant, ttl_seconds: u64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, HeldLease { ttl: Duration::from_secs(ttl_seconds), renewed_at: now });
        self.next_lease
    }

    /// Renews a lease; returns its lifetime in seconds, or zero if it is gone.
    pub(crate) fn keep_alive(&mut self, now: Instant, id: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.renewed_at = now;
        lease.ttl.as_secs()
    }

    pub(crate) fn put(&mut self, key: Vec<u8>, value: String, lease: Option<u64>) {
        self.revision += 1;
        self.keys.insert(key, StoredValue { value, mod_revision: self.revision, lease });
    }

    pub(crate) fn range(&self, key: &[u8], range_end: Option<&[u8]>, encode: impl Fn(&[u8]) -> String) -> Value {
        let matches = |found: &[u8]| match range_end {
            Some(end) => found >= key && found < end,
            None => found == key,
        };
        let pairs = self.keys.iter().filter(|(found, _)| matches(found));
        let kvs: Vec<Value> = pairs
            .map(|(found, stored)| json!({"key": encode(found), "value": stored.value, "mod_revision": stored.mod_revision.to_string()}))
            .collect();
        json!({"kvs": kvs, "count": kvs.len().to_string()})
    }

    pub(crate) fn mod_revision(&self, key: &[u8]) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.mod_revision)
    }
}
