//! The `vanillacleat` command-line program as a library, so that its parts can be tested and embedded.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod causes;
pub mod change_set;
pub mod commands;
pub mod deployment;
pub mod explain;
pub mod load;
pub mod measure;
pub mod operators;
pub mod quickstart;

use std::process::ExitCode;

use commands::{cli_command, CliCommand};
use vanillacleat_daemon::init_command_logging;

/// Parses the command line, runs the command and returns the exit code of the process.
pub fn run() -> ExitCode {
    let command = cli_command().run();
    init_command_logging();
    let outcome = match command {
        CliCommand::Quickstart { hold } => quickstart::run(hold),
        CliCommand::Load { settings, report } => load::run(&settings, report.as_deref()),
        CliCommand::Measure { agents, entries, seconds } => measure::run(agents, entries, seconds),
        CliCommand::Submit(options) => operators::submit(&options),
        CliCommand::Zone(change) => operators::change_zone(&change),
        CliCommand::Upstream(change) => operators::change_upstream(&change),
        CliCommand::Set(change) => operators::set_quota(&change),
        CliCommand::Apply { target, change_set } => operators::apply_change_set(&target, &change_set),
        CliCommand::Config(show) => operators::show_config(&show),
        CliCommand::Dump { address } => operators::dump(address),
        CliCommand::Explain { id, files } => explain::explain(&id, &files),
        CliCommand::Causes { files } => causes::print_causes(&files),
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
