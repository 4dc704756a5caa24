//! Which part of a worker's free capacity a task may use (trunk reservation).
//!
//! Entries don't see each other's waiting jobs. Without a reservation, a job of one entry that is late or less urgent takes the room
//! that an urgent job of another entry needs at once: a wide one of those then gets the rest of its tasks one by one, as runs end.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::ids::ServiceName;
use vanillacleat_core::units::MonoTime;

/// Part of a worker's processor capacity that is left to the most urgent routes, in percent. It is one task where a worker runs ten.
const URGENT_PERCENT: u64 = 10;
/// Part of a worker's processor capacity that is left to jobs that can still be answered in time, in percent.
const IN_TIME_PERCENT: u64 = 20;
/// Time for which an urgent job shows that more of its kind come.
const URGENT_MEMORY: Duration = Duration::from_secs(5);

/// The claim of a task on a worker's free capacity, the strongest first. A weaker claim never covers more of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoomClaim {
    /// Tasks of the most urgent routes, and those of jobs that have begun, whose work would be lost.
    #[default]
    Urgent,
    /// Tasks of less urgent routes.
    Ordinary,
    /// Tasks of jobs that can't be answered in time any more.
    Late,
}

impl RoomClaim {
    /// Returns the part of a worker's processor capacity that is left to stronger claims, in percent.
    pub fn reserved_percent(self) -> u64 {
        match self {
            Self::Urgent => 0,
            Self::Ordinary => URGENT_PERCENT,
            Self::Late => IN_TIME_PERCENT,
        }
    }
}

/// Remembers which priorities a service's jobs had lately. Room is left only to jobs that are likely to come.
#[derive(Debug, Default)]
pub struct UrgencyRecord {
    /// When the last job of each priority arrived, by service. Lower numbers are more urgent.
    arrivals: BTreeMap<ServiceName, BTreeMap<u32, MonoTime>>,
}

impl UrgencyRecord {
    /// Records the arrival of a job.
    pub fn record(&mut self, now: MonoTime, service: &ServiceName, priority: u32) {
        let arrivals = self.arrivals.entry(service.clone()).or_default();
        arrivals.retain(|_, at| now.since(*at) < URGENT_MEMORY);
        arrivals.insert(priority, now);
    }

    /// Returns whether no job of a more urgent route of the service has arrived lately.
    pub fn is_most_urgent(&self, now: MonoTime, service: &ServiceName, priority: u32) -> bool {
        let mut more_urgent = self.arrivals.get(service).into_iter().flat_map(|arrivals| arrivals.range(..priority));
        more_urgent.all(|(_, at)| now.since(*at) >= URGENT_MEMORY)
    }
}
