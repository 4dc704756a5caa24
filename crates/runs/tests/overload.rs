//! Pattern: for some seconds more work comes than there is room for, as in a burst or when callers return after an
//! outage. A seeded replay of arrivals and run times against a model of rooms. The model has one entry that sees all
//! rooms at once, and no losses; it leaves out frames, agents and errors of estimates.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{core_share, job_age, queue_wait, resubmit_delay, JobRank, JobTimes};

/// Jobs that can be at work at once.
const ROOMS: usize = 40;
/// Time between two rounds of the model.
const ROUND: Duration = Duration::from_millis(5);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A job of the model: its times and its priority.
type ModelJob = (JobTimes, u32);

/// Returns arrivals at `load` percent of the rooms for four seconds, after a lump of 100 jobs that were asked for earlier.
fn make_arrivals(seed: u64, load: u64) -> Vec<ModelJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_second = ROOMS as u64 * 1_000 / 200 * load / 100;
    let mut jobs: Vec<ModelJob> = (0..100).map(|_| make_job(&mut rng, 2_000, 1_400)).collect();
    jobs.extend((0..per_second * 4).map(|number| {
        let at = 2_000 + number * 1_000 / per_second;
        make_job(&mut rng, at, 0)
    }));
    jobs
}

fn make_job(rng: &mut ChaCha8Rng, at: u64, age: u64) -> ModelJob {
    let expected = millis(rng.random_range(100..300));
    let now = MonoTime::from_millis(at);
    let asked_at = now.before(millis(age));
    let target_at = asked_at + expected * 160 / 100 + millis(60);
    (JobTimes { asked_at, target_at, abandon_at: asked_at + millis(2_500), expected }, rng.random_range(0..2))
}

/// Plays the arrivals in the order of `rank`; returns the jobs that ended within their wanted time.
fn replay(jobs: &[ModelJob], rank: impl Fn(MonoTime, &ModelJob) -> JobRank) -> usize {
    let mut waiting: Vec<ModelJob> = jobs.to_vec();
    let mut running: Vec<(MonoTime, MonoTime)> = Vec::new();
    let (mut in_time, mut now) = (0, MonoTime::ZERO);
    while now < MonoTime::from_millis(12_000) {
        in_time += running.iter().filter(|(end, wanted)| *end <= now && end <= wanted).count();
        running.retain(|(end, _)| *end > now);
        waiting.retain(|(times, _)| !times.is_too_late(now, Duration::ZERO));
        let mut ready: Vec<ModelJob> = waiting.iter().filter(|job| arrival(job) <= now).copied().collect();
        ready.sort_by_key(|job| rank(now, job));
        for job in ready.into_iter().take(ROOMS - running.len()) {
            waiting.retain(|other| *other != job);
            running.push((now + job.0.expected, job.0.target_at));
        }
        now = now + ROUND;
    }
    in_time
}

fn arrival((times, _): &ModelJob) -> MonoTime {
    // A job that was asked for earlier arrives at the start of the load.
    times.asked_at.max(MonoTime::from_millis(2_000))
}

#[rstest]
#[case::at_capacity(100)]
#[case::burst(130)]
#[case::heavy_burst(180)]
fn in_time_answers_beat_the_order_of_deadlines(#[case] load: u64) {
    for seed in 0..5 {
        let jobs = make_arrivals(seed, load);
        let ranked = replay(&jobs, |now, (times, priority)| times.rank(now, *priority));
        let by_deadline = replay(&jobs, |_, (times, priority)| (*priority, false, times.target_at));
        assert!(ranked >= by_deadline, "load {load}% seed {seed}: {ranked} in time against {by_deadline}");
    }
}

#[test]
fn urgent_routes_go_first() {
    let now = MonoTime::from_millis(10_000);
    let times = JobTimes { asked_at: now, target_at: now + millis(200), abandon_at: now + millis(2_000), expected: millis(100) };
    let late = JobTimes { asked_at: now.before(millis(400)), target_at: now.before(millis(200)), ..times };
    assert!(late.rank(now, 0) < times.rank(now, 1));
    assert!(times.rank(now, 1) < late.rank(now, 1));
}

#[rstest]
#[case::first_try(1_900, 0)]
#[case::just_the_timeout(1_500, 0)]
#[case::came_back(1_400, 1_300)]
#[case::came_back_late(100, 1_400)]
fn returning_callers_are_known_by_their_patience(#[case] patience: u64, #[case] age: u64) {
    assert_eq!(job_age(millis(patience), millis(1_500), millis(1_300)), millis(age));
}

#[test]
fn jobs_without_time_are_refused() {
    let now = MonoTime::from_millis(10_000);
    let times = JobTimes { asked_at: now, target_at: now + millis(200), abandon_at: now + millis(2_000), expected: millis(100) };
    assert!(!times.is_too_late(now, millis(500)));
    assert!(times.is_too_late(now, millis(501)));
    let impatient = JobTimes { abandon_at: now + millis(300), ..times };
    assert!(impatient.is_too_late(now, millis(201)));
    assert_eq!(queue_wait(40.0, 80.0), Some(millis(500)));
    assert_eq!(queue_wait(0.0, 0.0), Some(Duration::ZERO), "the first job waits for the first worker");
    assert_eq!(queue_wait(1.0, 0.0), None, "nobody knows");
}

#[test]
fn an_entry_with_more_callers_than_others_counts_on_what_it_has() {
    // Eight entries share 800 cores, and a third of all callers come to this one.
    let (cores, entries) = (800.0, 8);
    assert_eq!(queue_wait(60.0, core_share(cores, entries, 0.0)), Some(millis(600)));
    assert_eq!(queue_wait(60.0, core_share(cores, entries, 40.0)), Some(millis(600)), "a quiet entry may still take its share");
    assert_eq!(queue_wait(60.0, core_share(cores, entries, 240.0)), Some(millis(250)));
    assert_eq!(queue_wait(60.0, core_share(cores, 0, 0.0)), Some(millis(75)), "before the entries are read there is one");
}

#[test]
fn refused_callers_are_told_when_there_is_room_and_not_all_the_same() {
    let returns = [2_u64, 3].map(|job| resubmit_delay(Some(millis(2_500)), CallerJobId(job)));
    assert_eq!(returns, [millis(3_500), millis(4_500)]);
    assert_eq!(resubmit_delay(None, CallerJobId(2)), millis(1_000), "the first workers are found within a second");
}
