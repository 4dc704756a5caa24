//! Property test of the guarantees that entries and agents give under faults: killed, restarted and paused processes,
//! lost sessions, network partitions, store outages and configuration changes. Each case runs a random fault plan in a
//! deterministic simulation.

mod support;

use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;
use support::checks::find_violation;
use support::faults::{fault_plans, TimedFault};
use support::simulation::{DeploymentSimulation, SimulationOptions};
use vanillacleat_core::units::MonoTime;

/// End of a simulation. Every deadline, grace period and adoption is over by then, so each caller must have received an
/// answer or a final refusal.
const SIMULATION_END: MonoTime = MonoTime::from_millis(45_000);
/// Seed of the fault plans, fixed so that every run of the test checks the same plans.
const PLAN_SEED: [u8; 32] = [11; 32];

/// Runs one simulation. Returns an error if a guarantee is violated or a caller has received neither an answer nor a final
/// refusal.
fn run_plan(seed: u64, plan: &[TimedFault], options: &SimulationOptions) -> Result<(), String> {
    let mut simulation = DeploymentSimulation::new(seed, options.clone());
    simulation.schedule_faults(plan);
    simulation.run_until(SIMULATION_END);
    if let Some(violation) = find_violation(&simulation) {
        return Err(format!("{violation}\n{}", simulation.logs.join("\n")));
    }
    let unsettled: Vec<usize> = (0..simulation.jobs.len()).filter(|job| !simulation.jobs[*job].is_settled).collect();
    if !unsettled.is_empty() {
        let jobs: Vec<_> = unsettled.iter().map(|job| (job, &simulation.jobs[*job].ticket, &simulation.jobs[*job].refusals)).collect();
        return Err(format!(
            "jobs {jobs:?} have no answer\n{}\n{}",
            simulation.logs.join("\n"),
            simulation.dump_entries().chars().take(4_000).collect::<String>()
        ));
    }
    Ok(())
}

/// Runs `cases` simulations, each with a random plan of fewer than `faults_below` faults.
fn check_plans(cases: u32, faults_below: usize, options: SimulationOptions) {
    use proptest::prelude::*;
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 400, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &PLAN_SEED));
    let outcome =
        runner.run(&(any::<u64>(), fault_plans(faults_below)), |(seed, plan)| run_plan(seed, &plan, &options).map_err(TestCaseError::fail));
    match outcome {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, plan))) => panic!("seed={seed} plan={plan:#?}\n{reason}"),
        Err(other) => panic!("{other}"),
    }
}

/// Returns the number of cases to run: `VANILLACLEAT_CASES` if it is set, otherwise `default`.
fn case_count(default: u32) -> u32 {
    std::env::var("VANILLACLEAT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[rstest]
#[case::without_faults(8, 1, false)]
#[case::ordered_frames(60, 8, false)]
#[case::unreliable_frames(60, 8, true)]
fn guarantees_hold_under_faults(#[case] cases: u32, #[case] faults_below: usize, #[case] is_unreliable: bool) {
    check_plans(case_count(cases), faults_below, SimulationOptions { is_unreliable, ..SimulationOptions::default() });
}
