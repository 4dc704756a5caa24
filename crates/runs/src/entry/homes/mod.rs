//! Other entries and the jobs that callers submit to several of them.

pub(in crate::entry) mod job_homes;
mod known_peers;
pub(in crate::entry) mod peer_registry;
pub(in crate::entry) mod recent_jobs;
pub(in crate::entry) mod resume_barrier;
