//! Tests of the order and the refusal of waiting jobs under overload: for some seconds more work arrives than there is
//! capacity for, as in a burst or when callers resubmit after an outage.
//!
//! A seeded replay feeds arrivals and run times to a model with a fixed number of slots. The model has one entry that
//! always knows the state of every slot, and loses nothing. It leaves out frames, agents and errors of the estimates.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::entry::{core_share, job_age, queue_wait, resubmit_delay, JobRank, JobTimes};

/// Number of jobs that can be running at the same time.
const SLOTS: usize = 40;
/// Interval between two steps of the model.
const STEP_INTERVAL: Duration = Duration::from_millis(5);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A job of the model: its times and the priority of its route.
type ModelJob = (JobTimes, u32);

/// Returns the jobs that arrive in four seconds at `load` percent of the capacity. They follow 100 jobs that arrive together
/// at the start and were first submitted 1.4 s earlier.
fn make_arrivals(seed: u64, load: u64) -> Vec<ModelJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Jobs run for 200 ms on average.
    let per_second = SLOTS as u64 * 1_000 / 200 * load / 100;
    let mut jobs: Vec<ModelJob> = (0..100).map(|_| make_job(&mut rng, 2_000, 1_400)).collect();
    jobs.extend((0..per_second * 4).map(|number| {
        let at = 2_000 + number * 1_000 / per_second;
        make_job(&mut rng, at, 0)
    }));
    jobs
}

/// Returns a job that arrives at `at` and was first submitted `age` before, both in milliseconds.
fn make_job(rng: &mut ChaCha8Rng, at: u64, age: u64) -> ModelJob {
    let expected = millis(rng.random_range(100..300));
    let now = MonoTime::from_millis(at);
    let submitted_at = now.before(millis(age));
    let target_at = submitted_at + expected * 160 / 100 + millis(60);
    (JobTimes { submitted_at, target_at, abandon_at: submitted_at + millis(2_500), expected }, rng.random_range(0..2))
}

/// Runs the jobs, lowest `rank` first; returns the number of jobs that ended within their target time.
fn replay(jobs: &[ModelJob], rank: impl Fn(MonoTime, &ModelJob) -> JobRank) -> usize {
    let mut waiting: Vec<ModelJob> = jobs.to_vec();
    let mut running: Vec<(MonoTime, MonoTime)> = Vec::new();
    let (mut in_time, mut now) = (0, MonoTime::ZERO);
    while now < MonoTime::from_millis(12_000) {
        in_time += running.iter().filter(|(end, target_at)| *end <= now && end <= target_at).count();
        running.retain(|(end, _)| *end > now);
        waiting.retain(|(times, _)| !times.is_too_late(now, Duration::ZERO));
        let mut ready: Vec<ModelJob> = waiting.iter().filter(|job| arrival(job) <= now).copied().collect();
        ready.sort_by_key(|job| rank(now, job));
        for job in ready.into_iter().take(SLOTS - running.len()) {
            waiting.retain(|other| *other != job);
            running.push((now + job.0.expected, job.0.target_at));
        }
        now = now + STEP_INTERVAL;
    }
    in_time
}

fn arrival((times, _): &ModelJob) -> MonoTime {
    // A job that was first submitted before the load starts arrives at its start.
    times.submitted_at.max(MonoTime::from_millis(2_000))
}

#[rstest]
#[case::at_capacity(100)]
#[case::burst(130)]
#[case::heavy_burst(180)]
fn rank_yields_at_least_as_many_in_time_answers_as_deadline_order(#[case] load: u64) {
    for seed in 0..5 {
        let jobs = make_arrivals(seed, load);
        let ranked = replay(&jobs, |now, (times, priority)| times.rank(now, *priority));
        let by_deadline = replay(&jobs, |_, (times, priority)| (*priority, false, times.target_at));
        assert!(ranked >= by_deadline, "load {load}% seed {seed}: {ranked} in time by rank, {by_deadline} by deadline");
    }
}

#[test]
fn routes_are_ranked_by_priority_first() {
    let now = MonoTime::from_millis(10_000);
    let times = JobTimes { submitted_at: now, target_at: now + millis(200), abandon_at: now + millis(2_000), expected: millis(100) };
    let late = JobTimes { submitted_at: now.before(millis(400)), target_at: now.before(millis(200)), ..times };
    assert!(late.rank(now, 0) < times.rank(now, 1));
    assert!(times.rank(now, 1) < late.rank(now, 1));
}

#[rstest]
#[case::first_submission(1_900, 0)]
#[case::exact_timeout(1_500, 0)]
#[case::resubmitted(1_400, 1_300)]
#[case::resubmitted_late(100, 1_400)]
fn resubmissions_are_recognized_by_their_remaining_timeout(#[case] caller_timeout: u64, #[case] age: u64) {
    assert_eq!(job_age(millis(caller_timeout), millis(1_500), millis(1_300)), millis(age));
}

#[test]
fn jobs_that_would_end_too_late_are_detected() {
    let now = MonoTime::from_millis(10_000);
    let times = JobTimes { submitted_at: now, target_at: now + millis(200), abandon_at: now + millis(2_000), expected: millis(100) };
    assert!(!times.is_too_late(now, millis(500)));
    assert!(times.is_too_late(now, millis(501)));
    let short_timeout = JobTimes { abandon_at: now + millis(300), ..times };
    assert!(short_timeout.is_too_late(now, millis(201)));
    assert_eq!(queue_wait(40.0, 80.0), Some(millis(500)));
    assert_eq!(queue_wait(0.0, 0.0), Some(Duration::ZERO), "the first job is accepted and waits for the first worker");
    assert_eq!(queue_wait(1.0, 0.0), None, "no wait is known without cores");
}

#[test]
fn core_share_is_at_least_what_the_entry_uses() {
    // Eight entries share 800 cores. This one receives a third of all callers, so its jobs can occupy more than an equal share.
    let (cores, entries) = (800.0, 8);
    assert_eq!(queue_wait(60.0, core_share(cores, entries, 0.0)), Some(millis(600)));
    assert_eq!(
        queue_wait(60.0, core_share(cores, entries, 40.0)),
        Some(millis(600)),
        "an entry with few jobs still counts on an equal share"
    );
    assert_eq!(queue_wait(60.0, core_share(cores, entries, 240.0)), Some(millis(250)));
    assert_eq!(queue_wait(60.0, core_share(cores, 0, 0.0)), Some(millis(75)), "the entry counts itself until the list of entries is read");
}

#[test]
fn resubmit_delays_cover_the_queue_wait_and_are_staggered() {
    let delays = [2_u64, 3].map(|job| resubmit_delay(Some(millis(2_500)), CallerJobId(job)));
    assert_eq!(delays, [millis(3_500), millis(4_500)]);
    assert_eq!(resubmit_delay(None, CallerJobId(2)), millis(1_000), "the first workers connect within a second");
}
