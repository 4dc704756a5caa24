//! Golden files of whole sessions: every frame, call and reply but heartbeats.

mod support;

use std::time::Duration;

use support::faults::FaultKind;
use support::world::{World, WorldOptions};
use vanillacleat_control::entry::CallerCall;
use vanillacleat_core::units::MonoTime;

/// When agents and entries know each other.
const READY: MonoTime = MonoTime::from_millis(2_000);

/// Returns a world of two entries and two agents that is ready, with one job whose ticket is entry 0's.
fn ready_world(seed: u64) -> World {
    let options = WorldOptions { entries: 2, agents: 2, jobs: 0, tasks: 3, ..WorldOptions::default() };
    let mut world = World::new(seed, options);
    world.run_until(READY);
    world.add_job(3);
    world.jobs[0].ticket = Some(world.give_ticket(0));
    world.trace.clear();
    world
}

fn run_for(world: &mut World, millis: u64) {
    let end = world.now + Duration::from_millis(millis);
    world.run_until(end);
}

fn check_golden(name: &str, world: &World) {
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!(name, world.trace.join("\n"));
    });
}

#[test]
fn job_submitted() {
    let mut world = ready_world(1);
    world.submit(0, 0);
    run_for(&mut world, 1_500);
    check_golden("job_submitted", &world);
}

#[test]
fn job_resubmitted() {
    let mut world = ready_world(2);
    world.submit(0, 0);
    run_for(&mut world, 5);
    world.submit(0, 1);
    run_for(&mut world, 1_500);
    world.submit(0, 1);
    run_for(&mut world, 100);
    check_golden("job_resubmitted", &world);
}

#[test]
fn body_conflict() {
    let mut world = ready_world(3);
    world.submit(0, 0);
    run_for(&mut world, 10);
    world.jobs[0].spec.tasks.pop();
    world.submit(0, 1);
    run_for(&mut world, 30);
    check_golden("body_conflict", &world);
}

#[test]
fn job_cancelled() {
    let mut world = ready_world(4);
    world.jobs[0].spec = support::world::make_spec(0, 7);
    world.submit(0, 0);
    run_for(&mut world, 10);
    world.inject(FaultKind::CancelJob(1));
    run_for(&mut world, 1_500);
    check_golden("job_cancelled", &world);
}

#[test]
fn zone_out() {
    let mut world = ready_world(5);
    world.jobs[0].spec = support::world::make_spec(0, 6);
    world.submit(0, 0);
    run_for(&mut world, 10);
    world.inject(FaultKind::ZoneOut(0));
    run_for(&mut world, 3_000);
    world.inject(FaultKind::ZoneIn(0));
    run_for(&mut world, 500);
    check_golden("zone_out", &world);
}

#[test]
fn entry_drained() {
    let mut world = ready_world(6);
    world.submit(0, 0);
    run_for(&mut world, 10);
    world.inject(FaultKind::DrainEntry(0));
    run_for(&mut world, 1_800);
    world.submit(0, 1);
    run_for(&mut world, 500);
    check_golden("entry_drained", &world);
}

#[test]
fn entry_lost() {
    let mut world = ready_world(7);
    run_for(&mut world, 1_000);
    world.submit(0, 0);
    run_for(&mut world, 10);
    world.inject(FaultKind::KillEntry(0));
    run_for(&mut world, 8_000);
    check_golden("entry_lost", &world);
}

#[test]
fn agent_lost() {
    let mut world = ready_world(8);
    world.submit(0, 0);
    run_for(&mut world, 10);
    world.inject(FaultKind::RestartAgent(0));
    run_for(&mut world, 2_000);
    check_golden("agent_lost", &world);
}

#[test]
fn link_broken() {
    let mut world = ready_world(9);
    world.submit(0, 0);
    run_for(&mut world, 8);
    (0..4).for_each(|_| world.inject(FaultKind::BreakLink(0)));
    run_for(&mut world, 2_500);
    check_golden("link_broken", &world);
}

#[test]
fn named_job() {
    let mut world = ready_world(10);
    let spec = world.jobs[0].spec.clone();
    let name = "harvest-day".parse().expect("the name is valid");
    assert!(world.call_entry(0, CallerCall::SubmitNamed(name, spec)).is_empty());
    run_for(&mut world, 1_500);
    check_golden("named_job", &world);
}
