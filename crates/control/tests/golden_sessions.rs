//! Compares the messages of simulated scenarios with golden files, which list every frame, call and reply except periodic
//! messages such as heartbeats.

mod support;

use std::time::Duration;

use support::faults::FaultKind;
use support::simulation::{DeploymentSimulation, SimulationOptions};
use vanillacleat_control::entry::CallerCall;
use vanillacleat_core::units::MonoTime;

/// Start of each scenario. Agents and entries have connected by then. An entry may not know the agents' upstreams yet; it
/// then refuses a first submission with `service-unknown`.
const SCENARIO_START: MonoTime = MonoTime::from_millis(2_000);

/// Returns a simulation of two entries and two agents at the start of a scenario. It has one job of three tasks, whose ticket
/// entry 0 issued.
fn connected_simulation(seed: u64) -> DeploymentSimulation {
    let options = SimulationOptions { entries: 2, agents: 2, jobs: 0, tasks: 3, ..SimulationOptions::default() };
    let mut simulation = DeploymentSimulation::new(seed, options);
    simulation.run_until(SCENARIO_START);
    simulation.add_job(3);
    simulation.jobs[0].ticket = Some(simulation.issue_ticket(0));
    simulation.trace.clear();
    simulation
}

/// Runs the simulation for `millis` milliseconds.
fn run_for(simulation: &mut DeploymentSimulation, millis: u64) {
    let end = simulation.now + Duration::from_millis(millis);
    simulation.run_until(end);
}

/// Compares the trace with the golden file `name`.
fn check_golden(name: &str, simulation: &DeploymentSimulation) {
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!(name, simulation.trace.join("\n"));
    });
}

#[test]
fn job_submitted() {
    let mut simulation = connected_simulation(1);
    simulation.submit(0, 0);
    run_for(&mut simulation, 1_500);
    check_golden("job_submitted", &simulation);
}

#[test]
fn job_resubmitted() {
    let mut simulation = connected_simulation(2);
    simulation.submit(0, 0);
    run_for(&mut simulation, 5);
    simulation.submit(0, 1);
    run_for(&mut simulation, 1_500);
    simulation.submit(0, 1);
    run_for(&mut simulation, 100);
    check_golden("job_resubmitted", &simulation);
}

#[test]
fn body_conflict() {
    let mut simulation = connected_simulation(3);
    simulation.submit(0, 0);
    run_for(&mut simulation, 10);
    simulation.jobs[0].spec.tasks.pop();
    simulation.submit(0, 1);
    run_for(&mut simulation, 30);
    check_golden("body_conflict", &simulation);
}

#[test]
fn job_cancelled() {
    let mut simulation = connected_simulation(4);
    simulation.jobs[0].spec = support::simulation::make_spec(0, 7);
    simulation.submit(0, 0);
    run_for(&mut simulation, 10);
    simulation.inject_fault(FaultKind::CancelJob(1));
    run_for(&mut simulation, 1_500);
    check_golden("job_cancelled", &simulation);
}

#[test]
fn zone_out() {
    let mut simulation = connected_simulation(5);
    simulation.jobs[0].spec = support::simulation::make_spec(0, 6);
    simulation.submit(0, 0);
    run_for(&mut simulation, 10);
    simulation.inject_fault(FaultKind::ZoneOut(0));
    run_for(&mut simulation, 3_000);
    simulation.inject_fault(FaultKind::ZoneIn(0));
    run_for(&mut simulation, 500);
    check_golden("zone_out", &simulation);
}

#[test]
fn entry_drained() {
    let mut simulation = connected_simulation(6);
    simulation.submit(0, 0);
    run_for(&mut simulation, 10);
    simulation.inject_fault(FaultKind::DrainEntry(0));
    run_for(&mut simulation, 1_800);
    simulation.submit(0, 1);
    run_for(&mut simulation, 500);
    check_golden("entry_drained", &simulation);
}

#[test]
fn entry_lost() {
    let mut simulation = connected_simulation(7);
    run_for(&mut simulation, 1_000);
    simulation.submit(0, 0);
    run_for(&mut simulation, 10);
    simulation.inject_fault(FaultKind::KillEntry(0));
    run_for(&mut simulation, 8_000);
    check_golden("entry_lost", &simulation);
}

#[test]
fn agent_lost() {
    let mut simulation = connected_simulation(8);
    simulation.submit(0, 0);
    run_for(&mut simulation, 10);
    simulation.inject_fault(FaultKind::RestartAgent(0));
    run_for(&mut simulation, 2_000);
    check_golden("agent_lost", &simulation);
}

#[test]
fn link_broken() {
    let mut simulation = connected_simulation(9);
    simulation.submit(0, 0);
    run_for(&mut simulation, 8);
    (0..4).for_each(|_| simulation.inject_fault(FaultKind::CloseSession(0)));
    run_for(&mut simulation, 2_500);
    check_golden("link_broken", &simulation);
}

#[test]
fn named_job() {
    let mut simulation = connected_simulation(10);
    let spec = simulation.jobs[0].spec.clone();
    let name = "harvest-day".parse().expect("the name is valid");
    assert!(simulation.call_entry(0, CallerCall::SubmitNamed(name, spec)).is_empty());
    run_for(&mut simulation, 1_500);
    check_golden("named_job", &simulation);
}
