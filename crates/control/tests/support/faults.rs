//! Random plans of the faults that a simulation injects.

use proptest::prelude::*;

/// A fault to inject. The `usize` values select a process, session, job or zone, modulo their number. The `u64` values are
/// durations in milliseconds.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// Stops an entry and does not restart it. Has no effect while only one entry is running.
    KillEntry(usize),
    /// Stops an entry and starts it again 700 ms later.
    RestartEntry(usize),
    /// Pauses an entry: its events are delivered when the pause ends.
    PauseEntry(usize, u64),
    /// Stops an agent and starts it again 400 ms later.
    RestartAgent(usize),
    /// Pauses an agent: its events are delivered when the pause ends.
    PauseAgent(usize, u64),
    /// Closes one of the open sessions between agents and entries.
    CloseSession(usize),
    /// Makes all calls between entries fail.
    PartitionPeers(u64),
    /// Makes all calls to the store fail without effect.
    StoreDown(u64),
    /// Loses the replies to writes to the store. The writes still take effect.
    StoreRepliesLost(u64),
    /// An operator takes a zone out of service.
    ZoneOut(usize),
    /// An operator puts a zone back into service.
    ZoneIn(usize),
    /// A caller cancels a job. The same number also selects the entry that receives the call.
    CancelJob(usize),
    /// Drains an entry, which starts again 1 s after it has drained. Has no effect while only one entry is running.
    DrainEntry(usize),
}

/// A fault and the time of its injection, in milliseconds after the start of the simulation.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at_ms: u64,
    pub kind: FaultKind,
}

/// Returns a strategy for plans of fewer than `faults_below` faults.
pub fn fault_plans(faults_below: usize) -> impl Strategy<Value = Vec<TimedFault>> {
    let index = 0..8_usize;
    let duration = 200..9_000_u64;
    let kind = prop_oneof![
        2 => index.clone().prop_map(FaultKind::KillEntry),
        2 => index.clone().prop_map(FaultKind::RestartEntry),
        3 => (index.clone(), duration.clone()).prop_map(|(index, duration)| FaultKind::PauseEntry(index, duration)),
        2 => index.clone().prop_map(FaultKind::RestartAgent),
        2 => (index.clone(), duration.clone()).prop_map(|(index, duration)| FaultKind::PauseAgent(index, duration)),
        3 => index.clone().prop_map(FaultKind::CloseSession),
        2 => duration.clone().prop_map(FaultKind::PartitionPeers),
        1 => duration.clone().prop_map(FaultKind::StoreDown),
        1 => duration.prop_map(FaultKind::StoreRepliesLost),
        2 => index.clone().prop_map(FaultKind::ZoneOut),
        1 => index.clone().prop_map(FaultKind::ZoneIn),
        2 => index.clone().prop_map(FaultKind::CancelJob),
        1 => index.prop_map(FaultKind::DrainEntry),
    ];
    let fault = (500..14_000_u64, kind).prop_map(|(at_ms, kind)| TimedFault { at_ms, kind });
    prop::collection::vec(fault, 0..faults_below)
}
