//! The faults that a simulation injects, and a proptest strategy for schedules of them.

use proptest::prelude::*;

/// A fault of a simulated process, connection or zone. Processes are given by index and durations in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulatedFault {
    /// Kills an entry, which restarts a little later without its state.
    KillEntry(usize),
    /// Kills an agent, which restarts a little later without its state.
    KillAgent(usize),
    /// Crashes a worker; its next incarnation starts at once, without its runs.
    CrashWorker(usize),
    /// Pauses an entry for a duration; events that arrive meanwhile are delivered afterwards.
    FreezeEntry(usize, u64),
    /// Pauses an agent for a duration; events that arrive meanwhile are delivered afterwards.
    FreezeAgent(usize, u64),
    /// Resets the session of an agent with an entry.
    ResetSession(usize, usize),
    /// Interrupts the link of an agent to an entry for a duration; frames sent meanwhile are delivered afterwards.
    CutSession(usize, usize, u64),
    /// Drops the answers to about half of the calls to a worker for a duration; the worker executes these calls later.
    LoseCalls(usize, u64),
    /// Multiplies the run times at a worker by a factor for a duration.
    SlowWorker(usize, u32, u64),
    /// Starts the drain of a worker, which then announces that it accepts no more starts.
    DrainWorker(usize),
    /// Resets the callers' connections to an entry. The entry is notified of it.
    ResetCallers(usize),
    /// Takes a zone out of service, or puts it back if it is out.
    ToggleZone(usize),
}

/// A fault and the time at which it is injected, in milliseconds.
pub type TimedFault = (u64, SimulatedFault);

/// Returns a strategy for schedules of at most `faults_max` faults.
pub fn fault_schedules(faults_max: usize) -> impl Strategy<Value = Vec<TimedFault>> {
    prop::collection::vec((200_u64..5_000, any_fault()), 0..=faults_max)
}

fn any_fault() -> impl Strategy<Value = SimulatedFault> {
    let duration = 50_u64..2_500;
    prop_oneof![
        (0_usize..2).prop_map(SimulatedFault::KillEntry),
        (0_usize..3).prop_map(SimulatedFault::KillAgent),
        (0_usize..3).prop_map(SimulatedFault::CrashWorker),
        (0_usize..2, duration.clone()).prop_map(|(entry, duration)| SimulatedFault::FreezeEntry(entry, duration)),
        (0_usize..3, duration.clone()).prop_map(|(agent, duration)| SimulatedFault::FreezeAgent(agent, duration)),
        (0_usize..3, 0_usize..2).prop_map(|(agent, entry)| SimulatedFault::ResetSession(agent, entry)),
        (0_usize..3, 0_usize..2, duration.clone()).prop_map(|(agent, entry, duration)| SimulatedFault::CutSession(agent, entry, duration)),
        (0_usize..3, duration.clone()).prop_map(|(worker, duration)| SimulatedFault::LoseCalls(worker, duration)),
        (0_usize..3, 2_u32..9, duration).prop_map(|(worker, factor, duration)| SimulatedFault::SlowWorker(worker, factor, duration)),
        (0_usize..3).prop_map(SimulatedFault::DrainWorker),
        (0_usize..2).prop_map(SimulatedFault::ResetCallers),
        (0_usize..3).prop_map(SimulatedFault::ToggleZone),
    ]
}
