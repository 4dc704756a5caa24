//! Slopes for the capacity page: what idle sessions cost, and what remembered things weigh.

use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use smol_str::SmolStr;
use vanillacleat_control::gate::{StartGate, UpstreamAnnouncement};
use vanillacleat_control::ledger::{JobAdmission, JobKey, JobLedger};
use vanillacleat_core::frames::{TaskOrder, TaskResult, TaskStatus};
use vanillacleat_core::ids::{HomeKey, Incarnation, TaskKey, WorkerKey};
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::outcome::TaskOutcome;
use vanillacleat_core::settings::{FreshnessPolicy, GateSettings};
use vanillacleat_core::units::{ByteCount, Generation, Millis, MonoTime};
use vanillacleat_daemon::render_metrics;

use crate::deployment::{DeploymentOptions, LocalDeployment, SERVICE};
use crate::load::process_time::thread_time;
use crate::operators::{CommandError, CommandResult};

/// Things of each kind that are remembered to weigh one.
const WEIGHED: u64 = 200_000;
/// Bytes of an answer while weighing.
const ANSWER_BYTES: usize = 100;
/// Bytes of a memory page in the kernel's accounting.
const PAGE_BYTES: u64 = 4_096;

/// Measures the idle cost of `agents` agents at `entries` entries over `seconds`, then weighs what is remembered.
pub fn run(agents: usize, entries: usize, seconds: u64) -> CommandResult {
    weigh_started_tasks();
    weigh_jobs();
    measure_idle(agents, entries, Duration::from_secs(seconds))
}

fn measure_idle(agents: usize, entries: usize, span: Duration) -> CommandResult {
    let memory = resident_bytes();
    let deployment = LocalDeployment::start(&DeploymentOptions { agents, entries, ..DeploymentOptions::default() })?;
    let grown = resident_bytes().saturating_sub(memory);
    let sessions = (agents * entries) as f64;
    let before = IdleCost::read(&deployment);
    std::thread::sleep(span);
    let cost = IdleCost::read(&deployment);
    let seconds = span.as_secs_f64();
    let entry_time = (cost.entry_time - before.entry_time).as_secs_f64() / seconds / entries as f64;
    let agent_time = (cost.agent_time - before.agent_time).as_secs_f64() / seconds / agents as f64;
    println!("agents={agents} entries={entries} seconds={}", span.as_secs());
    println!("idle_entry_core_percent={:.3} idle_agent_core_percent={:.3}", entry_time * 100.0, agent_time * 100.0);
    println!("idle_frame_bytes_per_session_second={:.1}", (cost.frame_bytes - before.frame_bytes) / seconds / sessions);
    println!("idle_frames_per_session_second={:.2}", (cost.frames - before.frames) / seconds / sessions);
    println!("idle_platform_calls_per_entry_second={:.2}", (cost.platform_calls - before.platform_calls) as f64 / seconds / entries as f64);
    println!("resident_kb_per_process={:.0}", grown as f64 / 1_024.0 / (agents * 2 + entries) as f64);
    measure_change(&deployment)
}

