//! Bounds on what all connections of a port hold together.
//!
//! When a bound is reached, the guard closes the connection that has gone longest without beginning or completing a request, so
//! that a newcomer is served. For want of bytes it spares those that hold little. A connection whose request is being handled is not
//! closed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Fraction of a port's bytes that evicted connections may hold while others receive.
const BACKLOG_DIVISOR: usize = 4;

/// Bounds of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuardLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of bytes that all connections hold for requests which are not answered yet.
    pub held_bytes: usize,
}

impl Default for GuardLimits {
    fn default() -> Self {
        Self { connections: 700, held_bytes: 15 << 20 }
    }
}

/// Admits connections to a port. Clones share the bounds.
#[derive(Clone, Debug)]
pub struct ConnectionGuard {
    shared: Arc<GuardShared>,
}

#[derive(Debug)]
struct GuardShared {
    limits: GuardLimits,
    state: Mutex<GuardState>,
    /// Wakes the task that admits connections once an evicted one is closed.
    freed: Notify,
}

#[derive(Debug, Default)]
struct GuardState {
    /// Number of connections that are not closed yet.
    open: usize,
    /// Number of evicted connections among them.
    leaving: usize,
    /// Number of bytes that the evicted connections still hold.
    leaving_bytes: usize,
    held_bytes: usize,
    /// The part of `held_bytes` that belongs to requests which are being handled.
    busy_bytes: usize,
    next_turn: u64,
    /// The connections that may be closed, in the order in which they have begun or completed a request.
    waiting: BTreeMap<u64, Arc<SlotShared>>,
    /// The turns of those among them that hold bytes.
    holders: BTreeSet<u64>,
}

#[derive(Debug, Default)]
struct SlotShared {
    state: Mutex<SlotState>,
    evicted: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct SlotState {
    turn: u64,
    held_bytes: usize,
    /// Whether bytes of a request were received that is not complete.
    is_receiving: bool,
    /// Whether received bytes are discarded and so not counted.
    is_discarding: bool,
    /// Whether a request is being handled.
    is_busy: bool,
    is_evicted: bool,
    /// Number of bytes that the connection held when it was evicted.
    leaving_bytes: usize,
}

/// An admitted connection. Dropping the last clone of its `Arc` frees its place.
#[derive(Debug)]
pub struct ConnectionSlot {
    guard: Arc<GuardShared>,
    shared: Arc<SlotShared>,
}

/// The connection was closed to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection was closed to make room for others")]
pub struct Evicted;

enum Admission {
    Admitted(Arc<ConnectionSlot>),
    /// A connection is closing whose place can be taken.
    Pending,
    Refused,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionGuard {
    /// Returns a guard without connections.
    pub fn new(limits: GuardLimits) -> Self {
        Self { shared: Arc::new(GuardShared { limits, state: Mutex::default(), freed: Notify::new() }) }
    }

    /// Admits a connection, for which another one is closed if there are too many. Returns `None` if all of them have a request that
    /// is being handled. Only one task may admit connections.
    pub async fn admit(&self) -> Option<Arc<ConnectionSlot>> {
        loop {
            match self.try_admit() {
                Admission::Admitted(slot) => return Some(slot),
                Admission::Pending => self.shared.freed.notified().await,
                Admission::Refused => return None,
            }
        }
    }

    fn try_admit(&self) -> Admission {
        let mut state = lock(&self.shared.state);
        if state.open >= self.shared.limits.connections {
            let oldest = state.waiting.keys().next().copied();
            return match oldest {
                _ if state.leaving > 0 => Admission::Pending,
                Some(turn) => {
                    state.evict(turn);
                    Admission::Pending
                }
                None => Admission::Refused,
            };
        }
        state.open += 1;
        let shared = Arc::new(SlotShared::default());
        state.enqueue(&shared);
        Admission::Admitted(Arc::new(ConnectionSlot { guard: self.shared.clone(), shared }))
    }
}

impl GuardState {
    /// Adds a connection at the end of the order.
    fn enqueue(&mut self, shared: &Arc<SlotShared>) {
        let mut slot = lock(&shared.state);
        slot.turn = self.next_turn;
        self.next_turn += 1;
        if slot.held_bytes > 0 {
            self.holders.insert(slot.turn);
        }
        self.waiting.insert(slot.turn, shared.clone());
    }

    fn dequeue(&mut self, turn: u64) {
        self.waiting.remove(&turn);
        self.holders.remove(&turn);
    }

    fn evict(&mut self, turn: u64) {
        if let Some(shared) = self.waiting.get(&turn).cloned() {
            self.dequeue(turn);
            self.leaving += 1;
            let mut slot = lock(&shared.state);
            slot.is_evicted = true;
            slot.leaving_bytes = std::mem::take(&mut slot.held_bytes);
            self.held_bytes -= slot.leaving_bytes;
            self.leaving_bytes += slot.leaving_bytes;
            shared.evicted.notify_one();
        }
    }

