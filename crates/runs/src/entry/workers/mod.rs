//! The workers that an entry knows: their capacity, speed and health, and the choice among them.

pub(in crate::entry) mod crash_log;
pub(in crate::entry) mod quarantine;
pub(in crate::entry) mod run_times;
pub(in crate::entry) mod straggler_rule;
pub(in crate::entry) mod worker_capacity;
pub(in crate::entry) mod worker_ratio;
pub(in crate::entry) mod worker_registry;
pub(in crate::entry) mod worker_speeds;
