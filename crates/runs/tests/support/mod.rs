//! A deterministic simulation of entries, agents, workers and callers under injected faults, driven by one seed.

#![allow(dead_code)]

pub mod agent_bench;
pub mod callers;
pub mod checks;
pub mod faults;
pub mod peer_bench;
pub mod plans;
pub mod shared_host;
pub mod simulation;
pub mod site_bench;
pub mod uneven_site;
