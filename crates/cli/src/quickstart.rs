//! Submits jobs to a small local deployment while an availability zone is taken out of service and brought back, and checks
//! the system's guarantees against the callers' answers and the upstreams' own records.

use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use vanillacleat_client::{CallerClient, ClientOptions};
use vanillacleat_core::api::{ChangeRequest, JobView};
use vanillacleat_core::config::ConfigEdit;
use vanillacleat_core::ids::ZoneName;
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::units::{Millis, Revision};
use vanillacleat_standin::TaskScript;

use crate::deployment::{DeploymentOptions, LocalDeployment, SERVICE};
use crate::operators::{CommandError, CommandResult};

/// Time after the acceptance of a change that takes a zone out of service during which tasks may still start in that zone.
const ZONE_GRACE: Duration = Duration::from_secs(3);
/// Number of jobs submitted in each phase: before, during and after the removal of the availability zone.
const JOBS_PER_PHASE: usize = 20;
/// Number of tasks of each job.
const TASKS_PER_JOB: usize = 8;
/// One of this many jobs is submitted a second time, through another entry.
const RESUBMIT_INTERVAL: usize = 4;
/// Seed of the tasks' run times.
const SEED: u64 = 7;

/// Runs the quickstart and prints its results; fails if a guarantee was violated. With `hold`, the deployment keeps
/// running until the process receives a stop signal.
pub fn run(hold: bool) -> CommandResult {
    let deployment = LocalDeployment::start(&DeploymentOptions::default())?;
    for (index, address) in deployment.entry_addresses.iter().enumerate() {
        println!("entry={index} http=http://{address}");
    }
    for settings in &deployment.agent_settings {
        println!("agent={} zone={} http=http://{}", settings.id, settings.zone, settings.http_listen);
    }
    let outcome = deployment.runtime.block_on(run_phases(&deployment))?;
    print_outcome(&deployment, &outcome);
    if hold {
        println!("state=holding");
        deployment.runtime.block_on(vanillacleat_daemon::wait_for_stop_signal()).change_context(CommandError::Start)?;
    }
    outcome.check(&deployment)
}

/// The results as the callers and the operator observed them.
struct QuickstartOutcome {
    complete: usize,
    failed: usize,
    /// Number of jobs whose two submissions received different answers.
    differing: usize,
    /// The availability zone that was taken out of service.
    zone: ZoneName,
    /// Start of the period in which no task may start in `zone`.
    out_from: Instant,
    /// End of that period.
    out_to: Instant,
}

/// Submits jobs before, during and after the removal of an availability zone.
async fn run_phases(deployment: &LocalDeployment) -> Result<QuickstartOutcome, Report<CommandError>> {
    let options = ClientOptions { entries: deployment.entry_addresses.clone(), ..ClientOptions::default() };
    let client = Arc::new(CallerClient::new(options));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let zone = deployment.agent_settings[0].zone.clone();
    let mut views = submit_jobs(deployment, &client, &mut rng, "before").await?;
    let revision = apply_change(&client, "quickstart-out", Revision(0), ConfigEdit::ZoneOut(zone.clone())).await?;
    let accepted_at = Instant::now();
    println!("event=zone_out zone={zone} revision={revision}");
    tokio::time::sleep(ZONE_GRACE).await;
    views.extend(submit_jobs(deployment, &client, &mut rng, "during").await?);
    let out_to = Instant::now();
    let revision = apply_change(&client, "quickstart-in", revision, ConfigEdit::ZoneIn(zone.clone())).await?;
    println!("event=zone_in zone={zone} revision={revision}");
    views.extend(submit_jobs(deployment, &client, &mut rng, "after").await?);
    let complete = views.iter().filter(|(view, _)| view.verdict == "complete").count();
    let differing = views.iter().filter(|(_, is_same)| !is_same).count();
    let failed = views.len() - complete;
    Ok(QuickstartOutcome { complete, failed, differing, zone, out_from: accepted_at + ZONE_GRACE, out_to })
}

