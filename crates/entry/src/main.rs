//! The program of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use vanillacleat_core::settings::EntrySettings;
use vanillacleat_daemon::{finish_logging, follow_reloads, init_logging, load_settings, DaemonError, ReloadFlag, StopSignal};
use vanillacleat_entry::EntryDaemon;

/// Runs an entry.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct EntryCommand {
    /// Settings file in TOML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn run(command: &EntryCommand) -> Result<(), Report<DaemonError>> {
    let stop = StopSignal::install().change_context(DaemonError::Start)?;
    let reload = ReloadFlag::install().change_context(DaemonError::Start)?;
    let settings = load_settings(&command.settings, EntrySettings::check)?;
    let daemon = EntryDaemon::start(&settings)?;
    let reloads = follow_reloads(reload, command.settings.clone(), settings, EntrySettings::check, |_| Vec::new());
    daemon.runtime_handle().spawn(reloads);
    daemon.run(stop);
    Ok(())
}

fn main() -> ExitCode {
    let command = entry_command().run();
    init_logging();
    let code = match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("event=entry_failed cause={report:?}");
            ExitCode::FAILURE
        }
    };
    finish_logging();
    code
}
