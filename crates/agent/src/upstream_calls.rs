//! Calls of upstreams. Each task is posted once: no redirect is followed and no call is tried again.

use std::time::{Duration, Instant};

use reqwest::redirect::Policy;
use reqwest::Client;
use smol_str::SmolStr;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::gate::StartOrder;
use vanillacleat_core::outcome::{TaskOutcome, UnknownReason};

use crate::agent_input::{AgentInput, InputSink};

/// Longest time to connect to an upstream on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the deadline for which a running task keeps its slot.
const OVERRUN_MAX: Duration = Duration::from_secs(10);
/// Longest answer of a task that is passed on, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// An `UpstreamCaller` runs started tasks at upstreams.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCaller {
    http: Client,
    outlet: InputSink,
}

/// How a call of an upstream ended.
enum CallEnd {
    Outcome(TaskOutcome),
    NotSent,
}

impl UpstreamCaller {
    pub(crate) fn new(outlet: InputSink, connections: usize) -> Self {
        let builder = Client::builder().redirect(Policy::none()).no_proxy().connect_timeout(CONNECT_TIMEOUT);
        let http = builder.pool_max_idle_per_host(connections).tcp_nodelay(true).build().unwrap_or_default();
        Self { http, outlet }
    }

    /// Runs a task and reports its end.
    pub(crate) async fn run_task(self, order: StartOrder) {
        let started_at = Instant::now();
        let end = self.post_task(&order).await;
        let StartOrder { key, upstream, .. } = order;
        let event = match end {
            CallEnd::NotSent => AgentEvent::NotSent { key, upstream },
            CallEnd::Outcome(outcome) => AgentEvent::Ended { key, upstream, outcome, run: started_at.elapsed() },
        };
        self.outlet.send(AgentInput::Event(event));
    }

    async fn post_task(&self, order: &StartOrder) -> CallEnd {
        let url = format!("http://{}/{}", order.address, order.service);
        let request = self.http.post(url).header("vanillacleat-task", order.key.to_string()).body(order.payload.clone());
        let response = match request.timeout(order.left + OVERRUN_MAX).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return CallEnd::NotSent,
            Err(error) if error.is_timeout() => return CallEnd::Outcome(TaskOutcome::Unknown(UnknownReason::StillRunning)),
            Err(_) => return CallEnd::Outcome(failed_outcome("the upstream broke the connection")),
        };
        let status = response.status();
        let outcome = match response.text().await {
            Ok(text) if text.len() > ANSWER_BYTES_MAX => failed_outcome("the upstream's answer is too long"),
            Ok(text) if status.is_success() => TaskOutcome::Done(text),
            Ok(_) => failed_outcome(&format!("the upstream answered with status {}", status.as_u16())),
            Err(_) => failed_outcome("the upstream broke off its answer"),
        };
        CallEnd::Outcome(outcome)
    }
}

fn failed_outcome(cause: &str) -> TaskOutcome {
    TaskOutcome::Failed(SmolStr::new(cause))
}
