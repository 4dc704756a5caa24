//! Which connection the guard of a port closes when a bound is reached.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use vanillacleat_daemon::{ConnectionGuard, ConnectionSlot, Evicted, GuardLimits};

/// Returns a guard and as many connections as it admits.
async fn fill_guard(limits: GuardLimits) -> (ConnectionGuard, Vec<Arc<ConnectionSlot>>) {
    let guard = ConnectionGuard::new(limits);
    let mut slots = Vec::new();
    for _ in 0..limits.connections {
        slots.push(guard.admit().await.expect("a free place"));
    }
    (guard, slots)
}

/// Admits a connection while the one that the guard closes is dropped.
async fn admit_beside(guard: &ConnectionGuard, slots: &mut Vec<Arc<ConnectionSlot>>, evicted: usize) -> Option<Arc<ConnectionSlot>> {
    let slot = slots.remove(evicted);
    let close = async move { slot.evicted().await };
    tokio::join!(guard.admit(), close).0
}

#[tokio::test]
async fn connection_that_has_been_idle_longest_is_closed_for_a_newcomer() {
    let (guard, mut slots) = fill_guard(GuardLimits { connections: 3, held_bytes: 100 }).await;
    slots[0].hold(1).expect("room for a byte");
    assert!(slots[0].begin_answer(0));
    slots[0].finish_answer(0);
    assert!(admit_beside(&guard, &mut slots, 1).await.is_some());
    assert_eq!(slots[0].hold(1), Ok(()));
}

#[tokio::test]
async fn newcomer_is_refused_while_every_request_is_being_handled() {
    let (guard, slots) = fill_guard(GuardLimits { connections: 2, held_bytes: 100 }).await;
    slots.iter().for_each(|slot| assert!(slot.begin_answer(10)));
    assert!(guard.admit().await.is_none());
    slots[1].finish_answer(0);
    assert_eq!(slots[0].hold(1), Ok(()), "a connection with an open request was closed");
}

#[tokio::test]
async fn request_that_began_first_is_closed_for_the_bytes_of_others() {
    let (_guard, slots) = fill_guard(GuardLimits { connections: 3, held_bytes: 100 }).await;
    assert_eq!((slots[1].hold(40), slots[0].hold(40)), (Ok(()), Ok(())));
    assert_eq!(slots[2].hold(30), Ok(()));
    assert_eq!((slots[1].hold(1), slots[0].hold(30)), (Err(Evicted), Ok(())));
    timeout(Duration::from_secs(10), slots[1].evicted()).await.expect("the connection is told to close");
}

// Guards against sessions and small requests that are closed for the large ones of others.
#[tokio::test]
async fn small_request_is_not_closed_for_the_bytes_of_large_ones() {
    let (_guard, slots) = fill_guard(GuardLimits { connections: 4, held_bytes: 100 }).await;
    assert_eq!((slots[0].hold(1), slots[1].hold(50), slots[2].hold(45)), (Ok(()), Ok(()), Ok(())));
    assert!(slots[3].begin_answer(30));
    assert_eq!((slots[0].hold(1), slots[1].hold(1), slots[2].hold(1)), (Ok(()), Err(Evicted), Ok(())));
}

// Guards against memory that others fill while evicted connections still have theirs.
#[tokio::test]
async fn evicted_bytes_hold_others_up_until_they_are_freed() {
    let (_guard, mut slots) = fill_guard(GuardLimits { connections: 2, held_bytes: 100 }).await;
    assert_eq!((slots[0].hold(90), slots[1].hold(90)), (Ok(()), Ok(())));
    assert!(slots[1].has_backlog());
    drop(slots.remove(0));
    assert!(!slots[0].has_backlog());
}

#[tokio::test]
async fn single_request_over_the_bound_is_closed() {
    let (_guard, slots) = fill_guard(GuardLimits { connections: 1, held_bytes: 100 }).await;
    assert_eq!((slots[0].hold(100), slots[0].hold(1)), (Ok(()), Err(Evicted)));
}

#[tokio::test]
async fn discarded_bytes_are_not_counted() {
    let (_guard, slots) = fill_guard(GuardLimits { connections: 2, held_bytes: 100 }).await;
    assert_eq!(slots[0].hold(90), Ok(()));
    slots[0].discard();
    assert_eq!((slots[0].hold(5_000), slots[1].hold(90)), (Ok(()), Ok(())));
}

// Guards against complete requests whose jobs together take more memory than the host has.
#[tokio::test]
async fn request_without_room_beside_open_ones_is_refused() {
    let (_guard, slots) = fill_guard(GuardLimits { connections: 2, held_bytes: 100 }).await;
    assert!(slots[0].begin_answer(80));
    assert!(!slots[1].begin_answer(30));
    slots[1].finish_answer(0);
    slots[0].finish_answer(0);
    assert!(slots[1].begin_answer(100));
}
