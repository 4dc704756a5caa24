//! Tests that a job that is submitted again to another entry has one home, whatever happens to the entries and their links. The caller's
//! connection breaks on the caller's side only: the entry that holds the job doesn't learn of it.

use rstest::rstest;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_core::peer_frames::{HeldState, JobReport, JobReports, PeerFrame, PeerHello, PeerPulse};
use vanillacleat_core::run_frames::SessionOrder;
use vanillacleat_core::units::Millis;
use vanillacleat_runs::entry::{CallerAnswer, DispatchEvent, JobPhase, PeerEvent};

mod support;
use support::peer_bench::PeerBench;

/// Number of the caller whose job is observed.
const CALLER: u64 = 1;
/// Time after which a caller submits its job again, in milliseconds.
const RESUBMIT_AFTER: u64 = 1_300;
/// Reply ids of the first submission and of those after it.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const THIRD: u64 = 3;
/// Time after the last frame of a lost home after which none of its runs can go on: the lease of the remote waiter and those of runs.
const HOME_LOSS_TIMEOUT: u64 = 600 + 958;

/// Returns entries of which entry 0 runs the job of the caller for `run_time`, when the caller submits it again to entry 1. Entry 1 has
/// another view of the agents, so that it would choose another worker.
fn resubmitted(entries: usize, run_time: u64) -> PeerBench {
    let mut bench = PeerBench::new(entries, 4);
    bench.set_run_time(run_time);
    bench.submit(0, CALLER, FIRST);
    bench.advance(bench.now() + RESUBMIT_AFTER);
    assert_eq!(bench.runs_of(CALLER).len(), 1);
    bench.resubmit(1, CALLER, SECOND);
    bench
}

fn succeeded() -> Vec<&'static CallerAnswer> {
    vec![&CallerAnswer::Ended(JobPhase::Succeeded)]
}

fn queries(bench: &PeerBench) -> usize {
    bench.peer_frames.iter().filter(|(_, _, frame)| matches!(frame, PeerFrame::Queries(_))).count()
}

// Guards against a second run of a task while the first entry still runs it, because that entry doesn't know that the caller has left.
#[rstest]
fn job_stays_with_the_entry_that_runs_it(#[values(2, 3)] entries: usize) {
    let mut bench = resubmitted(entries, 1_800);
    bench.advance(bench.now() + 1_000);
    assert_eq!((bench.runs_of(CALLER).len(), bench.double_runs.len()), (1, 0), "{:?}", bench.log_lines);
    assert_eq!(bench.answers_to(SECOND), succeeded());
}

// Guards against a run that is stopped because the first connection is found to be broken while another entry waits for the job.
#[test]
fn job_goes_on_for_the_remote_waiter_alone() {
    let mut bench = resubmitted(2, 1_800);
    bench.advance(bench.now() + 200);
    bench.deliver(0, DispatchEvent::CallerDisconnected(ReplyId(FIRST)));
    bench.advance(bench.now() + 800);
    assert_eq!((bench.runs_of(CALLER).len(), bench.double_runs.len()), (1, 0));
    assert_eq!(bench.answers_to(SECOND), succeeded());
}

// Guards against a job that goes on although neither connection of its caller is left.
#[test]
fn job_is_stopped_once_nobody_waits() {
    let mut bench = resubmitted(2, 5_000);
    bench.advance(bench.now() + 200);
    bench.deliver(0, DispatchEvent::CallerDisconnected(ReplyId(FIRST)));
    bench.deliver(1, DispatchEvent::CallerDisconnected(ReplyId(SECOND)));
    bench.advance(bench.now() + 100);
    assert_eq!((bench.entry(0).job_table().jobs().count(), bench.answers.len()), (0, 0));
}

// Guards against work that is run again although it was done before the caller came back.
#[test]
fn ended_job_is_answered_without_a_run() {
    let mut bench = resubmitted(2, 1_000);
    bench.advance(bench.now() + 100);
    assert_eq!(bench.answers_to(SECOND), succeeded());
    assert_eq!(bench.runs_of(CALLER).len(), 1);
}

