//! Settings files in TOML. Unknown keys and values out of range are refused with the file and the key.

use std::path::Path;

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use vanillacleat_core::errors::Result as CheckResult;

/// Reasons why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings can't be used.
    #[error("the settings can't be used")]
    Settings,
    /// A listening port, thread or server could not be started.
    #[error("the process could not start")]
    Start,
}

/// Returns the settings in `text`, or what is wrong with them.
pub fn parse_settings<T: DeserializeOwned>(text: &str, check: fn(&T) -> CheckResult<()>) -> Result<T, Report<DaemonError>> {
    let settings: T = toml::from_str(text).change_context(DaemonError::Settings)?;
    check(&settings).change_context(DaemonError::Settings)?;
    Ok(settings)
}

/// Returns the settings in the file at `path`, or what is wrong with them.
pub fn load_settings<T: DeserializeOwned>(path: &Path, check: fn(&T) -> CheckResult<()>) -> Result<T, Report<DaemonError>> {
    let text =
        std::fs::read_to_string(path).change_context(DaemonError::Settings).attach_printable_lazy(|| format!("file={}", path.display()))?;
    parse_settings(&text, check).attach_printable_lazy(|| format!("file={}", path.display()))
}
