//! The registry of the workers that an entry knows, and the choice of a worker for a task.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::ResourceAmount;
use vanillacleat_core::ids::{AgentId, ServiceName, ZoneName};
use vanillacleat_core::run_frames::{RunHello, RunReport};
use vanillacleat_core::units::{Millis, MonoTime};

use super::quarantine::{select_workers, Quarantine, WorkerPool};
use super::straggler_rule::slowness_threshold;
use super::worker_capacity::WorkerCapacity;
use super::worker_ratio::WorkerRatio;
use super::worker_speeds::{RouteSummary, SpeedTable, TaskTiming};
use crate::entry::order::job_order::core_share;
use crate::entry::order::room_claim::RoomClaim;
use crate::{LeaseTerms, WorkerPerformance};

/// Number of agents per zone that keep a copy of the routes for entries that can't reach the platform's store.
const ROUTE_COPIES_PER_ZONE: usize = 2;

/// Minimum interval between two computations of the workers' expected speeds.
const SPEEDS_INTERVAL: Duration = Duration::from_millis(100);

/// The requirements of a task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRequest<'a> {
    /// The service that the worker must serve.
    pub service: &'a ServiceName,
    /// The resources that the task occupies.
    pub demand: &'a ResourceAmount,
    /// A label that the worker must have.
    pub required_label: Option<&'a SmolStr>,
    /// The label of the rack that is closest to the task's data.
    pub preferred_rack: Option<&'a SmolStr>,
    /// Agents that the task must not be sent to.
    pub excluded: &'a [AgentId],
    /// Which part of a worker's free capacity the task may use.
    pub claim: RoomClaim,
    /// The workers on which the task may run.
    pub pool: WorkerPool,
    /// The time that the task has. Absent if its run time is unknown.
    pub timing: Option<TaskTiming>,
}

/// What a hello showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The agent's process is new to this entry, or has opened another session.
    Opened,
    /// A new process of a known agent has opened a session.
    Restarted,
    /// The agent has opened a later session. The hello says nothing of its runs now.
    Outdated,
}

/// Holds the workers that one entry knows. It learns of them only through the sessions that their agents open.
#[derive(Debug)]
pub struct WorkerRegistry {
    workers: BTreeMap<AgentId, WorkerCapacity>,
    by_session: BTreeMap<SessionId, AgentId>,
    report_age_max: Duration,
    speed_table: SpeedTable,
    /// Whether agents have reported workers or speeds since the speed table was computed.
    are_speeds_new: bool,
    /// When the speed table was computed.
    speeds_updated_at: MonoTime,
    refused_speeds: u64,
    quarantine: Quarantine,
}

impl Default for WorkerRegistry {
    fn default() -> Self {
        Self::new(LeaseTerms::default().session_lease)
    }
}

impl WorkerRegistry {
    /// Returns a registry without workers. An agent whose last report is older than `report_age_max` gets no starts.
    /// This is the length of the session's lease: agents reject starts once the lease has ended.
    pub fn new(report_age_max: Duration) -> Self {
        Self {
            workers: BTreeMap::new(),
            by_session: BTreeMap::new(),
            report_age_max,
            speed_table: SpeedTable::default(),
            are_speeds_new: false,
            speeds_updated_at: MonoTime::ZERO,
            refused_speeds: 0,
            quarantine: Quarantine::default(),
        }
    }

    /// Records an agent's hello on a new session, unless it is that of an earlier session than the agent's last one.
    pub fn record_hello(&mut self, now: MonoTime, session: SessionId, hello: &RunHello) -> HelloOutcome {
        let mut worker = WorkerCapacity::new(now, session, hello);
        let previous = self.workers.get(&hello.agent);
        if previous.is_some_and(|previous| !previous.precedes(hello)) {
            return HelloOutcome::Outdated;
        }
        let is_restarted = previous.is_some_and(|previous| previous.incarnation != hello.incarnation);
        if let Some(previous) = previous {
            worker.latest_start = worker.latest_start.max(previous.latest_start);
            worker.reserved = previous.reserved;
            worker.runs = previous.runs;
            worker.is_slow = previous.is_slow;
            worker.performance = previous.performance.clone();
            worker.former_kind = previous.kind().or(previous.former_kind.as_ref()).cloned();
            worker.speeds.clone_from(&previous.speeds);
            worker.ratios.clone_from(&previous.ratios);
        }
        self.by_session.insert(session, hello.agent.clone());
        self.workers.insert(hello.agent.clone(), worker);
        if is_restarted {
            HelloOutcome::Restarted
        } else {
            HelloOutcome::Opened
        }
    }

