//! Tests of the order in which an entry learns of an agent's sessions.

use vanillacleat_control::fleet::{FleetView, HelloOutcome};
use vanillacleat_control::SessionId;
use vanillacleat_core::frames::{AgentHello, LoadReport};
use vanillacleat_core::ids::{Incarnation, WorkerKey};
use vanillacleat_core::units::MonoTime;

fn hello(incarnation: u64) -> AgentHello {
    AgentHello {
        worker: WorkerKey { agent: "agent-1".parse().expect("a valid name"), incarnation: Incarnation(incarnation) },
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
