//! The capacity of one worker as its agent reports it to an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, Incarnation, ProcessStart, ZoneName};
use vanillacleat_core::run_frames::{KnownSpeeds, RouteSpeed, RunHello, RunReport, SessionOrder, WorkerInfo};
use vanillacleat_core::units::{Millis, MonoTime};

use super::worker_ratio::WorkerRatio;
use crate::agent::is_plausible;
use crate::entry::order::room_claim::RoomClaim;
use crate::{RemoteClock, WorkerPerformance};

/// Time for which no task is placed on a worker after its agent rejected a start.
const REJECTION_BACKOFF: Duration = Duration::from_millis(30);

/// Maximum time for which a worker is believed to be slow after its start.
const COLD_MAX: Duration = Duration::from_secs(60);

/// Maximum notice of leaving that is believed.
const NOTICE_MAX: Duration = Duration::from_secs(3_600);

/// Maximum number of routes whose speeds are kept for one worker.
const SPEEDS_MAX: usize = 32;

/// Age of the last report up to which an agent without runs of this entry gets starts. Such agents report once a second.
const IDLE_REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Lowest and highest slowness that is believed, in percent.
const SLOWNESS_MIN_PERCENT: u32 = 100;
/// See [`SLOWNESS_MIN_PERCENT`].
const SLOWNESS_MAX_PERCENT: u32 = 100_000;

/// Holds the state of one worker and the capacity that it has for this entry.
#[derive(Clone, Debug)]
pub struct WorkerCapacity {
    /// The name of the agent beside the worker.
    pub agent: AgentId,
    /// The incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The place of the agent's last session among all that it has opened.
    pub session_order: SessionOrder,
    /// The latest start of the agent's processes. A wall clock that was set back makes it later than that of the last session.
    pub latest_start: ProcessStart,
    /// The worker's availability zone.
    pub zone: ZoneName,
    /// The open session, if there is one.
    pub session: Option<SessionId>,
    /// The worker's description as last reported. Absent until the agent has reported it.
    pub info: Option<WorkerInfo>,
    /// Whether the agent rejects starts.
    pub is_closed: bool,
    /// The resources that runs of other entries occupy, as last reported.
    pub used_by_others: ResourceAmount,
    /// The resources of this entry's runs that were sent to the agent and whose ends have not been reported.
    pub reserved: ResourceAmount,
    /// When the last report, or the hello, was received.
    pub last_received_at: MonoTime,
    /// When the last start was sent while no run of this entry was at the agent. Its lease counts from then.
    pub activated_at: MonoTime,
    /// The number of this entry's runs that were sent to the agent and whose ends have not been reported.
    pub runs: u32,
    /// The number of entries that share the worker's capacity, as last reported.
    pub entries: u32,
    /// How much later than the fastest reports the last one arrived.
    pub report_delay: Duration,
    /// Whether the worker counted as slow at the last maintenance.
    pub is_slow: bool,
    /// Lower bound of the agent's clock.
    clock: RemoteClock,
    /// The agent's clock when it sent the last report.
    last_sent_at: Millis,
    /// When the session was lost. Absent while one is open.
    pub lost_at: Option<MonoTime>,
    /// Whether its runs were recorded as lost since the last report.
    pub is_expired: bool,
    /// The slowness that the last report states, if it is one that can be true.
    reported_slowness: Option<f64>,
    /// The observed speed and failures.
    pub performance: WorkerPerformance,
    /// The kind that the worker had in an earlier session, until it is reported again.
    pub former_kind: Option<SmolStr>,
    /// The worker's speeds by route, as its agent learned them.
    pub speeds: BTreeMap<SmolStr, RouteSpeed>,
    /// The expected ratios of run time to estimate, by the routes' places in the speed table.
    pub ratios: Vec<WorkerRatio>,
    /// The time until which the worker is slow because it started recently.
    pub cold_until: MonoTime,
    /// When the worker leaves at the earliest. Absent unless it has given notice.
    pub leaves_at: Option<MonoTime>,
    backoff_until: MonoTime,
}

