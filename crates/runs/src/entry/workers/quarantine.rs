//! Routes whose tasks crash workers, and the few workers that are left to them.
//!
//! A task is given up after two crashes, but a route that receives deadly tasks all the time can keep every worker of its service down.
//! While a route crashes more workers than a fifth of them would bear, its tasks run on that fifth only, and all other tasks on the rest.
//! It costs the route more than it saves the others where crashes are few. All entries hear of the same crashes and choose the workers by
//! the same hash, so that they agree without asking each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use vanillacleat_core::caller_job::CallerJobId;
use vanillacleat_core::ids::{AgentId, ServiceName};
use vanillacleat_core::units::MonoTime;

/// Number of jobs with deadly tasks from which a route is confined. One may be taken for deadly by coincidence.
const JOBS_MIN: usize = 2;
/// Time within which these jobs, and the workers that crash, are counted.
const CRASH_INTERVAL: Duration = Duration::from_secs(5);
/// Part of the workers of a service that is left to its confined routes, in percent, rounded up.
const WORKERS_PERCENT: usize = 20;
/// Number of crashed workers from which a route is confined, as a multiple of the workers that are then left to it. A worker that crashes is
/// away for some seconds, so that about half of all workers are away then. The route is released when fewer crash than are left to it.
const CONFINING_FACTOR: usize = 3;
/// Minimum number of workers of a service of which a part can be spared.
const WORKERS_MIN: usize = 3;
/// Maximum number of routes whose crashes are counted.
const ROUTES_MAX: usize = 256;
/// Maximum number of workers, and of jobs, that are counted for one route. A route is confined long before.
const COUNT_MAX: usize = 1_024;

/// The workers on which a task may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerPool {
    /// All workers of the service.
    #[default]
    All,
    /// Those that are left to confined routes.
    Confined,
    /// The others.
    Spared,
}

/// The recent crashes under tasks of one route.
#[derive(Debug, Default)]
struct RouteCrashes {
    deadly_jobs: VecDeque<(MonoTime, CallerJobId)>,
    /// The workers' agents and incarnations.
    workers: VecDeque<(MonoTime, AgentId, u64)>,
    is_confined: bool,
}

impl RouteCrashes {
    fn expire(&mut self, now: MonoTime) {
        let is_old = |at: &MonoTime| now.since(*at) >= CRASH_INTERVAL;
        self.deadly_jobs.retain(|(at, _)| !is_old(at));
        self.workers.retain(|(at, _, _)| !is_old(at));
    }

    /// Returns whether the route is to be confined if `left` workers are left to it then.
    fn should_confine(&self, left: usize) -> bool {
        match self.is_confined {
            _ if left == 0 => false,
            true => self.workers.len() >= left,
            false => self.deadly_jobs.len() >= JOBS_MIN && self.workers.len() >= left * CONFINING_FACTOR,
        }
    }
}

/// A change of whether a route is confined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfinementChange {
    /// The route.
    pub route: SmolStr,
    /// Whether it is confined now.
    pub is_confined: bool,
    /// Number of its jobs with deadly tasks that were counted.
    pub jobs: usize,
    /// Number of workers that crashed when they started its tasks.
    pub workers: usize,
}

/// Holds the confined routes and the workers that are left to them.
#[derive(Debug, Default)]
pub struct Quarantine {
    routes: BTreeMap<SmolStr, RouteCrashes>,
    /// By the service of a confined route.
    workers: BTreeMap<ServiceName, BTreeSet<AgentId>>,
}

