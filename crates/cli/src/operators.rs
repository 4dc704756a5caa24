//! Commands for callers and operators of a running deployment.

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

use crate::change_set::ChangeSet;
use crate::commands::{ChangeTarget, ConfigShow, QuotaChange, SubmitOptions, UpstreamChange, ZoneChange};

/// The reasons why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The deployment refused the call or did not answer.
    #[error("the call to the deployment failed")]
    Call,
    /// A file could not be read or written, or its content is invalid.
    #[error("the file could not be read or written, or its content is invalid")]
    File,
    /// A local deployment could not be started.
    #[error("the deployment could not be started")]
    Start,
    /// A local deployment violated a guarantee; the text holds the counts.
    #[error("a guarantee was violated: {0}")]
    GuaranteeViolated(String),
}

/// The result of a command.
pub type CommandResult = Result<(), Report<CommandError>>;

/// Submits a job, waits for its answer and prints it.
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

/// Takes an availability zone out of service or brings it back into service.
pub fn change_zone(change: &ZoneChange) -> CommandResult {
    match change.clone() {
        ZoneChange::Out { target, zone } => send_change(&target, vec![ConfigEdit::ZoneOut(zone)]),
        ZoneChange::In { target, zone } => send_change(&target, vec![ConfigEdit::ZoneIn(zone)]),
    }
}

/// Retires or restores an upstream.
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

/// Applies the change set in the file at `path`. The id and the revision of `target` take precedence over the file's.
pub fn apply_change_set(target: &ChangeTarget, path: &Path) -> CommandResult {
    let text =
        std::fs::read_to_string(path).change_context(CommandError::File).attach_printable_lazy(|| format!("file={}", path.display()))?;
    let change_set = ChangeSet::parse(&text).map_err(|problem| Report::new(CommandError::File).attach_printable(problem))?;
    let id = target.id.clone().or_else(|| change_set.id.clone());
    let based_on = target.based_on.or(change_set.based_on);
    send_change(&ChangeTarget { entries: target.entries.clone(), id, based_on }, change_set.edits())
}

/// Sends the edits as one change and prints its outcome. Without a given revision, the change is based on the one in force;
/// without a given id, it gets a random one.
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

/// Prints the configuration in force as TOML.
pub fn show_config(show: &ConfigShow) -> CommandResult {
    let ConfigShow::Show { entries } = show;
    let client = make_client(entries);
    let value = start_runtime()?.block_on(client.read_config()).change_context(CommandError::Call)?;
    let text = toml::to_string_pretty(&value).change_context(CommandError::Call)?;
    print!("{text}");
    Ok(())
}

/// Prints the state of the entry or agent at `address` as JSON.
pub fn dump(address: SocketAddr) -> CommandResult {
    let client = make_client(&[address]);
    let state = start_runtime()?.block_on(client.read_state(address)).change_context(CommandError::Call)?;
    let text = serde_json::to_string_pretty(&state).change_context(CommandError::Call)?;
    println!("{text}");
    Ok(())
}

/// Checks a settings file and prints which kind of process it is for. A file with a key that only entries have is taken as
/// an entry's, any other as an agent's.
pub fn check_settings(path: &Path) -> CommandResult {
    let text =
        std::fs::read_to_string(path).change_context(CommandError::File).attach_printable_lazy(|| format!("file={}", path.display()))?;
    let is_entry = text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("mesh_listen") || table.contains_key("ticket_secret"));
    let (kind, check_result) = if is_entry {
        ("entry", parse_settings(&text, EntrySettings::check).map(drop))
    } else {
        ("agent", parse_settings(&text, AgentSettings::check).map(drop))
    };
    check_result.change_context(CommandError::File).attach_printable_lazy(|| format!("file={} kind={kind}", path.display()))?;
    println!("file={} kind={kind} state=valid", path.display());
    Ok(())
}

fn make_client(entries: &[SocketAddr]) -> CallerClient {
    CallerClient::new(ClientOptions { entries: entries.to_vec(), ..ClientOptions::default() })
}

fn start_runtime() -> Result<ProcessRuntime, Report<CommandError>> {
    ProcessRuntime::start("client", 1).change_context(CommandError::Start)
}