// Guards against a job that is started again while its home, whose link was cut, still runs it, or that nobody runs any more.
#[rstest]
fn cut_link_starts_no_second_run_before_the_leases_end(#[values(20, 50, 200, 500)] cut_after: u64, #[values(true, false)] is_closed: bool) {
    let mut bench = resubmitted(2, 60_000);
    bench.advance(bench.now() + cut_after);
    let (cut_at, link) = (bench.now(), bench.link(0, 1).expect("a link"));
    bench.cut.insert((0, 1));
    if is_closed {
        bench.deliver(1, DispatchEvent::Peer(PeerEvent::Closed(link)));
    }
    bench.set_run_time(200);
    bench.advance(cut_at + HOME_LOSS_TIMEOUT + 500);
    assert_eq!(bench.double_runs.len(), 0, "{:?}", bench.log_lines);
    assert_eq!(bench.answers_to(SECOND), succeeded(), "{:?}", bench.log_lines);
}

// Guards against a caller that is told nothing, or a second run, after the answer was lost together with the link.
#[test]
fn answer_that_was_lost_with_the_link_is_asked_for_again() {
    let mut bench = resubmitted(2, 1_600);
    bench.advance(bench.now() + 100);
    bench.cut.insert((0, 1));
    let link = bench.link(0, 1).expect("a link");
    (0..2).for_each(|entry| bench.deliver(entry, DispatchEvent::Peer(PeerEvent::Closed(link))));
    bench.advance(bench.now() + 300);
    assert_eq!(bench.entry(0).job_table().final_phase(&PeerBench::job(CALLER)), Some(JobPhase::Succeeded));
    bench.cut.clear();
    bench.advance(bench.now() + 700);
    assert_eq!(bench.answers_to(SECOND), succeeded());
    assert_eq!(bench.runs_of(CALLER).len(), 1);
}

/// Pauses the home for `paused_for` milliseconds before the job is submitted again and for `resumed_after` afterwards.
fn pause_home(paused_for: u64, resumed_after: u64) -> PeerBench {
    let mut bench = PeerBench::new(2, 4);
    bench.set_run_time(60_000);
    bench.submit(0, CALLER, FIRST);
    bench.advance(bench.now() + RESUBMIT_AFTER - paused_for);
    bench.set_paused(0, true);
    bench.advance(bench.now() + paused_for);
    bench.resubmit(1, CALLER, SECOND);
    bench.advance(bench.now() + resumed_after);
    bench.set_paused(0, false);
    bench.advance(bench.now() + 2_000);
    bench
}

// Guards against a home that was paused and places the job again when it resumes, after another entry has started it.
#[rstest]
fn resumed_home_starts_no_second_run(#[values(1_000, 1_250)] paused_for: u64, #[values(300, 700, 1_000, 3_000)] resumed_after: u64) {
    let bench = pause_home(paused_for, resumed_after);
    assert_eq!(bench.double_runs.len(), 0, "{:?}", bench.log_lines);
    assert!(bench.runs_of(CALLER).len() <= 2, "{:?}", bench.log_lines);
}

// Guards against a run beside that of a home that was paused just before the job was submitted again: the leases of its runs go on.
#[rstest]
fn home_that_was_just_paused_is_waited_for(
    #[values(20, 100, 300, 600, 900)] paused_for: u64,
    #[values(100, 500, 900, 3_000)] resumed_after: u64,
) {
    let bench = pause_home(paused_for, resumed_after);
    assert_eq!(bench.double_runs.len(), 0, "{:?}", bench.log_lines);
}

