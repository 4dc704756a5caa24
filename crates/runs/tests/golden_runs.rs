//! Snapshots of the log lines of all processes in whole simulations, each without faults or with one kind of fault.

mod support;

use rstest::rstest;
use support::faults::{SimulatedFault, TimedFault};
use support::simulation::Simulation;
use vanillacleat_core::units::MonoTime;

#[rstest]
#[case::job_served("job_served", &[])]
#[case::job_resubmitted("job_resubmitted", &[(1_030, SimulatedFault::ResetCallers(0)), (1_030, SimulatedFault::ResetCallers(1))])]
#[case::entry_lost("entry_lost", &[(1_030, SimulatedFault::KillEntry(0)), (1_030, SimulatedFault::KillEntry(1))])]
#[case::agent_lost("agent_lost", &[(1_030, SimulatedFault::KillAgent(0)), (1_030, SimulatedFault::KillAgent(1))])]
#[case::worker_lost("worker_lost", &[(1_030, SimulatedFault::CrashWorker(0)), (1_030, SimulatedFault::CrashWorker(1))])]
#[case::worker_drained("worker_drained", &[(900, SimulatedFault::DrainWorker(0)), (901, SimulatedFault::DrainWorker(1))])]
#[case::zone_out("zone_out", &[(900, SimulatedFault::ToggleZone(0)), (901, SimulatedFault::ToggleZone(1))])]
fn log_lines_match_the_snapshots(#[case] name: &str, #[case] faults: &[TimedFault]) {
    let mut simulation = Simulation::new(5, faults);
    simulation.add_callers(2, 1_000, 1_001);
    simulation.run_until(MonoTime::from_millis(6_000));
    assert!(simulation.history.violations.is_empty(), "{:?}", simulation.history.violations);
    assert_eq!(simulation.answered_callers(), 2);
    insta::assert_snapshot!(name, simulation.log_lines.join("\n"));
}
