//! How long a task of a route is expected to take on each worker.
//!
//! Agents learn the run times at their workers relative to the callers' estimates and report them. A worker of which too little is
//! known counts as quick as the others of its kind. If the kinds are about equally quick, all their workers count as alike.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::ids::AgentId;
use vanillacleat_core::run_frames::RouteSpeed;
use vanillacleat_core::units::MonoTime;

use super::worker_capacity::WorkerCapacity;
use super::worker_ratio::WorkerRatio;
use crate::RatioSketch;

/// Maximum number of routes whose ratios are kept. Beyond it all are learned again.
const ROUTES_MAX: usize = 64;
/// Ratio of the slowest to the quickest kind up to which the kinds count as alike.
const KINDS_EVEN_FACTOR: f64 = 1.25;
/// Factor by which a worker must differ from its kind to be expected to do so.
const OWN_FACTOR: f64 = 1.5;
/// Number of runs from which a worker may be expected to differ from its kind.
const OWN_RUNS_MIN: u32 = 64;
/// Factor to its kind above which a worker does not count as usually slow, but as unhealthy.
const UNHEALTHY_FACTOR: f64 = 2.0;
/// Part of the cores, in percent, whose workers are at least as quick as the time that a job is assumed to need at best.
const QUICK_PERCENT: f64 = 25.0;
/// Ratio to the typical worker below which a worker counts as fast.
const FAST_FACTOR: f64 = 0.9;
/// Free share of the fast workers' cores, in percent, below which they are left to the tasks that need them.
const FAST_FREE_PERCENT: u64 = 50;
/// Ratio of the ninetieth percentile to the median run time that is assumed, and the range of it that is believed.
const SPREAD_DEFAULT: f64 = 1.4;
/// See [`SPREAD_DEFAULT`].
const SPREAD_MAX: f64 = 3.0;
/// Steps by which the quickness of workers is compared, as parts of the typical worker's run time.
const CLASS_STEPS: f64 = 8.0;
/// Factor by which a worker that started recently is assumed to be slower, and the range of it that is believed.
const COLD_FACTOR_DEFAULT: f64 = 1.5;
/// See [`COLD_FACTOR_DEFAULT`].
const COLD_FACTOR_MAX: f64 = 4.0;
/// Number of runs on such workers from which the factor is taken from them.
const COLD_RUNS_MIN: u64 = 32;

/// Change of a route's ratios that is logged, in percent of them.
const LOGGED_CHANGE_PERCENT: u32 = 20;

/// The place of a route in the table, valid until the next route is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteIndex(usize);

/// The time that a task has, and what its run time depends on.
#[derive(Clone, Copy, Debug)]
pub struct TaskTiming {
    /// The route of the task's job.
    pub route: RouteIndex,
    /// The caller's estimate of the run time.
    pub estimate: Duration,
    /// When the task has to end so that its job meets its target.
    pub due_at: MonoTime,
}

/// How well a worker suits a task. The lowest is the best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeFit {
    /// Zero if the task ends in time even if it takes long, one if it is expected to, otherwise two.
    pub lateness: u8,
    /// The preference among workers of the same lateness.
    pub preference: i64,
}

/// What all workers have in common on one route.
#[derive(Clone, Copy, Debug)]
struct RouteBasis {
    typical: f64,
    quick: f64,
    spread: f64,
    is_uneven: bool,
    is_fast_scarce: bool,
}

impl RouteBasis {
    fn even(ratio: f64) -> Self {
        Self { typical: ratio, quick: ratio, spread: SPREAD_DEFAULT, is_uneven: false, is_fast_scarce: false }
    }

    fn class(&self, ratio: f64) -> u32 {
        (ratio / self.typical * CLASS_STEPS).round() as u32
    }
}

impl RouteSummary {
    /// The summary of a route of which nothing is known.
    const ASSUMED: Self = Self { typical_percent: 100, quick_percent: 100, is_uneven: false };
}

