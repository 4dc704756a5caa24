//! The order in which waiting jobs are placed, what room they may use, and when jobs are refused.

pub(in crate::entry) mod entry_load;
pub(in crate::entry) mod job_order;
pub(in crate::entry) mod room_claim;
