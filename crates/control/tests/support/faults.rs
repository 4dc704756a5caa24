//! What goes wrong, and when.

use proptest::prelude::*;

/// A `FaultKind` is one thing that goes wrong. Numbers choose among the processes, and spans are in milliseconds.
#[derive(Clone, Debug)]
pub enum FaultKind {
    KillEntry(usize),
    RestartEntry(usize),
    PauseEntry(usize, u64),
    RestartAgent(usize),
    PauseAgent(usize, u64),
    BreakLink(usize),
    CutPeers(u64),
    StoreDown(u64),
    StoreSilent(u64),
    ZoneOut(usize),
    ZoneIn(usize),
    CancelJob(usize),
    DrainEntry(usize),
}

/// A `TimedFault` is a fault at a time in milliseconds after the start.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at_ms: u64,
    pub kind: FaultKind,
}

/// Returns plans of up to `most` faults.
pub fn fault_plans(most: usize) -> impl Strategy<Value = Vec<TimedFault>> {
    let index = 0..8_usize;
    let span = 200..9_000_u64;
    let kind = prop_oneof![
        2 => index.clone().prop_map(FaultKind::KillEntry),
        2 => index.clone().prop_map(FaultKind::RestartEntry),
        3 => (index.clone(), span.clone()).prop_map(|(index, span)| FaultKind::PauseEntry(index, span)),
        2 => index.clone().prop_map(FaultKind::RestartAgent),
        2 => (index.clone(), span.clone()).prop_map(|(index, span)| FaultKind::PauseAgent(index, span)),
        3 => index.clone().prop_map(FaultKind::BreakLink),
        2 => span.clone().prop_map(FaultKind::CutPeers),
        1 => span.clone().prop_map(FaultKind::StoreDown),
        1 => span.prop_map(FaultKind::StoreSilent),
        2 => index.clone().prop_map(FaultKind::ZoneOut),
        1 => index.clone().prop_map(FaultKind::ZoneIn),
        2 => index.clone().prop_map(FaultKind::CancelJob),
        1 => index.prop_map(FaultKind::DrainEntry),
    ];
    let fault = (500..14_000_u64, kind).prop_map(|(at_ms, kind)| TimedFault { at_ms, kind });
    prop::collection::vec(fault, 0..most)
}
