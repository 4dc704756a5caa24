//! I/O tasks send events to a control thread that has just started.

use std::sync::mpsc::channel;
use std::time::Duration;

use vanillacleat_daemon::{spawn_control_thread, ControlStep, EventSink, PauseSwitch};

/// The event that ends the control thread.
const LAST: u32 = 3;

// Guards against the reply to a call of the first step that is dropped, because it arrives before the starting thread has connected the
// sink. Its sender waits for it for ever.
#[test]
fn event_sent_before_the_sink_is_connected_is_handled() {
    let sink = EventSink::<u32>::default();
    sink.send(1);
    let (handled, events) = channel();
    let step = move |_, event| {
        // The receiver is gone if the test has failed.
        let _ = handled.send(event);
        if event == LAST {
            ControlStep::Stop
        } else {
            ControlStep::Continue
        }
    };
    let (sender, thread) = spawn_control_thread("control", PauseSwitch::default(), || 0, step).expect("the thread starts");
    sink.clone().send(2);
    sink.set(sender);
    sink.send(LAST);
    thread.join().expect("the thread ends");
    let order: Vec<u32> = events.try_iter().filter(|event| *event > 0).collect();
    assert_eq!(order, [1, 2, LAST], "in the order in which they were sent");
    assert!(events.recv_timeout(Duration::ZERO).is_err());
}
