//! Tests that the time that a control thread passes to a step is not earlier than any event of the step.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use vanillacleat_daemon::{spawn_batch_thread, ControlStep, EventBatch, PauseSwitch};

/// Time for which events are sent.
const SENDING_TIME: Duration = Duration::from_millis(300);

// Guards against a reading of another process's clock that counts as received before it was sent: every bound that is computed
// from it would be too high, by as long as the thread was not scheduled between taking the time and taking the events.
#[test]
fn time_of_a_step_is_not_before_its_events() {
    let (sample_sender, samples) = mpsc::channel();
    let step = move |now: vanillacleat_core::units::MonoTime, batch: EventBatch<Option<Instant>>| {
        let handled_at = Instant::now();
        let last_sent_at = batch.events.iter().flatten().max().copied();
        // The send fails once the test has ended.
        let _ = sample_sender.send((now, handled_at, last_sent_at));
        ControlStep::Continue
    };
    let (events, _thread) = spawn_batch_thread("test", PauseSwitch::default(), || None, step).expect("the thread starts");
    let started_at = Instant::now();
    while started_at.elapsed() < SENDING_TIME {
        events.send(Some(Instant::now()));
    }
    drop(events);
    let samples: Vec<_> = samples.iter().collect();
    // The thread's time zero is no later than this, because each step is handled after its time was taken.
    let zero_at = samples
        .iter()
        .filter_map(|(now, handled_at, _)| handled_at.checked_sub(Duration::from_micros(now.as_micros())))
        .min()
        .expect("a step was handled");
    let early = samples.iter().filter_map(|(now, _, sent_at)| {
        let now = zero_at + Duration::from_micros(now.as_micros() + 1);
        sent_at.and_then(|sent_at| sent_at.checked_duration_since(now)).filter(|early| !early.is_zero())
    });
    let (count, longest) = early.fold((0, Duration::ZERO), |(count, longest), early| (count + 1, longest.max(early)));
    assert_eq!(count, 0, "of {} steps; the time was up to {longest:?} too early", samples.len());
}
