//! Calls of the entries' HTTP interface.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use reqwest::{Client, Method, Response};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use vanillacleat_core::api::{ChangeRequest, JobView, ProblemBody, TicketList};
use vanillacleat_core::config::{ChangeOutcome, ConfigValue};
use vanillacleat_core::ids::JobName;
use vanillacleat_core::job::JobSpec;

use crate::errors::ClientError;

/// Codes of refusals after which the same call may succeed at another entry or later.
const PASSING_CODES: [&str; 3] = ["draining", "home-unreachable", "home-fenced"];

/// `ClientOptions` say whom to call and how long to try.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// The entries' HTTP addresses.
    pub entries: Vec<SocketAddr>,
    /// Time beyond a job's deadline for which its answer is awaited.
    pub answer_timeout: Duration,
    /// Wait between two tries.
    pub retry_wait: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self { entries: Vec::new(), answer_timeout: Duration::from_secs(10), retry_wait: Duration::from_millis(200) }
    }
}

/// A `CallerClient` calls the entries in turn.
#[derive(Debug)]
pub struct CallerClient {
    http: Client,
    options: ClientOptions,
    next: AtomicUsize,
}

impl CallerClient {
    /// Returns a client that has called nobody yet.
    pub fn new(options: ClientOptions) -> Self {
        let http = Client::builder().no_proxy().tcp_nodelay(true).pool_max_idle_per_host(256).build().unwrap_or_default();
        Self { http, options, next: AtomicUsize::new(0) }
    }

    /// Returns `count` tickets of one entry.
    pub async fn request_tickets(&self, count: usize) -> Result<Vec<String>, ClientError> {
        let path = format!("/v1/tickets?count={count}");
        let list: TicketList = self.retry(Method::POST, &path, None::<&()>, self.options.answer_timeout).await?;
        Ok(list.tickets)
    }

    /// Submits a job under `ticket` until it is answered, through another entry after each failure.
    pub async fn submit(&self, ticket: &str, spec: &JobSpec) -> Result<JobView, ClientError> {
        let limit = spec.deadline_ms.to_duration() + self.options.answer_timeout;
        self.retry(Method::PUT, &format!("/v1/jobs/{ticket}"), Some(spec), limit).await
    }

    /// Submits a job under the caller's own name until it is answered.
    pub async fn submit_named(&self, name: &JobName, spec: &JobSpec) -> Result<JobView, ClientError> {
        let limit = spec.deadline_ms.to_duration() + self.options.answer_timeout;
        self.retry(Method::PUT, &format!("/v1/jobs/by-name/{name}"), Some(spec), limit).await
    }

    /// Submits a job once, through the entry at `entry`.
    pub async fn submit_at(&self, entry: SocketAddr, ticket: &str, spec: &JobSpec) -> Result<JobView, ClientError> {
        let limit = spec.deadline_ms.to_duration() + self.options.answer_timeout;
        self.call(entry, Method::PUT, &format!("/v1/jobs/{ticket}"), Some(spec), limit).await
    }

    /// Returns a job's answer if it has one.
    pub async fn query(&self, ticket: &str) -> Result<JobView, ClientError> {
        self.retry(Method::GET, &format!("/v1/jobs/{ticket}"), None::<&()>, self.options.answer_timeout).await
    }

    /// Cancels a job; returns its answer.
    pub async fn cancel(&self, ticket: &str) -> Result<JobView, ClientError> {
        self.retry(Method::DELETE, &format!("/v1/jobs/{ticket}"), None::<&()>, self.options.answer_timeout).await
    }

    /// Returns the configuration in force.
    pub async fn read_config(&self) -> Result<ConfigValue, ClientError> {
        self.retry(Method::GET, "/v1/config", None::<&()>, self.options.answer_timeout).await
    }

    /// Changes the configuration. The change's id makes it safe to try again.
    pub async fn change_config(&self, change: &ChangeRequest) -> Result<ChangeOutcome, ClientError> {
        self.retry(Method::POST, "/v1/config/changes", Some(change), self.options.answer_timeout * 2).await
    }

    /// Returns the state of the entry or agent at `address`.
    pub async fn read_state(&self, address: SocketAddr) -> Result<Value, ClientError> {
        self.call(address, Method::GET, "/v1/state", None::<&()>, self.options.answer_timeout).await
    }

    async fn retry<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<A, ClientError> {
        let started_at = Instant::now();
        loop {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let entry = self.options.entries[index % self.options.entries.len()];
            let left = limit.saturating_sub(started_at.elapsed());
            let error = match self.call(entry, method.clone(), path, body, left).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let is_passing = error.code().is_none_or(|code| PASSING_CODES.contains(&code));
            if !is_passing || started_at.elapsed() + self.options.retry_wait >= limit {
                return Err(error);
            }
            tokio::time::sleep(self.options.retry_wait).await;
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        limit: Duration,
    ) -> Result<A, ClientError> {
        let request = self.http.request(method, format!("http://{entry}{path}")).timeout(limit);
        let request = match body {
            Some(body) => request.json(body),
            None => request,
        };
        let response = request.send().await.map_err(unreachable_error)?;
        read_response(response).await
    }
}

async fn read_response<A: DeserializeOwned>(response: Response) -> Result<A, ClientError> {
    if response.status().is_success() {
        return response.json().await.map_err(unreachable_error);
    }
    let problem: ProblemBody = response.json().await.map_err(unreachable_error)?;
    Err(ClientError::Refused(problem))
}

fn unreachable_error(error: reqwest::Error) -> ClientError {
    ClientError::Unreachable(error.to_string())
}
