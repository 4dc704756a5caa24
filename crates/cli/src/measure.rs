//! Measures the unit costs for capacity planning: CPU time, network traffic and memory of idle sessions, the propagation time
//! of a configuration change, and the memory of each retained task and job.

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
use crate::load::cpu_time::thread_cpu_time;
use crate::operators::{CommandError, CommandResult};

/// Number of tasks or jobs over which the memory of one is averaged.
const SAMPLE_COUNT: u64 = 200_000;
/// Size of a task's answer in the measurements with answers.
const ANSWER_BYTES: usize = 100;
/// Size of a memory page, in which `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

/// Measures the memory of retained tasks and jobs, then the resource usage of an idle deployment of `agents` agents and
/// `entries` entries over `seconds`, and prints the results.
pub fn run(agents: usize, entries: usize, seconds: u64) -> CommandResult {
    measure_task_memory();
    measure_job_memory();
    measure_idle(agents, entries, Duration::from_secs(seconds))
}

/// Measures the resource usage of an idle deployment, per process and per session. There is a session between each agent and
/// each entry.
fn measure_idle(agents: usize, entries: usize, duration: Duration) -> CommandResult {
    let memory_before = resident_bytes();
    let deployment = LocalDeployment::start(&DeploymentOptions { agents, entries, ..DeploymentOptions::default() })?;
    let memory_growth = resident_bytes().saturating_sub(memory_before);
    let sessions = (agents * entries) as f64;
    let before = ResourceUsage::read(&deployment);
    std::thread::sleep(duration);
    let usage = ResourceUsage::read(&deployment);
    let seconds = duration.as_secs_f64();
    let entry_cores = (usage.entry_cpu_time - before.entry_cpu_time).as_secs_f64() / seconds / entries as f64;
    let agent_cores = (usage.agent_cpu_time - before.agent_cpu_time).as_secs_f64() / seconds / agents as f64;
    println!("agents={agents} entries={entries} seconds={}", duration.as_secs());
    println!("idle_entry_core_percent={:.3} idle_agent_core_percent={:.3}", entry_cores * 100.0, agent_cores * 100.0);
    println!("idle_frame_bytes_per_session_second={:.1}", (usage.frame_bytes - before.frame_bytes) / seconds / sessions);
    println!("idle_frames_per_session_second={:.2}", (usage.frames - before.frames) / seconds / sessions);
    println!(
        "idle_platform_calls_per_entry_second={:.2}",
        (usage.platform_calls - before.platform_calls) as f64 / seconds / entries as f64
    );
    // Each agent's upstream counts as a process of its own.
    println!("resident_kb_per_process={:.0}", memory_growth as f64 / 1_024.0 / (agents * 2 + entries) as f64);
    measure_propagation(&deployment)
}