    /// Records a report. Returns the agent, or `None` if the session is not the agent's current one.
    pub fn record_report(&mut self, now: MonoTime, session: SessionId, report: &RunReport) -> Option<AgentId> {
        let agent = self.by_session.get(&session)?;
        let worker = self.workers.get_mut(agent).filter(|worker| worker.session == Some(session))?;
        worker.record_report(now, report);
        self.refused_speeds += worker.record_speeds(&report.speeds);
        self.are_speeds_new |= report.worker.is_some() || !report.speeds.is_empty();
        Some(agent.clone())
    }

    /// Records that a session was lost. Returns the agent, or `None` if the session was not the agent's current one.
    pub fn record_lost_session(&mut self, now: MonoTime, session: SessionId) -> Option<AgentId> {
        let agent = self.by_session.remove(&session)?;
        let worker = self.workers.get_mut(&agent).filter(|worker| worker.session == Some(session))?;
        worker.session = None;
        worker.lost_at = Some(now);
        Some(agent)
    }

    /// Reserves capacity for a start that is sent to an agent.
    pub fn reserve(&mut self, now: MonoTime, agent: &AgentId, demand: ResourceAmount) {
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.record_start(now, demand);
        }
    }

    /// Releases the capacity of a run that has ended.
    pub fn release(&mut self, agent: &AgentId, demand: ResourceAmount) {
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.record_end(demand);
        }
    }

    /// Backs off from an agent that rejected a start.
    pub fn record_rejection(&mut self, now: MonoTime, agent: &AgentId) {
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.record_rejection(now);
        }
    }

    /// Returns the performance record of an agent's worker.
    pub fn performance_mut(&mut self, agent: &AgentId) -> Option<&mut WorkerPerformance> {
        self.workers.get_mut(agent).map(|worker| &mut worker.performance)
    }

    /// Recomputes the slowness threshold from all workers. Returns the agents of the workers that are slow.
    pub fn update_slow_workers(&mut self, now: MonoTime) -> Vec<AgentId> {
        let slownesses: Vec<Option<f64>> = self.workers.values().map(|worker| worker.slowness(now)).collect();
        let threshold = slowness_threshold(slownesses.into_iter());
        let mut slow = Vec::new();
        for worker in self.workers.values_mut() {
            worker.is_slow = worker.exceeds_slowness(now, threshold);
            if worker.is_slow {
                slow.push(worker.agent.clone());
            }
        }
        slow
    }

    /// Adds a route of which tasks are to be placed, whose run times were `observed` by this entry.
    pub fn add_route(&mut self, route: &SmolStr, observed: impl Fn(&SmolStr) -> f64) {
        if self.speed_table.add(route, observed(route)) {
            self.speed_table.update(&mut self.workers, observed);
        }
    }

    /// Computes the workers' expected speeds from what was reported since the last time. Returns the routes whose ratios have changed
    /// noticeably.
    pub fn update_speeds(&mut self, now: MonoTime, observed: impl Fn(&SmolStr) -> f64) -> Vec<(SmolStr, RouteSummary)> {
        let mut changes = Vec::new();
        if self.are_speeds_new && now.since(self.speeds_updated_at) >= SPEEDS_INTERVAL {
            self.speed_table.update(&mut self.workers, observed);
            (self.are_speeds_new, self.speeds_updated_at) = (false, now);
            changes = self.speed_table.take_changes();
        }
        self.speed_table.update_scarcity(&self.workers);
        changes
    }

    /// Returns the expected speeds by route.
    pub fn speed_table(&self) -> &SpeedTable {
        &self.speed_table
    }

    /// Returns the ratio of run time to estimate that is expected of an agent's worker on a route.
    pub fn worker_ratio(&self, now: MonoTime, agent: &AgentId, route: &SmolStr) -> Option<WorkerRatio> {
        Some(self.speed_table.ratio(now, self.speed_table.index(route)?, self.workers.get(agent)?))
    }

    /// Records the ratio of a run on a worker that is still cold to what is expected of the worker otherwise.
    pub fn record_cold_ratio(&mut self, ratio: f64) {
        self.speed_table.record_cold(ratio);
    }

    /// Returns the number of reported speeds that were refused because they can't be true.
    pub fn refused_speeds(&self) -> u64 {
        self.refused_speeds
    }

    /// Returns the agent that has opened a session.
    pub fn agent_of(&self, session: SessionId) -> Option<&AgentId> {
        self.by_session.get(&session)
    }

    /// Returns the state of an agent's worker.
    pub fn get(&self, agent: &AgentId) -> Option<&WorkerCapacity> {
        self.workers.get(agent)
    }

    /// Returns the time on the agent's clock from which an order on a session leases it; zero if the session is unknown.
    pub fn lease_start(&self, session: SessionId) -> Millis {
        let worker = self.by_session.get(&session).and_then(|agent| self.workers.get(agent));
        worker.filter(|worker| worker.session == Some(session)).map_or(Millis(0), WorkerCapacity::lease_start)
    }

    /// Returns the time since anything was known of an agent, or `None` if it is unknown.
    pub fn contact_age(&self, now: MonoTime, agent: &AgentId) -> Option<Duration> {
        self.workers.get(agent).map(|worker| now.since(worker.last_contact_at()))
    }

    /// Returns the share of the connected agents whose last reports arrived at least `delay` late. It is high if this process
    /// is behind, and low if only some links are slow.
    pub fn delayed_share(&self, delay: Duration) -> f64 {
        let connected = self.workers.values().filter(|worker| worker.session.is_some());
        let (mut total, mut delayed) = (0_u32, 0_u32);
        for worker in connected {
            total += 1;
            delayed += u32::from(worker.report_delay >= delay);
        }
        f64::from(delayed) / f64::from(total.max(1))
    }

    /// Returns the workers in the order of their agents' names.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerCapacity> {
        self.workers.values()
    }

    /// Returns the sessions whose agents have sent no report for `age`. The time before `resumed_at`, while this
    /// process was stalled, doesn't count.
    pub fn silent_sessions(&self, now: MonoTime, resumed_at: MonoTime, age: Duration) -> Vec<SessionId> {
        let is_silent = |worker: &&WorkerCapacity| now.since(worker.last_contact_at().max(resumed_at)) >= age;
        self.workers.values().filter(is_silent).filter_map(|worker| worker.session).collect()
    }

    /// Returns the agents whose runs must have ended because no report was received for `wait`. Each is returned only
    /// once until it reports again. For an open session the time before `resumed_at`, while this process was stalled,
    /// doesn't count: reports that arrived meanwhile may not have been read yet.
    pub fn expire_agents(&mut self, now: MonoTime, resumed_at: MonoTime, wait: Duration) -> Vec<AgentId> {
        let last_contact_at = |worker: &WorkerCapacity| {
            if worker.session.is_some() {
                worker.last_contact_at().max(resumed_at)
            } else {
                worker.last_contact_at()
            }
        };
        let has_expired =
            |worker: &&mut WorkerCapacity| worker.runs > 0 && !worker.is_expired && now.since(last_contact_at(worker)) >= wait;
        let expired = self.workers.values_mut().filter(has_expired).map(|worker| {
            worker.is_expired = true;
            worker.agent.clone()
        });
        expired.collect()
    }

    /// Removes the agents that have had no session for `age`.
    pub fn remove_lost(&mut self, now: MonoTime, age: Duration) {
        self.workers.retain(|_, worker| worker.lost_at.is_none_or(|at| worker.session.is_some() || now.since(at) < age));
    }

    /// Returns the agent for a task, or `None` while no suitable worker has free capacity. Candidates are compared in
    /// this order:
    ///
    /// 1. Workers in the preferred rack, if the task has one.
    /// 2. Workers on which the task ends in time.
    /// 3. Fast workers, or slow ones if the task has time and little is left of the fast ones. Among workers that are about
    ///    equally fast, what follows decides.
    /// 4. The worker that the last task of the same job went to. A job that uses few workers is affected by few
    ///    unhealthy ones.
    /// 5. Workers of this entry's zone. Entries don't see each other's starts. With this preference, entries of
    ///    different zones choose different workers.
    /// 6. The worker with the most free processor capacity.
    pub fn choose_worker(
        &self,
        now: MonoTime,
        zone: &ZoneName,
        zones_out: &BTreeSet<ZoneName>,
        request: &CapacityRequest<'_>,
        last_agent: Option<&AgentId>,
    ) -> Option<&AgentId> {
        let is_healthy = |worker: &&WorkerCapacity| !worker.is_slow && !worker.performance.is_failing(now);
        // Most workers are full while many tasks wait, so this check comes first.
        let has_room = |worker: &&WorkerCapacity| request.demand.fits(&worker.capacity_for(request.claim, request.demand));
        let usable = self.workers.values().filter(has_room).filter(|worker| self.is_usable(now, worker));
        let is_in_pool = |worker: &&WorkerCapacity| self.quarantine.contains(request.pool, request.service, &worker.agent);
        let candidates = usable.filter(|worker| is_candidate(zones_out, request, worker)).filter(is_healthy).filter(is_in_pool);
        let best = candidates.min_by_key(|worker| {
            let is_far = request.preferred_rack.is_some_and(|rack| !has_label(worker, rack));
            let millicores = worker.free_capacity().millicores;
            let fit = request.timing.as_ref().map(|timing| self.speed_table.fit(now, timing, worker)).unwrap_or_default();
            let is_other = last_agent != Some(&worker.agent);
            (is_far, fit.lateness, fit.preference, is_other, worker.zone != *zone, u64::MAX - millicores)
        });
        best.map(|worker| &worker.agent)
    }

    /// Returns whether any usable worker has free processor capacity.
    pub fn has_free_capacity(&self, now: MonoTime) -> bool {
        self.workers.values().any(|worker| self.is_usable(now, worker) && worker.free_capacity().millicores > 0)
    }

    /// Returns whether starts may be sent to a worker at `now`: it accepts them and its session's lease has not ended.
    pub fn is_usable(&self, now: MonoTime, worker: &WorkerCapacity) -> bool {
        worker.is_usable(now) && worker.is_fresh(now, self.report_age_max)
    }

    /// Returns the number of cores that this entry can expect to use on the workers of a service: its share of each worker that
    /// is connected, ready, not slow and outside `zones_out`. If a route is given, only the workers count on which its tasks may run, and a
    /// core of a worker that takes longer for its tasks than a quick one counts for accordingly less.
    pub fn expected_cores(&self, now: MonoTime, service: &ServiceName, zones_out: &BTreeSet<ZoneName>, route: Option<&SmolStr>) -> f64 {
        let index = route.and_then(|route| self.speed_table.index(route));
        let pool = route.map_or(WorkerPool::All, |route| self.quarantine.pool(service, route));
        let is_in_pool = |worker: &&WorkerCapacity| self.quarantine.contains(pool, service, &worker.agent);
        let healthy =
            self.workers.values().filter(|worker| !worker.is_slow && !zones_out.contains(&worker.zone) && worker.session.is_some());
        let serving = healthy.filter(is_in_pool).filter_map(|worker| {
            let info = worker.info.as_ref().filter(|info| info.service == *service && info.is_ready)?;
            let (cores, reserved) = (info.capacity.millicores as f64 / 1_000.0, worker.reserved.millicores as f64 / 1_000.0);
            let speed = index.map_or(1.0, |index| self.speed_table.quick(index) / self.speed_table.ratio(now, index, worker).expected);
            Some(core_share(cores, worker.entries as usize, reserved) * speed)
        });
        serving.sum()
    }

    /// Returns the routes whose tasks crash workers, and the workers that are left to them.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the same for changes.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Chooses the workers that are left to the confined routes of these services, outside `zones_out`. Workers that are away for a while
    /// keep their place, so that a crash changes nothing.
    pub fn update_quarantine(&mut self, services: BTreeSet<ServiceName>, zones_out: &BTreeSet<ZoneName>) {
        let select = |service: &ServiceName| select_workers(self.known_agents(service, zones_out));
        let workers = services.into_iter().map(|service| (service.clone(), select(&service))).collect();
        self.quarantine.set_workers(workers);
    }

    /// Returns the agents of the workers of a service outside `zones_out`, with those that are away for a while.
    pub fn known_agents<'a>(&'a self, service: &'a ServiceName, zones_out: &'a BTreeSet<ZoneName>) -> impl Iterator<Item = &'a AgentId> {
        let workers = self.workers.values().filter(|worker| !zones_out.contains(&worker.zone));
        workers.filter(|worker| worker.info.as_ref().is_some_and(|info| info.service == *service)).map(|worker| &worker.agent)
    }

    /// Returns whether an agent stores the routes for the entries of `zone`. The zone's first connected agents in the
    /// order of their names do.
    pub fn stores_routes(&self, agent: &AgentId, zone: &ZoneName) -> bool {
        let connected = self.workers.values().filter(|worker| worker.session.is_some() && worker.zone == *zone);
        connected.take(ROUTE_COPIES_PER_ZONE).any(|worker| worker.agent == *agent)
    }

    /// Returns how many workers of a service are connected.
    pub fn connected_count(&self, service: &ServiceName) -> usize {
        let connected = self.workers.values().filter(|worker| worker.session.is_some());
        connected.filter(|worker| worker.info.as_ref().is_some_and(|info| info.service == *service)).count()
    }
}

fn is_candidate(zones_out: &BTreeSet<ZoneName>, request: &CapacityRequest<'_>, worker: &WorkerCapacity) -> bool {
    let Some(info) = &worker.info else {
        return false;
    };
    info.service == *request.service
        && !zones_out.contains(&worker.zone)
        && request.required_label.is_none_or(|label| has_label(worker, label))
        && !request.excluded.contains(&worker.agent)
}

fn has_label(worker: &WorkerCapacity, label: &SmolStr) -> bool {
    worker.info.as_ref().is_some_and(|info| info.labels.contains(label))
}
