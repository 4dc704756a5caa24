//! A worker's speed on one route.

/// A worker's run times on one route, relative to the callers' estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerRatio {
    /// The expected ratio.
    pub expected: f64,
    /// The ratio above which the worker is slower than itself or than its kind.
    pub healthy: f64,
    /// The quickness; lower is quicker. Workers that are about equally quick have the same.
    pub class: u32,
}
