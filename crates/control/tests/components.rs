//! Unit tests of single components: ticket issuer, circuit breakers, team quotas, retry budget, freshness proofs and
//! configuration.

use std::time::Duration;

use proptest::prelude::*;
use vanillacleat_control::breaker::BreakerRegistry;
use vanillacleat_control::config_holder::ConfigHolder;
use vanillacleat_control::ledger::{JobKey, JobLedger, LookupResult};
use vanillacleat_control::quorum::WitnessRegistry;
use vanillacleat_control::retry_budget::RetryBudget;
use vanillacleat_control::team_limits::TeamLimits;
use vanillacleat_control::ticket_issuer::TicketIssuer;
use vanillacleat_core::config::{ConfigChange, ConfigEdit, ConfigValue};
use vanillacleat_core::ids::{AgentId, HomeKey, Incarnation, ServiceName, ZoneName};
use vanillacleat_core::outcome::RefusalCode;
use vanillacleat_core::ticket::TicketSecret;
use vanillacleat_core::units::{Generation, MonoTime, Revision};

const NOW: MonoTime = MonoTime::from_millis(100_000);

fn service() -> ServiceName {
    "pricing".parse().unwrap()
}

fn agent(index: usize) -> AgentId {
    format!("agent-{index}").parse().unwrap()
}

fn zone(index: usize) -> ZoneName {
    format!("zone-{index}").parse().unwrap()
}

#[test]
fn tickets_expire_in_order() {
    let home = HomeKey { entry: "entry-a".parse().unwrap(), incarnation: Incarnation(1) };
    let mut issuer = TicketIssuer::new(home, TicketSecret::new(b"key"), Duration::from_secs(10));
    issuer.issue(MonoTime::from_millis(0), 5);
    issuer.issue(MonoTime::from_millis(4_000), 5);
    assert_eq!(issuer.expired_below(MonoTime::from_millis(13_999)), 0);
    assert_eq!(issuer.expired_below(MonoTime::from_millis(14_000)), 5, "serials 0 to 4 were issued before 4 s");
    assert_eq!(issuer.next_serial(), 10);
}

#[test]
fn expired_tickets_are_refused() {
    let home = HomeKey { entry: "entry-a".parse().unwrap(), incarnation: Incarnation(1) };
    let mut ledger = JobLedger::new(1_000);
    ledger.take_ownership(home.clone(), Generation(0), None);
    let job_key = |serial| JobKey { home: home.clone(), serial };
    assert_eq!(ledger.look_up(&job_key(4), None, None), LookupResult::Unused);
    ledger.expire_tickets(&home, 5);
    let LookupResult::Refused(refusal) = ledger.look_up(&job_key(4), None, None) else {
        panic!("the expired ticket was not refused");
    };
    assert_eq!(refusal.code, RefusalCode::TicketExpired);
    assert!(!refusal.code.proves_not_run(), "the job may have run before its record was removed");
    assert_eq!(ledger.look_up(&job_key(5), None, None), LookupResult::Unused);
}

#[test]
fn breaker_allows_single_trials() {
    let mut breakers = BreakerRegistry::new(50);
    for _ in 0..4 {
        assert!(breakers.allows(NOW, &service(), &agent(0)));
        breakers.record_outcome(NOW, &service(), &agent(0), false, 4);
    }
    assert!(!breakers.allows(NOW, &service(), &agent(0)));
    let later = NOW + Duration::from_secs(1);
    assert!(breakers.allows(later, &service(), &agent(0)));
    breakers.record_sent(&service(), &agent(0));
    assert!(!breakers.allows(later, &service(), &agent(0)), "only one trial runs at a time");
    breakers.record_outcome(later, &service(), &agent(0), false, 4);
    assert!(!breakers.allows(later + Duration::from_secs(1), &service(), &agent(0)), "the wait doubles after a failed trial");
    let mut at = later + Duration::from_secs(2);
    for _ in 0..3 {
        assert!(breakers.allows(at, &service(), &agent(0)));
        breakers.record_sent(&service(), &agent(0));
        breakers.record_outcome(at, &service(), &agent(0), true, 4);
        at = at + Duration::from_millis(1);
    }
    assert!(breakers.open_breakers().is_empty());
}

