//! Entries and agents under kills, pauses, cuts, store outages and operators' changes keep every promise.

mod support;

use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use rstest::rstest;
use support::checks::find_broken_promise;
use support::faults::{fault_plans, TimedFault};
use support::world::{World, WorldOptions};
use vanillacleat_core::units::MonoTime;

/// When a world ends: every deadline, grace and adoption is over by then.
const WORLD_END: MonoTime = MonoTime::from_millis(45_000);
/// Fixed seed of the plans.
const PLAN_SEED: [u8; 32] = [11; 32];

fn run_plan(seed: u64, plan: &[TimedFault], options: &WorldOptions) -> Result<(), String> {
    let mut world = World::new(seed, options.clone());
    world.plan(plan);
    world.run_until(WORLD_END);
    if let Some(broken) = find_broken_promise(&world) {
        return Err(format!("{broken}\n{}", world.logs.join("\n")));
    }
    let unsettled: Vec<usize> = (0..world.jobs.len()).filter(|job| !world.jobs[*job].is_settled).collect();
    if !unsettled.is_empty() {
        let jobs: Vec<_> = unsettled.iter().map(|job| (job, &world.jobs[*job].ticket, &world.jobs[*job].refusals)).collect();
        return Err(format!(
            "jobs {jobs:?} have no answer\n{}\n{}",
            world.logs.join("\n"),
            world.dump_entries().chars().take(4_000).collect::<String>()
        ));
    }
    Ok(())
}

fn check_plans(cases: u32, faults: usize, options: WorldOptions) {
    use proptest::prelude::*;
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 400, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &PLAN_SEED));
    let outcome =
        runner.run(&(any::<u64>(), fault_plans(faults)), |(seed, plan)| run_plan(seed, &plan, &options).map_err(TestCaseError::fail));
    match outcome {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, plan))) => panic!("seed={seed} plan={plan:#?}\n{reason}"),
        Err(other) => panic!("{other}"),
    }
}

/// Cases of one run; `VANILLACLEAT_CASES` asks for more.
fn case_count(default: u32) -> u32 {
    std::env::var("VANILLACLEAT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[rstest]
#[case::without_faults(8, 1, false)]
#[case::ordered_frames(60, 8, false)]
#[case::unruly_frames(60, 8, true)]
fn promises_hold(#[case] cases: u32, #[case] faults: usize, #[case] is_unruly: bool) {
    check_plans(case_count(cases), faults, WorldOptions { is_unruly, ..WorldOptions::default() });
}
