//! Reload of the settings file on SIGHUP. Settings that can't change in a running process keep their values. The log states
//! for each changed setting whether it was applied.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use signal_hook::consts::SIGHUP;
use vanillacleat_core::errors::Result as CheckResult;

use crate::settings_file::load_settings;

/// Interval at which the flag is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A flag that is set by SIGHUP. Once it is installed, that signal does not terminate the process.
#[derive(Clone, Debug)]
pub struct ReloadFlag {
    is_set: Arc<AtomicBool>,
}

impl ReloadFlag {
    /// Installs the signal handler. Call it as early as possible: until then, a SIGHUP terminates the process.
    pub fn install() -> std::io::Result<Self> {
        let is_set = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, is_set.clone())?;
        Ok(Self { is_set })
    }

    /// Returns whether the signal was received since the last call.
    pub fn take(&self) -> bool {
        self.is_set.swap(false, Ordering::Relaxed)
    }
}

/// A key whose value differs between two versions of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange {
    /// The full key, in dotted form.
    pub key: String,
    /// The old value, if there was one.
    pub before: Option<toml::Value>,
    /// The new value, if there is one.
    pub now: Option<toml::Value>,
}

/// Returns the keys whose values differ, sorted by key.
pub fn diff_settings<T: Serialize>(before: &T, now: &T) -> Vec<SettingChange> {
    let to_value = |settings: &T| toml::Value::try_from(settings).ok();
    let mut changes = Vec::new();
    collect_changes("", to_value(before), to_value(now), &mut changes);
    changes
}

fn collect_changes(key: &str, before: Option<toml::Value>, now: Option<toml::Value>, changes: &mut Vec<SettingChange>) {
    if before == now {
        return;
    }
    if let (Some(toml::Value::Table(before)), Some(toml::Value::Table(now))) = (&before, &now) {
        let mut names: Vec<&String> = before.keys().chain(now.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let full_key = if key.is_empty() { name.clone() } else { format!("{key}.{name}") };
            collect_changes(&full_key, before.get(name).cloned(), now.get(name).cloned(), changes);
        }
        return;
    }
    changes.push(SettingChange { key: key.to_owned(), before, now });
}

/// Reloads the settings whenever `flag` is set and passes valid ones to `apply`, which returns the prefixes of the keys that
/// took effect. An invalid file is logged and changes nothing.
pub async fn follow_reloads<T: Serialize + DeserializeOwned>(
    flag: ReloadFlag,
    path: PathBuf,
    mut current: T,
    check: fn(&T) -> CheckResult<()>,
    apply: impl Fn(&T) -> Vec<&'static str>,
) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !flag.take() {
            continue;
        }
        let settings = match load_settings(&path, check) {
            Ok(settings) => settings,
            Err(report) => {
                log::error!("event=reload_failed file={} cause={report:?}", path.display());
                continue;
            }
        };
        let changes = diff_settings(&current, &settings);
        log::info!("event=reload file={} changes={}", path.display(), changes.len());
        let applied = apply(&settings);
        for SettingChange { key, before, now } in changes {
            let is_applied = applied.iter().any(|prefix| key.starts_with(prefix));
            log::info!("event=setting_changed key={key} before={before:?} now={now:?} applied={is_applied}");
        }
        current = settings;
    }
}
