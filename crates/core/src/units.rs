//! Newtypes for times, revisions and sizes.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::errors::{malformed_error, Error};

/// A `MonoTime` is a reading of one process's monotonic clock, in microseconds since that process started.
///
/// Readings of two processes are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// Returns the reading `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the reading at `elapsed` since the start.
    pub fn from_elapsed(elapsed: Duration) -> Self {
        Self(elapsed.as_micros() as u64)
    }

    /// Returns microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this reading, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading `age` before this one, or the start.
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age.as_micros() as u64))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
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

macro_rules! counter_unit {
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

counter_unit!(
    /// A `Revision` orders the accepted values of the operators' configuration; zero is the empty one.
    Revision, "revision"
);
counter_unit!(
    /// A `Generation` orders the owners of one home's tickets; zero is the home itself.
    Generation, "generation"
);
counter_unit!(
    /// A `Megabytes` is an amount of a worker's memory, in units of 10^6 bytes.
    Megabytes, "megabytes"
);
counter_unit!(
    /// A `Millis` is a span of time in milliseconds.
    Millis, "milliseconds"
);
counter_unit!(
    /// A `ByteCount` is a size in bytes.
    ByteCount, "bytes"
);

impl Millis {
    /// Returns the span as a `Duration`.
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns a span rounded down to whole milliseconds.
    pub fn from_duration(span: Duration) -> Self {
        Self(span.as_millis() as u64)
    }
}
