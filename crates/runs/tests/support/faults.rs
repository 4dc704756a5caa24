//! What may go wrong in the world.

use proptest::prelude::*;

/// A `WorldFault` is one disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldFault {
    /// An entry is killed and starts again.
    KillEntry(usize),
    /// An agent is killed and starts again.
    KillAgent(usize),
    /// A worker crashes and a new life starts.
    CrashWorker(usize),
    /// An entry stands still.
    FreezeEntry(usize, u64),
    /// An agent stands still.
    FreezeAgent(usize, u64),
    /// The session of an agent with an entry is reset.
    ResetSession(usize, usize),
    /// Nothing passes between an agent and an entry; what was sent arrives later.
    CutSession(usize, usize, u64),
    /// Calls of a worker are not answered and carried out late.
    LoseCalls(usize, u64),
    /// A worker turns slow.
    SlowWorker(usize, u32, u64),
    /// A worker leaves.
    DrainWorker(usize),
    /// Callers' connections to an entry are reset.
    ResetCallers(usize),
    /// A zone is taken out, or back in.
    ToggleZone(usize),
}

/// A `TimedFault` is a fault at a moment, in milliseconds.
pub type TimedFault = (u64, WorldFault);

/// Returns plans of up to `most` faults.
pub fn fault_plans(most: usize) -> impl Strategy<Value = Vec<TimedFault>> {
    prop::collection::vec((200_u64..5_000, any_fault()), 0..=most)
}

fn any_fault() -> impl Strategy<Value = WorldFault> {
    let span = 50_u64..2_500;
    prop_oneof![
        (0_usize..2).prop_map(WorldFault::KillEntry),
        (0_usize..3).prop_map(WorldFault::KillAgent),
        (0_usize..3).prop_map(WorldFault::CrashWorker),
        (0_usize..2, span.clone()).prop_map(|(entry, span)| WorldFault::FreezeEntry(entry, span)),
        (0_usize..3, span.clone()).prop_map(|(agent, span)| WorldFault::FreezeAgent(agent, span)),
        (0_usize..3, 0_usize..2).prop_map(|(agent, entry)| WorldFault::ResetSession(agent, entry)),
        (0_usize..3, 0_usize..2, span.clone()).prop_map(|(agent, entry, span)| WorldFault::CutSession(agent, entry, span)),
        (0_usize..3, span.clone()).prop_map(|(worker, span)| WorldFault::LoseCalls(worker, span)),
        (0_usize..3, 2_u32..9, span).prop_map(|(worker, times, span)| WorldFault::SlowWorker(worker, times, span)),
        (0_usize..3).prop_map(WorldFault::DrainWorker),
        (0_usize..2).prop_map(WorldFault::ResetCallers),
        (0_usize..3).prop_map(WorldFault::ToggleZone),
    ]
}