#[test]
fn breakers_exclude_half_at_most() {
    let mut breakers = BreakerRegistry::new(50);
    for index in 0..4 {
        for _ in 0..8 {
            breakers.record_outcome(NOW, &service(), &agent(index), false, 4);
        }
    }
    assert_eq!(breakers.open_breakers().len(), 2, "a service whose tasks fail everywhere keeps half of its workers");
}

#[test]
fn retries_stay_in_budget() {
    let mut budget = RetryBudget::new(10);
    let retried = (0..1_000).filter(|_| {
        budget.deposit();
        budget.try_spend()
    });
    assert_eq!(retried.count(), 101, "10% of the first attempts, and the initial credit of one retry");
}

#[test]
fn quota_follows_demand() {
    let (team, peer) = ("buyers".parse().unwrap(), "entry-b".parse().unwrap());
    let mut limits = TeamLimits::default();
    assert_eq!(limits.share(&team, 40, 3), 40);
    limits.record_demand(&peer, &[(team.clone(), 30)]);
    assert_eq!(limits.share(&team, 40, 10), 10);
    assert_eq!(limits.share(&team, 40, 0), 1, "a share of one lets the first task start at once");
    limits.remove_peer(&peer);
    assert_eq!(limits.share(&team, 40, 10), 40);
}

#[test]
fn conflicting_change_is_refused() {
    let change = |id: &str, based_on, edits| ConfigChange { id: id.parse().unwrap(), based_on: Revision(based_on), edits };
    let first = ConfigValue::default().apply(&change("a", 0, vec![ConfigEdit::ZoneOut(zone(0))])).unwrap();
    let other = first.apply(&change("b", 0, vec![ConfigEdit::ZoneOut(zone(1))])).unwrap();
    assert_eq!((other.revision, other.zones_out.len()), (Revision(2), 2), "a change to another subject is rebased");
    let conflict = other.apply(&change("c", 0, vec![ConfigEdit::ZoneIn(zone(0))])).unwrap_err();
    assert_eq!((conflict.subject.as_str(), conflict.touched_at), ("zone/zone-0", Revision(1)));
    assert!(other.apply(&change("d", 1, vec![ConfigEdit::ZoneIn(zone(0))])).is_ok());
    assert_eq!(other.find_change(&"a".parse().unwrap()), Some(Revision(1)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Values that arrive late, twice or out of order never replace a newer one.
    #[test]
    fn config_revision_never_decreases(revisions in prop::collection::vec(0_u64..20, 1..60)) {
        let mut holder = ConfigHolder::default();
        let mut highest = Revision(0);
        for revision in revisions {
            holder.update(ConfigValue { revision: Revision(revision), ..ConfigValue::default() });
            highest = highest.max(Revision(revision));
            prop_assert_eq!(holder.revision(), highest);
        }
    }

    /// The quorum that confirms a change and the quorum that proves freshness always share a process, so a later proof
    /// cannot miss a confirmed change.
    #[test]
    fn proof_and_confirmation_share_a_process(
        zone_sizes in prop::collection::vec(1_usize..5, 1..6),
        confirmed in prop::collection::vec(any::<bool>(), 30),
        answered in prop::collection::vec(any::<bool>(), 30),
    ) {
        let zones: Vec<ZoneName> = (0..zone_sizes.len()).map(zone).collect();
        let mut confirmations = WitnessRegistry::new(zones.clone());
        let mut answers = WitnessRegistry::new(zones);
        let processes: Vec<(usize, usize)> = zone_sizes.iter().enumerate().flat_map(|(zone, count)| (0..*count).map(move |index| (zone, index))).collect();
        let mut have_shared_process = false;
        for (index, (zone_index, process)) in processes.iter().enumerate() {
            let name = format!("{zone_index}-{process}");
            confirmations.record(NOW, &name, &zone(*zone_index), Revision(u64::from(confirmed[index])), None);
            answers.record(NOW, &name, &zone(*zone_index), Revision(0), answered[index].then_some(NOW));
            have_shared_process |= confirmed[index] && answered[index];
        }
        let is_confirmed_and_proved = confirmations.is_confirmed(Revision(1)) && answers.proof().is_some();
        prop_assert!(!is_confirmed_and_proved || have_shared_process);
    }
}
