//! Unit tests of the start gate: which tasks it admits, rejects and starts, and which records it retains.

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use vanillacleat_control::gate::{StartGate, UpstreamAnnouncement};
use vanillacleat_core::config::{ConfigChange, ConfigEdit, ConfigValue};
use vanillacleat_core::frames::{HomeFence, JobSeal, RejectReason, TaskAttempt, TaskOrder, TaskStatus};
use vanillacleat_core::ids::{EntryId, HomeKey, Incarnation, TaskKey};
use vanillacleat_core::outcome::{TaskOutcome, UnknownReason};
use vanillacleat_core::settings::{FreshnessPolicy, GateSettings};
use vanillacleat_core::units::{ByteCount, Generation, Millis, MonoTime, Revision};

const NOW: MonoTime = MonoTime::from_millis(1_000);
const FIRST_GENERATION: Generation = Generation(0);

fn open_settings() -> GateSettings {
    GateSettings { freshness: FreshnessPolicy::Open, queue_limit: 1, ..GateSettings::default() }
}

fn make_gate(settings: GateSettings, slots: u32) -> StartGate {
    let mut gate = StartGate::new("burgos".parse().unwrap(), settings);
    gate.upstreams().record_announcement(NOW, make_announcement(slots));
    gate
}

fn make_announcement(slots: u32) -> UpstreamAnnouncement {
    let address = SmolStr::new("127.0.0.1:1");
    UpstreamAnnouncement { upstream: "pricing-1".parse().unwrap(), service: "pricing".parse().unwrap(), address, slots, connections: 64 }
}

fn make_home() -> HomeKey {
    let entry: EntryId = "entry-a".parse().unwrap();
    HomeKey { entry, incarnation: Incarnation(7) }
}

fn make_order(serial: u64, attempt: u32) -> TaskOrder {
    let key = TaskKey { home: make_home(), serial, task: 0 };
    TaskOrder { key, attempt, service: "pricing".parse().unwrap(), left_ms: Millis(5_000), payload: String::new() }
}

fn make_attempt(serial: u64, attempt: u32) -> TaskAttempt {
    TaskAttempt { key: make_order(serial, attempt).key, attempt }
}

fn make_config(edit: ConfigEdit) -> ConfigValue {
    let change = ConfigChange { id: "c".parse().unwrap(), based_on: Revision(0), edits: vec![edit] };
    ConfigValue::default().apply(&change).unwrap()
}

/// Sends an order to the gate. Returns the reason if the gate rejects it.
fn admit(gate: &mut StartGate, order: TaskOrder) -> Option<RejectReason> {
    match gate.admit(NOW, FIRST_GENERATION, order)?.status {
        TaskStatus::Rejected(reason) => Some(reason),
        other => panic!("neither queued nor rejected: {other:?}"),
    }
}

#[test]
fn same_task_starts_once() {
    let mut gate = make_gate(open_settings(), 8);
    assert_eq!(admit(&mut gate, make_order(1, 1)), None);
    assert_eq!(gate.start_ready(NOW).len(), 1);
    let second = gate.admit(NOW, FIRST_GENERATION, make_order(1, 2)).unwrap();
    assert_eq!(second.status, TaskStatus::Held);
    assert!(gate.start_ready(NOW).is_empty());
}

#[test]
fn reclaimed_attempt_never_starts() {
    let mut gate = make_gate(open_settings(), 8);
    assert_eq!(gate.reclaim(NOW, FIRST_GENERATION, &make_attempt(1, 1)).status, TaskStatus::Rejected(RejectReason::Reclaimed));
    assert_eq!(admit(&mut gate, make_order(1, 1)), Some(RejectReason::Reclaimed));
    assert_eq!(admit(&mut gate, make_order(1, 2)), None, "a later attempt is admitted");
}

#[test]
fn rejected_attempt_stays_rejected() {
    let mut gate = make_gate(open_settings(), 1);
    assert_eq!(admit(&mut gate, make_order(1, 1)), None);
    assert_eq!(admit(&mut gate, make_order(2, 1)), None);
    assert_eq!(admit(&mut gate, make_order(3, 1)), Some(RejectReason::QueueFull));
    gate.start_ready(NOW);
    assert_eq!(admit(&mut gate, make_order(3, 1)), Some(RejectReason::Reclaimed), "a duplicate of a rejected order is rejected");
}

#[rstest]
#[case::zone_out(ConfigEdit::ZoneOut("burgos".parse().unwrap()), Some(RejectReason::ZoneOut))]
#[case::other_zone_out(ConfigEdit::ZoneOut("navarra".parse().unwrap()), None)]
#[case::upstream_retired(ConfigEdit::UpstreamRetire("pricing-1".parse().unwrap()), Some(RejectReason::NoUpstream))]
fn config_change_rejects_queued_tasks(#[case] edit: ConfigEdit, #[case] expected: Option<RejectReason>) {
    let mut gate = make_gate(open_settings(), 1);
    admit(&mut gate, make_order(1, 1));
    gate.start_ready(NOW);
    assert_eq!(admit(&mut gate, make_order(2, 1)), None);
    gate.update_config(make_config(edit));
    let queued = gate.reject_unstartable(NOW).pop().map(|result| result.status);
    assert_eq!(queued, expected.map(TaskStatus::Rejected), "only a change that excludes the queued task rejects it");
    assert_eq!(gate.running(), 1, "the running task continues");
}

