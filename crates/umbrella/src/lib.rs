//! vanillacleat is a dispatcher for sub-second tasks. This crate gathers the parts that other programs embed.
//!
//! The start gate alone, which admits each task once:
//!
//! ```
//! use vanillacleat::control::gate::StartGate;
//! use vanillacleat::core::settings::{FreshnessPolicy, GateSettings};
//! use vanillacleat::core::units::MonoTime;
//!
//! let settings = GateSettings { freshness: FreshnessPolicy::Open, ..GateSettings::default() };
//! let mut gate = StartGate::new("burgos".parse()?, settings);
//! assert!(gate.start_ready(MonoTime::ZERO).is_empty());
//! # Ok::<(), vanillacleat::core::Error>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use vanillacleat_client as client;
pub use vanillacleat_control as control;
pub use vanillacleat_core as core;
pub use vanillacleat_wire as wire;
