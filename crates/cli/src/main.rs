//! The `vanillacleat` command-line program.

use std::process::ExitCode;

fn main() -> ExitCode {
    vanillacleat_cli::run()
}