/// Measures the time from the submission of one change until it is in force at every agent.
fn measure_propagation(deployment: &LocalDeployment) -> CommandResult {
    let options = vanillacleat_client::ClientOptions { entries: deployment.entry_addresses.clone(), ..Default::default() };
    let client = vanillacleat_client::CallerClient::new(options);
    let started_at = std::time::Instant::now();
    deployment.runtime.block_on(async {
        let edit = vanillacleat_core::config::ConfigEdit::ZoneOut("elsewhere".parse().expect("the name is valid"));
        let id = "measured".parse().expect("the name is valid");
        let request = vanillacleat_core::api::ChangeRequest { id, based_on: Default::default(), edits: vec![edit] };
        let outcome = client.change_config(&request).await.change_context(CommandError::Call)?;
        println!("change_accepted_ms={} in_force={}", started_at.elapsed().as_millis(), outcome.in_force);
        while !is_in_force_everywhere(&client, deployment, outcome.revision.0).await? {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        println!("change_everywhere_ms={}", started_at.elapsed().as_millis());
        Ok(())
    })
}

/// Returns whether every agent has the configuration with this revision.
async fn is_in_force_everywhere(
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

/// The resources that a deployment has used so far.
struct ResourceUsage {
    entry_cpu_time: Duration,
    agent_cpu_time: Duration,
    frame_bytes: f64,
    frames: f64,
    platform_calls: u64,
}

impl ResourceUsage {
    fn read(deployment: &LocalDeployment) -> Self {
        let metrics = render_metrics();
        Self {
            entry_cpu_time: thread_cpu_time("entry-"),
            agent_cpu_time: thread_cpu_time("agent-"),
            frame_bytes: read_counter(&metrics, "wire_bytes_sent_total"),
            frames: read_counter(&metrics, "wire_frames_sent_total"),
            platform_calls: deployment.platform.calls(),
        }
    }
}

/// Returns the value of the first metric whose name starts with `name`; zero if there is none.
fn read_counter(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// Returns the resident set size of this process.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn make_home() -> HomeKey {
    HomeKey { entry: "entry-0".parse().expect("the name is valid"), incarnation: Incarnation(1) }
}

/// Measures the memory that a start gate needs for each retained task, without and with an answer.
fn measure_task_memory() {
    let settings = GateSettings { freshness: FreshnessPolicy::Open, answer_bytes: ByteCount(1_000_000_000), ..GateSettings::default() };
    let mut gate = StartGate::new("burgos".parse().expect("the name is valid"), settings);
    let announcement = UpstreamAnnouncement {
        upstream: "upstream-0".parse().expect("the name is valid"),
        service: SERVICE.parse().expect("the name is valid"),
        address: SmolStr::new_static("127.0.0.1:1"),
        slots: 8,
        connections: 8,
    };
    gate.upstreams().record_announcement(MonoTime::ZERO, announcement);
    let bytes_per_task = |gate: &mut StartGate, first: u64, answer_bytes: usize| {
        let memory_before = resident_bytes();
        (first..first + SAMPLE_COUNT).for_each(|serial| run_dummy_task(gate, serial, answer_bytes));
        resident_bytes().saturating_sub(memory_before) as f64 / SAMPLE_COUNT as f64
    };
    println!("agent_bytes_per_started_task={:.0}", bytes_per_task(&mut gate, 0, 0));
    println!("agent_bytes_per_started_task_with_{ANSWER_BYTES}_byte_answer={:.0}", bytes_per_task(&mut gate, SAMPLE_COUNT, ANSWER_BYTES));
}

/// Admits, starts and ends one task with an answer of `answer_bytes` bytes.
fn run_dummy_task(gate: &mut StartGate, serial: u64, answer_bytes: usize) {
    let key = TaskKey { home: make_home(), serial, task: 0 };
    let service = SERVICE.parse().expect("the name is valid");
    let order = TaskOrder { key, attempt: 1, service, left_ms: Millis(10_000), payload: String::new() };
    gate.admit(MonoTime::ZERO, Generation(0), order);
    for start in gate.start_ready(MonoTime::ZERO) {
        gate.finish(&start.key, &start.upstream, TaskOutcome::Done("x".repeat(answer_bytes)), Duration::ZERO);
    }
}

/// Measures the memory that a ledger needs for each retained job of one task, before and after its answer.
fn measure_job_memory() {
    let mut ledger = JobLedger::new(usize::MAX);
    ledger.take_ownership(make_home(), Generation(0), None);
    let memory_before = resident_bytes();
    (0..SAMPLE_COUNT).for_each(|serial| accept_dummy_job(&mut ledger, serial));
    println!("entry_bytes_per_queued_task={:.0}", resident_bytes().saturating_sub(memory_before) as f64 / SAMPLE_COUNT as f64);
    let worker = WorkerKey { agent: "agent-0".parse().expect("the name is valid"), incarnation: Incarnation(1) };
    for serial in 0..SAMPLE_COUNT {
        let key = TaskKey { home: make_home(), serial, task: 0 };
        let Some(attempt) = ledger.mark_sent(&key, &worker) else {
            continue;
        };
        let status = TaskStatus::Ended(TaskOutcome::Done("x".repeat(ANSWER_BYTES)));
        ledger.record_result(MonoTime::ZERO, &worker, TaskResult { key, attempt, status, run_ms: Millis(1) });
    }
    println!(
        "entry_bytes_per_answered_job_with_{ANSWER_BYTES}_byte_answer={:.0}",
        resident_bytes().saturating_sub(memory_before) as f64 / SAMPLE_COUNT as f64
    );
}

/// Accepts a job of one task.
fn accept_dummy_job(ledger: &mut JobLedger, serial: u64) {
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
