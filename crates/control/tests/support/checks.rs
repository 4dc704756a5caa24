//! Checks of the guarantees against the starts that the upstreams saw and the answers that the callers received.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::outcome::{JobAnswer, TaskOutcome};

use super::simulation::DeploymentSimulation;

/// Time after an accepted change during which a task may still start in the excluded availability zone. It is longer than the
/// 2.8 s for which a gate's proof of freshness is valid by default.
const ZONE_GRACE: Duration = Duration::from_secs(3);

/// Returns a description of a violated guarantee, if there is one.
pub fn find_violation(simulation: &DeploymentSimulation) -> Option<String> {
    find_repeated_start(simulation)
        .or_else(|| find_false_not_run(simulation))
        .or_else(|| find_conflicting_answers(simulation))
        .or_else(|| find_malformed_answer(simulation))
        .or_else(|| find_start_in_excluded_zone(simulation))
}

/// Finds a task that started more than once.
fn find_repeated_start(simulation: &DeploymentSimulation) -> Option<String> {
    let mut previous_starts = BTreeMap::new();
    simulation.starts.iter().find_map(|start| {
        let earlier = previous_starts.insert(start.key.clone(), start);
        earlier
            .map(|earlier| format!("{} started at {} on {} and at {} on {}", start.key, earlier.at, earlier.agent, start.at, start.agent))
    })
}

/// Finds a task that started although an answer reported it as not run.
fn find_false_not_run(simulation: &DeploymentSimulation) -> Option<String> {
    simulation.answers.iter().find_map(|(ticket, received)| {
        let outcomes = received.iter().flat_map(|observed| observed.answer.outcomes.iter().enumerate());
        let mut not_run = outcomes.filter(|(_, outcome)| matches!(outcome, TaskOutcome::NotRun(_)));
        let started = |task: usize| {
            simulation
                .starts
                .iter()
                .find(|start| start.key.home == ticket.home && start.key.serial == ticket.serial && usize::from(start.key.task) == task)
        };
        not_run.find_map(|(task, outcome)| {
            started(task).map(|start| format!("{outcome:?} was reported for {}, which started at {}", start.key, start.at))
        })
    })
}

/// Finds a job that was answered with two different answers.
fn find_conflicting_answers(simulation: &DeploymentSimulation) -> Option<String> {
    simulation.answers.iter().find_map(|(ticket, received)| {
        let first = &received[0];
        let other = received.iter().find(|other| other.answer != first.answer)?;
        Some(format!("{ticket} was answered {first:?} and {other:?}"))
    })
}

/// Finds an answer that has the wrong number of outcomes or contains an outcome of another task.
fn find_malformed_answer(simulation: &DeploymentSimulation) -> Option<String> {
    simulation.answers.iter().find_map(|(ticket, received)| {
        let tasks = simulation.jobs.iter().find(|job| job.ticket.as_ref() == Some(ticket))?.spec.tasks.len();
        let is_malformed = |answer: &JobAnswer| answer.outcomes.len() != tasks || !outcomes_match_tasks(ticket.serial, answer);
        received
            .iter()
            .find(|observed| is_malformed(&observed.answer))
            .map(|observed| format!("{ticket} was answered {observed:?}, which is not the complete answer of this job"))
    })
}

/// Returns whether each outcome belongs to its task. The simulated upstreams put the task's key at the end of each result,
/// so a result that was assigned to another task is detected.
fn outcomes_match_tasks(serial: u64, answer: &JobAnswer) -> bool {
    answer.outcomes.iter().enumerate().all(|(task, outcome)| match outcome {
        TaskOutcome::Done(text) => text.ends_with(&format!(".{serial}/{task}")),
        _ => true,
    })
}

/// Finds a task that started in an excluded zone after the grace period.
fn find_start_in_excluded_zone(simulation: &DeploymentSimulation) -> Option<String> {
    simulation.zone_out_periods.iter().find_map(|period| {
        let is_violation =
            |at| at > period.accepted_at + ZONE_GRACE && period.zone_in_requested_at.is_none_or(|requested_at| at < requested_at);
        let start = simulation.starts.iter().find(|start| start.zone == period.zone && is_violation(start.at))?;
        Some(format!("{} started at {} in {}, out since {}", start.key, start.at, period.zone, period.accepted_at))
    })
}
