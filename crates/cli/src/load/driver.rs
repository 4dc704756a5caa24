//! Runs one variant: a new deployment, its callers and its faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use tokio::task::JoinHandle;
use vanillacleat_client::{CallerClient, ClientError, ClientOptions};

use super::faults::{apply_step, plan_steps, ChangeSeen};
use super::process_time::thread_time;
use super::report::{JobSeen, RunSeen, VariantReport};
use super::settings::{FaultKind, LoadSettings, LoadVariant};
use super::single_requests::{measure_added, AddedTimes};
use super::workload::{plan_jobs, PlannedJob};
use crate::deployment::{DeploymentOptions, LocalDeployment};
use crate::operators::CommandError;

/// Time that a caller waits for an answer beyond the deadline.
const PATIENCE: Duration = Duration::from_secs(15);
/// Wait of a doubled submission.
const DOUBLED_WAIT: Duration = Duration::from_millis(20);

/// Runs one variant and returns what was seen.
pub fn run_variant(settings: &LoadSettings, variant: &LoadVariant) -> Result<VariantReport, Report<CommandError>> {
    let options = DeploymentOptions {
        entries: settings.entries,
        agents: settings.agents,
        slots: settings.slots,
        policy: variant.policy.clone(),
        gate: variant.gate.clone(),
        ..DeploymentOptions::default()
    };
    let mut deployment = LocalDeployment::start(&options)?;
    let client_options =
        ClientOptions { entries: deployment.entry_addresses.clone(), answer_timeout: PATIENCE, ..ClientOptions::default() };
    let client = Arc::new(CallerClient::new(client_options));
    let added = match settings.single_requests {
        0 => AddedTimes::default(),
        count => deployment.runtime.block_on(measure_added(&deployment, count)),
    };
    let probes = deployment.log.records().len();
    let jobs: Arc<Vec<PlannedJob>> = Arc::new(plan_jobs(settings, variant.load));
    let tickets = deployment.runtime.block_on(request_tickets(&client, jobs.len())).change_context(CommandError::Call)?;
    let (entry_time, agent_time) = (thread_time("entry-"), thread_time("agent-"));
    let calls_before = deployment.platform.calls();
    let counters_before = deployment.runtime.block_on(read_counters(&client, &deployment));
    let started_at = Instant::now();
    let callers = spawn_callers(&deployment, &client, &jobs, &tickets, started_at);
    let changes = run_faults(&mut deployment, &client, settings, &tickets, started_at);
    std::thread::sleep(Duration::from_secs(settings.seconds).saturating_sub(started_at.elapsed()));
    let counters = deployment.runtime.block_on(read_counters(&client, &deployment));
    let seen: Vec<JobSeen> = deployment.runtime.block_on(join_callers(callers));
    let elapsed = started_at.elapsed();
    let run = RunSeen {
        started_at,
        elapsed,
        added,
        jobs,
        seen,
        changes,
        starts: deployment.log.records().split_off(probes),
        counters,
        counters_before,
        platform_calls: deployment.platform.calls() - calls_before,
        entry_time: thread_time("entry-").saturating_sub(entry_time),
        agent_time: thread_time("agent-").saturating_sub(agent_time),
        zones: deployment.agent_settings.iter().map(|settings| settings.zone.to_string()).collect(),
    };
    Ok(VariantReport::make(settings, variant, &run))
}

async fn request_tickets(client: &CallerClient, count: usize) -> Result<Vec<String>, ClientError> {
    let mut tickets = Vec::new();
    while tickets.len() < count {
        // Small batches, so that the tickets' homes are spread over the entries.
        tickets.extend(client.request_tickets((count - tickets.len()).min(10)).await?);
    }
    Ok(tickets)
}

fn spawn_callers(
    deployment: &LocalDeployment,
    client: &Arc<CallerClient>,
    jobs: &Arc<Vec<PlannedJob>>,
    tickets: &[String],
    started_at: Instant,
) -> Vec<JoinHandle<JobSeen>> {
    let handle = deployment.runtime.handle();
    let spawn = |(index, ticket): (usize, &String)| {
        let (client, jobs, ticket) = (client.clone(), jobs.clone(), ticket.clone());
        handle.spawn(async move { call_job(&client, &jobs[index], index, &ticket, started_at).await })
    };
    tickets.iter().take(jobs.len()).enumerate().map(spawn).collect()
}

async fn call_job(client: &CallerClient, job: &PlannedJob, index: usize, ticket: &str, started_at: Instant) -> JobSeen {
    let due = started_at + job.at;
    tokio::time::sleep_until(due.into()).await;
    let first = client.submit(ticket, &job.spec);
    let (answer, is_differing, response) = if job.is_doubled {
        let again = async {
            tokio::time::sleep(DOUBLED_WAIT).await;
            client.submit(ticket, &job.spec).await
        };
        let (first, second) = tokio::join!(first, again);
        let is_differing = matches!((&first, &second), (Ok(first), Ok(second)) if first != second);
        (first, is_differing, due.elapsed())
    } else {
        (first.await, false, due.elapsed())
    };
    JobSeen { index, response, answer: answer.map_err(name_error), is_differing }
}

fn name_error(error: ClientError) -> String {
    error.code().unwrap_or("unreachable").to_owned()
}

fn run_faults(
    deployment: &mut LocalDeployment,
    client: &Arc<CallerClient>,
    settings: &LoadSettings,
    tickets: &[String],
    started_at: Instant,
) -> Vec<ChangeSeen> {
    let mut changes = Vec::new();
    for step in plan_steps(&settings.faults) {
        std::thread::sleep(step.at.saturating_sub(started_at.elapsed()));
        if step.fault.kind == FaultKind::CancelWave && !step.is_end {
            deployment.runtime.handle().spawn(cancel_all(client.clone(), tickets.to_vec()));
        }
        changes.extend(apply_step(deployment, client, &step));
    }
    changes
}

async fn cancel_all(client: Arc<CallerClient>, tickets: Vec<String>) {
    for ticket in tickets {
        let client = client.clone();
        tokio::spawn(async move { client.cancel(&ticket).await });
    }
}

async fn join_callers(callers: Vec<JoinHandle<JobSeen>>) -> Vec<JobSeen> {
    let mut seen = Vec::new();
    for caller in callers {
        seen.extend(caller.await.ok());
    }
    seen
}

/// Returns each entry's counters; a killed one's are empty.
async fn read_counters(client: &CallerClient, deployment: &LocalDeployment) -> Vec<serde_json::Value> {
    let mut counters = Vec::new();
    for (address, entry) in deployment.entry_addresses.iter().zip(&deployment.entries) {
        let state = match entry {
            Some(_) => client.read_state(*address).await.unwrap_or_default(),
            None => serde_json::Value::Null,
        };
        counters.push(state["counters"].clone());
    }
    counters
}
