//! Times at the end of their range.

use std::time::Duration;

use rstest::rstest;
use vanillacleat_core::units::MonoTime;

// Guards against a duration from a caller, an operator or another process that ends the process or wraps around to a short one.
#[rstest]
fn sum_beyond_the_range_is_the_latest_time(#[values(1 << 55, 1 << 61, u64::MAX / 1_000 + 1, u64::MAX)] millis: u64) {
    let now = MonoTime::from_millis(5);
    let latest = MonoTime::from_elapsed(Duration::from_micros(u64::MAX));
    assert_eq!(now + Duration::from_millis(millis), latest);
    assert_eq!(MonoTime::from_elapsed(Duration::from_millis(millis)), latest);
    assert_eq!(MonoTime::from_millis(millis), latest);
    assert_eq!(now.before(Duration::from_millis(millis)), MonoTime::ZERO);
}
