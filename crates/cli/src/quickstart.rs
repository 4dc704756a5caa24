//! A small deployment that shows and checks the promises.

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

/// Time after an accepted change in which a task may still start in the availability zone.
const ZONE_GRACE: Duration = Duration::from_secs(3);
/// Jobs submitted in each of the three parts.
const JOBS_A_PART: usize = 20;
/// Tasks of each job.
const TASKS: usize = 8;
/// Of this many jobs one is also submitted through another entry.
const RESUBMIT_EVERY: usize = 4;
/// Seed of the task times.
const SEED: u64 = 7;

/// Runs the quickstart; fails if a promise is broken.
pub fn run(hold: bool) -> CommandResult {
    let deployment = LocalDeployment::start(&DeploymentOptions::default())?;
    for (index, address) in deployment.entry_addresses.iter().enumerate() {
        println!("entry={index} http=http://{address}");
    }
    for settings in &deployment.agent_settings {
        println!("agent={} zone={} http=http://{}", settings.id, settings.zone, settings.http_listen);
    }
    let outcome = deployment.runtime.block_on(exercise(&deployment))?;
    print_outcome(&deployment, &outcome);
    if hold {
        println!("state=holding");
        deployment.runtime.block_on(vanillacleat_daemon::wait_for_stop()).change_context(CommandError::Start)?;
    }
    outcome.check(&deployment)
}

/// What the callers and the operator saw.
struct SeenOutcome {
    complete: usize,
    failed: usize,
    differing: usize,
    zone: ZoneName,
    out_from: Instant,
    out_to: Instant,
}

async fn exercise(deployment: &LocalDeployment) -> Result<SeenOutcome, Report<CommandError>> {
    let options = ClientOptions { entries: deployment.entry_addresses.clone(), ..ClientOptions::default() };
    let client = Arc::new(CallerClient::new(options));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let zone = deployment.agent_settings[0].zone.clone();
    let mut views = submit_jobs(deployment, &client, &mut rng, "before").await?;
    let revision = change(&client, "quickstart-out", Revision(0), ConfigEdit::ZoneOut(zone.clone())).await?;
    let accepted_at = Instant::now();
    println!("event=zone_out zone={zone} revision={revision}");
    tokio::time::sleep(ZONE_GRACE).await;
    views.extend(submit_jobs(deployment, &client, &mut rng, "during").await?);
    let out_to = Instant::now();
    let revision = change(&client, "quickstart-in", revision, ConfigEdit::ZoneIn(zone.clone())).await?;
    println!("event=zone_in zone={zone} revision={revision}");
    views.extend(submit_jobs(deployment, &client, &mut rng, "after").await?);
    let complete = views.iter().filter(|(view, _)| view.verdict == "complete").count();
    let differing = views.iter().filter(|(_, is_same)| !is_same).count();
    let failed = views.len() - complete;
    Ok(SeenOutcome { complete, failed, differing, zone, out_from: accepted_at + ZONE_GRACE, out_to })
}

async fn change(client: &CallerClient, id: &str, based_on: Revision, edit: ConfigEdit) -> Result<Revision, Report<CommandError>> {
    let request = ChangeRequest { id: id.parse().expect("the id is valid"), based_on, edits: vec![edit] };
    let outcome = client.change_config(&request).await.change_context(CommandError::Call)?;
    Ok(outcome.revision)
}

/// Submits one part's jobs at once; returns each answer, and whether a resubmission through another entry agreed.
async fn submit_jobs(
    deployment: &LocalDeployment,
    client: &Arc<CallerClient>,
    rng: &mut ChaCha8Rng,
    part: &str,
) -> Result<Vec<(JobView, bool)>, Report<CommandError>> {
    let tickets = client.request_tickets(JOBS_A_PART).await.change_context(CommandError::Call)?;
    let mut waiting = Vec::new();
    for (index, ticket) in tickets.into_iter().enumerate() {
        let spec = make_job(rng, &format!("{part}-{index}"));
        let client = client.clone();
        let entries = deployment.entry_addresses.clone();
        let is_doubled = index % RESUBMIT_EVERY == 0;
        waiting.push(tokio::spawn(async move {
            let first = client.submit_at(entries[0], &ticket, &spec);
            if !is_doubled {
                return first.await.map(|view| (view, true));
            }
            let (first, second) = tokio::join!(first, client.submit_at(entries[1], &ticket, &spec));
            let (first, second) = (first?, second?);
            let is_same = first == second;
            Ok((first, is_same))
        }));
    }
    let mut views = Vec::new();
    for task in waiting {
        let answer = task.await.change_context(CommandError::Call)?;
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
        tasks: (0..TASKS).map(|index| make_task(index, rng.random_range(20..100))).collect(),
    }
}

fn print_outcome(deployment: &LocalDeployment, outcome: &SeenOutcome) {
    let log = &deployment.log;
    println!("answers_differing={}", outcome.differing);
    println!(
        "jobs_complete={} jobs_failed={} tasks_started={} tasks_started_twice={} starts_in_zone_out={}",
        outcome.complete,
        outcome.failed,
        log.records().len(),
        log.started_twice(),
        outcome.starts_in_zone_out(deployment),
    );
}

impl SeenOutcome {
    fn starts_in_zone_out(&self, deployment: &LocalDeployment) -> usize {
        deployment.log.started_in(self.zone.as_str(), self.out_from, self.out_to)
    }

    fn check(&self, deployment: &LocalDeployment) -> CommandResult {
        let twice = deployment.log.started_twice();
        let in_zone_out = self.starts_in_zone_out(deployment);
        let expected = (self.complete + self.failed) * TASKS;
        let started = deployment.log.records().len();
        let is_kept = self.failed == 0 && self.differing == 0 && twice == 0 && in_zone_out == 0 && started == expected;
        if is_kept {
            return Ok(());
        }
        let seen = format!(
            "failed={} differing={} twice={twice} in_zone_out={in_zone_out} started={started} expected={expected}",
            self.failed, self.differing
        );
        Err(Report::new(CommandError::Promise(seen)))
    }
}
