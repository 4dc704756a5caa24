//! Tests of a host that was slow for a while: its workers answer again once it has served the calls that wait, unless the agents' own
//! repeated calls keep it behind.

mod support;

use rstest::rstest;
use support::shared_host::SharedHost;

/// Number of agents with a worker on the host.
const AGENTS: u64 = 10;
/// Interval between two orders that an agent receives, in milliseconds.
const ORDER_INTERVAL: u64 = 50;
/// Run time of each run, in milliseconds.
const RUN_TIME: u64 = 200;
/// Time within which the runs are completed at the former rate again after the host was slow, in milliseconds.
const RECOVERY_TIME: u64 = 3_000;

/// Advances the host by a second and returns the number of runs that were completed in it.
fn completed_in_second(host: &mut SharedHost) -> usize {
    let before = host.completed();
    host.advance(host.now() + 1_000);
    host.completed() - before
}

/// Regression: agents sent each call that timed out again at a fixed interval, and a host that had been slow for two seconds, whose load
/// took half of its time before, answered nothing in time for good.
#[rstest]
#[case::half_used_and_twenty_times_slower(1_400, 20, 2_000)]
#[case::mostly_used_and_twenty_times_slower(2_000, 20, 2_000)]
#[case::half_used_and_almost_stopped(1_400, 1_000, 1_000)]
fn repeated_calls_keep_no_host_behind_that_was_slow(#[case] service_time: u64, #[case] slowness: u64, #[case] duration: u64) {
    let mut host = SharedHost::new(AGENTS, ORDER_INTERVAL, RUN_TIME, service_time);
    host.advance(2_000);
    host.received.clear();
    let former = completed_in_second(&mut host);
    let orders = AGENTS * 1_000 / ORDER_INTERVAL;
    assert_eq!(host.received.get("start"), Some(&orders), "no start is repeated before: {:?}", host.received);
    host.service_time = service_time * slowness;
    host.advance(host.now() + duration);
    host.service_time = service_time;
    let backlog = host.backlog();
    host.advance(host.now() + RECOVERY_TIME);
    let (backlog_left, later) = (host.backlog(), completed_in_second(&mut host));
    println!("completed {former} before, {later} after; calls that waited: {backlog}, {RECOVERY_TIME} ms later {backlog_left}");
    assert!(later * 10 >= former * 9, "{later} runs were completed in a second, {former} before the host was slow");
}
