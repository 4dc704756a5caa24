//! The command line of vanillacleat.

use std::process::ExitCode;

fn main() -> ExitCode {
    vanillacleat_cli::run()
}
