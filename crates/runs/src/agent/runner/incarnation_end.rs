//! Why an agent no longer calls an incarnation of its worker.

/// The sign on which an agent no longer calls the worker's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IncarnationEnd {
    /// Short form of the cause in logs.
    pub(super) cause: &'static str,
    /// What arrived, in logs.
    pub(super) sign: &'static str,
}

impl IncarnationEnd {
    pub(super) const HEARTBEAT: Self = Self { cause: "reborn", sign: "confirmed_heartbeat" };
    pub(super) const LATER_LIST: Self = Self { cause: "reborn", sign: "list" };
    pub(super) const DEREGISTRATION: Self = Self { cause: "left", sign: "deregistration" };
    pub(super) const POLL_MISDIRECTED: Self = Self { cause: "other_life", sign: "poll_reply" };
    pub(super) const START_MISDIRECTED: Self = Self { cause: "other_life", sign: "start_reply" };
    pub(super) const STOP_MISDIRECTED: Self = Self { cause: "other_life", sign: "stop_reply" };
}
