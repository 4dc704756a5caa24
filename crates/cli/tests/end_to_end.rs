//! End-to-end tests of real entries and agents over loopback: jobs, resubmission, job names, configuration changes, and the
//! drain and loss of an entry.

use std::time::Duration;

use vanillacleat_cli::deployment::{DeploymentOptions, LocalDeployment, SERVICE};
use vanillacleat_client::{CallerClient, ClientError, ClientOptions};
use vanillacleat_core::api::ChangeRequest;
use vanillacleat_core::config::ConfigEdit;
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::units::{Millis, Revision};
use vanillacleat_standin::{PlatformFaults, TaskScript};

fn start_deployment() -> (LocalDeployment, CallerClient) {
    let deployment = LocalDeployment::start(&DeploymentOptions::default()).unwrap();
    let client = make_client(&deployment, &[0, 1]);
    (deployment, client)
}

fn make_client(deployment: &LocalDeployment, entries: &[usize]) -> CallerClient {
    let entries = entries.iter().map(|index| deployment.entry_addresses[*index]).collect();
    CallerClient::new(ClientOptions { entries, answer_timeout: Duration::from_secs(30), ..ClientOptions::default() })
}

fn make_job(name: &str, tasks: usize, run_ms: u64) -> JobSpec {
    let make_task = |task| {
        let script = TaskScript { id: format!("{name}-{task}"), run_ms, fails: false };
        TaskSpec { payload: script.to_payload(), ..TaskSpec::default() }
    };
    JobSpec {
        service: SERVICE.parse().unwrap(),
        team: "councils".parse().unwrap(),
        deadline_ms: Millis(20_000),
        tasks: (0..tasks).map(make_task).collect(),
    }
}

#[test]
fn resubmitted_job_runs_once() {
    let (deployment, client) = start_deployment();
    deployment.runtime.block_on(async {
        let ticket = client.request_tickets(1).await.unwrap().remove(0);
        let job = make_job("once", 10, 5);
        let first = client.submit_at(deployment.entry_addresses[0], &ticket, &job).await.unwrap();
        let second = client.submit_at(deployment.entry_addresses[1], &ticket, &job).await.unwrap();
        assert_eq!(first.verdict, "complete");
        assert_eq!(first, second);
        assert_eq!(first.outcomes[3].answer.as_deref(), Some("done once-3"));
        let other = client.submit(&ticket, &make_job("other", 10, 5)).await.unwrap_err();
        assert_eq!(other.code(), Some("body-conflict"));
    });
    assert_eq!(deployment.start_log.records().len(), 10);
}

#[test]
fn submissions_with_one_name_share_an_answer() {
    let (deployment, client) = start_deployment();
    deployment.runtime.block_on(async {
        let (name, job) = ("lot-17".parse().unwrap(), make_job("lot", 1, 20));
        let (first, second) = tokio::join!(client.submit_named(&name, &job), client.submit_named(&name, &job));
        assert_eq!(first.unwrap(), second.unwrap());
        deployment.platform.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
        let refused = client.submit_named(&"lot-18".parse().unwrap(), &job).await.unwrap_err();
        assert_eq!(refused.code(), Some("platform-down"));
    });
    assert_eq!(deployment.start_log.records().len(), 1);
}

#[test]
fn failed_task_fails_its_job() {
    let (deployment, client) = start_deployment();
    let mut job = make_job("mixed", 3, 1);
    job.tasks[1].payload = TaskScript { id: "mixed-1".to_owned(), run_ms: 1, fails: true }.to_payload();
    let view = deployment.runtime.block_on(async {
        let ticket = client.request_tickets(1).await.unwrap().remove(0);
        client.submit(&ticket, &job).await.unwrap()
    });
    assert_eq!((view.verdict.as_str(), view.outcomes.len()), ("failed", 3));
    assert_eq!(view.outcomes[1].outcome, "failed");
}

#[test]
fn changes_take_effect_and_persist() {
    let (deployment, client) = start_deployment();
    deployment.runtime.block_on(async {
        let zone = deployment.agent_settings[0].zone.clone();
        let request = |id: &str, based_on, edit| ChangeRequest { id: id.parse().unwrap(), based_on: Revision(based_on), edits: vec![edit] };
        let out = client.change_config(&request("out", 0, ConfigEdit::ZoneOut(zone.clone()))).await.unwrap();
        assert!(out.in_force);
        let again = client.change_config(&request("out", 0, ConfigEdit::ZoneOut(zone.clone()))).await.unwrap();
        assert_eq!(again.revision, out.revision, "the same change has no further effect");
        let stale = client.change_config(&request("stale", 0, ConfigEdit::ZoneIn(zone.clone()))).await.unwrap_err();
        assert!(matches!(&stale, ClientError::Refused(problem) if problem.code == "change-conflict"), "{stale}");
        deployment.platform.clear();
        let other = client.change_config(&request("other", 1, ConfigEdit::UpstreamRetire("elsewhere".parse().unwrap()))).await.unwrap();
        assert!(other.revision > out.revision, "a store that lost the configuration does not revert it");
        assert!(client.read_config().await.unwrap().zones_out.contains(&zone));
        let ticket = client.request_tickets(1).await.unwrap().remove(0);
        client.submit(&ticket, &make_job("rest", 30, 1)).await.unwrap();
        assert!(deployment.start_log.records().iter().all(|start| start.zone != zone.as_str()));
    });
}

#[test]
fn drained_entry_hands_its_jobs_over() {
    let (mut deployment, client) = start_deployment();
    let (first, other) = (make_client(&deployment, &[0]), make_client(&deployment, &[1]));
    let job = make_job("kept", 4, 10);
    let tickets = deployment.runtime.block_on(first.request_tickets(2)).unwrap();
    let view = deployment.runtime.block_on(client.submit(&tickets[0], &job)).unwrap();
    deployment.entries[0].take().unwrap().drain();
    let again = deployment.runtime.block_on(other.submit(&tickets[0], &job)).unwrap();
    assert_eq!(again, view);
    let unused = deployment.runtime.block_on(other.submit(&tickets[1], &make_job("unused", 2, 1))).unwrap();
    assert_eq!(unused.verdict, "complete");
    assert_eq!(deployment.start_log.started_twice(), 0);
}

#[test]
fn jobs_of_lost_entry_are_adopted() {
    let (mut deployment, _) = start_deployment();
    let (first, other) = (make_client(&deployment, &[0]), make_client(&deployment, &[1]));
    let job = make_job("adopted", 4, 10);
    let tickets = deployment.runtime.block_on(first.request_tickets(2)).unwrap();
    let view = deployment.runtime.block_on(first.submit(&tickets[0], &job)).unwrap();
    drop(deployment.entries[0].take());
    let again = deployment.runtime.block_on(other.submit(&tickets[0], &job)).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(again, view, "the answer is rebuilt from the agents' records");
    let unused = deployment.runtime.block_on(other.submit(&tickets[1], &make_job("unused", 2, 1))).unwrap();
    assert_eq!(unused.verdict, "complete");
    assert_eq!(deployment.start_log.started_twice(), 0);
}
