//! HTTP calls to upstreams. Each task is posted at most once: redirects are not followed and no call is retried, because
//! either could start the task twice.

use std::time::{Duration, Instant};

use reqwest::redirect::Policy;
use reqwest::Client;
use smol_str::SmolStr;
use vanillacleat_control::agent::AgentEvent;
use vanillacleat_control::gate::StartOrder;
use vanillacleat_core::outcome::{TaskOutcome, UnknownReason};

use crate::agent_input::{AgentInput, InputSink};

/// Maximum time to connect to an upstream, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a task's deadline at which the agent stops waiting for the upstream. Until then the task occupies its slot;
/// afterwards its outcome is unknown.
const OVERRUN_MAX: Duration = Duration::from_secs(10);
/// Maximum size of a task's answer, in bytes. A task with a longer answer counts as failed.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Posts started tasks to upstreams and reports their results to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCaller {
    http: Client,
    sink: InputSink,
}

/// The result of a call to an upstream.
enum CallResult {
    /// The outcome of a task whose request may have reached the upstream.
    Outcome(TaskOutcome),
    /// No connection could be opened, so the task did not start.
    NotSent,
}

impl UpstreamCaller {
    pub(crate) fn new(sink: InputSink, connections: usize) -> Self {
        let builder = Client::builder().redirect(Policy::none()).no_proxy().connect_timeout(CONNECT_TIMEOUT);
        let http = builder.pool_max_idle_per_host(connections).tcp_nodelay(true).build().unwrap_or_default();
        Self { http, sink }
    }

    /// Posts a task to its upstream, waits for the answer and reports the result to the control thread.
    pub(crate) async fn run_task(self, order: StartOrder) {
        let started_at = Instant::now();
        let result = self.post_task(&order).await;
        let StartOrder { key, upstream, .. } = order;
        let event = match result {
            CallResult::NotSent => AgentEvent::NotSent { key, upstream },
            CallResult::Outcome(outcome) => AgentEvent::Ended { key, upstream, outcome, run_time: started_at.elapsed() },
        };
        self.sink.send(AgentInput::Event(event));
    }

    async fn post_task(&self, order: &StartOrder) -> CallResult {
        let url = format!("http://{}/{}", order.address, order.service);
        let request = self.http.post(url).header("vanillacleat-task", order.key.to_string()).body(order.payload.clone());
        let response = match request.timeout(order.time_left + OVERRUN_MAX).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return CallResult::NotSent,
            Err(error) if error.is_timeout() => return CallResult::Outcome(TaskOutcome::Unknown(UnknownReason::StillRunning)),
            Err(_) => return CallResult::Outcome(failed_outcome("the upstream broke the connection")),
        };
        let status = response.status();
        let outcome = match response.text().await {
            Ok(text) if text.len() > ANSWER_BYTES_MAX => failed_outcome("the upstream's answer is too long"),
            Ok(text) if status.is_success() => TaskOutcome::Done(text),
            Ok(_) => failed_outcome(&format!("the upstream answered with status {}", status.as_u16())),
            Err(_) => failed_outcome("the upstream broke off its answer"),
        };
        CallResult::Outcome(outcome)
    }
}

fn failed_outcome(cause: &str) -> TaskOutcome {
    TaskOutcome::Failed(SmolStr::new(cause))
}
