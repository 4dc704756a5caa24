//! Processor time of this process's threads by name, from the kernel's accounting.

use std::time::Duration;

/// Clock ticks of the kernel's accounting in a second.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the processor time so far of the threads whose name starts with `prefix`.
pub fn thread_time(prefix: &str) -> Duration {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let stats = threads.filter_map(|thread| std::fs::read_to_string(thread.ok()?.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|stat| read_ticks(&stat, prefix)).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Reads user and system ticks: the 14th and 15th fields, counted after the name in parentheses.
fn read_ticks(stat: &str, prefix: &str) -> Option<u64> {
    let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let fields: Vec<&str> = rest.split_whitespace().collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}
