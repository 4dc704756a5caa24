//! In-memory store of keys and leases behind the key-value stand-in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Holds keys with their values, revisions and leases. Keys are decoded because ranges compare them; values stay in the
/// gateway's base64 encoding.
#[derive(Debug, Default)]
pub(crate) struct KeyStore {
    revision: u64,
    last_lease_id: u64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<u64, LeaseState>,
}

#[derive(Debug)]
struct StoredValue {
    value: String,
    mod_revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    renewed_at: Instant,
}

impl KeyStore {
    /// Removes the leases that have expired by `now`, and their keys.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| now.duration_since(lease.renewed_at) < lease.ttl);
        let leases = &self.leases;
        self.keys.retain(|_, stored| stored.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    /// Grants a lease and returns its id.
    pub(crate) fn grant(&mut self, now: Instant, ttl_seconds: u64) -> u64 {
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, LeaseState { ttl: Duration::from_secs(ttl_seconds), renewed_at: now });
        self.last_lease_id
    }

    /// Renews a lease. Returns its time to live in seconds, or zero if it has expired.
    pub(crate) fn keep_alive(&mut self, now: Instant, id: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.renewed_at = now;
        lease.ttl.as_secs()
    }

    /// Stores a value under a new revision, attached to `lease` if one is given.
    pub(crate) fn put(&mut self, key: Vec<u8>, value: String, lease: Option<u64>) {
        self.revision += 1;
        self.keys.insert(key, StoredValue { value, mod_revision: self.revision, lease });
    }

    /// Returns the gateway's answer for the key `key`, or for the keys from `key` up to but excluding `range_end`.
    pub(crate) fn range(&self, key: &[u8], range_end: Option<&[u8]>, encode: impl Fn(&[u8]) -> String) -> Value {
        let is_match = |found: &[u8]| match range_end {
            Some(end) => found >= key && found < end,
            None => found == key,
        };
        let pairs = self.keys.iter().filter(|(found, _)| is_match(found));
        let kvs: Vec<Value> = pairs
            .map(|(found, stored)| json!({"key": encode(found), "value": stored.value, "mod_revision": stored.mod_revision.to_string()}))
            .collect();
        json!({"kvs": kvs, "count": kvs.len().to_string()})
    }

    /// Returns the revision of the key's last change, or zero if the key does not exist.
    pub(crate) fn mod_revision(&self, key: &[u8]) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.mod_revision)
    }
}
