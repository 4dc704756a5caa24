//! The time that a job would take alone on idle slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Returns the time from the first start to the last end of tasks with the given run times on `slots` slots, the
/// longest task first.
pub fn ideal_time(runs: &[Duration], slots: usize) -> Duration {
    let mut longest_first = runs.to_vec();
    longest_first.sort_unstable_by_key(|run| Reverse(*run));
    let mut free_at: BinaryHeap<Reverse<Duration>> = (0..slots.max(1)).map(|_| Reverse(Duration::ZERO)).collect();
    let mut last = Duration::ZERO;
    for run in longest_first {
        let Reverse(start) = free_at.pop().expect("there is at least one slot");
        let end = start + run;
        last = last.max(end);
        free_at.push(Reverse(end));
    }
    last
}
