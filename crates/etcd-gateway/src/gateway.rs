//! HTTP calls of the etcd v3 JSON gateway.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use reqwest::Client;
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use crate::call_budget::CallBudget;

/// A `KvGateway` posts bodies to the store. A failed call moves on to the next address.
#[derive(Debug)]
pub(crate) struct KvGateway {
    http: Client,
    addresses: Vec<SmolStr>,
    current: AtomicUsize,
    deadline: Duration,
    open_calls: Semaphore,
    budget: Mutex<CallBudget>,
}

impl KvGateway {
    pub(crate) fn new(addresses: Vec<SmolStr>, deadline: Duration, open_calls_max: usize, calls_per_second: f64) -> Self {
        Self {
            http: Client::new(),
            addresses,
            current: AtomicUsize::new(0),
            deadline,
            open_calls: Semaphore::new(open_calls_max),
            budget: Mutex::new(CallBudget::new(calls_per_second, Instant::now())),
        }
    }

    /// Returns the store's answer, or nothing if it did not come in time or was not one. A write may have taken effect.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(&self, path: &'static str, body: &Q) -> Option<A> {
        let is_within = self.budget.lock().map(|mut budget| budget.try_spend(Instant::now())).unwrap_or(false);
        let Ok(_permit) = self.open_calls.try_acquire() else {
            return self.record_refused(path);
        };
        if !is_within {
            return self.record_refused(path);
        }
        metrics::counter!("platform_calls_total", "path" => path).increment(1);
        let index = self.current.load(Ordering::Relaxed);
        let address = &self.addresses[index % self.addresses.len()];
        match self.try_post(address, path, body).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                self.current.store(index.wrapping_add(1), Ordering::Relaxed);
                metrics::counter!("platform_failures_total", "path" => path).increment(1);
                log::debug!("event=platform_failed path={path} cause={:?}", error.to_string());
                None
            }
        }
    }

    async fn try_post<Q: Serialize, A: DeserializeOwned>(&self, address: &str, path: &str, body: &Q) -> reqwest::Result<A> {
        let request = self.http.post(format!("{address}{path}")).timeout(self.deadline).json(body);
        request.send().await?.error_for_status()?.json().await
    }

    fn record_refused<A>(&self, path: &'static str) -> Option<A> {
        metrics::counter!("platform_over_budget_total", "path" => path).increment(1);
        None
    }
}
