//! The time that a job would take with all slots to itself, as the baseline for response times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Returns the makespan of tasks with the given run times on `slots` idle slots when the longest tasks are scheduled
/// first (LPT).
pub fn ideal_makespan(run_times: &[Duration], slots: usize) -> Duration {
    let mut longest_first = run_times.to_vec();
    longest_first.sort_unstable_by_key(|run_time| Reverse(*run_time));
    let mut free_at: BinaryHeap<Reverse<Duration>> = (0..slots.max(1)).map(|_| Reverse(Duration::ZERO)).collect();
    let mut makespan = Duration::ZERO;
    for run_time in longest_first {
        let Reverse(start) = free_at.pop().expect("there is at least one slot");
        let end = start + run_time;
        makespan = makespan.max(end);
        free_at.push(Reverse(end));
    }
    makespan
}
