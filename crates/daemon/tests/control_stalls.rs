//! A control thread logs when it was not scheduled between two steps or within one.

use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use vanillacleat_daemon::{spawn_control_thread, ControlStep, PauseSwitch};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineCollector;

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        LINES.lock().expect("no holder of the lock panics").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// An event of the control thread.
#[derive(Debug)]
enum TestEvent {
    Tick,
    Sleep(Duration),
    Stop,
}

/// Returns the lengths in milliseconds of the stalls that were logged in a phase.
fn stalls(phase: &str) -> Vec<u64> {
    let lines = LINES.lock().expect("no holder of the lock panics");
    let of_phase = lines.iter().filter(|line| line.starts_with("event=stalled ") && line.contains(&format!(" phase={phase} ")));
    of_phase.map(|line| line.split("ms=").nth(1).and_then(|rest| rest.split(' ').next()).and_then(|ms| ms.parse().ok()).unwrap()).collect()
}

#[test]
fn stalls_are_logged_with_their_length_and_phase() {
    log::set_logger(&LineCollector).expect("no logger is set");
    log::set_max_level(log::LevelFilter::Info);
    let started_at = Instant::now();
    let pause = PauseSwitch::default();
    let (tick_sender, ticks) = channel();
    let step = move |_, event| match event {
        TestEvent::Tick => {
            // The send fails once the test no longer waits for a tick.
            let _ = tick_sender.send(());
            ControlStep::Continue
        }
        TestEvent::Sleep(length) => {
            std::thread::sleep(length);
            ControlStep::Continue
        }
        TestEvent::Stop => ControlStep::Stop,
    };
    let (events, thread) = spawn_control_thread("stalls", pause.clone(), || TestEvent::Tick, step).expect("the thread starts");
    ticks.recv().expect("the thread ticks");

    pause.set(true);
    std::thread::sleep(Duration::from_millis(600));
    pause.set(false);
    events.send(TestEvent::Sleep(Duration::from_millis(500)));
    events.send(TestEvent::Stop);
    thread.join().expect("the thread exits");

    let (waiting, handling) = (stalls("waiting"), stalls("handling"));
    assert!(waiting.iter().any(|ms| *ms >= 550), "waiting {waiting:?}");
    assert!(handling.iter().any(|ms| *ms >= 500), "handling {handling:?}");
    // No stall is logged twice: together they are not longer than the test.
    let total: u64 = waiting.iter().chain(&handling).sum();
    assert!(u128::from(total) <= started_at.elapsed().as_millis(), "waiting {waiting:?} handling {handling:?}");
}
