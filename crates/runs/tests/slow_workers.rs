//! Tests of the detection of unhealthy workers: a few workers become slow, stall or fail their tasks while the others
//! are healthy.

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_core::caller_job::{CallerJobId, TaskId};
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{slowness_threshold, RouteTimes};
use vanillacleat_runs::{RunForecast, WorkerPerformance};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the only task of the job of this number.
fn task(job: u64) -> TaskId {
    TaskId { job: CallerJobId(job), step: 0, index: 0 }
}

#[rstest]
#[case::one_slow(&[1.0, 0.9, 1.1, 7.0], 7.0, true)]
#[case::all_equally_slow(&[6.0, 6.5, 7.0, 7.0], 7.0, false)]
#[case::nearly_half_slow(&[1.0, 1.0, 7.0, 7.0, 1.0], 7.0, true)]
#[case::slightly_slower(&[1.0, 1.0, 1.5], 1.5, false)]
fn only_outliers_are_slow(#[case] slownesses: &[f64], #[case] slowness: f64, #[case] is_slow: bool) {
    let threshold = slowness_threshold(slownesses.iter().copied().map(Some));
    assert_eq!(slowness >= threshold, is_slow, "threshold {threshold}");
}

#[test]
fn workers_without_samples_count_as_healthy() {
    assert!(slowness_threshold([None, None, Some(9.0)].into_iter()) < 9.0);
}

#[rstest]
#[case::early_on_slow_worker(100, 24, 7.0, true)]
#[case::nearly_done(380, 90, 7.0, false)]
#[case::stalled(400, 0, 50.0, true)]
#[case::long_task_on_healthy_worker(400, 20, 1.0, false)]
fn runs_move_if_a_restart_elsewhere_is_faster(#[case] elapsed: u64, #[case] percent: u8, #[case] slowness: f64, #[case] is_moved: bool) {
    let forecast = RunForecast::new(millis(elapsed), percent);
    assert_eq!(forecast.should_relocate(slowness), is_moved, "{forecast:?}");
}

#[test]
fn slowness_needs_recent_samples_from_several_jobs() {
    let mut performance = WorkerPerformance::default();
    let start = MonoTime::from_millis(5_000);
    performance.record_end(start, task(1), 7.0);
    performance.record_end(start, task(1), 7.0);
    performance.record_progress(start, task(2), 7.0);
    assert_eq!(performance.slowness(start), None, "tasks of one job share the error of its estimate");
    performance.record_progress(start, task(3), 1.0);
    assert_eq!(performance.slowness(start), Some(7.0));
    assert_eq!(
        performance.slowness(start + millis(1_500)),
        None,
        "a worker without recent samples counts as healthy, so that it gets a trial"
    );
}

#[test]
fn failing_workers_are_excluded_for_longer_each_time() {
    let mut performance = WorkerPerformance::default();
    let start = MonoTime::from_millis(1_000);
    performance.record_failure(start);
    assert!(!performance.is_failing(start), "a single failure may be caused by the job");
    performance.record_failure(start);
    assert!(performance.is_failing(start + millis(499)) && !performance.is_failing(start + millis(500)));
    performance.record_failure(start + millis(500));
    assert!(performance.is_failing(start + millis(1_499)) && !performance.is_failing(start + millis(1_500)));
    (1..4).for_each(|job| performance.record_end(start + millis(1_600), task(job), 1.0));
    performance.record_failure(start + millis(1_700));
    assert!(!performance.is_failing(start + millis(1_700)), "successes lower the share of failures");
}

#[test]
fn run_time_estimates_are_learned_from_many_tasks() {
    let (mut times, route) = (RouteTimes::default(), SmolStr::new_static("bids"));
    times.record(&route, millis(100), millis(600));
    assert_eq!(times.expected_run_time(&route, millis(100)), millis(100), "a single outlier has no weight");
    (0..200).for_each(|_| times.record(&route, millis(100), millis(300)));
    assert!((millis(299)..millis(301)).contains(&times.expected_run_time(&route, millis(100))));
    times.record(&route, Duration::ZERO, millis(300));
    assert_eq!(times.expected_run_time(&SmolStr::new_static("other"), millis(100)), millis(100));
}
