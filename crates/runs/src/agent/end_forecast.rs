//! When the runs at a worker are expected to end, which decides whether a start waits there or is returned to its entry.

use std::time::Duration;

use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::units::MonoTime;

use super::run_speeds::RunSpeeds;
use super::run_table::{RunRecord, RunState, RunTable};

/// Progress below which a list shows too little of a run to extrapolate its run time from, in percent.
const PROGRESS_MIN_PERCENT: u8 = 5;

/// Returns the resources of the runs that are expected to end by `end`. A run of which neither an estimate nor progress is known may
/// end at any time, and counts.
pub fn freed_by(now: MonoTime, end: MonoTime, runs: &RunTable, speeds: &RunSpeeds) -> ResourceAmount {
    let running = runs.iter().map(|(_, record)| record).filter(|record| matches!(record.state, RunState::Running { .. }));
    let ending = running.filter(|record| expected_time_left(now, record, speeds).is_none_or(|left| now + left <= end));
    ending.fold(ResourceAmount::default(), |sum, record| sum + record.demand)
}

/// Returns how much longer a run is expected to take, or `None` if nothing is known of its run time.
fn expected_time_left(now: MonoTime, record: &RunRecord, speeds: &RunSpeeds) -> Option<Duration> {
    let total = expected_run_time(record, speeds)?;
    // The longer a run has exceeded what was expected, the longer it is expected to go on.
    Some(record.elapsed_since_start(now).abs_diff(total))
}

/// Returns the run time that the last list's progress or else the caller's estimate lets expect.
fn expected_run_time(record: &RunRecord, speeds: &RunSpeeds) -> Option<Duration> {
    let (percent, elapsed) = record.progress()?;
    if percent >= PROGRESS_MIN_PERCENT {
        return Some(elapsed.mul_f64(100.0 / f64::from(percent)));
    }
    let ratio = speeds.typical_ratio(&record.route).unwrap_or(1.0);
    (!record.estimate.is_zero()).then(|| record.estimate.mul_f64(ratio))
}
