//! Tests that the chain of session lease, worker lease and stop timeout ends every run of a lost entry before a caller
//! resubmits the job, and tests the parts that time this chain: the estimate of the worker's clock and the session lease.

use std::time::Duration;

use proptest::prelude::*;
use smol_str::SmolStr;
use vanillacleat_core::units::{Millis, MonoTime};
use vanillacleat_runs::agent::SessionLease;
use vanillacleat_runs::{LeaseTerms, RemoteClock};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_algorithm: proptest::test_runner::RngAlgorithm::ChaCha, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn lease_chain_ends_before_resubmission(resubmit_after in 500_u64..10_000, worker_lease_max in 250_u64..5_000, stop_timeout in 1_u64..1_000) {
        let terms =
            LeaseTerms::new(Duration::from_millis(resubmit_after), Duration::from_millis(worker_lease_max), Duration::from_millis(stop_timeout));
        prop_assume!(terms.can_be_renewed());
        prop_assert!(terms.agent_loss_timeout() <= Duration::from_millis(resubmit_after));
        prop_assert!(terms.worker_lease <= Duration::from_millis(worker_lease_max));
    }

    #[test]
    fn worker_clock_estimate_is_a_lower_bound(rate in 98_u64..=100, readings in prop::collection::vec((1_u64..400, 0_u64..20), 1..20)) {
        let (mut clock, mut now) = (RemoteClock::default(), 0_u64);
        for (wait, transit) in readings {
            now += wait;
            let reading = 50_000 + now * rate / 100;
            now += transit;
            clock.record(MonoTime::from_millis(now), reading);
            let true_clock = 50_000 + now * rate / 100;
            prop_assert!(clock.at(MonoTime::from_millis(now)).is_some_and(|estimate| estimate <= true_clock));
        }
    }
}

#[test]
fn session_lease_starts_when_the_report_is_sent() {
    let lease_length = Duration::from_millis(400);
    let mut lease = SessionLease::new(MonoTime::ZERO, SmolStr::new_static("entry"));
    lease.record_report_sent(MonoTime::from_millis(100), true);
    assert!(!lease.is_valid(MonoTime::from_millis(150)), "the report was not answered yet");
    lease.renew(MonoTime::from_millis(150), Millis(100), lease_length);
    assert!(lease.is_valid(MonoTime::from_millis(499)));
    assert!(lease.detect_lapse(MonoTime::from_millis(500)));
    assert!(!lease.detect_lapse(MonoTime::from_millis(501)), "each lapse is reported once");
    lease.renew(MonoTime::from_millis(501), Millis(100), lease_length);
    assert!(!lease.is_valid(MonoTime::from_millis(501)), "a duplicate answer does not renew the lease");
}

#[test]
fn terms_too_short_to_renew_are_detected() {
    let terms = |resubmit_after, stop_timeout| {
        LeaseTerms::new(Duration::from_millis(resubmit_after), Duration::from_secs(1), Duration::from_millis(stop_timeout))
    };
    assert!(terms(1_300, 50).can_be_renewed());
    assert_eq!(terms(1_300, 50).worker_lease, Duration::from_millis(400));
    assert!(terms(800, 100).can_be_renewed());
    assert!(!terms(500, 100).can_be_renewed());
}

#[test]
fn silence_of_an_entry_is_detected_after_the_timeout() {
    let mut lease = SessionLease::new(MonoTime::from_millis(50), SmolStr::new_static("entry"));
    assert!(!lease.is_silent(MonoTime::from_millis(1_049)));
    assert!(lease.is_silent(MonoTime::from_millis(1_050)));
    lease.record_received();
    lease.record_report_sent(MonoTime::from_millis(1_050), true);
    assert!(!lease.is_silent(MonoTime::from_millis(2_049)));
    assert!(lease.is_silent(MonoTime::from_millis(2_050)));
    lease.record_received();
    lease.record_report_sent(MonoTime::from_millis(2_060), false);
    assert!(!lease.is_silent(MonoTime::from_millis(9_000)), "a report that needs no answer does not show silence");
    assert!(!lease.detect_lapse(MonoTime::from_millis(2_049)), "a session without a lease can't lapse");
}
