//! Commands that call a running deployment.

use std::net::SocketAddr;
use std::path::Path;

use error_stack::{Report, ResultExt};
use vanillacleat_client::{CallerClient, ClientOptions};
use vanillacleat_core::api::{ChangeRequest, JobView};
use vanillacleat_core::config::{ConfigEdit, TeamPolicy};
use vanillacleat_core::job::{JobSpec, TaskSpec};
use vanillacleat_core::settings::{AgentSettings, EntrySettings};
use vanillacleat_core::units::Millis;
use vanillacleat_daemon::{parse_settings, ProcessRuntime};

use crate::commands::{ChangeTarget, ConfigShow, QuotaChange, SubmitOptions, UpstreamChange, ZoneChange};
use crate::sheet::ChangeSet;

/// Reasons why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The deployment refused or did not answer.
    #[error("the call was not carried out")]
    Call,
    /// A file can't be used.
    #[error("the file can't be used")]
    File,
    /// A local deployment could not be started.
    #[error("the deployment could not be started")]
    Start,
    /// A promise was broken.
    #[error("a promise was broken: {0}")]
    Promise(String),
}

/// The result of a command.
pub type CommandResult = Result<(), Report<CommandError>>;

/// Submits a job and prints its answer.
pub fn submit(options: &SubmitOptions) -> CommandResult {
    let tasks = options.payloads.iter().map(|payload| TaskSpec { payload: payload.clone(), ..TaskSpec::default() });
    let spec = JobSpec {
        service: options.service.clone(),
        team: options.team.clone(),
        deadline_ms: Millis(options.deadline_ms),
        tasks: tasks.collect(),
    };
    let client = make_client(&options.entries);
    let view = start_runtime()?.block_on(submit_spec(&client, options, &spec))?;
    println!("verdict={}", view.verdict);
    for (task, outcome) in view.outcomes.iter().enumerate() {
        let text = outcome.answer.as_ref().or(outcome.reason.as_ref());
        println!("task={task} outcome={} text={:?}", outcome.outcome, text.map_or("", String::as_str));
    }
    Ok(())
}

async fn submit_spec(client: &CallerClient, options: &SubmitOptions, spec: &JobSpec) -> Result<JobView, Report<CommandError>> {
    if let Some(name) = &options.name {
        return client.submit_named(name, spec).await.change_context(CommandError::Call);
    }
    let tickets = client.request_tickets(1).await.change_context(CommandError::Call)?;
    client.submit(&tickets[0], spec).await.change_context(CommandError::Call)
}

/// Takes an availability zone out or brings it back.
pub fn change_zone(change: &ZoneChange) -> CommandResult {
    match change.clone() {
        ZoneChange::Out { target, zone } => send_change(&target, vec![ConfigEdit::ZoneOut(zone)]),
        ZoneChange::In { target, zone } => send_change(&target, vec![ConfigEdit::ZoneIn(zone)]),
    }
}

/// Retires an upstream or restores it.
pub fn change_upstream(change: &UpstreamChange) -> CommandResult {
    match change.clone() {
        UpstreamChange::Retire { target, upstream } => send_change(&target, vec![ConfigEdit::UpstreamRetire(upstream)]),
        UpstreamChange::Restore { target, upstream } => send_change(&target, vec![ConfigEdit::UpstreamRestore(upstream)]),
    }
}

/// Sets a team's quota.
pub fn set_quota(change: &QuotaChange) -> CommandResult {
    let policy = TeamPolicy { in_flight: change.in_flight };
    send_change(&change.target, vec![ConfigEdit::TeamSet(change.team.clone(), policy)])
}

/// Applies a sheet.
pub fn apply_sheet(target: &ChangeTarget, path: &Path) -> CommandResult {
    let text =
        std::fs::read_to_string(path).change_context(CommandError::File).attach_printable_lazy(|| format!("file={}", path.display()))?;
    let sheet = ChangeSet::parse(&text).map_err(|problem| Report::new(CommandError::File).attach_printable(problem))?;
    let id = target.id.clone().or_else(|| sheet.id.clone());
    let based_on = target.based_on.or(sheet.based_on);
    send_change(&ChangeTarget { entries: target.entries.clone(), id, based_on }, sheet.edits())
}

fn send_change(target: &ChangeTarget, edits: Vec<ConfigEdit>) -> CommandResult {
    let client = make_client(&target.entries);
    start_runtime()?.block_on(async {
        let based_on = match target.based_on {
            Some(revision) => revision,
            None => client.read_config().await.change_context(CommandError::Call)?.revision,
        };
        let id = target.id.clone().unwrap_or_else(make_change_id);
        let request = ChangeRequest { id, based_on, edits };
        let outcome = client.change_config(&request).await.change_context(CommandError::Call)?;
        let state = if outcome.in_force { "accepted" } else { "stored_not_yet_in_force" };
        println!("change={} state={state} revision={} missing={}", request.id, outcome.revision, outcome.missing.join(","));
        Ok(())
    })
}

fn make_change_id() -> vanillacleat_core::ids::ChangeId {
    format!("change-{:016x}", rand::random::<u64>()).parse().expect("the text is a valid id")
}

/// Prints the configuration in force.
pub fn show_config(show: &ConfigShow) -> CommandResult {
    let ConfigShow::Show { entries } = show;
    let client = make_client(entries);
    let value = start_runtime()?.block_on(client.read_config()).change_context(CommandError::Call)?;
    let text = toml::to_string_pretty(&value).change_context(CommandError::Call)?;
    print!("{text}");
    Ok(())
}

/// Prints the state of an entry or an agent.
pub fn dump(address: SocketAddr) -> CommandResult {
    let client = make_client(&[address]);
    let state = start_runtime()?.block_on(client.read_state(address)).change_context(CommandError::Call)?;
    let text = serde_json::to_string_pretty(&state).change_context(CommandError::Call)?;
    println!("{text}");
    Ok(())
}

/// Checks a settings file; tells which kind of process it is for.
pub fn check_settings(path: &Path) -> CommandResult {
    let text =
        std::fs::read_to_string(path).change_context(CommandError::File).attach_printable_lazy(|| format!("file={}", path.display()))?;
    let is_entry = text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("mesh_listen") || table.contains_key("ticket_secret"));
    let (kind, checked) = if is_entry {
        ("entry", parse_settings(&text, EntrySettings::check).map(drop))
    } else {
        ("agent", parse_settings(&text, AgentSettings::check).map(drop))
    };
    checked.change_context(CommandError::File).attach_printable_lazy(|| format!("file={} kind={kind}", path.display()))?;
    println!("file={} kind={kind} state=valid", path.display());
    Ok(())
}

fn make_client(entries: &[SocketAddr]) -> CallerClient {
    CallerClient::new(ClientOptions { entries: entries.to_vec(), ..ClientOptions::default() })
}

fn start_runtime() -> Result<ProcessRuntime, Report<CommandError>> {
    ProcessRuntime::start("client", 1).change_context(CommandError::Start)
}
