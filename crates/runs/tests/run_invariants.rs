//! Property tests of the invariants under killed and paused processes, interrupted sessions, lost calls and drains:
//!
//! - No two runs of a task are running at the same time.
//! - A job that was refused on every submission has not run.
//! - A job that is reported as succeeded has all of its tasks done.
//! - Every caller receives an answer.

mod support;

use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;
use support::checks::find_violation;
use support::faults::{fault_schedules, TimedFault};
use support::simulation::Simulation;
use vanillacleat_core::units::MonoTime;

/// End of a simulation. Every deadline and lease has expired by then.
const SIMULATION_END: MonoTime = MonoTime::from_millis(16_000);
/// Seed of the generator that chooses simulation seeds and fault schedules.
const SCHEDULE_SEED: [u8; 32] = [23; 32];
/// Number of jobs in one simulation.
const JOBS: u64 = 60;

/// Runs one simulation; returns the first violated invariant and the log lines as the error.
fn run_simulation(seed: u64, faults: &[TimedFault]) -> Result<(), String> {
    let mut simulation = Simulation::new(seed, faults);
    simulation.add_callers(JOBS, 100, 5_000);
    simulation.run_until(SIMULATION_END);
    let violation = find_violation(&simulation.history, &simulation.callers);
    let unanswered = simulation.callers.iter().find(|caller| caller.answers.is_empty());
    let violation = violation.or_else(|| unanswered.map(|caller| format!("job {} has no answer", caller.id)));
    match violation {
        Some(violation) => Err(format!("{violation}\n{}", simulation.log_lines.join("\n"))),
        None => Ok(()),
    }
}

/// Returns the number of cases of a property: that in `VANILLACLEAT_CASES`, or else the default.
fn case_count(default: u32) -> u32 {
    std::env::var("VANILLACLEAT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[rstest]
#[case::no_faults(4, 0)]
#[case::single_faults(40, 1)]
#[case::many_faults(60, 8)]
fn invariants_hold(#[case] cases: u32, #[case] faults_max: usize) {
    use proptest::prelude::*;
    let config = Config { cases: case_count(cases), failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SCHEDULE_SEED));
    let outcome = runner
        .run(&(any::<u64>(), fault_schedules(faults_max)), |(seed, faults)| run_simulation(seed, &faults).map_err(TestCaseError::fail));
    match outcome {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, faults))) => panic!("seed={seed} faults={faults:?}\n{reason}"),
        Err(other) => panic!("{other}"),
    }
}
