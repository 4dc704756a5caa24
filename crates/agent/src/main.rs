//! The program of the agent daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use vanillacleat_agent::AgentDaemon;
use vanillacleat_core::settings::AgentSettings;
use vanillacleat_daemon::{finish_logging, follow_reloads, init_logging, load_settings, DaemonError, ReloadFlag, StopSignal};

/// Runs an agent beside the upstreams of a host.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct AgentCommand {
    /// Settings file in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn run(command: &AgentCommand) -> Result<(), Report<DaemonError>> {
    let stop = StopSignal::install().change_context(DaemonError::Start)?;
    let reload = ReloadFlag::install().change_context(DaemonError::Start)?;
    let settings = load_settings(&command.settings, AgentSettings::check)?;
    let daemon = AgentDaemon::start(&settings)?;
    let reloads = follow_reloads(reload, command.settings.clone(), settings, AgentSettings::check, |_| Vec::new());
    daemon.runtime_handle().spawn(reloads);
    daemon.run(stop);
    Ok(())
}

fn main() -> ExitCode {
    let command = agent_command().run();
    init_logging();
    let code = match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("event=agent_failed cause={report:?}");
            ExitCode::FAILURE
        }
    };
    finish_logging();
    code
}
