//! Load experiments: a seeded workload against a local deployment of entries and agents, with scheduled faults.

pub mod cpu_time;
mod driver;
mod faults;
mod makespan;
mod report;
mod settings;
mod single_requests;
mod workload;

use std::path::Path;

use error_stack::{Report, ResultExt};

use crate::operators::{CommandError, CommandResult};

use report::VariantReport;
use settings::LoadSettings;

/// Runs every variant of the experiment in the file `settings` with the same seed and prints a comparison table. Writes
/// the report to the file `report` if it is given. Fails if any variant violated a guarantee.
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
    let violations: u64 = reports.iter().map(VariantReport::violation_count).sum();
    if violations > 0 {
        return Err(Report::new(CommandError::GuaranteeViolated(format!("promises_broken={violations}"))));
    }
    Ok(())
}