/// Applies one edit and returns the revision that contains it.
async fn apply_change(client: &CallerClient, id: &str, based_on: Revision, edit: ConfigEdit) -> Result<Revision, Report<CommandError>> {
    let request = ChangeRequest { id: id.parse().expect("the id is valid"), based_on, edits: vec![edit] };
    let outcome = client.change_config(&request).await.change_context(CommandError::Call)?;
    Ok(outcome.revision)
}

/// Submits the jobs of one phase concurrently. Returns each answer, and whether a second submission through another entry
/// received the same answer; true for jobs that are submitted once.
async fn submit_jobs(
    deployment: &LocalDeployment,
    client: &Arc<CallerClient>,
    rng: &mut ChaCha8Rng,
    phase: &str,
) -> Result<Vec<(JobView, bool)>, Report<CommandError>> {
    let tickets = client.request_tickets(JOBS_PER_PHASE).await.change_context(CommandError::Call)?;
    let mut submissions = Vec::new();
    for (index, ticket) in tickets.into_iter().enumerate() {
        let spec = make_job(rng, &format!("{phase}-{index}"));
        let client = client.clone();
        let entries = deployment.entry_addresses.clone();
        let is_resubmitted = index % RESUBMIT_INTERVAL == 0;
        submissions.push(tokio::spawn(async move {
            let first = client.submit_at(entries[0], &ticket, &spec);
            if !is_resubmitted {
                return first.await.map(|view| (view, true));
            }
            let (first, second) = tokio::join!(first, client.submit_at(entries[1], &ticket, &spec));
            let (first, second) = (first?, second?);
            let is_same = first == second;
            Ok((first, is_same))
        }));
    }
    let mut views = Vec::new();
    for submission in submissions {
        let answer = submission.await.change_context(CommandError::Call)?;
        views.push(answer.change_context(CommandError::Call)?);
    }
    Ok(views)
}

fn make_job(rng: &mut ChaCha8Rng, name: &str) -> JobSpec {
    let make_task = |index: usize, run_ms: u64| {
        let script = TaskScript { id: format!("{name}-{index}"), run_ms, fails: false };
        TaskSpec { payload: script.to_payload(), declared_ms: Some(Millis(run_ms)), ..TaskSpec::default() }
    };
    JobSpec {
        service: SERVICE.parse().expect("the name is valid"),
        team: "municipalities".parse().expect("the name is valid"),
        deadline_ms: Millis(20_000),
        tasks: (0..TASKS_PER_JOB).map(|index| make_task(index, rng.random_range(20..100))).collect(),
    }
}

fn print_outcome(deployment: &LocalDeployment, outcome: &QuickstartOutcome) {
    let start_log = &deployment.start_log;
    println!("answers_differing={}", outcome.differing);
    println!(
        "jobs_complete={} jobs_failed={} tasks_started={} tasks_started_twice={} starts_in_zone_out={}",
        outcome.complete,
        outcome.failed,
        start_log.records().len(),
        start_log.started_twice(),
        outcome.starts_in_zone_out(deployment),
    );
}

impl QuickstartOutcome {
    fn starts_in_zone_out(&self, deployment: &LocalDeployment) -> usize {
        deployment.start_log.started_in(self.zone.as_str(), self.out_from, self.out_to)
    }

    fn check(&self, deployment: &LocalDeployment) -> CommandResult {
        let twice = deployment.start_log.started_twice();
        let in_zone_out = self.starts_in_zone_out(deployment);
        let expected = (self.complete + self.failed) * TASKS_PER_JOB;
        let started = deployment.start_log.records().len();
        let guarantees_hold = self.failed == 0 && self.differing == 0 && twice == 0 && in_zone_out == 0 && started == expected;
        if guarantees_hold {
            return Ok(());
        }
        let counts = format!(
            "failed={} differing={} twice={twice} in_zone_out={in_zone_out} started={started} expected={expected}",
            self.failed, self.differing
        );
        Err(Report::new(CommandError::GuaranteeViolated(counts)))
    }
}