// Guards against a resubmission that is held for an entry that doesn't answer. The silent entry may be out of reach and run the job, so that the
// answer must not say that it has not run.
#[test]
fn silent_peer_delays_a_resubmission_by_a_second_at_most() {
    let mut bench = PeerBench::new(3, 4);
    bench.set_run_time(100);
    bench.set_paused(0, true);
    bench.resubmit(1, CALLER, SECOND);
    bench.advance(bench.now() + 1_000 + 20);
    assert!(matches!(bench.answers_to(SECOND)[..], [CallerAnswer::Abandoned(_)]), "{:?}", bench.answers);
    assert_eq!(bench.runs_of(CALLER).len(), 0);
    bench.advance(bench.now() + 1_500);
    assert!(bench.has_logged(1, "event=peer_lost address=entry-0"));
    bench.set_paused(0, false);
    bench.advance(bench.now() + 500);
    bench.resubmit(1, CALLER, THIRD);
    bench.advance(bench.now() + 500);
    assert_eq!(bench.answers_to(THIRD), succeeded());
}

// Guards against two entries that are asked for the same job at the same time and wait for each other, or both run it.
#[rstest]
fn two_entries_that_ask_at_once_run_the_job_once(#[values(0, 1, 2, 10, 26, 30)] apart: u64, #[values(0, 1)] first: usize) {
    let mut bench = PeerBench::new(2, 4);
    bench.set_run_time(300);
    bench.resubmit(first, CALLER, FIRST);
    bench.advance(bench.now() + apart);
    bench.resubmit(1 - first, CALLER, SECOND);
    bench.advance(bench.now() + 1_000);
    assert_eq!((bench.runs_of(CALLER).len(), bench.double_runs.len()), (1, 0), "{:?}", bench.log_lines);
    assert_eq!((bench.answers_to(FIRST), bench.answers_to(SECOND)), (succeeded(), succeeded()));
}

// Guards against three entries that wait for each other in a circle.
#[rstest]
fn three_entries_that_ask_at_once_run_the_job_once(#[values(0, 1, 3, 25)] apart: u64) {
    let mut bench = PeerBench::new(3, 4);
    bench.set_run_time(300);
    for (entry, reply) in [(2, FIRST), (0, SECOND), (1, THIRD)] {
        bench.resubmit(entry, CALLER, reply);
        bench.advance(bench.now() + apart);
    }
    bench.advance(bench.now() + 1_000);
    assert_eq!((bench.runs_of(CALLER).len(), bench.double_runs.len()), (1, 0), "{:?}", bench.log_lines);
    assert!([FIRST, SECOND, THIRD].iter().all(|reply| bench.answers_to(*reply) == succeeded()));
}

// Guards against a job that is started again at once when its home is restarted, while the agents still let its runs go on.
#[test]
fn restarted_home_starts_no_second_run() {
    let mut bench = resubmitted(2, 60_000);
    bench.advance(bench.now() + 200);
    bench.restart(0);
    bench.set_run_time(200);
    bench.advance(bench.now() + HOME_LOSS_TIMEOUT + 500);
    assert_eq!(bench.double_runs.len(), 0, "{:?}", bench.log_lines);
    assert_eq!(bench.answers_to(SECOND), succeeded(), "{:?}", bench.log_lines);
}

// Guards against a caller whose job has come to a draining entry, which exits without an answer.
#[test]
fn draining_home_answers_before_it_exits() {
    let mut bench = resubmitted(2, 1_600);
    bench.advance(bench.now() + 50);
    bench.deliver(0, DispatchEvent::Drain);
    bench.advance(bench.now() + 1_000);
    assert_eq!(bench.answers_to(SECOND), succeeded());
}

// Guards against messages for the first submission of a job.
#[test]
fn first_submission_sends_no_query() {
    let mut bench = PeerBench::new(3, 4);
    bench.set_run_time(50);
    (0..20).for_each(|caller| bench.submit(caller as usize % 3, caller, caller));
    bench.advance(bench.now() + 500);
    assert_eq!((bench.answers.len(), queries(&bench)), (20, 0));
}

// Guards against a link whose traffic grows while nothing happens.
#[test]
fn idle_link_carries_about_one_frame_a_second() {
    let mut bench = PeerBench::new(2, 4);
    bench.advance(3_000);
    bench.peer_frames.clear();
    bench.advance(13_000);
    let sent = bench.peer_frames.iter().filter(|(_, entry, _)| *entry == 0).count();
    assert!((8..=12).contains(&sent), "{sent} frames in ten seconds");
}