impl WorkerCapacity {
    pub(super) fn new(now: MonoTime, session: SessionId, hello: &RunHello) -> Self {
        Self {
            agent: hello.agent.clone(),
            incarnation: hello.incarnation,
            session_order: hello.order,
            latest_start: hello.order.process_start,
            zone: hello.zone.clone(),
            session: Some(session),
            info: None,
            is_closed: true,
            used_by_others: ResourceAmount::default(),
            reserved: ResourceAmount::default(),
            last_received_at: now,
            activated_at: MonoTime::ZERO,
            runs: 0,
            entries: 1,
            report_delay: Duration::ZERO,
            is_slow: false,
            clock: RemoteClock::default(),
            last_sent_at: Millis(0),
            lost_at: None,
            is_expired: false,
            reported_slowness: None,
            performance: WorkerPerformance::default(),
            former_kind: None,
            speeds: BTreeMap::new(),
            ratios: Vec::new(),
            cold_until: MonoTime::ZERO,
            leaves_at: None,
            backoff_until: MonoTime::ZERO,
        }
    }

    /// Returns whether a hello is that of a later session than the last one, so that what it says of runs is newer than any order of
    /// this entry. The starts of two processes don't show their order if the wall clock was set back between them. A process that
    /// seems to be the earlier one is therefore accepted once no run of this entry can be at the agent.
    pub(super) fn precedes(&self, hello: &RunHello) -> bool {
        if hello.incarnation == self.incarnation {
            return hello.order.number > self.session_order.number;
        }
        hello.order.process_start > self.latest_start || (self.session.is_none() && self.runs == 0)
    }

    /// Returns the factor by which runs at the worker take longer than expected, as its agent has seen in the runs of all entries or this
    /// entry in its own. Returns `None` if neither shows any.
    pub fn slowness(&self, now: MonoTime) -> Option<f64> {
        self.reported_slowness.or_else(|| self.performance.slowness(now))
    }

    /// Returns whether the worker is slower by `threshold` or more, and more than a few jobs show it.
    pub(super) fn exceeds_slowness(&self, now: MonoTime, threshold: f64) -> bool {
        let is_slow = self.slowness(now).is_some_and(|slowness| slowness >= threshold);
        is_slow && (self.reported_slowness.is_some() || self.performance.has_slow_jobs(now, threshold))
    }

    /// Updates the state from a report.
    pub(super) fn record_report(&mut self, now: MonoTime, report: &RunReport) {
        self.last_received_at = now;
        self.is_expired = false;
        self.clock.record(now, report.sent_at.0);
        self.report_delay = self.clock.transfer_delay(now, report.sent_at.0);
        self.last_sent_at = report.sent_at;
        self.entries = report.entries.max(1);
        self.is_closed = report.is_closed;
        let is_plausible = (SLOWNESS_MIN_PERCENT..=SLOWNESS_MAX_PERCENT).contains(&report.slowness_percent);
        self.reported_slowness = is_plausible.then(|| f64::from(report.slowness_percent) / 100.0);
        self.used_by_others = report.used.saturating_sub(&report.used_by_entry);
        if let Some(info) = &report.worker {
            self.cold_until = now + info.cold.to_duration().min(COLD_MAX);
            self.leaves_at = info.leaves_in.map(|left| now + left.to_duration().min(NOTICE_MAX));
            if self.kind() != info.kind() {
                self.speeds.clear();
            }
            self.info.clone_from(&report.worker);
        }
    }

    /// Records speeds that the agent reports. Returns how many were refused because they can't be true.
    pub(super) fn record_speeds(&mut self, speeds: &[RouteSpeed]) -> u64 {
        let (plausible, refused): (Vec<_>, Vec<_>) = speeds.iter().take(SPEEDS_MAX).partition(|speed| is_plausible(speed));
        for speed in plausible {
            if self.speeds.len() < SPEEDS_MAX || self.speeds.contains_key(&speed.route) {
                self.speeds.insert(speed.route.clone(), speed.clone());
            }
        }
        (refused.len() + speeds.len().saturating_sub(SPEEDS_MAX)) as u64
    }

