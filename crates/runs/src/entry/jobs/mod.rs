//! The open jobs of an entry and what became of their tasks.

pub(in crate::entry) mod job_delay;
pub(in crate::entry) mod job_table;
pub(in crate::entry) mod open_job;
