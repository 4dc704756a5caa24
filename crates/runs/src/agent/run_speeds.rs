//! The speed of the worker by route, learned at its agent, where the runs of all entries are seen.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_core::run_frames::{KnownSpeeds, RouteSpeed};

use crate::ratio_sketch::RatioSketch;

/// Maximum number of routes whose speeds are kept. The runs of others are not recorded.
const ROUTES_MAX: usize = 32;
/// Maximum length of a route's name, in bytes.
const ROUTE_BYTES_MAX: usize = 64;
/// Number of runs from which a speed is reported.
const RUNS_MIN: u64 = 8;
/// Number of runs after which a speed is computed again.
const UPDATE_INTERVAL: u64 = 8;
/// Number of runs as which a speed that an entry told counts. Runs of the agent's own soon outweigh it.
const TOLD_RUNS_MAX: u32 = 16;
/// Change of a median that is reported, in percent of it.
const TYPICAL_CHANGE_PERCENT: u32 = 10;
/// Change of a ninetieth percentile that is reported, in percent of it.
const HIGH_CHANGE_PERCENT: u32 = 25;
/// Lowest and highest ratio that is believed when an entry tells it, in percent.
const TOLD_PERCENT_MIN: u32 = 5;
/// See [`TOLD_PERCENT_MIN`].
const TOLD_PERCENT_MAX: u32 = 5_000;

/// Holds the run times at one worker relative to the callers' estimates, by route.
#[derive(Debug, Default)]
pub struct RunSpeeds {
    /// The kind of the worker at which they were learned.
    kind: Option<SmolStr>,
    sketches: BTreeMap<SmolStr, RatioSketch>,
    /// The speeds that were learned from enough runs, as of the last update.
    learned: BTreeMap<SmolStr, RouteSpeed>,
    refused: u64,
}

impl RunSpeeds {
    /// Sets the kind of the worker. Forgets what was learned at one of another kind, and returns whether it did.
    pub fn set_kind(&mut self, kind: Option<&SmolStr>) -> bool {
        if self.kind.as_ref() == kind {
            return false;
        }
        self.kind = kind.cloned();
        self.sketches.clear();
        self.learned.clear();
        true
    }

    /// Records a run that is done. One without an estimate is ignored.
    pub fn record(&mut self, route: &SmolStr, estimate: Duration, ran: Duration) {
        if estimate.is_zero() || ran.is_zero() || !self.has_room(route) {
            return;
        }
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let sketch = self.sketches.entry(route.clone()).or_default();
        sketch.record(ratio);
        let count = sketch.count();
        if count <= RUNS_MIN || count.is_multiple_of(UPDATE_INTERVAL) {
            self.update(route);
        }
    }

    /// Takes what an entry knows of the worker, for routes of which no run has ended here. Refuses speeds that can't be true.
    pub fn merge(&mut self, known: &KnownSpeeds) {
        if known.kind != self.kind {
            self.refused += 1;
            return;
        }
        for speed in &known.routes {
            if !is_plausible(speed) || !self.has_room(&speed.route) {
                self.refused += 1;
            } else if !self.sketches.contains_key(&speed.route) {
                let mut sketch = RatioSketch::default();
                let runs = speed.runs.min(TOLD_RUNS_MAX);
                sketch.record_many(speed.typical_ratio(), runs - runs / 4);
                sketch.record_many(f64::from(speed.high_percent) / 100.0, runs / 4);
                self.sketches.insert(speed.route.clone(), sketch);
                self.update(&speed.route);
            }
        }
    }

    /// Returns the speeds that differ noticeably from those in `reported`, and records there that they are reported.
    pub fn news(&self, reported: &mut BTreeMap<SmolStr, RouteSpeed>) -> Vec<RouteSpeed> {
        let is_new = |speed: &&RouteSpeed| reported.get(&speed.route).is_none_or(|old| is_news(old, speed));
        let changed: Vec<RouteSpeed> = self.learned.values().filter(is_new).cloned().collect();
        reported.extend(changed.iter().map(|speed| (speed.route.clone(), speed.clone())));
        changed
    }

    /// Returns the speeds that were learned from enough runs.
    pub fn speeds(&self) -> impl Iterator<Item = &RouteSpeed> {
        self.learned.values()
    }

    /// Returns the median ratio of run time to estimate on a route, if it was learned from enough runs.
    pub fn typical_ratio(&self, route: &SmolStr) -> Option<f64> {
        self.learned.get(route).map(RouteSpeed::typical_ratio)
    }

    /// Returns the number of speeds told by entries that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn update(&mut self, route: &SmolStr) {
        let Some(sketch) = self.sketches.get(route).filter(|sketch| sketch.count() >= RUNS_MIN) else {
            return;
        };
        if let Some([typical_percent, high_percent]) = sketch.percents_at([0.5, 0.9]) {
            let speed = RouteSpeed { route: route.clone(), typical_percent, high_percent, runs: sketch.count() as u32 };
            self.learned.insert(route.clone(), speed);
        }
    }

    fn has_room(&self, route: &SmolStr) -> bool {
        route.len() <= ROUTE_BYTES_MAX && (self.sketches.len() < ROUTES_MAX || self.sketches.contains_key(route))
    }
}

/// Returns whether a speed that another process told may be true.
pub(crate) fn is_plausible(speed: &RouteSpeed) -> bool {
    let range = TOLD_PERCENT_MIN..=TOLD_PERCENT_MAX;
    let are_in_range = range.contains(&speed.typical_percent) && range.contains(&speed.high_percent);
    are_in_range && speed.high_percent >= speed.typical_percent && speed.runs > 0 && speed.route.len() <= ROUTE_BYTES_MAX
}

fn is_news(old: &RouteSpeed, new: &RouteSpeed) -> bool {
    let has_moved = |old: u32, new: u32, percent: u32| old.abs_diff(new) * 100 > old * percent;
    has_moved(old.typical_percent, new.typical_percent, TYPICAL_CHANGE_PERCENT)
        || has_moved(old.high_percent, new.high_percent, HIGH_CHANGE_PERCENT)
        || new.runs >= old.runs.saturating_mul(2)
}