impl Quarantine {
    /// Records that a worker crashed when it started a task of a route. `deadly_job` is the task's job if the task is given up for it.
    pub fn record_crash(&mut self, now: MonoTime, (agent, born): (&AgentId, u64), route: &SmolStr, deadly_job: Option<CallerJobId>) {
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            return;
        }
        let crashes = self.routes.entry(route.clone()).or_default();
        let is_known = |(_, known, known_born): &(MonoTime, AgentId, u64)| (known, *known_born) == (agent, born);
        if crashes.workers.len() < COUNT_MAX && !crashes.workers.iter().any(is_known) {
            crashes.workers.push_back((now, agent.clone(), born));
        }
        let is_new = |job: &CallerJobId| crashes.deadly_jobs.len() < COUNT_MAX && crashes.deadly_jobs.iter().all(|(_, known)| known != job);
        if let Some(job) = deadly_job.filter(is_new) {
            crashes.deadly_jobs.push_back((now, job));
        }
    }

    /// Confines and releases routes. `count_workers` returns the number of workers of a route's service. Returns the changes.
    pub fn update(&mut self, now: MonoTime, count_workers: impl Fn(&SmolStr) -> usize) -> Vec<ConfinementChange> {
        let mut changes = Vec::new();
        for (route, crashes) in &mut self.routes {
            crashes.expire(now);
            let is_confined = crashes.should_confine(count_left(count_workers(route)));
            if is_confined != crashes.is_confined {
                crashes.is_confined = is_confined;
                let (jobs, workers) = (crashes.deadly_jobs.len(), crashes.workers.len());
                changes.push(ConfinementChange { route: route.clone(), is_confined, jobs, workers });
            }
        }
        self.routes.retain(|_, crashes| !crashes.workers.is_empty());
        changes
    }

    /// Returns whether no worker has crashed recently when it started a task.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns whether workers have crashed recently when they started tasks of a route.
    pub fn has_crashes(&self, route: &SmolStr) -> bool {
        self.routes.contains_key(route)
    }

    /// Returns whether any route is confined.
    pub fn is_active(&self) -> bool {
        self.routes.values().any(|crashes| crashes.is_confined)
    }

    /// Returns the confined routes.
    pub fn confined_routes(&self) -> impl Iterator<Item = &SmolStr> {
        self.routes.iter().filter(|(_, crashes)| crashes.is_confined).map(|(route, _)| route)
    }

    /// Replaces the workers that are left to the confined routes of each service. A service without such workers is left out.
    pub fn set_workers(&mut self, workers: BTreeMap<ServiceName, BTreeSet<AgentId>>) {
        self.workers = workers;
        self.workers.retain(|_, agents| !agents.is_empty());
    }

    /// Returns the workers that are left to the confined routes of a service, or `None` if it has no such route or too few workers.
    pub fn workers(&self, service: &ServiceName) -> Option<&BTreeSet<AgentId>> {
        self.workers.get(service)
    }

    /// Returns the workers on which the tasks of a route may run.
    pub fn pool(&self, service: &ServiceName, route: &SmolStr) -> WorkerPool {
        if !self.workers.contains_key(service) {
            return WorkerPool::All;
        }
        let is_confined = self.routes.get(route).is_some_and(|crashes| crashes.is_confined);
        if is_confined {
            WorkerPool::Confined
        } else {
            WorkerPool::Spared
        }
    }

    /// Returns whether a worker of a service belongs to a pool.
    pub fn contains(&self, pool: WorkerPool, service: &ServiceName, agent: &AgentId) -> bool {
        let is_left = || self.workers.get(service).is_some_and(|workers| workers.contains(agent));
        match pool {
            WorkerPool::All => true,
            WorkerPool::Confined => is_left(),
            WorkerPool::Spared => !is_left(),
        }
    }
}

/// Chooses the workers that are left to confined routes, of those that an entry knows for a service.
pub fn select_workers<'a>(agents: impl Iterator<Item = &'a AgentId>) -> BTreeSet<AgentId> {
    let mut ranked: Vec<_> = agents.map(|agent| (Sha256::digest(agent.as_str()), agent)).collect();
    ranked.sort_unstable();
    let count = count_left(ranked.len());
    ranked.into_iter().take(count).map(|(_, agent)| agent.clone()).collect()
}

/// Returns how many of the workers of a service are left to its confined routes; zero if there are too few to spare any.
fn count_left(workers: usize) -> usize {
    if workers < WORKERS_MIN {
        return 0;
    }
    (workers * WORKERS_PERCENT).div_ceil(100)
}
