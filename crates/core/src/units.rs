//! Newtypes for times, revisions, generations and sizes.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::errors::{malformed_error, Error};

/// A reading of a process's monotonic clock, in microseconds since the process started.
///
/// Readings of different processes are never compared. Sums beyond the range give the latest reading, since the durations of
/// callers, operators and other processes are not bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Returns the reading `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the reading `elapsed` after the start of the process.
    pub fn from_elapsed(elapsed: Duration) -> Self {
        Self(whole_micros(elapsed))
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this reading; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading `age` before this one, but not before the start of the process.
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(whole_micros(age)))
    }
}

/// Returns a duration in whole microseconds, at most the largest number of them.
fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(duration)))
    }
}

impl Sub<MonoTime> for MonoTime {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Declares a newtype for a whole number, with its text form.
macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse().map(Self).map_err(|_| malformed_error($kind, text, "a whole number"))
            }
        }
    };
}

integer_newtype!(
    /// Revision of the operators' configuration, incremented with each accepted change; zero is the empty
    /// configuration.
    Revision, "revision"
);
integer_newtype!(
    /// Fencing generation of a home's owners, raised with each new owner; zero is the entry incarnation that created
    /// the home.
    Generation, "generation"
);
integer_newtype!(
    /// An amount of memory, in units of 10^6 bytes.
    Megabytes, "megabytes"
);
integer_newtype!(
    /// A duration in milliseconds.
    Millis, "milliseconds"
);
integer_newtype!(
    /// A size in bytes.
    ByteCount, "bytes"
);

impl Millis {
    /// Returns the duration as a [`Duration`].
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns `duration` rounded down to whole milliseconds.
    pub fn from_duration(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
