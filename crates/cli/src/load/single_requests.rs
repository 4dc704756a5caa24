//! Measures the latency that the system adds to a single request, compared with calling the upstream directly.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use vanillacleat_standin::TaskScript;

use crate::deployment::{LocalDeployment, SERVICE};

/// Run time of each measured task, in milliseconds.
const TASK_RUN_MS: u64 = 20;

/// Quantiles of the latency that the system adds to a request, in milliseconds: the difference of the quantiles with and
/// without the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddedLatency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Sends `count` requests through an entry and `count` directly to an upstream, alternating between the two.
pub async fn measure_added_latency(deployment: &LocalDeployment, count: usize) -> AddedLatency {
    let http = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build().unwrap_or_default();
    let entry = deployment.entry_addresses[0];
    let upstream = deployment.upstreams[0].address;
    let entry_url = format!("http://{entry}/v1/requests/{SERVICE}?team=probe&idempotent=false");
    let direct_url = format!("http://{upstream}/{SERVICE}");
    let mut through_entry = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut direct = Histogram::<u64>::new(3).expect("three digits are allowed");
    for index in 0..count {
        let latency = time_post(&http, &direct_url, &format!("direct-{index}")).await;
        direct.record(latency.as_micros() as u64).expect("the histogram grows");
        let latency = time_post(&http, &entry_url, &format!("through-{index}")).await;
        through_entry.record(latency.as_micros() as u64).expect("the histogram grows");
    }
    let added = |quantile: f64| (through_entry.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64) / 1_000.0;
    AddedLatency { p50: added(0.5), p99: added(0.99) }
}

async fn time_post(http: &reqwest::Client, url: &str, id: &str) -> Duration {
    let script = TaskScript { id: id.to_owned(), run_ms: TASK_RUN_MS, fails: false };
    let started_at = Instant::now();
    if let Ok(response) = http.post(url).body(script.to_payload()).send().await {
        let _ = response.bytes().await;
    }
    started_at.elapsed()
}
