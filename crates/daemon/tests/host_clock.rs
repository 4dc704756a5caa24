//! The clocks of the host.

use vanillacleat_daemon::SuspensionWatch;

// Guards against an agent that takes an interruption of its own thread for a suspension of the host.
#[test]
fn interrupted_thread_sees_no_suspension() {
    let mut suspension_watch = SuspensionWatch::default();
    let busy: Vec<_> = (0..8).map(|_| std::thread::spawn(|| (0..2_000_000_u64).fold(0, |sum, n| std::hint::black_box(sum ^ n)))).collect();
    assert!((0..20_000).all(|_| suspension_watch.detect().is_none()));
    busy.into_iter().for_each(|thread| drop(thread.join()));
}
