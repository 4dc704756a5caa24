//! Tests that an entry that resumes after a pause starts no run of a job whose caller has left meanwhile: the caller may have
//! submitted the job to another entry, which runs it. What has arrived during the pause is read by several tasks, in any order.

use std::time::Duration;

use rstest::rstest;
use vanillacleat_control::{ReplyId, SessionId};
use vanillacleat_runs::agent::RunnerEvent;
use vanillacleat_runs::entry::DispatchEvent;

mod support;
use support::agent_bench::{run, AgentBench};
use support::site_bench::{SiteBench, OTHER_ENTRY};

/// Number of the caller whose job is observed.
const CALLER: u64 = 1;

/// Returns a site with two idle agents, whose reports were answered shortly before 1,080 ms. Their workers have no room for another
/// run if `is_full`.
fn make_site(is_full: bool) -> SiteBench {
    let mut site = SiteBench::new(2);
    for agent in 0..2 {
        site.open_session(agent, 1);
    }
    site.advance(500);
    if is_full {
        (0..2).for_each(|agent| occupy(&mut site.agents[agent], SiteBench::session(agent, OTHER_ENTRY)));
    }
    site.advance(1_080);
    site
}

/// Fills the worker of an agent with the runs of another entry.
fn occupy(agent: &mut AgentBench, session: SessionId) {
    agent.deliver(RunnerEvent::SessionOpened { session, address: "entry-2".into() });
    agent.answering.insert(session);
    (0..10).for_each(|index| agent.order_start(session.0, run(index, 1)));
}

/// Pauses the entry for `pause` milliseconds. The runs of the other entry end during the last half second.
fn pause_entry(site: &mut SiteBench, pause: u64) {
    site.is_paused = true;
    site.advance(site.now() + pause - 500);
    for agent in &mut site.agents {
        agent.answering.clear();
    }
    site.advance(site.now() + 500);
    site.is_paused = false;
}

/// The order in which a resumed entry reads its sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOrder {
    /// The ends of sessions are read together with the frames of the agents.
    ClosedWithFrames,
    /// The ends of sessions are read later than the frames of the agents.
    ClosedLater,
}

/// Resumes the entry: its control thread handles a tick, then the frames of the agents, 2 ms later `others`, and the disconnect of the
/// caller `delay` milliseconds after the tick. Returns for how many milliseconds a worker runs a task of the job afterwards.
fn resume_entry(site: &mut SiteBench, order: ReadOrder, delay: u64, others: Vec<DispatchEvent>) -> u64 {
    let resumed_at = site.now();
    site.unread_disconnects.insert(ReplyId(1));
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::Tick]);
    let is_later = |event: &DispatchEvent| order == ReadOrder::ClosedLater && matches!(event, DispatchEvent::SessionClosed(_));
    let (closed, arrived): (Vec<_>, Vec<_>) = site.take_arrived().into_iter().partition(is_later);
    // The next maintenance is due with this batch.
    site.advance(resumed_at + 9);
    site.deliver_batch(Duration::ZERO, arrived);
    let mut running_time = 0;
    for at in resumed_at + 10..resumed_at + 1_000 {
        site.advance(at);
        if at == resumed_at + 11 {
            site.deliver_batch(Duration::ZERO, closed.iter().chain(&others).cloned().collect());
        }
        if at == resumed_at + 10 + delay {
            site.deliver_batch(Duration::ZERO, vec![DispatchEvent::CallerDisconnected(ReplyId(1))]);
        }
        let mut running = site.agents.iter().flat_map(|agent| agent.worker.running());
        running_time += u64::from(running.any(|run| run.task.job == SiteBench::job(CALLER)));
    }
    running_time
}

// Guards against a job that waited for room before the pause and is placed after it, before the disconnect is read.
#[rstest]
fn waiting_job_is_not_placed_before_its_caller_is_known_to_wait(
    #[values(1_300, 1_400, 1_900, 2_400, 4_000)] pause: u64,
    #[values(ReadOrder::ClosedWithFrames, ReadOrder::ClosedLater)] order: ReadOrder,
    #[values(5, 25)] delay: u64,
) {
    let mut site = make_site(true);
    // A job of this length is still worth its start after the pause.
    site.estimate = 700;
    site.request(CALLER, 1);
    site.advance(site.now() + 10);
    assert_eq!((site.starts.len(), site.answers.len()), (0, 0));
    pause_entry(&mut site, pause);
    assert_eq!(resume_entry(&mut site, order, delay, Vec::new()), 0);
}

