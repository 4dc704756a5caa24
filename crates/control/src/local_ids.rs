//! Handles that are unique inside one process.

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
    /// A `SessionId` names one connection between an agent and an entry.
    SessionId
);
local_id!(
    /// A `ReplyId` names somebody who waits for a reply of this process.
    ReplyId
);
local_id!(
    /// A `CallId` names a call that this process made and that has not been answered.
    CallId
);
