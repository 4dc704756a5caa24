//! Tests of the order in which an entry learns of an agent's sessions.

use vanillacleat_control::fleet::{FleetView, HelloOutcome};
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentHello, LoadReport};
use vanillacleat_core::ids::{Incarnation, ProcessStart, WorkerKey};
use vanillacleat_core::run_frames::SessionOrder;
use vanillacleat_core::units::MonoTime;

fn hello(incarnation: u64) -> AgentHello {
    AgentHello {
        worker: WorkerKey { agent: "agent-1".parse().expect("a valid name"), incarnation: Incarnation(incarnation) },
        order: SessionOrder { process_start: ProcessStart(incarnation), number: 1 },
        zone: "zone-0".parse().expect("a valid name"),
        capacity: Default::default(),
        load: LoadReport::default(),
    }
}

// Guards against a live agent process that counts as exited, because the hello of an earlier process is delivered after its own.
#[test]
fn late_hello_of_an_earlier_process_ends_no_later_one() {
    let mut fleet = FleetView::default();
    assert_eq!(fleet.record_hello(MonoTime::from_millis(10), SessionId(1), &hello(1), 1), HelloOutcome::Joined);
    fleet.record_lost(MonoTime::from_millis(20), SessionId(1), 1);
    let restarted = fleet.record_hello(MonoTime::from_millis(30), SessionId(3), &hello(2), 1);
    assert_eq!(restarted, HelloOutcome::Restarted(hello(1).worker));
    // The first process had opened another session before it exited; its hello was delayed.
    let late = fleet.record_hello(MonoTime::from_millis(40), SessionId(2), &hello(1), 1);
    assert_ne!(late, HelloOutcome::Restarted(hello(2).worker), "the second process goes on");
    assert_eq!(fleet.session_of(&hello(2).worker), Some(SessionId(3)));
}

// Guards against a session that the agent has already replaced, because its hello was delivered after that of the next one.
#[test]
fn late_hello_of_the_same_process_replaces_no_session() {
    let mut fleet = FleetView::default();
    let numbered = |number| AgentHello { order: SessionOrder { process_start: ProcessStart(1), number }, ..hello(1) };
    assert_eq!(fleet.record_hello(MonoTime::from_millis(10), SessionId(2), &numbered(2), 1), HelloOutcome::Joined);
    assert_eq!(fleet.record_hello(MonoTime::from_millis(20), SessionId(1), &numbered(1), 1), HelloOutcome::Outdated);
    assert_eq!(fleet.session_of(&hello(1).worker), Some(SessionId(2)));
    assert_eq!(fleet.record_lost(MonoTime::from_millis(30), SessionId(1), 1), None, "the outdated session belongs to no agent");
    assert_eq!(fleet.record_hello(MonoTime::from_millis(40), SessionId(3), &numbered(3), 1), HelloOutcome::Reconnected);
}

// Guards against an agent that is shut out after the wall clock of its host was set back.
#[test]
fn restart_with_an_earlier_wall_clock_is_accepted_once_no_task_is_out() {
    let mut fleet = FleetView::default();
    let now = MonoTime::from_millis(10);
    assert_eq!(fleet.record_hello(now, SessionId(1), &hello(2), 1), HelloOutcome::Joined);
    fleet.set_outstanding(now, &hello(2).worker.agent, 1);
    assert_eq!(fleet.record_hello(now, SessionId(2), &hello(1), 1), HelloOutcome::Outdated, "the known process is connected");
    fleet.record_lost(now, SessionId(1), 1);
    assert_eq!(fleet.record_hello(now, SessionId(3), &hello(1), 1), HelloOutcome::Outdated, "a task may be at the known process");
    fleet.set_outstanding(now, &hello(2).worker.agent, 0);
    assert_eq!(fleet.record_hello(now, SessionId(4), &hello(1), 1), HelloOutcome::Restarted(hello(2).worker));
    fleet.record_lost(now, SessionId(4), 1);
    assert_eq!(fleet.record_hello(now, SessionId(5), &hello(3), 1), HelloOutcome::Restarted(hello(1).worker), "a later start");
}
