//! The parts of vanillacleat, a dispatcher for sub-second tasks, that other programs embed.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use vanillacleat_client as client;
pub use vanillacleat_control as control;
pub use vanillacleat_core as core;
pub use vanillacleat_wire as wire;
