//! The confirmation that all callers' connections that have something to say were read.

use std::time::Duration;

use tokio::runtime::Handle;

/// Interval at which the confirmation checks how often the runtime's threads were idle. The timer wakes an idle thread, so that its
/// driver, which reports the readiness of sockets, takes another turn.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Number of times that each thread has to become idle, which means that it has run all tasks that its driver has woken. The first
/// time may belong to a turn of the driver before the call, the second one to the turn that accepts connections, and the third one
/// to the turn that reads them.
const IDLE_COUNT: u64 = 3;

/// Waits until the runtime's tasks have read what had arrived at their sockets before the call, and have sent the events of it.
pub(crate) async fn confirm_callers() {
    let metrics = Handle::current().metrics();
    let idle_counts = || (0..metrics.num_workers()).map(|thread| metrics.worker_park_count(thread));
    let required: Vec<u64> = idle_counts().map(|count| count + IDLE_COUNT).collect();
    while idle_counts().zip(&required).any(|(count, required)| count < *required) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