// Guards against a job whose run ended with its lease during the pause, and which is placed again after it.
#[rstest]
fn interrupted_job_is_not_placed_again_before_its_caller_is_known_to_wait(
    #[values(1_300, 1_400, 1_900, 2_400, 4_000)] pause: u64,
    #[values(ReadOrder::ClosedWithFrames, ReadOrder::ClosedLater)] order: ReadOrder,
    #[values(5, 25)] delay: u64,
) {
    let mut site = make_site(false);
    site.request(CALLER, 1);
    site.advance(site.now() + 10);
    assert_eq!(site.starts.len(), 1);
    pause_entry(&mut site, pause);
    assert_eq!(resume_entry(&mut site, order, delay, Vec::new()), 0);
}

// Guards against a request that arrived at the start of the pause, and whose caller has left since.
#[rstest]
fn request_of_the_pause_is_not_placed_before_its_caller_is_known_to_wait(
    #[values(1_300, 1_400, 1_900, 2_400, 4_000)] pause: u64,
    #[values(ReadOrder::ClosedWithFrames, ReadOrder::ClosedLater)] order: ReadOrder,
    #[values(5, 25)] delay: u64,
) {
    let mut site = make_site(false);
    pause_entry(&mut site, pause);
    let others = vec![site.make_request(CALLER, 1)];
    assert_eq!(resume_entry(&mut site, order, delay, others), 0);
}

/// Returns a site whose entry has resumed and keeps the request of a caller that still waits.
fn resume_with_request() -> SiteBench {
    let mut site = make_site(false);
    pause_entry(&mut site, 1_300);
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::Tick]);
    site.request(CALLER, 1);
    site
}

// Guards against an entry that places nothing any more after a pause.
#[test]
fn request_of_a_caller_that_still_waits_is_placed() {
    let mut site = resume_with_request();
    assert_eq!((site.starts.len(), site.answers.len()), (0, 0), "the connections have not been read yet");
    site.advance(site.now() + 50);
    assert_eq!(site.starts.len(), 1, "answers {:?}", site.answers);
}

// Guards against a wait without a bound if the confirmation is lost.
#[test]
fn lost_confirmation_delays_a_request_for_a_second() {
    let mut site = resume_with_request();
    // This disconnect never arrives.
    site.unread_disconnects.insert(ReplyId(99));
    site.advance(site.now() + 990);
    assert_eq!((site.starts.len(), site.answers.len()), (0, 0));
    site.advance(site.now() + 30);
    assert_eq!(site.starts.len(), 1, "answers {:?}", site.answers);
}

// Guards against a disconnect of a second pause that is taken for read because the connections were read after the first one.
#[test]
fn confirmation_of_an_earlier_pause_does_not_count() {
    let mut site = resume_with_request();
    site.unread_disconnects.insert(ReplyId(99));
    site.advance(site.now() + 20);
    pause_entry(&mut site, 600);
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::Tick]);
    site.advance(site.now() + 50);
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::CallersConfirmed(1)]);
    site.advance(site.now() + 50);
    assert_eq!((site.starts.len(), site.answers.len()), (0, 0));
    site.deliver_batch(Duration::ZERO, vec![DispatchEvent::CallersConfirmed(2)]);
    site.advance(site.now() + 20);
    assert_eq!(site.starts.len(), 1, "answers {:?}", site.answers);
}

// Callers resubmit after 1,300 ms, and runs end within 958 ms of the last report of their agent.
#[rstest]
#[case(340, false)]
#[case(345, true)]
fn entry_waits_only_after_a_stall_that_callers_may_have_used(#[case] stall: u64, #[case] is_kept: bool) {
    let mut site = make_site(false);
    site.is_paused = true;
    site.advance(site.now() + stall);
    site.is_paused = false;
    let arrived = site.take_arrived();
    site.deliver_batch(Duration::ZERO, arrived);
    site.request(CALLER, 1);
    assert_eq!(site.starts.is_empty(), is_kept);
}
