//! Settings files in TOML. Unknown keys and values out of range are errors that name the file and the key.

use std::path::Path;

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use vanillacleat_core::errors::Result as CheckResult;

/// The reason why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings file can't be read, or its content is invalid.
    #[error("the settings can't be used")]
    Settings,
    /// A thread, server or signal handler could not be set up.
    #[error("the process could not start")]
    Start,
}

/// Parses settings from TOML and validates them with `check`.
pub fn parse_settings<T: DeserializeOwned>(text: &str, check: fn(&T) -> CheckResult<()>) -> Result<T, Report<DaemonError>> {
    let settings: T = toml::from_str(text).change_context(DaemonError::Settings)?;
    check(&settings).change_context(DaemonError::Settings)?;
    Ok(settings)
}

/// Reads the settings file at `path` and validates it with `check`.
pub fn load_settings<T: DeserializeOwned>(path: &Path, check: fn(&T) -> CheckResult<()>) -> Result<T, Report<DaemonError>> {
    let text =
        std::fs::read_to_string(path).change_context(DaemonError::Settings).attach_printable_lazy(|| format!("file={}", path.display()))?;
    parse_settings(&text, check).attach_printable_lazy(|| format!("file={}", path.display()))
}
