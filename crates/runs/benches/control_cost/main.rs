//! Processor time of the control states of an entry and of an agent, without a network. Each load is simulated once, and the events
//! that it consists of are recorded. Then they are replayed on fresh control states, and only the replays are measured.
//!
//! `cargo bench -p vanillacleat-runs --bench control_cost` prints one line for each load, and with `-- TEXT` only for those whose
//! line contains the text. The digest of all actions, log lines included, shows whether two builds decide the same.

mod agent_trace;
mod entry_trace;

use std::fmt::Debug;
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use agent_trace::{record_agent_trace, replay_agent_trace, AgentLoad};
use entry_trace::{record_entry_trace, replay_entry_trace, EntryTraffic};

/// Number of replays of each load. The median is printed.
const REPLAYS: usize = 9;
/// Simulated duration of a load, in milliseconds.
const TRACE_MS: u64 = 10_000;

/// The actions of a control state, as a digest of their debug forms.
#[derive(Default)]
struct ActionDigest {
    hasher: DefaultHasher,
}

impl ActionDigest {
    fn record(&mut self, action: &impl Debug) {
        self.hasher.write(format!("{action:?}").as_bytes());
    }
}

/// Returns the processor time that this thread has used.
fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Returns whether the command line selects a load.
fn is_selected(load: &str) -> bool {
    std::env::args().skip(1).find(|argument| !argument.starts_with("--")).is_none_or(|text| load.contains(&text))
}

/// Measures the replays of a load of `items` and prints their median.
fn measure(load: &str, items: u64, digest: &ActionDigest, mut replay: impl FnMut() -> Duration) {
    let mut micros: Vec<f64> = (0..REPLAYS).map(|_| replay().as_secs_f64() * 1e6 / items as f64).collect();
    micros.sort_by(f64::total_cmp);
    let (min, median, max) = (micros[0], micros[REPLAYS / 2], micros[REPLAYS - 1]);
    let digest = digest.hasher.finish();
    println!(
        "{load} items={items} median_us={median:.1} min_us={min:.1} max_us={max:.1} per_second={:.0} digest={digest:016x}",
        1e6 / median
    );
}

fn main() {
    for workers in [20, 60, 200] {
        for (kind, jobs_per_second, used_percent) in [("quiet", 33, 30), ("busy", 200, 30), ("overloaded", 400, 97)] {
            let load = format!("process=entry load={kind} workers={workers} jobs_per_second={jobs_per_second}");
            if is_selected(&load) {
                let trace = record_entry_trace(&EntryTraffic { workers, jobs_per_second, used_percent });
                measure(&load, trace.jobs, &trace.digest, || replay_entry_trace(&trace));
            }
        }
    }
    for (kind, runs_per_second) in [("quiet", 5), ("busy", 50)] {
        let load = format!("process=agent load={kind} sessions=12 runs_per_second={runs_per_second}");
        if is_selected(&load) {
            let trace = record_agent_trace(&AgentLoad { sessions: 12, runs_per_second });
            measure(&load, trace.runs, &trace.digest, || replay_agent_trace(&trace));
        }
    }
}