    /// Returns the worker's kind, if it is known.
    pub fn kind(&self) -> Option<&SmolStr> {
        self.info.as_ref().map_or(self.former_kind.as_ref(), WorkerInfo::kind)
    }

    /// Returns what this entry knows of the worker's speeds, to be told to its agent.
    pub fn known_speeds(&self) -> KnownSpeeds {
        KnownSpeeds { kind: self.kind().cloned(), routes: self.speeds.values().cloned().collect() }
    }

    /// Records that a start is sent to the agent.
    pub(super) fn record_start(&mut self, now: MonoTime, demand: ResourceAmount) {
        if self.runs == 0 {
            self.activated_at = now;
        }
        self.runs += 1;
        self.reserved += demand;
    }

    /// Records the end of a run.
    pub(super) fn record_end(&mut self, demand: ResourceAmount) {
        self.runs = self.runs.saturating_sub(1);
        self.reserved -= demand;
    }

    /// Returns the time on the agent's clock from which an order that is sent now leases the session. While runs of this entry
    /// are at the agent, this is the time of the last report, so that the lease ends if the agent falls silent. If the
    /// last report came before the first start, it is a time that has certainly passed when that start was sent.
    pub fn lease_start(&self) -> Millis {
        if self.activated_at > self.last_received_at {
            return Millis(self.clock.at(self.activated_at).unwrap_or(0));
        }
        self.last_sent_at
    }

    /// Returns the time since which nothing is known of the agent: its last report, or the start that was sent to it later.
    pub(super) fn last_contact_at(&self) -> MonoTime {
        self.last_received_at.max(self.activated_at)
    }

    /// Returns whether the last report is recent enough for another start. `age_max` applies while runs of this entry are at
    /// the agent, which then reports several times within that time.
    pub(super) fn is_fresh(&self, now: MonoTime, age_max: Duration) -> bool {
        if self.runs == 0 {
            return now.since(self.last_received_at) < IDLE_REPORT_AGE_MAX;
        }
        now.since(self.last_contact_at()) < age_max
    }

    /// Backs off from the worker after its agent rejected a start.
    pub(super) fn record_rejection(&mut self, now: MonoTime) {
        self.backoff_until = now + REJECTION_BACKOFF;
    }

    /// Returns the free capacity, as far as this entry knows. It is zero until the agent has reported its worker.
    pub fn free_capacity(&self) -> ResourceAmount {
        let capacity = self.info.as_ref().map(|info| info.capacity).unwrap_or_default();
        capacity.saturating_sub(&(self.used_by_others + self.reserved))
    }

    /// Returns the part of the free capacity that a task with this claim may use. No more is left to others than the task leaves of an
    /// idle worker: one that needs nearly the whole of it could never start otherwise.
    pub fn capacity_for(&self, claim: RoomClaim, demand: &ResourceAmount) -> ResourceAmount {
        let capacity = self.millicores();
        let reserved = capacity.saturating_mul(claim.reserved_percent()) / 100;
        let millicores = reserved.min(capacity.saturating_sub(demand.millicores));
        self.free_capacity().saturating_sub(&ResourceAmount { millicores, ..ResourceAmount::default() })
    }

    /// Returns the worker's processor capacity. It is zero until the agent has reported its worker.
    fn millicores(&self) -> u64 {
        self.info.as_ref().map_or(0, |info| info.capacity.millicores)
    }

    /// Returns whether starts may be sent to the agent at `now`.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        let is_ready = self.info.as_ref().is_some_and(|info| info.is_ready);
        self.session.is_some() && is_ready && !self.is_closed && !self.is_expired && now >= self.backoff_until
    }
}
