//! What a single request costs over calling the upstream directly.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use vanillacleat_standin::TaskScript;

use crate::deployment::{LocalDeployment, SERVICE};

/// Run time of each timed task, in milliseconds.
const RUN_MS: u64 = 20;

/// `AddedTimes` are quantiles of the time that the system adds, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddedTimes {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// Times `count` requests through an entry and `count` directly, in turn.
pub async fn measure_added(deployment: &LocalDeployment, count: usize) -> AddedTimes {
    let http = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build().unwrap_or_default();
    let entry = deployment.entry_addresses[0];
    let upstream = deployment.upstreams[0].address;
    let through_url = format!("http://{entry}/v1/requests/{SERVICE}?team=probe&idempotent=false");
    let direct_url = format!("http://{upstream}/{SERVICE}");
    let mut through = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut direct = Histogram::<u64>::new(3).expect("three digits are allowed");
    for index in 0..count {
        let time = time_post(&http, &direct_url, &format!("direct-{index}")).await;
        direct.record(time.as_micros() as u64).expect("the histogram grows");
        let time = time_post(&http, &through_url, &format!("through-{index}")).await;
        through.record(time.as_micros() as u64).expect("the histogram grows");
    }
    let added = |quantile: f64| (through.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64) / 1_000.0;
    AddedTimes { p50: added(0.5), p99: added(0.99) }
}

async fn time_post(http: &reqwest::Client, url: &str, id: &str) -> Duration {
    let script = TaskScript { id: id.to_owned(), run_ms: RUN_MS, fails: false };
    let started_at = Instant::now();
    if let Ok(response) = http.post(url).body(script.to_payload()).send().await {
        let _ = response.bytes().await;
    }
    started_at.elapsed()
}
