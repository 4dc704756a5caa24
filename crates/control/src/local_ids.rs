//! Identifiers that are unique within one process.

use std::fmt;

use serde::Serialize;

macro_rules! local_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

local_id!(
    /// Identifies one connection between an agent and an entry.
    SessionId
);
local_id!(
    /// Identifies a pending request to this process, whose sender waits for the reply.
    ReplyId
);
local_id!(
    /// Identifies a call that this process made and that has not been answered yet.
    CallId
);
