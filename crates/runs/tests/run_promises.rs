//! Entries, agents, workers and callers under kills, freezes, cuts, lost calls and drains keep every promise: no two
//! runs of a task at work at the same time, no false "not run", no success without every task done, an answer for all.

mod support;

use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;
use support::checks::find_false_answer;
use support::faults::{fault_plans, TimedFault};
use support::world::World;
use vanillacleat_core::units::MonoTime;

/// When a world ends: every deadline and lease is over by then.
const WORLD_END: MonoTime = MonoTime::from_millis(16_000);
/// Fixed seed of the plans.
const PLAN_SEED: [u8; 32] = [23; 32];
/// Jobs of one world.
const JOBS: u64 = 60;

fn run_plan(seed: u64, plan: &[TimedFault]) -> Result<(), String> {
    let mut world = World::new(seed, plan);
    world.add_callers(JOBS, 100, 5_000);
    world.run_until(WORLD_END);
    let problem = find_false_answer(&world.log, &world.callers);
    let silent = world.callers.iter().find(|caller| caller.answers.is_empty());
    let problem = problem.or_else(|| silent.map(|caller| format!("job {} has no answer", caller.id)));
    match problem {
        Some(problem) => Err(format!("{problem}\n{}", world.lines.join("\n"))),
        None => Ok(()),
    }
}

/// Cases of one run; `VANILLACLEAT_CASES` asks for more.
fn case_count(default: u32) -> u32 {
    std::env::var("VANILLACLEAT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[rstest]
#[case::no_faults(4, 0)]
#[case::single_faults(40, 1)]
#[case::many_faults(60, 8)]
fn promises_hold(#[case] cases: u32, #[case] faults: usize) {
    use proptest::prelude::*;
    let config = Config { cases: case_count(cases), failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &PLAN_SEED));
    let outcome = runner.run(&(any::<u64>(), fault_plans(faults)), |(seed, plan)| run_plan(seed, &plan).map_err(TestCaseError::fail));
    match outcome {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, plan))) => panic!("seed={seed} plan={plan:?}\n{reason}"),
        Err(other) => panic!("{other}"),
    }
}
