//! Fakes at the interfaces of the decisions: a network, a store, upstreams and callers.
#![allow(dead_code)]

pub mod checks;
pub mod fake_store;
pub mod faults;
pub mod trace;
pub mod world;