/// Holds the expected ratios of run time to estimate, by route.
#[derive(Debug, Default)]
pub struct SpeedTable {
    routes: Vec<SmolStr>,
    bases: Vec<RouteBasis>,
    /// Ratios of the runs on workers that started recently to those expected of the workers otherwise.
    cold: RatioSketch,
    cold_factor: Option<f64>,
    /// The summaries of the routes as last taken.
    taken: BTreeMap<SmolStr, RouteSummary>,
}

/// What a route's runs take on the workers, for the log. The ratios are in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSummary {
    /// Run time by estimate on a typical worker.
    pub typical_percent: u32,
    /// The same on a worker that is quicker than most.
    pub quick_percent: u32,
    /// Whether some workers are faster than typical ones.
    pub is_uneven: bool,
}

impl SpeedTable {
    /// Returns the place of a route, if it was added.
    pub fn index(&self, route: &SmolStr) -> Option<RouteIndex> {
        self.routes.iter().position(|known| known == route).map(RouteIndex)
    }

    /// Adds a route, whose ratio is `ratio` until agents report it. Returns whether it was new.
    pub fn add(&mut self, route: &SmolStr, ratio: f64) -> bool {
        if self.index(route).is_some() {
            return false;
        }
        if self.routes.len() >= ROUTES_MAX {
            self.routes.clear();
            self.bases.clear();
        }
        self.routes.push(route.clone());
        self.bases.push(RouteBasis::even(ratio));
        true
    }

    /// Computes the ratios from what the agents have reported. `observed` is the entry's own observation of a route, for those that
    /// no agent has reported.
    pub fn update(&mut self, workers: &mut BTreeMap<AgentId, WorkerCapacity>, observed: impl Fn(&SmolStr) -> f64) {
        workers.values_mut().for_each(|worker| worker.ratios.clear());
        let mut by_route: Vec<KindRatios> = self.routes.iter().map(|route| kind_ratios(route, workers)).collect();
        // The route of which most kinds are known shows how quick they are relative to each other.
        if let Some(best) = by_route.iter().max_by_key(|ratios| ratios.len()).cloned() {
            by_route.iter_mut().for_each(|ratios| infer_kinds(ratios, &best));
        }
        for ((route, basis), kinds) in self.routes.iter().zip(&mut self.bases).zip(by_route) {
            *basis = update_route(route, workers, &kinds, observed(route));
        }
    }

    /// Returns the summaries of the routes on which the workers are no longer alike, or are again, or whose ratios have changed
    /// noticeably since they were last taken while they are not.
    pub fn take_changes(&mut self) -> Vec<(SmolStr, RouteSummary)> {
        let percent = |ratio: f64| (ratio * 100.0).round() as u32;
        let summaries = self.routes.iter().zip(&self.bases).map(|(route, basis)| {
            let RouteBasis { typical, quick, is_uneven, .. } = *basis;
            (route.clone(), RouteSummary { typical_percent: percent(typical), quick_percent: percent(quick), is_uneven })
        });
        let has_moved = |old: u32, new: u32| old.abs_diff(new) * 100 > old * LOGGED_CHANGE_PERCENT;
        let is_change = |(route, new): &(SmolStr, RouteSummary)| {
            let old = self.taken.get(route).unwrap_or(&RouteSummary::ASSUMED);
            let have_moved = has_moved(old.typical_percent, new.typical_percent) || has_moved(old.quick_percent, new.quick_percent);
            old.is_uneven != new.is_uneven || (new.is_uneven && have_moved)
        };
        let changes: Vec<(SmolStr, RouteSummary)> = summaries.filter(is_change).collect();
        self.taken.retain(|route, _| self.routes.contains(route));
        self.taken.extend(changes.iter().cloned());
        changes
    }

    /// Updates whether the fast workers are nearly used up.
    pub fn update_scarcity(&mut self, workers: &BTreeMap<AgentId, WorkerCapacity>) {
        for (index, basis) in self.bases.iter_mut().enumerate().filter(|(_, basis)| basis.is_uneven) {
            let is_fast = |worker: &&WorkerCapacity| {
                worker.session.is_some() && worker.ratios.get(index).is_some_and(|ratio| ratio.expected < basis.typical * FAST_FACTOR)
            };
            let (mut total, mut free) = (0, 0);
            for worker in workers.values().filter(is_fast) {
                total += worker.info.as_ref().map_or(0, |info| info.capacity.millicores);
                free += worker.free_capacity().millicores;
            }
            basis.is_fast_scarce = free * 100 < total * FAST_FREE_PERCENT;
        }
    }

