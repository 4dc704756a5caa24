//! HTTP calls to the etcd v3 JSON gateway, limited in rate and concurrency.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use reqwest::Client;
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use crate::rate_limiter::RateLimiter;

/// Posts requests to the store. After a failed call, the next call goes to the next address.
#[derive(Debug)]
pub(crate) struct KvGateway {
    http: Client,
    addresses: Vec<SmolStr>,
    address_index: AtomicUsize,
    call_timeout: Duration,
    call_permits: Semaphore,
    rate_limiter: Mutex<RateLimiter>,
}

impl KvGateway {
    pub(crate) fn new(addresses: Vec<SmolStr>, call_timeout: Duration, open_calls_max: usize, calls_per_second: f64) -> Self {
        Self {
            http: Client::new(),
            addresses,
            address_index: AtomicUsize::new(0),
            call_timeout,
            call_permits: Semaphore::new(open_calls_max),
            rate_limiter: Mutex::new(RateLimiter::new(calls_per_second, Instant::now())),
        }
    }

    /// Posts `body` and returns the store's response. Returns `None` if a limit rejected the call, if the call failed or timed
    /// out, or if the response was not valid. Except in the first case, a write may have taken effect.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(&self, path: &'static str, body: &Q) -> Option<A> {
        let is_within_rate = self.rate_limiter.lock().map(|mut limiter| limiter.try_acquire(Instant::now())).unwrap_or(false);
        let Ok(_permit) = self.call_permits.try_acquire() else {
            return self.record_rejected(path);
        };
        if !is_within_rate {
            return self.record_rejected(path);
        }
        metrics::counter!("platform_calls_total", "path" => path).increment(1);
        let index = self.address_index.load(Ordering::Relaxed);
        let address = &self.addresses[index % self.addresses.len()];
        match self.try_post(address, path, body).await {
            Ok(response) => Some(response),
            Err(error) => {
                self.address_index.store(index.wrapping_add(1), Ordering::Relaxed);
                metrics::counter!("platform_failures_total", "path" => path).increment(1);
                log::debug!("event=platform_failed path={path} cause={:?}", error.to_string());
                None
            }
        }
    }

    async fn try_post<Q: Serialize, A: DeserializeOwned>(&self, address: &str, path: &str, body: &Q) -> reqwest::Result<A> {
        let request = self.http.post(format!("{address}{path}")).timeout(self.call_timeout).json(body);
        request.send().await?.error_for_status()?.json().await
    }

    /// Counts a call that a limit rejected. Returns `None` as the call's response.
    fn record_rejected<A>(&self, path: &'static str) -> Option<A> {
        metrics::counter!("platform_over_budget_total", "path" => path).increment(1);
        None
    }
}
