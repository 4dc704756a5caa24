//! The rules by which workers count as slow and by which their runs are relocated to other workers.
//!
//! A worker's slowness is the factor by which its runs take longer than expected. A few workers may become several
//! times slower than the others. A run on such a worker is relocated if the rest of its work would take longer than all
//! of it on a healthy worker. If all workers are equally loaded, none of them is slow.

/// Multiple of the median slowness from which a worker counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// Returns the slowness from which a worker counts as slow, given the slowness of all workers. A worker of unknown
/// slowness counts as healthy. Because the threshold is a multiple of the median, fewer than half of the workers can be
/// slow.
pub fn slowness_threshold(slownesses: impl Iterator<Item = Option<f64>>) -> f64 {
    let mut slownesses: Vec<f64> = slownesses.map(|slowness| slowness.unwrap_or(1.0)).collect();
    let middle = slownesses.len() / 2;
    let median = if slownesses.is_empty() { 1.0 } else { *slownesses.select_nth_unstable_by(middle, f64::total_cmp).1 };
    median.max(1.0) * SLOW_FACTOR
}
