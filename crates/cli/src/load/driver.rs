//! Runs one variant of an experiment: starts a deployment, submits the jobs and injects the faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use tokio::task::JoinHandle;
use vanillacleat_client::{CallerClient, ClientError, ClientOptions};

use super::cpu_time::thread_cpu_time;
use super::faults::{apply_step, plan_steps, ChangeObservation};
use super::report::{JobObservation, RunObservation, VariantReport};
use super::settings::{FaultKind, LoadSettings, LoadVariant};
use super::single_requests::{measure_added_latency, AddedLatency};
use super::workload::{plan_jobs, PlannedJob};
use crate::deployment::{DeploymentOptions, LocalDeployment};
use crate::operators::CommandError;

/// Time beyond a job's deadline for which its caller waits for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between the two submissions of a job that is submitted twice.
const RESUBMIT_DELAY: Duration = Duration::from_millis(20);

/// Runs one variant and returns its report.
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
        ClientOptions { entries: deployment.entry_addresses.clone(), answer_timeout: ANSWER_TIMEOUT, ..ClientOptions::default() };
    let client = Arc::new(CallerClient::new(client_options));
    let added_latency = match settings.single_requests {
        0 => AddedLatency::default(),
        count => deployment.runtime.block_on(measure_added_latency(&deployment, count)),
    };
    // Number of the single requests' starts, which are left out of the report.
    let probe_starts = deployment.start_log.records().len();
    let jobs: Arc<Vec<PlannedJob>> = Arc::new(plan_jobs(settings, variant.load));
    let tickets = deployment.runtime.block_on(request_tickets(&client, jobs.len())).change_context(CommandError::Call)?;
    let (entry_cpu_before, agent_cpu_before) = (thread_cpu_time("entry-"), thread_cpu_time("agent-"));
    let calls_before = deployment.platform.calls();
    let counters_before = deployment.runtime.block_on(read_counters(&client, &deployment));
    let started_at = Instant::now();
    let callers = spawn_callers(&deployment, &client, &jobs, &tickets, started_at);
    let changes = inject_faults(&mut deployment, &client, settings, &tickets, started_at);
    std::thread::sleep(Duration::from_secs(settings.seconds).saturating_sub(started_at.elapsed()));
    let counters_after = deployment.runtime.block_on(read_counters(&client, &deployment));
    let job_observations: Vec<JobObservation> = deployment.runtime.block_on(join_callers(callers));
    let elapsed = started_at.elapsed();
    let observation = RunObservation {
        started_at,
        elapsed,
        added_latency,
        jobs,
        job_observations,
        changes,
        starts: deployment.start_log.records().split_off(probe_starts),
        counters_after,
        counters_before,
        platform_calls: deployment.platform.calls() - calls_before,
        entry_cpu_time: thread_cpu_time("entry-").saturating_sub(entry_cpu_before),
        agent_cpu_time: thread_cpu_time("agent-").saturating_sub(agent_cpu_before),
        agent_zones: deployment.agent_settings.iter().map(|settings| settings.zone.to_string()).collect(),
    };
    Ok(VariantReport::new(settings, variant, &observation))
}

async fn request_tickets(client: &CallerClient, count: usize) -> Result<Vec<String>, ClientError> {
    let mut tickets = Vec::new();
    while tickets.len() < count {
        // All tickets of one call have the same home. Small batches spread the homes over the entries.
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
) -> Vec<JoinHandle<JobObservation>> {
    let handle = deployment.runtime.handle();
    let spawn = |(index, ticket): (usize, &String)| {
        let (client, jobs, ticket) = (client.clone(), jobs.clone(), ticket.clone());
        handle.spawn(async move { submit_job(&client, &jobs[index], index, &ticket, started_at).await })
    };
    tickets.iter().take(jobs.len()).enumerate().map(spawn).collect()
}

/// Submits the job when it is due, twice if the plan says so, and returns what its caller observed.
async fn submit_job(client: &CallerClient, job: &PlannedJob, index: usize, ticket: &str, started_at: Instant) -> JobObservation {
    let due_at = started_at + job.arrival;
    tokio::time::sleep_until(due_at.into()).await;
    let first = client.submit(ticket, &job.spec);
    let (answer, has_differing_answer, response_time) = if job.is_resubmitted {
        let resubmission = async {
            tokio::time::sleep(RESUBMIT_DELAY).await;
            client.submit(ticket, &job.spec).await
        };
        let (first, second) = tokio::join!(first, resubmission);
        let has_differing_answer = matches!((&first, &second), (Ok(first), Ok(second)) if first != second);
        (first, has_differing_answer, due_at.elapsed())
    } else {
        (first.await, false, due_at.elapsed())
    };
    JobObservation { index, response_time, answer: answer.map_err(error_code), has_differing_answer }
}

fn error_code(error: ClientError) -> String {
    error.code().unwrap_or("unreachable").to_owned()
}

/// Executes the fault schedule, blocking until its last step, and returns the operators' changes.
fn inject_faults(
    deployment: &mut LocalDeployment,
    client: &Arc<CallerClient>,
    settings: &LoadSettings,
    tickets: &[String],
    started_at: Instant,
) -> Vec<ChangeObservation> {
    let mut changes = Vec::new();
    for step in plan_steps(&settings.faults) {
        std::thread::sleep(step.offset.saturating_sub(started_at.elapsed()));
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

async fn join_callers(callers: Vec<JoinHandle<JobObservation>>) -> Vec<JobObservation> {
    let mut observations = Vec::new();
    for caller in callers {
        observations.extend(caller.await.ok());
    }
    observations
}

/// Returns each entry's counters; null for an entry that was killed or did not answer.
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
