//! Golden files of whole sessions: what every process decides, line by line.

mod support;

use rstest::rstest;
use support::faults::{TimedFault, WorldFault};
use support::world::World;
use vanillacleat_core::units::MonoTime;

#[rstest]
#[case::job_served("job_served", &[])]
#[case::job_resubmitted("job_resubmitted", &[(1_030, WorldFault::ResetCallers(0)), (1_030, WorldFault::ResetCallers(1))])]
#[case::entry_lost("entry_lost", &[(1_030, WorldFault::KillEntry(0)), (1_030, WorldFault::KillEntry(1))])]
#[case::agent_lost("agent_lost", &[(1_030, WorldFault::KillAgent(0)), (1_030, WorldFault::KillAgent(1))])]
#[case::worker_lost("worker_lost", &[(1_030, WorldFault::CrashWorker(0)), (1_030, WorldFault::CrashWorker(1))])]
#[case::worker_drained("worker_drained", &[(900, WorldFault::DrainWorker(0)), (901, WorldFault::DrainWorker(1))])]
#[case::zone_out("zone_out", &[(900, WorldFault::ToggleZone(0)), (901, WorldFault::ToggleZone(1))])]
fn sessions_are_as_recorded(#[case] name: &str, #[case] plan: &[TimedFault]) {
    let mut world = World::new(5, plan);
    world.add_callers(2, 1_000, 1_001);
    world.run_until(MonoTime::from_millis(6_000));
    assert!(world.log.broken.is_empty(), "{:?}", world.log.broken);
    assert_eq!(world.answered(), 2);
    insta::assert_snapshot!(name, world.lines.join("\n"));
}