    /// Closes connections that hold bytes until the rest is within the limit or belongs to requests that are being handled. Those that
    /// hold less than the mean are spared.
    fn enforce(&mut self, limit: usize) {
        while self.held_bytes > limit && !self.holders.is_empty() {
            let mean = (self.held_bytes - self.busy_bytes) / self.holders.len();
            let is_large = |turn: &&u64| self.waiting.get(turn).is_some_and(|slot| lock(&slot.state).held_bytes >= mean);
            let Some(turn) = self.holders.iter().find(is_large).copied() else { return };
            self.evict(turn);
        }
    }
}

impl ConnectionSlot {
    /// Waits until the connection has to be closed.
    pub async fn evicted(&self) {
        self.shared.evicted.notified().await;
    }

    /// Returns whether the connection has to be closed.
    pub fn is_evicted(&self) -> bool {
        lock(&self.shared.state).is_evicted
    }

    /// Returns whether evicted connections still hold so much that nothing should be received until they are closed.
    pub fn has_backlog(&self) -> bool {
        lock(&self.guard.state).leaving_bytes > self.guard.limits.held_bytes / BACKLOG_DIVISOR
    }

    /// Counts received bytes until the request is complete. Fails if the connection has to be closed.
    pub fn hold(&self, bytes: usize) -> Result<(), Evicted> {
        let mut state = lock(&self.guard.state);
        let mut slot = lock(&self.shared.state);
        if slot.is_evicted {
            return Err(Evicted);
        }
        if slot.is_discarding || slot.is_busy || bytes == 0 {
            return Ok(());
        }
        let begins_request = !std::mem::replace(&mut slot.is_receiving, true);
        let turn = slot.turn;
        slot.held_bytes += bytes;
        drop(slot);
        state.held_bytes += bytes;
        if begins_request {
            state.dequeue(turn);
            state.enqueue(&self.shared);
        } else {
            state.holders.insert(turn);
        }
        state.enforce(self.guard.limits.held_bytes);
        drop(state);
        if self.is_evicted() {
            return Err(Evicted);
        }
        Ok(())
    }

    /// Discards the bytes received so far and the further ones until the request is complete.
    pub fn discard(&self) {
        let mut state = lock(&self.guard.state);
        let mut slot = lock(&self.shared.state);
        state.held_bytes -= std::mem::take(&mut slot.held_bytes);
        state.holders.remove(&slot.turn);
        slot.is_discarding = true;
    }

    /// Marks the request as complete and counts `bytes` for it until its answer. The connection is not closed before that. Returns
    /// `false` if there is no room for it, and counts nothing then.
    pub fn begin_answer(&self, bytes: usize) -> bool {
        let mut state = lock(&self.guard.state);
        let mut slot = lock(&self.shared.state);
        if slot.is_evicted {
            return false;
        }
        state.held_bytes -= std::mem::take(&mut slot.held_bytes);
        state.dequeue(slot.turn);
        (slot.is_busy, slot.is_receiving, slot.is_discarding) = (true, false, false);
        drop(slot);
        state.held_bytes += bytes;
        state.busy_bytes += bytes;
        state.enforce(self.guard.limits.held_bytes);
        let fits = state.held_bytes <= self.guard.limits.held_bytes;
        if fits {
            lock(&self.shared.state).held_bytes = bytes;
        } else {
            state.held_bytes -= bytes;
            state.busy_bytes -= bytes;
        }
        fits
    }

    /// Marks the request as answered, and counts the `bytes` of the answer until the next request begins.
    pub fn finish_answer(&self, bytes: usize) {
        let mut state = lock(&self.guard.state);
        let mut slot = lock(&self.shared.state);
        if slot.is_evicted {
            return;
        }
        state.held_bytes = state.held_bytes - slot.held_bytes + bytes;
        if slot.is_busy {
            state.busy_bytes -= slot.held_bytes;
        }
        (slot.held_bytes, slot.is_busy, slot.is_receiving, slot.is_discarding) = (bytes, false, false, false);
        let turn = slot.turn;
        drop(slot);
        state.dequeue(turn);
        state.enqueue(&self.shared);
        state.enforce(self.guard.limits.held_bytes);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = lock(&self.guard.state);
        let slot = *lock(&self.shared.state);
        state.open -= 1;
        if slot.is_evicted {
            state.leaving -= 1;
            state.leaving_bytes -= slot.leaving_bytes;
        } else {
            state.held_bytes -= slot.held_bytes;
            if slot.is_busy {
                state.busy_bytes -= slot.held_bytes;
            }
            state.dequeue(slot.turn);
        }
        self.guard.freed.notify_one();
    }
}
