//! An experiment: seeded work over the programs' own code on loopback, with faults on a schedule.

mod driver;
mod faults;
mod ideal;
pub mod process_time;
mod report;
mod settings;
mod single_requests;
mod workload;

use std::path::Path;

use error_stack::{Report, ResultExt};

use crate::operators::{CommandError, CommandResult};

use report::VariantReport;
use settings::LoadSettings;

/// Runs every variant of the settings on the same seed and reports them side by side.
pub fn run(settings: &Path, report: Option<&Path>) -> CommandResult {
    let text = std::fs::read_to_string(settings)
        .change_context(CommandError::File)
        .attach_printable_lazy(|| format!("file={}", settings.display()))?;
    let settings = LoadSettings::parse(&text).map_err(|problem| Report::new(CommandError::File).attach_printable(problem))?;
    let mut reports: Vec<VariantReport> = Vec::new();
    for variant in &settings.variants {
        reports.push(driver::run_variant(&settings, variant)?);
    }
    print!("{}", report::write_table(&reports));
    if let Some(path) = report {
        let text = report::write_toml(&settings, &reports).change_context(CommandError::File)?;
        std::fs::write(path, text).change_context(CommandError::File)?;
    }
    let broken: u64 = reports.iter().map(VariantReport::broken_promises).sum();
    if broken > 0 {
        return Err(Report::new(CommandError::Promise(format!("promises_broken={broken}"))));
    }
    Ok(())
}
