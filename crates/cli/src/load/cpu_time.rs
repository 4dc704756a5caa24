//! CPU time of this process's threads, selected by name, as accounted by the kernel.

use std::time::Duration;

/// Clock ticks per second in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;

/// Returns the CPU time used so far by the threads whose name starts with `prefix`; zero if `/proc` cannot be read.
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let stats = threads.filter_map(|thread| std::fs::read_to_string(thread.ok()?.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|stat| parse_ticks(&stat, prefix)).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Returns the sum of `utime` and `stime` (fields 14 and 15 of the line) if the thread's name starts with `prefix`. The
/// name is in parentheses and may contain spaces and parentheses, so fields are counted from the last parenthesis.
fn parse_ticks(stat: &str, prefix: &str) -> Option<u64> {
    let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let fields: Vec<&str> = rest.split_whitespace().collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}