#[test]
fn withdrawn_upstream_receives_no_tasks() {
    let mut gate = make_gate(open_settings(), 8);
    gate.upstreams().record_withdrawal(&"pricing-1".parse().unwrap());
    assert_eq!(admit(&mut gate, make_order(1, 1)), Some(RejectReason::NoUpstream));
    gate.upstreams().record_announcement(NOW, make_announcement(8));
    assert_eq!(admit(&mut gate, make_order(1, 2)), None);
}

#[test]
fn stale_gate_starts_no_tasks() {
    let settings = GateSettings { freshness: FreshnessPolicy::Proven, ..open_settings() };
    let mut gate = make_gate(settings, 8);
    assert_eq!(admit(&mut gate, make_order(1, 1)), Some(RejectReason::Stale));
    gate.freshness().record(NOW, Duration::from_millis(300));
    assert_eq!(admit(&mut gate, make_order(1, 2)), None);
    let late = NOW + Duration::from_millis(2_501);
    assert!(gate.start_ready(late).is_empty(), "the proof was 300 ms old when requested and is valid for 2800 ms");
}

#[test]
fn fence_rejects_older_owner() {
    let mut gate = make_gate(open_settings(), 1);
    admit(&mut gate, make_order(1, 1));
    gate.start_ready(NOW);
    admit(&mut gate, make_order(2, 1));
    gate.seal(NOW, &JobSeal { fence: HomeFence { home: make_home(), generation: FIRST_GENERATION }, serials: vec![9] });
    let inventory = gate.fence(NOW, &HomeFence { home: make_home(), generation: Generation(1) });
    let listed: Vec<u64> = inventory.started.iter().map(|result| result.key.serial).collect();
    assert_eq!((listed, inventory.sealed), (vec![1], vec![9]));
    assert_eq!(admit(&mut gate, make_order(3, 1)), Some(RejectReason::Fenced));
    let reclaimed = gate.reclaim(NOW, FIRST_GENERATION, &make_attempt(4, 1));
    assert_eq!(reclaimed.status, TaskStatus::Rejected(RejectReason::Fenced), "a fenced owner receives no state that it could act on");
    assert!(!gate.seal(NOW, &JobSeal { fence: HomeFence { home: make_home(), generation: FIRST_GENERATION }, serials: vec![10] }));
    assert_eq!(gate.admit(NOW, Generation(1), make_order(2, 1)), None, "the new owner dispatches the task that was queued");
}

#[test]
fn cancel_abandons_running_tasks() {
    let mut gate = make_gate(open_settings(), 1);
    admit(&mut gate, make_order(1, 1));
    gate.start_ready(NOW);
    admit(&mut gate, make_order(2, 1));
    assert_eq!(gate.cancel(NOW, FIRST_GENERATION, &make_attempt(1, 1)).status, TaskStatus::Abandoned);
    assert_eq!(gate.cancel(NOW, FIRST_GENERATION, &make_attempt(2, 1)).status, TaskStatus::Rejected(RejectReason::Cancelled));
    let key = make_order(1, 1).key;
    let late = gate.finish(&key, &"pricing-1".parse().unwrap(), TaskOutcome::Done("late".into()), Duration::ZERO);
    assert_eq!(late, None, "the result of an abandoned task is not reported");
}

#[test]
fn unreachable_upstream_rejects_tasks() {
    let mut gate = make_gate(open_settings(), 8);
    admit(&mut gate, make_order(1, 1));
    let start = gate.start_ready(NOW).remove(0);
    let result = gate.revert_start(NOW, &start.key, &start.upstream);
    assert_eq!(result.status, TaskStatus::Rejected(RejectReason::NoUpstream));
    assert_eq!(gate.running(), 0);
    assert_eq!(
        admit(&mut gate, make_order(1, 2)),
        Some(RejectReason::NoUpstream),
        "the upstream is excluded until it announces itself again"
    );
}

#[test]
fn expired_task_never_starts() {
    let settings = GateSettings { retention_ms: Millis(2_000), ..open_settings() };
    let mut gate = make_gate(settings, 8);
    admit(&mut gate, make_order(5, 1));
    let start = gate.start_ready(NOW).remove(0);
    gate.finish(&start.key, &start.upstream, TaskOutcome::Done("yes".into()), Duration::ZERO);
    gate.remove_expired(NOW + Duration::from_millis(2_001));
    assert_eq!(gate.retention_stats(), (0, 0));
    let expected = TaskStatus::Ended(TaskOutcome::Unknown(UnknownReason::AnswerDropped));
    assert_eq!(gate.admit(NOW, FIRST_GENERATION, make_order(5, 1)).unwrap().status, expected);
    assert_eq!(gate.admit(NOW, FIRST_GENERATION, make_order(4, 1)).unwrap().status, expected, "older serials count as expired too");
    assert_eq!(admit(&mut gate, make_order(6, 1)), None);
}

#[test]
fn retained_answers_stay_in_budget() {
    let settings = GateSettings { answer_bytes: ByteCount(10), ..open_settings() };
    let mut gate = make_gate(settings, 8);
    for serial in 0..4 {
        admit(&mut gate, make_order(serial, 1));
        let start = gate.start_ready(NOW).remove(0);
        gate.finish(&start.key, &start.upstream, TaskOutcome::Done("12345".into()), Duration::ZERO);
    }
    assert_eq!(gate.retention_stats(), (4, 10), "the records of tasks outlive their dropped answers");
    let dropped = gate.reclaim(NOW, FIRST_GENERATION, &make_attempt(0, 1));
    assert_eq!(dropped.status, TaskStatus::Ended(TaskOutcome::Unknown(UnknownReason::AnswerDropped)));
}