/// Times one change until every process holds it.
fn measure_change(deployment: &LocalDeployment) -> CommandResult {
    let options = vanillacleat_client::ClientOptions { entries: deployment.entry_addresses.clone(), ..Default::default() };
    let client = vanillacleat_client::CallerClient::new(options);
    let started_at = std::time::Instant::now();
    deployment.runtime.block_on(async {
        let edit = vanillacleat_core::config::ConfigEdit::ZoneOut("elsewhere".parse().expect("the name is valid"));
        let id = "measured".parse().expect("the name is valid");
        let request = vanillacleat_core::api::ChangeRequest { id, based_on: Default::default(), edits: vec![edit] };
        let outcome = client.change_config(&request).await.change_context(CommandError::Call)?;
        println!("change_accepted_ms={} in_force={}", started_at.elapsed().as_millis(), outcome.in_force);
        while !holds_everywhere(&client, deployment, outcome.revision.0).await? {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        println!("change_everywhere_ms={}", started_at.elapsed().as_millis());
        Ok(())
    })
}

async fn holds_everywhere(
    client: &vanillacleat_client::CallerClient,
    deployment: &LocalDeployment,
    revision: u64,
) -> Result<bool, Report<CommandError>> {
    for settings in &deployment.agent_settings {
        let state = client.read_state(settings.http_listen).await.change_context(CommandError::Call)?;
        if state["config"]["revision"].as_u64() != Some(revision) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// An `IdleCost` is what a deployment has used so far.
struct IdleCost {
    entry_time: Duration,
    agent_time: Duration,
    frame_bytes: f64,
    frames: f64,
    platform_calls: u64,
}

impl IdleCost {
    fn read(deployment: &LocalDeployment) -> Self {
        let page = render_metrics();
        Self {
            entry_time: thread_time("entry-"),
            agent_time: thread_time("agent-"),
            frame_bytes: read_counter(&page, "wire_bytes_sent_total"),
            frames: read_counter(&page, "wire_frames_sent_total"),
            platform_calls: deployment.platform.calls(),
        }
    }
}

fn read_counter(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn make_home() -> HomeKey {
    HomeKey { entry: "entry-0".parse().expect("the name is valid"), incarnation: Incarnation(1) }
}

fn weigh_started_tasks() {
    let settings = GateSettings { freshness: FreshnessPolicy::Open, answer_bytes: ByteCount(1_000_000_000), ..GateSettings::default() };
    let mut gate = StartGate::new("burgos".parse().expect("the name is valid"), settings);
    let notice = UpstreamAnnouncement {
        upstream: "upstream-0".parse().expect("the name is valid"),
        service: SERVICE.parse().expect("the name is valid"),
        address: SmolStr::new_static("127.0.0.1:1"),
        slots: 8,
        connections: 8,
    };
    gate.upstreams().announce(MonoTime::ZERO, notice);
    let weigh = |gate: &mut StartGate, first: u64, bytes: usize| {
        let memory = resident_bytes();
        (first..first + WEIGHED).for_each(|serial| run_task(gate, serial, bytes));
        resident_bytes().saturating_sub(memory) as f64 / WEIGHED as f64
    };
    println!("agent_bytes_per_started_task={:.0}", weigh(&mut gate, 0, 0));
    println!("agent_bytes_per_started_task_with_{ANSWER_BYTES}_byte_answer={:.0}", weigh(&mut gate, WEIGHED, ANSWER_BYTES));
}

fn run_task(gate: &mut StartGate, serial: u64, bytes: usize) {
    let key = TaskKey { home: make_home(), serial, task: 0 };
    let service = SERVICE.parse().expect("the name is valid");
    let order = TaskOrder { key, attempt: 1, service, left_ms: Millis(10_000), payload: String::new() };
    gate.admit(MonoTime::ZERO, Generation(0), order);
    for start in gate.start_ready(MonoTime::ZERO) {
        gate.finish(&start.key, &start.upstream, TaskOutcome::Done("x".repeat(bytes)), Duration::ZERO);
    }
}

fn weigh_jobs() {
    let mut ledger = JobLedger::new(usize::MAX);
    ledger.own(make_home(), Generation(0), None);
    let memory = resident_bytes();
    (0..WEIGHED).for_each(|serial| accept_job(&mut ledger, serial));
    println!("entry_bytes_per_queued_task={:.0}", resident_bytes().saturating_sub(memory) as f64 / WEIGHED as f64);
    let worker = WorkerKey { agent: "agent-0".parse().expect("the name is valid"), incarnation: Incarnation(1) };
    for serial in 0..WEIGHED {
        let key = TaskKey { home: make_home(), serial, task: 0 };
        let Some(attempt) = ledger.mark_sent(&key, &worker) else {
            continue;
        };
        let status = TaskStatus::Ended(TaskOutcome::Done("x".repeat(ANSWER_BYTES)));
        ledger.report(MonoTime::ZERO, &worker, TaskResult { key, attempt, status, run_ms: Millis(1) });
    }
    println!(
        "entry_bytes_per_answered_job_with_{ANSWER_BYTES}_byte_answer={:.0}",
        resident_bytes().saturating_sub(memory) as f64 / WEIGHED as f64
    );
}

fn accept_job(ledger: &mut JobLedger, serial: u64) {
    let spec = JobSpec {
        service: SERVICE.parse().expect("the name is valid"),
        team: "councils".parse().expect("the name is valid"),
        deadline_ms: Millis(10_000),
        tasks: vec![TaskSpec::default()],
    };
    let digest = spec.digest();
    let job_key = JobKey { home: make_home(), serial };
    let deadline = MonoTime::from_millis(10_000);
    let admission = JobAdmission { job_key, spec: Arc::new(spec), digest, deadline, rank: serial, waiter: None, is_private: false };
    ledger.accept(MonoTime::ZERO, admission);
}
