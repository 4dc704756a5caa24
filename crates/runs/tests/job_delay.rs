//! The causes of late answers.

use std::time::Duration;

use rstest::rstest;
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{DelayCause, JobDelay, JobTimes, SendRecord};

const TARGET_MS: u64 = 120;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(1_000 + millis)
}

fn times() -> JobTimes {
    JobTimes { submitted_at: at(0), target_at: at(TARGET_MS), abandon_at: at(1_500), expected: Duration::from_millis(60) }
}

/// Returns the delay of a job that arrived at `arrived`, of which tasks were sent at these times, after these former runs.
fn delay(arrived: u64, sends: &[(u64, Option<RunOutcome>)], answered: u64) -> Option<JobDelay> {
    let mut record = SendRecord::default();
    sends.iter().for_each(|(sent, former)| record.record(at(*sent), *former));
    JobDelay::new(at(answered), at(arrived), &times(), &record)
}

#[rstest]
#[case::first_start(0, &[(90, None)], 150, DelayCause::FirstStart)]
#[case::later_start(0, &[(5, None), (100, None)], 160, DelayCause::LaterStart)]
#[case::returned_start(0, &[(5, None), (100, Some(RunOutcome::NoRoom))], 160, DelayCause::ReturnedStart)]
#[case::repeated_run(0, &[(5, None), (100, Some(RunOutcome::Failed))], 160, DelayCause::RepeatedRun)]
#[case::resubmitted(80, &[(85, None)], 150, DelayCause::Resubmitted)]
#[case::long_run(0, &[(5, None)], 130, DelayCause::LongRun)]
fn cause_is_the_longest_avoidable_part(
    #[case] arrived: u64,
    #[case] sends: &[(u64, Option<RunOutcome>)],
    #[case] answered: u64,
    #[case] cause: DelayCause,
) {
    let delay = delay(arrived, sends, answered).expect("a late job");
    assert_eq!(delay.cause, cause);
    assert_eq!(delay.late, Duration::from_millis(answered - TARGET_MS));
    assert_eq!(delay.before_arrival + delay.first_start + delay.later_starts + delay.last_run, Duration::from_millis(answered));
}

#[test]
fn answer_in_time_has_no_delay() {
    assert_eq!(delay(0, &[(5, None)], TARGET_MS), None);
    assert_eq!(delay(0, &[], TARGET_MS + 1), None);
}