    /// Returns the ratio of a route on a typical worker.
    pub fn typical(&self, route: RouteIndex) -> f64 {
        self.bases.get(route.0).map_or(1.0, |basis| basis.typical)
    }

    /// Returns the ratio of a route on a worker that is quicker than most.
    pub fn quick(&self, route: RouteIndex) -> f64 {
        self.bases.get(route.0).map_or(1.0, |basis| basis.quick)
    }

    /// Returns a worker's ratio on a route, as it is now.
    pub fn ratio(&self, now: MonoTime, route: RouteIndex, worker: &WorkerCapacity) -> WorkerRatio {
        let typical = self.typical(route);
        let usual = WorkerRatio { expected: typical, healthy: typical, class: CLASS_STEPS as u32 };
        let ratio = worker.ratios.get(route.0).copied().unwrap_or(usual);
        if now >= worker.cold_until {
            return ratio;
        }
        let factor = self.cold_factor();
        let expected = ratio.expected * factor;
        let class = self.bases.get(route.0).map_or(ratio.class, |basis| basis.class(expected));
        WorkerRatio { expected, healthy: ratio.healthy * factor, class }
    }

    /// Returns how well a worker suits a task.
    pub fn fit(&self, now: MonoTime, timing: &TaskTiming, worker: &WorkerCapacity) -> TimeFit {
        let Some(basis) = self.bases.get(timing.route.0) else {
            return TimeFit::default();
        };
        let ratio = self.ratio(now, timing.route, worker);
        let expected = timing.estimate.mul_f64(ratio.expected);
        let lateness = match timing.due_at.since(now) {
            left if expected.mul_f64(basis.spread) <= left => 0,
            left if expected <= left => 1,
            _ => 2,
        };
        let class = i64::from(ratio.class);
        // A task that has time leaves the fast workers to those that don't.
        let preference = if lateness == 0 && basis.is_fast_scarce { -class } else { class };
        TimeFit { lateness, preference }
    }

    /// Records the ratio of a run on a worker that started recently to the run time that is expected of the worker otherwise.
    pub fn record_cold(&mut self, ratio: f64) {
        self.cold.record(ratio);
        if self.cold.count() >= COLD_RUNS_MIN && self.cold.count().is_multiple_of(8) {
            self.cold_factor = self.cold.median().map(|median| median.clamp(1.0, COLD_FACTOR_MAX));
        }
    }

    /// Returns the factor by which a worker that started recently is slower.
    pub fn cold_factor(&self) -> f64 {
        self.cold_factor.unwrap_or(COLD_FACTOR_DEFAULT)
    }

    /// Returns the routes with their indexes.
    pub fn routes(&self) -> impl Iterator<Item = (RouteIndex, &SmolStr)> {
        self.routes.iter().enumerate().map(|(index, route)| (RouteIndex(index), route))
    }
}

/// The median ratio of a route's runs on the workers of each kind.
type KindRatios = BTreeMap<Option<SmolStr>, f64>;

/// Returns the ratios of the kinds whose agents have reported a route.
fn kind_ratios(route: &SmolStr, workers: &BTreeMap<AgentId, WorkerCapacity>) -> KindRatios {
    let mut by_kind: BTreeMap<Option<SmolStr>, Vec<f64>> = BTreeMap::new();
    for worker in workers.values() {
        if let Some(speed) = worker.speeds.get(route) {
            by_kind.entry(worker.kind().cloned()).or_default().push(speed.typical_ratio());
        }
    }
    by_kind.into_iter().filter_map(|(kind, mut ratios)| Some((kind, median(&mut ratios)?))).collect()
}

