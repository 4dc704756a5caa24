//! Newtypes for the names of workers' parts, availability zones, teams and upstreams.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::errors::{malformed_error, Error};

/// Longest identifier, in bytes.
pub const ID_BYTES_MAX: usize = 64;

const ID_ALLOWED: &str = "1 to 64 ASCII letters, digits, '-', '_' or ':'";

fn is_id(text: &str) -> bool {
    let in_length = !text.is_empty() && text.len() <= ID_BYTES_MAX;
    in_length && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b':'))
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                if !is_id(text) {
                    return Err(malformed_error($kind, text, ID_ALLOWED));
                }
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = Error;

            fn try_from(text: SmolStr) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// A `ZoneName` is the name of an availability zone.
    ZoneName, "availability zone"
);
text_id!(
    /// A `TeamName` is the name of a caller's team, which holds a quota.
    TeamName, "team"
);
text_id!(
    /// A `ServiceName` is the name of a declared service.
    ServiceName, "service"
);
text_id!(
    /// An `UpstreamName` is the name of one back end that runs a service's tasks.
    UpstreamName, "upstream"
);
text_id!(
    /// An `EntryId` is the stable name of an entry host.
    EntryId, "entry"
);
text_id!(
    /// An `AgentId` is the stable name of an agent, one for each worker.
    AgentId, "agent"
);
text_id!(
    /// A `ChangeId` names one change of the configuration, so that a lost answer can be settled by reading.
    ChangeId, "change"
);
text_id!(
    /// A `JobName` is a caller's own name for a job.
    JobName, "job name"
);

/// An `Incarnation` tells two runs of the same process apart. It is drawn at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let refusal = || malformed_error("incarnation", text, "16 hexadecimal digits");
        if text.len() != 16 {
            return Err(refusal());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| refusal())
    }
}

/// A `HomeKey` names one incarnation of an entry: the home of the tickets that it gave out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeKey {
    /// The entry's stable name.
    pub entry: EntryId,
    /// The entry's run.
    pub incarnation: Incarnation,
}

impl fmt::Display for HomeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.entry, self.incarnation)
    }
}

/// A `WorkerKey` names one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerKey {
    /// The agent's stable name.
    pub agent: AgentId,
    /// The agent's run.
    pub incarnation: Incarnation,
}

impl fmt::Display for WorkerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.agent, self.incarnation)
    }
}

/// A `TaskKey` names one task in the whole system, for ever.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The home of the job's ticket.
    pub home: HomeKey,
    /// The ticket's serial at its home.
    pub serial: u64,
    /// The task's index in its job.
    pub task: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}/{}", self.home, self.serial, self.task)
    }
}
