//! Tests that no figure of another entry ends an entry's control thread, or keeps it from serving.

use rstest::rstest;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::ids::{Incarnation, ProcessStart};
use vanillacleat_core::peer_frames::{HeldState, JobQuery, JobReport, JobReports, PeerFrame, PeerHello, PeerLoad, PeerPulse, ServiceLoad};
use vanillacleat_core::run_frames::SessionOrder;
use vanillacleat_core::units::Millis;
use vanillacleat_runs::entry::{CallerAnswer, DispatchEvent, JobPhase, PeerEvent};

mod support;
use support::peer_bench::PeerBench;

/// The link of the entry whose figures are at the ends of their ranges.
const SESSION: SessionId = SessionId(9_000);
/// The caller whose job is observed, and the reply to it.
const CALLER: u64 = 1;

fn make_hello() -> PeerFrame {
    let order = SessionOrder { process_start: ProcessStart(u64::MAX), number: u64::MAX };
    let zone = "zone-0".parse().expect("a valid name");
    PeerFrame::Hello(PeerHello { address: "entry-9".into(), incarnation: Incarnation(u64::MAX), order, zone })
}

fn make_pulse(queue_wait: Option<Millis>, clock: u64) -> PeerFrame {
    let service = "desk".parse().expect("a valid name");
    let load = PeerLoad { services: vec![ServiceLoad { service, free_cores: u32::MAX, queue_wait }; 32], ..PeerLoad::default() };
    PeerFrame::Pulse(PeerPulse { clock: Millis(clock), echo: Millis(0), load: Some(load) })
}

fn make_reports(state: HeldState) -> PeerFrame {
    let reports = [CallerJobId(u64::MAX), PeerBench::job(CALLER)].map(|job| JobReport { job, state });
    PeerFrame::Reports(JobReports { clock: Millis(u64::MAX), reports: reports.into() })
}

// Guards against an entry whose figures end the other entries of its site.
#[rstest]
#[case::pulse(vec![make_pulse(Some(Millis(u64::MAX)), u64::MAX), make_pulse(None, 0), make_pulse(Some(Millis(0)), u64::MAX)])]
#[case::queries(vec![PeerFrame::Queries(vec![JobQuery { job: CallerJobId(u64::MAX), patience: Millis(u64::MAX) }; 500])])]
#[case::unknown(vec![make_reports(HeldState::Unknown)])]
#[case::open(vec![make_reports(HeldState::Open)])]
#[case::withdrawal(vec![PeerFrame::Withdrawals(vec![CallerJobId(u64::MAX); 500])])]
#[case::takeover(vec![PeerFrame::Takeovers(vec![CallerJobId(0); 500])])]
fn figures_of_a_peer_keep_no_entry_from_serving(#[case] frames: Vec<PeerFrame>) {
    let mut bench = PeerBench::new(2, 4);
    bench.set_run_time(300);
    bench.deliver(0, DispatchEvent::Peer(PeerEvent::Opened { session: SESSION, dialed: None }));
    bench.deliver(0, DispatchEvent::Peer(PeerEvent::Frame { session: SESSION, frame: make_hello() }));
    bench.submit(0, CALLER, CALLER);
    for frame in frames {
        bench.advance(bench.now() + 20);
        bench.deliver(0, DispatchEvent::Peer(PeerEvent::Frame { session: SESSION, frame }));
    }
    bench.advance(bench.now() + 600);
    assert_eq!(bench.answers_to(CALLER), vec![&CallerAnswer::Ended(JobPhase::Succeeded)]);
    assert_eq!(bench.runs_of(CALLER).len(), 1);
    bench.advance(bench.now() + 4_000);
    assert!(bench.link(0, 1).is_some(), "the link to the other entry");
}
