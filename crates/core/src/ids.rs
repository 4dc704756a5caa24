//! Validated names of zones, teams, services, upstreams and processes, and the keys that identify incarnations and
//! tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::errors::{malformed_error, Error};

/// Maximum length of a name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// The allowed names, as given in errors.
const NAME_ALLOWED: &str = "1 to 64 ASCII letters, digits, '-', '_' or ':'";

fn is_valid_name(text: &str) -> bool {
    let has_valid_length = !text.is_empty() && text.len() <= NAME_BYTES_MAX;
    has_valid_length && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b':'))
}

/// Declares a name type whose every value is 1 to [`NAME_BYTES_MAX`] bytes of the allowed characters.
macro_rules! name_newtype {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                if !is_valid_name(text) {
                    return Err(malformed_error($kind, text, NAME_ALLOWED));
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
            fn from(name: $name) -> SmolStr {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_newtype!(
    /// Name of an availability zone.
    ZoneName, "availability zone"
);
name_newtype!(
    /// Name of a team of callers. Quotas are set per team.
    TeamName, "team"
);
name_newtype!(
    /// Name of a service.
    ServiceName, "service"
);
name_newtype!(
    /// Name of an upstream: a back end that runs a service's tasks.
    UpstreamName, "upstream"
);
name_newtype!(
    /// Stable name of an entry; it stays the same across restarts.
    EntryId, "entry"
);
name_newtype!(
    /// Stable name of an agent; it stays the same across restarts. There is one agent per worker.
    AgentId, "agent"
);
name_newtype!(
    /// Identifies a change of the configuration. An operator who missed the answer to a change can look up by its id
    /// whether it took effect.
    ChangeId, "change"
);
name_newtype!(
    /// Name that a caller gives to a job.
    JobName, "job name"
);

/// When a process started, in Unix milliseconds. It orders the incarnations of a process unless the wall clock was set back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessStart(pub u64);

impl fmt::Display for ProcessStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Distinguishes the executions of an entry or agent: each start of the process draws a new one at random.
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
        let malformed = || malformed_error("incarnation", text, "16 hexadecimal digits");
        if text.len() != 16 {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| malformed())
    }
}

/// Identifies one incarnation of an entry, which is the home of the tickets that it issued.
///
/// Another entry may adopt a home; the key stays the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeKey {
    /// The entry's stable name.
    pub entry: EntryId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for HomeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.entry, self.incarnation)
    }
}

/// Identifies one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerKey {
    /// The agent's stable name.
    pub agent: AgentId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for WorkerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.agent, self.incarnation)
    }
}

/// Identifies a task. Keys are unique across the whole system and never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The home of the job's ticket.
    pub home: HomeKey,
    /// The serial of the job's ticket at its home.
    pub serial: u64,
    /// Index of the task in its job.
    pub task: u16,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}/{}", self.home, self.serial, self.task)
    }
}
