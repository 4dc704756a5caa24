//! The promises, checked from the upstreams' side.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::outcome::{JobAnswer, TaskOutcome};

use super::world::World;

/// Time after an accepted change in which a task may still start in the availability zone.
const ZONE_GRACE: Duration = Duration::from_secs(3);

/// Returns the first broken promise.
pub fn find_broken_promise(world: &World) -> Option<String> {
    find_second_start(world)
        .or_else(|| find_false_not_run(world))
        .or_else(|| find_differing_answer(world))
        .or_else(|| find_partial_answer(world))
        .or_else(|| find_start_in_zone_out(world))
}

fn find_second_start(world: &World) -> Option<String> {
    let mut seen = BTreeMap::new();
    world.starts.iter().find_map(|start| {
        let earlier = seen.insert(start.key.clone(), start);
        earlier
            .map(|earlier| format!("{} started at {} on {} and at {} on {}", start.key, earlier.at, earlier.agent, start.at, start.agent))
    })
}

fn find_false_not_run(world: &World) -> Option<String> {
    world.answers.iter().find_map(|(ticket, seen)| {
        let outcomes = seen.iter().flat_map(|answer| answer.answer.outcomes.iter().enumerate());
        let mut not_run = outcomes.filter(|(_, outcome)| matches!(outcome, TaskOutcome::NotRun(_)));
        let started = |task: usize| {
            world
                .starts
                .iter()
                .find(|start| start.key.home == ticket.home && start.key.serial == ticket.serial && usize::from(start.key.task) == task)
        };
        not_run.find_map(|(task, outcome)| {
            started(task).map(|start| format!("{outcome:?} was said of {}, which started at {}", start.key, start.at))
        })
    })
}

fn find_differing_answer(world: &World) -> Option<String> {
    world.answers.iter().find_map(|(ticket, seen)| {
        let first = &seen[0];
        let other = seen.iter().find(|other| other.answer != first.answer)?;
        Some(format!("{ticket} was answered {first:?} and {other:?}"))
    })
}

fn find_partial_answer(world: &World) -> Option<String> {
    world.answers.iter().find_map(|(ticket, seen)| {
        let tasks = world.jobs.iter().find(|job| job.ticket.as_ref() == Some(ticket))?.spec.tasks.len();
        let is_wrong = |answer: &JobAnswer| answer.outcomes.len() != tasks || !answers_match(ticket.serial, answer);
        seen.iter().find(|answer| is_wrong(&answer.answer)).map(|answer| format!("{ticket}: {answer:?} is not its whole own answer"))
    })
}

/// Every task's answer names the task, so that crossed answers show.
fn answers_match(serial: u64, answer: &JobAnswer) -> bool {
    answer.outcomes.iter().enumerate().all(|(task, outcome)| match outcome {
        TaskOutcome::Done(text) => text.ends_with(&format!(".{serial}/{task}")),
        _ => true,
    })
}

fn find_start_in_zone_out(world: &World) -> Option<String> {
    world.zone_outs.iter().find_map(|out| {
        let is_bad = |at| at > out.accepted_at + ZONE_GRACE && out.asked_in_at.is_none_or(|asked| at < asked);
        let start = world.starts.iter().find(|start| start.zone == out.zone && is_bad(start.at))?;
        Some(format!("{} started at {} in {}, out since {}", start.key, start.at, out.zone, out.accepted_at))
    })
}