// Guards against an answer that comes after the job was placed here: the entry that held it must give it up.
#[test]
fn late_answer_is_taken_over() {
    let mut bench = PeerBench::new(2, 4);
    bench.set_run_time(2_000);
    bench.resubmit(1, CALLER, SECOND);
    bench.advance(bench.now() + 100);
    let link = bench.link(0, 1).expect("a link");
    let report = JobReport { job: PeerBench::job(CALLER), state: HeldState::Open };
    let reports = PeerFrame::Reports(JobReports { clock: Millis(1), reports: vec![report] });
    bench.deliver(1, DispatchEvent::Peer(PeerEvent::Frame { session: link, frame: reports }));
    assert!(bench.peer_frames.iter().any(|(_, entry, frame)| *entry == 1 && matches!(frame, PeerFrame::Takeovers(_))));
    assert_eq!(bench.runs_of(CALLER).len(), 1);
}

fn make_hello(incarnation: u64, address: &str) -> PeerFrame {
    let order = SessionOrder { process_start: "0".parse::<u64>().map(vanillacleat_core::ids::ProcessStart).expect("a number"), number: 0 };
    let incarnation = vanillacleat_core::ids::Incarnation(incarnation);
    PeerFrame::Hello(PeerHello { address: address.into(), incarnation, order, zone: "zone-0".parse().expect("a valid name") })
}

// Guards against a frame that takes the process down, or that is acted on although nobody can have sent it.
#[rstest]
#[case::before_the_hello(vec![PeerFrame::Queries(Vec::new())])]
#[case::own_hello(vec![make_hello(10, "entry-9")])]
#[case::earlier_link(vec![make_hello(77, "entry-1")])]
#[case::second_hello(vec![make_hello(77, "entry-9"), make_hello(78, "entry-9")])]
#[case::long_address(vec![make_hello(77, &"9".repeat(65))])]
#[case::future_echo(vec![make_hello(77, "entry-9"), PeerFrame::Pulse(PeerPulse { echo: Millis(u64::MAX), ..PeerPulse::default() })])]
#[case::too_many(vec![make_hello(77, "entry-9"), PeerFrame::Takeovers(vec![PeerBench::job(1); 513])])]
fn unexpected_frame_is_counted_and_closes_its_link(#[case] frames: Vec<PeerFrame>) {
    let mut bench = PeerBench::new(2, 1);
    let session = SessionId(9_000);
    bench.deliver(0, DispatchEvent::Peer(PeerEvent::Opened { session, dialed: None }));
    for frame in frames {
        assert_eq!(bench.entry(0).refused_peer_frames(), 0);
        bench.deliver(0, DispatchEvent::Peer(PeerEvent::Frame { session, frame }));
    }
    assert_eq!((bench.entry(0).refused_peer_frames(), bench.entry(0).peer_count()), (1, 1));
    bench.advance(bench.now() + 100);
    assert!(bench.link(0, 1).is_some());
}

// Guards against frames for jobs that the receiver doesn't know.
#[test]
fn frames_for_unknown_jobs_change_nothing() {
    let mut bench = PeerBench::new(2, 4);
    bench.set_run_time(500);
    bench.submit(0, CALLER, FIRST);
    bench.advance(bench.now() + 50);
    let session = bench.link(0, 1).expect("a link");
    let job = PeerBench::job(CALLER);
    let report = JobReports { clock: Millis(0), reports: vec![JobReport { job: PeerBench::job(9), state: HeldState::Open }] };
    for frame in [PeerFrame::Takeovers(vec![job]), PeerFrame::Withdrawals(vec![job]), PeerFrame::Reports(report)] {
        bench.deliver(0, DispatchEvent::Peer(PeerEvent::Frame { session, frame }));
    }
    bench.advance(bench.now() + 600);
    assert_eq!((bench.answers_to(FIRST), bench.runs_of(CALLER).len()), (succeeded(), 1));
}
