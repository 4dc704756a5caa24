//! A deterministic simulation of a deployment: the real control state of entries and agents, with a simulated network,
//! store, upstreams and callers.

// Each test binary compiles these modules and uses only some of their items.
#![allow(dead_code)]

pub mod checks;
pub mod fake_store;
pub mod faults;
pub mod simulation;
pub mod trace;
