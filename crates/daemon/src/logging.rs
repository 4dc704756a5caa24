//! Logs: one line of key=value pairs for each event, on standard error.

use std::io::Write;

use env_logger::{Builder, Env};

/// Starts logging at the level of `RUST_LOG`, or at `info`. A second call has no effect.
pub fn init_logging() {
    let format = |buffer: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(buffer, "unix_ms={} level={level} {}", at.as_millis(), record.args())
    };
    let filter = Env::default().default_filter_or("info,rocket=off,_=off,hyper=off,h2=off");
    let _ = Builder::from_env(filter).format(format).try_init();
}
