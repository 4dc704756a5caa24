//! Tests that a task which crashes each worker that starts it is given up, and harms as little else as possible.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use vanillacleat_core::run_frames::{CrashStage, CrashedRun, RunFrame, RunOutcome};
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::RunnerEvent;
use vanillacleat_runs::entry::{CallerAnswer, CrashLog, CrashVerdict, JobPhase};
use vanillacleat_standin::WorkerModel;

mod support;
use support::agent_bench::{run, AgentBench, BORN, WORKER};
use support::peer_bench::PeerBench;

/// Number of the caller whose job is deadly.
const CALLER: u64 = 1;
/// Number of crashes after which a task may be started again less than [`STARTS_AFTER_MAX`] times.
const CRASHES_MAX: usize = 3;
/// Number of starts after the third crash that breaks the limit.
const STARTS_AFTER_MAX: usize = 3;
/// Time after which a caller submits its job again after its entry was lost, in milliseconds.
const RESUBMIT_AFTER: u64 = 1_300;

/// Returns entries with eight agents. The caller's job is deadly.
fn deadly_bench(entries: usize) -> PeerBench {
    let mut bench = PeerBench::new(entries, 8);
    bench.set_run_time(300);
    bench.set_deadly(CALLER);
    bench
}

/// Each start of the deadly task crashes its worker.
fn starts(bench: &PeerBench) -> usize {
    bench.crash_times().len()
}

// Guards against a task that takes down one worker after the other until its caller gives up (BUDGET).
#[test]
fn deadly_task_is_given_up() {
    let mut bench = deadly_bench(1);
    bench.submit(0, CALLER, 1);
    bench.advance(bench.now() + 6_000);
    assert!(starts(&bench) < CRASHES_MAX + STARTS_AFTER_MAX, "started {} times", starts(&bench));
    assert_eq!(bench.answers_to(1), vec![&CallerAnswer::Ended(JobPhase::Failed)]);
}

// Guards against a deadly task that begins anew at another entry each time that its entry is lost (BUDGET).
#[test]
fn deadly_task_stays_known_when_its_entry_is_lost() {
    let mut bench = deadly_bench(3);
    bench.submit(0, CALLER, 1);
    for round in 1..=7 {
        let before = starts(&bench);
        let lost_at = bench.now() + 400;
        bench.advance(lost_at);
        assert!(starts(&bench) <= before + 1, "an entry needs half a second to notice a crash");
        bench.restart((round - 1) % 3);
        bench.advance(lost_at + RESUBMIT_AFTER);
        bench.resubmit(round % 3, CALLER, round as u64 + 1);
    }
    bench.advance(bench.now() + 6_000);
    assert!(starts(&bench) < CRASHES_MAX + STARTS_AFTER_MAX, "started {} times", starts(&bench));
}

// Guards against starts that are sent to a worker whose process is known to be gone, and that come back only with the end of its lease.
#[test]
fn start_at_a_gone_worker_comes_back_at_once() {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(2_000);
    bench.refuses_connections = true;
    bench.advance(2_120);
    bench.order_start(1, run(1, 1));
    bench.advance(2_140);
    assert_eq!(bench.outcomes(run(1, 1)), vec![RunOutcome::Closed]);
}

/// Returns the tasks that the agent has reported as those under which its worker crashed, with what was known of them.
fn crashed_tasks(bench: &AgentBench) -> BTreeMap<u16, CrashStage> {
    let frames = bench.sent_frames.iter().filter_map(|(_, frame)| if let RunFrame::Crashes(runs) = frame { Some(runs) } else { None });
    frames.flatten().map(|run| (run.task.index, run.stage)).collect()
}

/// Returns an agent whose worker has run a run for two seconds, and another one for some milliseconds.
fn bench_with_old_and_new_run() -> AgentBench {
    let mut bench = AgentBench::new();
    bench.order_start(1, run(0, 1));
    bench.advance(2_000);
    bench.order_start(2, run(1, 1));
    bench.advance(2_010);
    bench
}

// Guards against a crash that counts against tasks which had survived their start, and against one that only the home of a task learns of.
#[test]
fn crash_is_reported_to_every_entry_with_what_was_starting() {
    let mut bench = bench_with_old_and_new_run();
    bench.deadly_tasks.insert(run(1, 1).task);
    bench.advance(2_700);
    assert_eq!(crashed_tasks(&bench), BTreeMap::from([(0, CrashStage::Running), (1, CrashStage::Starting)]));
    let sessions = bench.sent_frames.iter().filter(|(_, frame)| matches!(frame, RunFrame::Crashes(_)));
    assert_eq!(sessions.map(|(session, _)| session.0).collect::<Vec<_>>(), vec![1, 2]);
}

// Guards against a worker that was only cut off or silent for a while, and whose tasks are taken for deadly.
#[test]
fn silent_worker_is_no_crash_unless_another_incarnation_follows() {
    let mut bench = bench_with_old_and_new_run();
    bench.is_lost = |_| true;
    bench.advance(4_000);
    assert_eq!(bench.outcomes(run(1, 1)), vec![RunOutcome::Lost]);
    bench.is_lost = |_| false;
    bench.advance(5_000);
    assert_eq!(crashed_tasks(&bench), BTreeMap::new());
    bench.order_start(1, run(2, 1));
    bench.advance(5_010);
    bench.is_lost = |_| true;
    bench.advance(6_000);
    assert_eq!(crashed_tasks(&bench), BTreeMap::new());
    bench.is_lost = |_| false;
    bench.worker = WorkerModel::new(bench.worker_time(), WORKER, BORN + 6_000, bench.worker.capacity);
    bench.beat(WORKER, BORN + 6_000);
    bench.advance(7_000);
    assert_eq!(crashed_tasks(&bench), BTreeMap::from([(2, CrashStage::Starting)]));
}

