//! Calls to the HTTP API of the entries.

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

/// Codes of refusals after which a retry may succeed, later or at another entry.
const TRANSIENT_CODES: [&str; 3] = ["draining", "home-unreachable", "home-fenced"];

/// The entries to call and the timing of retries.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// The HTTP addresses of the entries. There must be at least one.
    pub entries: Vec<SocketAddr>,
    /// Timeout of a call, including its retries. The timeout of a job submission is the job's deadline plus this time; that
    /// of a configuration change is twice this time.
    pub answer_timeout: Duration,
    /// Delay before a retry.
    pub retry_delay: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self { entries: Vec::new(), answer_timeout: Duration::from_secs(10), retry_delay: Duration::from_millis(200) }
    }
}

/// Calls the entries in rotation and retries calls that failed transiently.
#[derive(Debug)]
pub struct CallerClient {
    http: Client,
    options: ClientOptions,
    next_entry: AtomicUsize,
}

impl CallerClient {
    /// Returns a client. No connection is opened until the first call.
    pub fn new(options: ClientOptions) -> Self {
        let http = Client::builder().no_proxy().tcp_nodelay(true).pool_max_idle_per_host(256).build().unwrap_or_default();
        Self { http, options, next_entry: AtomicUsize::new(0) }
    }

    /// Requests `count` tickets, all issued by the same entry.
    pub async fn request_tickets(&self, count: usize) -> Result<Vec<String>, ClientError> {
        let path = format!("/v1/tickets?count={count}");
        let list: TicketList = self.retry(Method::POST, &path, None::<&()>, self.options.answer_timeout).await?;
        Ok(list.tickets)
    }

    /// Submits a job under `ticket` and returns its answer. After a transient failure, resubmits it through the next entry.
    pub async fn submit(&self, ticket: &str, spec: &JobSpec) -> Result<JobView, ClientError> {
        let timeout = spec.deadline_ms.to_duration() + self.options.answer_timeout;
        self.retry(Method::PUT, &format!("/v1/jobs/{ticket}"), Some(spec), timeout).await
    }

    /// Submits a job under a name that the caller chose and returns its answer. Resubmits it as [`Self::submit`] does.
    pub async fn submit_named(&self, name: &JobName, spec: &JobSpec) -> Result<JobView, ClientError> {
        let timeout = spec.deadline_ms.to_duration() + self.options.answer_timeout;
        self.retry(Method::PUT, &format!("/v1/jobs/by-name/{name}"), Some(spec), timeout).await
    }

    /// Submits a job through the entry at `entry`, without retries.
    pub async fn submit_at(&self, entry: SocketAddr, ticket: &str, spec: &JobSpec) -> Result<JobView, ClientError> {
        let timeout = spec.deadline_ms.to_duration() + self.options.answer_timeout;
        self.call(entry, Method::PUT, &format!("/v1/jobs/{ticket}"), Some(spec), timeout).await
    }

    /// Returns the state of a job, with its answer if there is one.
    pub async fn query(&self, ticket: &str) -> Result<JobView, ClientError> {
        self.retry(Method::GET, &format!("/v1/jobs/{ticket}"), None::<&()>, self.options.answer_timeout).await
    }

    /// Cancels a job and returns its answer.
    pub async fn cancel(&self, ticket: &str) -> Result<JobView, ClientError> {
        self.retry(Method::DELETE, &format!("/v1/jobs/{ticket}"), None::<&()>, self.options.answer_timeout).await
    }

    /// Returns the configuration in force.
    pub async fn read_config(&self) -> Result<ConfigValue, ClientError> {
        self.retry(Method::GET, "/v1/config", None::<&()>, self.options.answer_timeout).await
    }

    /// Changes the configuration. Retries are safe because the change's id identifies it.
    pub async fn change_config(&self, change: &ChangeRequest) -> Result<ChangeOutcome, ClientError> {
        self.retry(Method::POST, "/v1/config/changes", Some(change), self.options.answer_timeout * 2).await
    }

    /// Returns the state dump of the entry or agent at `address`.
    pub async fn read_state(&self, address: SocketAddr) -> Result<Value, ClientError> {
        self.call(address, Method::GET, "/v1/state", None::<&()>, self.options.answer_timeout).await
    }

    /// Calls one entry after another until a call succeeds, is refused permanently or `timeout` has passed.
    async fn retry<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let started_at = Instant::now();
        loop {
            let index = self.next_entry.fetch_add(1, Ordering::Relaxed);
            let entry = self.options.entries[index % self.options.entries.len()];
            let remaining = timeout.saturating_sub(started_at.elapsed());
            let error = match self.call(entry, method.clone(), path, body, remaining).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let is_transient = error.code().is_none_or(|code| TRANSIENT_CODES.contains(&code));
            if !is_transient || started_at.elapsed() + self.options.retry_delay >= timeout {
                return Err(error);
            }
            tokio::time::sleep(self.options.retry_delay).await;
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, ClientError> {
        let request = self.http.request(method, format!("http://{entry}{path}")).timeout(timeout);
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