/// Adds the ratios of kinds that are unknown on one route. They are assumed to compare with the others as on the `best` known route.
fn infer_kinds(ratios: &mut KindRatios, best: &KindRatios) {
    let mut scales: Vec<f64> = ratios.iter().filter_map(|(kind, ratio)| Some(ratio / best.get(kind)?)).collect();
    if let Some(scale) = median(&mut scales) {
        let unknown = best.iter().filter(|(kind, _)| !ratios.contains_key(*kind));
        let inferred: Vec<_> = unknown.map(|(kind, ratio)| (kind.clone(), ratio * scale)).collect();
        ratios.extend(inferred);
    }
}

/// Computes the ratios of one route, and appends that of each worker to its list.
fn update_route(route: &SmolStr, workers: &mut BTreeMap<AgentId, WorkerCapacity>, kinds: &KindRatios, observed: f64) -> RouteBasis {
    let speeds = workers.values().filter_map(|worker| worker.speeds.get(route));
    let mut spreads: Vec<f64> = speeds.map(|speed| f64::from(speed.high_percent) / f64::from(speed.typical_percent)).collect();
    let known: Vec<f64> = workers.values().filter_map(|worker| kinds.get(&worker.kind().cloned()).copied()).collect();
    if known.is_empty() {
        let even = RouteBasis::even(observed);
        let ratio = WorkerRatio { expected: observed, healthy: observed, class: even.class(observed) };
        workers.values_mut().for_each(|worker| worker.ratios.push(ratio));
        return even;
    }
    let typical = known.iter().sum::<f64>() / known.len() as f64;
    let (quickest, slowest) = (kinds.values().copied().fold(f64::MAX, f64::min), kinds.values().copied().fold(0.0, f64::max));
    let are_kinds_even = slowest <= quickest * KINDS_EVEN_FACTOR;
    let spread = median(&mut spreads).unwrap_or(SPREAD_DEFAULT).clamp(1.0, SPREAD_MAX);
    let mut basis = RouteBasis { spread, ..RouteBasis::even(typical) };
    for worker in workers.values_mut() {
        let known_of_kind = kinds.get(&worker.kind().cloned()).copied();
        let of_kind = known_of_kind.filter(|_| !are_kinds_even).unwrap_or(typical);
        let own = worker.speeds.get(route).filter(|speed| speed.runs >= OWN_RUNS_MIN).map(RouteSpeed::typical_ratio);
        let expected = own.filter(|own| *own > of_kind * OWN_FACTOR || *own < of_kind / OWN_FACTOR).unwrap_or(of_kind);
        let healthy = match known_of_kind {
            // A worker of a kind that is unknown may be slower than others and healthy.
            None => expected * UNHEALTHY_FACTOR,
            Some(_) if expected > of_kind * UNHEALTHY_FACTOR => of_kind,
            Some(_) => expected,
        };
        worker.ratios.push(WorkerRatio { expected, healthy, class: basis.class(expected) });
    }
    basis.quick = quick_ratio(workers).unwrap_or(typical);
    basis.is_uneven = workers.values().any(|worker| worker.ratios.last().is_some_and(|ratio| ratio.expected < typical * FAST_FACTOR));
    basis
}

/// Returns the ratio that the workers of a part of the cores reach or are quicker than, on the route that was appended last.
fn quick_ratio(workers: &BTreeMap<AgentId, WorkerCapacity>) -> Option<f64> {
    let cores = |worker: &WorkerCapacity| worker.info.as_ref().map_or(0.0, |info| info.capacity.millicores as f64);
    let mut ratios: Vec<(f64, f64)> = workers.values().filter_map(|worker| Some((worker.ratios.last()?.expected, cores(worker)))).collect();
    ratios.sort_by(|one, other| one.0.total_cmp(&other.0));
    let wanted = ratios.iter().map(|(_, cores)| cores).sum::<f64>() * QUICK_PERCENT / 100.0;
    let mut sum = 0.0;
    ratios.into_iter().find_map(|(ratio, cores)| {
        sum += cores;
        (sum >= wanted).then_some(ratio)
    })
}

fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
