//! The command line of vanillacleat.

mod commands;
mod deployment;
mod load;
mod operators;
mod quickstart;
mod sheet;

use std::process::ExitCode;

use commands::CliCommand;
use vanillacleat_daemon::init_logging;

fn main() -> ExitCode {
    let command = commands::cli_command().run();
    init_logging();
    let outcome = match command {
        CliCommand::Quickstart { hold } => quickstart::run(hold),
        CliCommand::Load { settings, report } => load::run(&settings, report.as_deref()),
        CliCommand::Submit(options) => operators::submit(&options),
        CliCommand::Zone(change) => operators::change_zone(&change),
        CliCommand::Upstream(change) => operators::change_upstream(&change),
        CliCommand::Set(change) => operators::set_quota(&change),
        CliCommand::Apply { target, sheet } => operators::apply_sheet(&target, &sheet),
        CliCommand::Config(show) => operators::show_config(&show),
        CliCommand::Dump { address } => operators::dump(address),
        CliCommand::Check { settings } => operators::check_settings(&settings),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error={report:?}");
            ExitCode::FAILURE
        }
    }
}
