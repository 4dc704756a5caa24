//! Parsing and validation of the identifiers, tickets and jobs that callers send.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use vanillacleat_core::ids::{HomeKey, Incarnation, ZoneName};
use vanillacleat_core::job::{JobSpec, TaskSpec, JOB_TASKS_MAX, PAYLOAD_BYTES_MAX};
use vanillacleat_core::ticket::{Ticket, TicketSecret};
use vanillacleat_core::units::Millis;

fn make_spec() -> JobSpec {
    let tasks = vec![TaskSpec { payload: "read".to_owned(), ..TaskSpec::default() }];
    JobSpec { service: "readings".parse().unwrap(), team: "councils".parse().unwrap(), deadline_ms: Millis(1_000), tasks }
}

#[rstest]
#[case::empty("")]
#[case::space("serra norte")]
#[case::dot("serra.norte")]
#[case::newline("serra\nnorte")]
fn invalid_names_are_rejected(#[case] text: &str) {
    assert!(text.parse::<ZoneName>().is_err());
}

#[rstest]
#[case::no_tasks(|spec: &mut JobSpec| spec.tasks.clear(), "tasks: 0 given")]
#[case::many_tasks(|spec: &mut JobSpec| spec.tasks = vec![TaskSpec::default(); JOB_TASKS_MAX + 1], "tasks: 401 given")]
#[case::zero_deadline(|spec: &mut JobSpec| spec.deadline_ms = Millis(0), "deadline_ms: 0 given")]
#[case::long_payload(|spec: &mut JobSpec| spec.tasks[0].payload = "x".repeat(PAYLOAD_BYTES_MAX + 1), "payload: 65537 bytes")]
fn validation_error_names_the_invalid_field(#[case] invalidate: fn(&mut JobSpec), #[case] expected: &str) {
    let mut spec = make_spec();
    assert_eq!(spec.validation_error(), None);
    invalidate(&mut spec);
    assert!(spec.validation_error().unwrap().contains(expected));
}

#[test]
fn digest_covers_every_field() {
    let spec = make_spec();
    let mut others = vec![spec.clone(); 5];
    others[0].deadline_ms = Millis(2_000);
    others[1].tasks[0].payload = "other".to_owned();
    others[2].tasks[0].declared_ms = Some(Millis(1));
    others[3].tasks[0].demand.accelerators = 1;
    others[4].team = "observatories".parse().unwrap();
    assert!(others.iter().all(|other| other.digest() != spec.digest()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn tickets_round_trip_through_their_text(entry in "[a-z][a-z0-9-]{0,20}", incarnation: u64, serial: u64) {
        let home = HomeKey { entry: entry.parse().unwrap(), incarnation: Incarnation(incarnation) };
        let secret = TicketSecret::new(b"key");
        let ticket = secret.sign(home, serial);
        let parsed: Ticket = ticket.to_string().parse().unwrap();
        prop_assert_eq!(&parsed, &ticket);
        prop_assert!(secret.verify(&parsed).is_ok());
        prop_assert!(TicketSecret::new(b"other").verify(&parsed).is_err());
    }

    #[test]
    fn altered_codes_do_not_verify(serial: u64, position in 0_usize..32, digit in "[0-9a-f]") {
        let home = HomeKey { entry: "entry-a".parse().unwrap(), incarnation: Incarnation(1) };
        let secret = TicketSecret::new(b"key");
        let text = secret.sign(home, serial).to_string();
        let start = text.len() - 32 + position;
        let mut altered = text.clone();
        altered.replace_range(start..=start, &digit);
        let parsed: Ticket = altered.parse().unwrap();
        prop_assert_eq!(secret.verify(&parsed).is_ok(), altered == text);
    }

    #[test]
    fn parsing_a_ticket_never_panics(text in ".{0,80}") {
        let _ = text.parse::<Ticket>();
    }
}