// Guards against a planned exit that counts as a crash.
#[test]
fn worker_that_leaves_has_not_crashed() {
    let mut bench = bench_with_old_and_new_run();
    bench.deliver(RunnerEvent::WorkerDeregistered(WORKER.into()));
    bench.refuses_connections = true;
    bench.advance(3_000);
    assert_eq!((bench.outcomes(run(1, 1)), crashed_tasks(&bench)), (vec![RunOutcome::Lost], BTreeMap::new()));
}

// Guards against starts that an idle worker's agent accepts one after the other although the worker's process is gone.
#[test]
fn idle_worker_that_is_gone_accepts_no_starts_until_it_answers() {
    let mut bench = AgentBench::new();
    bench.advance(2_000);
    bench.refuses_connections = true;
    for index in 0..5 {
        bench.order_start(1, run(index, 1));
        bench.advance(bench.now() + 60);
        assert_eq!(bench.outcomes(run(index, 1)), vec![RunOutcome::Closed]);
    }
    let started = bench.log_lines.iter().filter(|(_, line)| line.starts_with("event=run_started")).count();
    assert_eq!(started, 1);
    bench.refuses_connections = false;
    bench.advance(3_000);
    bench.order_start(1, run(6, 1));
    bench.advance(3_010);
    assert!(bench.is_running(run(6, 1)));
}

/// Number of workers in a storm of deadly jobs.
const STORM_WORKERS: u64 = 11;
/// Interval between two deadly jobs in a storm, in milliseconds. Two crashes for each keep more workers down than there are.
const STORM_INTERVAL: u64 = 300;
/// Time of a storm after which it has to be contained: some deadly tasks have crashed two workers each, and all workers that crashed are
/// back, in milliseconds.
const CONTAINED_AFTER: u64 = 6_000;

/// Runs a storm of deadly jobs on one route for twelve seconds, and a harmless job on the other route every 50 ms. Returns how many of the
/// harmless jobs that were submitted once the storm has to be contained succeeded, and how many there were.
fn ride_out_storm(entries: usize) -> (usize, usize) {
    let mut bench = PeerBench::new(entries, STORM_WORKERS);
    bench.set_run_time(100);
    let (begin, mut observed) = (bench.now(), BTreeSet::new());
    for step in 0..240 {
        let (at, entry) = (step * 50, step as usize % entries);
        if at % STORM_INTERVAL == 0 {
            bench.set_deadly(10_000 + step);
            bench.submit(entry, 10_000 + step, 10_000 + step);
        }
        bench.submit_elsewhere(entry, 1 + step, 1 + step);
        if at >= CONTAINED_AFTER {
            observed.insert(1 + step);
        }
        bench.advance(begin + at + 50);
    }
    bench.advance(bench.now() + 3_000);
    let succeeded = observed.iter().filter(|reply| bench.answers_to(**reply) == vec![&CallerAnswer::Ended(JobPhase::Succeeded)]);
    (succeeded.count(), observed.len())
}

// Guards against deadly tasks on one route that keep all workers down, so that no other route is served either.
#[rstest]
fn deadly_tasks_of_one_route_leave_workers_to_the_others(#[values(1, 3)] entries: usize) {
    let (succeeded, observed) = ride_out_storm(entries);
    assert_eq!(succeeded, observed);
}

// Guards against a job that is shown as failed because of a start that its second worker had never received (LOST), and against a
// deadly task that is started too often because no worker lives to confirm it (BUDGET).
#[test]
fn unconfirmed_starts_count_less_than_confirmed_ones() {
    let verdict_after = |stages: &[CrashStage]| {
        let mut crash_log = CrashLog::default();
        for (number, stage) in stages.iter().enumerate() {
            let crashed = CrashedRun { task: run(0, 1).task, route: "bids".into(), born: BORN, stage: *stage };
            crash_log.record(MonoTime::ZERO, &format!("agent-{number}").parse().expect("a valid name"), &crashed);
        }
        crash_log.verdict(&run(0, 1).task)
    };
    use CrashStage::{Running, Starting, Unconfirmed};
    assert_eq!(verdict_after(&[Starting, Unconfirmed]), CrashVerdict::Suspect);
    assert_eq!(verdict_after(&[Starting, Starting]), CrashVerdict::Deadly);
    assert_eq!(verdict_after(&[Running, Starting]), CrashVerdict::Suspect);
    assert_eq!(verdict_after(&[Running, Starting, Running]), CrashVerdict::Deadly);
    assert_eq!(verdict_after(&[Unconfirmed; 3]), CrashVerdict::Harmless);
    assert_eq!(verdict_after(&[Unconfirmed; 4]), CrashVerdict::Deadly);
}

// Guards against one crash that counts twice, because an agent reports it again, on a new session or with another stage.
#[test]
fn repeated_report_of_a_crash_counts_once() {
    let mut crash_log = CrashLog::default();
    let agent = "agent-1".parse().expect("a valid name");
    let crashed = CrashedRun { task: run(0, 1).task, route: "bids".into(), born: BORN, stage: CrashStage::Starting };
    assert_eq!(crash_log.record(MonoTime::ZERO, &agent, &crashed), Some(CrashVerdict::Suspect));
    assert_eq!(crash_log.record(MonoTime::ZERO, &agent, &crashed), None);
    let unconfirmed = CrashedRun { stage: CrashStage::Unconfirmed, ..crashed };
    assert_eq!(crash_log.record(MonoTime::ZERO, &agent, &unconfirmed), None);
    assert_eq!(crash_log.job_verdict(run(0, 1).task.job), CrashVerdict::Suspect);
}
