//! Deterministic model, without I/O, of a worker that runs tasks under a lease: accepts and rejects starts, stops runs, lists
//! them, and ends all of them when the lease expires.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::caller_job::{ResourceAmount, RunId, TaskId};
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::{EndedRun, LeasePollReply, RunList, RunningTask, StartRejection, StartReply, StopReply};

/// The state of a run that has started and not ended.
#[derive(Clone, Debug)]
struct RunState {
    demand: ResourceAmount,
    started_at: MonoTime,
    /// Run time if the worker's `slowness` is one.
    work: Duration,
    fails: bool,
    /// When a requested stop takes effect.
    stop_at: Option<MonoTime>,
}

/// One incarnation of a worker. Method arguments of type `MonoTime` are true time. Leases are measured on the worker's own
/// clock, whose rate may differ from that of true time.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// Name of the worker.
    pub name: String,
    /// Start of this incarnation, in Unix milliseconds.
    pub born: u64,
    /// Resources of the worker.
    pub capacity: ResourceAmount,
    /// Rate of the worker's clock, in percent of that of true time.
    pub clock_percent: u32,
    /// Maximum duration of a lease; longer ones are shortened to it.
    pub lease_max: Duration,
    /// Time from a stop request until the run has stopped.
    pub stop_delay: Duration,
    /// Factor by which the run times are multiplied; one is the normal speed.
    pub slowness: u32,
    started_at: MonoTime,
    /// End of the lease on the worker's clock, in milliseconds.
    lease_end: u64,
    /// Highest fencing token received.
    token: u64,
    running: BTreeMap<RunId, RunState>,
    /// Ended runs that the agent has not acknowledged by a lease poll.
    ended: Vec<EndedRun>,
    ended_count: u64,
    /// For each task, the highest number of a run that has ended or been stopped. Starts with this number or a lower one are
    /// rejected.
    last_ended: BTreeMap<TaskId, u32>,
}

impl WorkerModel {
    /// Returns a worker that starts at `now`, with an accurate clock and no runs.
    pub fn new(now: MonoTime, name: &str, born: u64, capacity: ResourceAmount) -> Self {
        Self {
            name: name.to_owned(),
            born,
            capacity,
            clock_percent: 100,
            lease_max: Duration::from_millis(1_000),
            stop_delay: Duration::from_millis(50),
            slowness: 1,
            started_at: now,
            lease_end: 0,
            token: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ended_count: 0,
            last_ended: BTreeMap::new(),
        }
    }

    /// Returns the worker's clock at `now`, in milliseconds.
    pub fn clock(&self, now: MonoTime) -> u64 {
        let elapsed = now.since(self.started_at) * self.clock_percent / 100;
        100_000 + elapsed.as_millis() as u64
    }

    /// Returns the runs that are running.
    pub fn running(&self) -> impl Iterator<Item = &RunId> {
        self.running.keys()
    }

    /// Returns whether a run has ended that the agent does not know of. `observed` is the number of the last end that it
    /// knows of.
    pub fn has_ended(&self, observed: u64) -> bool {
        self.ended.iter().any(|end| end.number > observed)
    }

    /// Advances the model to `now`: runs end, stops take effect, and an expired lease ends all runs as lost.
    pub fn advance(&mut self, now: MonoTime) {
        if !self.running.is_empty() && self.clock(now) >= self.lease_end {
            let lapsed: Vec<RunId> = self.running.keys().copied().collect();
            lapsed.into_iter().for_each(|run| self.end_run(run, RunOutcome::Lost));
        }
        let slowness = self.slowness;
        let outcomes: Vec<(RunId, RunOutcome)> =
            self.running.iter().filter_map(|(run, state)| compute_outcome(now, slowness, state).map(|outcome| (*run, outcome))).collect();
        outcomes.into_iter().for_each(|(run, outcome)| self.end_run(run, outcome));
    }

    /// Handles a start that carries the fencing token `token` and extends the lease to `lease_end` on the worker's clock. `plan`
    /// holds the run's demand, its run time and whether it fails. A repeated start of a running run is accepted.
    pub fn start(&mut self, now: MonoTime, token: u64, run: RunId, lease_end: u64, plan: (ResourceAmount, Duration, bool)) -> StartReply {
        self.advance(now);
        let clock = self.clock(now);
        if token < self.token {
            return StartReply::Rejected(StartRejection::Fenced, clock);
        }
        self.token = token;
        if self.running.contains_key(&run) {
            return StartReply::Started(clock);
        }
        if lease_end <= clock {
            return StartReply::Rejected(StartRejection::Late, clock);
        }
        self.extend_lease(now, lease_end);
        let is_outdated = self.last_ended.get(&run.task).is_some_and(|ended| *ended >= run.run);
        if is_outdated || self.running.keys().any(|other| other.task == run.task) {
            return StartReply::Rejected(StartRejection::Outdated, clock);
        }
        let (demand, work, fails) = plan;
        let used = self.running.values().fold(ResourceAmount::default(), |sum, state| sum + state.demand);
        if !demand.fits(&self.capacity.saturating_sub(&used)) {
            return StartReply::Rejected(StartRejection::NoRoom, clock);
        }
        self.running.insert(run, RunState { demand, started_at: now, work, fails, stop_at: None });
        StartReply::Started(clock)
    }

    /// Handles a stop that carries the fencing token `token`. Also stops earlier runs of the task, and prevents the start of
    /// `run` if it has not started yet.
    pub fn stop(&mut self, now: MonoTime, token: u64, run: RunId) -> StopReply {
        self.advance(now);
        if token < self.token {
            return StopReply::Fenced;
        }
        self.token = token;
        let ended = self.last_ended.entry(run.task).or_default();
        *ended = run.run.max(*ended);
        let stop_at = now + self.stop_delay;
        for (other, state) in &mut self.running {
            if other.task == run.task && other.run <= run.run {
                state.stop_at.get_or_insert(stop_at);
            }
        }
        StopReply::Accepted(self.clock(now))
    }

    /// Handles a lease poll that carries the fencing token `token`: extends the lease if `lease_end` is given, forgets the ended
    /// runs up to the number `observed`, and returns the running runs and the remaining ended ones.
    pub fn lease_poll(&mut self, now: MonoTime, token: u64, lease_end: Option<u64>, observed: u64) -> LeasePollReply {
        self.advance(now);
        if token < self.token {
            return LeasePollReply::Fenced;
        }
        self.token = token;
        if let Some(lease_end) = lease_end {
            self.extend_lease(now, lease_end);
        }
        self.ended.retain(|end| end.number > observed);
        let slowness = self.slowness;
        let running = self.running.iter().map(|(run, state)| RunningTask { run: *run, percent: compute_percent(now, slowness, state) });
        LeasePollReply::Runs(RunList { born: self.born, clock: self.clock(now), running: running.collect(), ended: self.ended.clone() })
    }

    /// Extends the lease to `lease_end`, or to `lease_max` after `now` if that is earlier. Never shortens it.
    fn extend_lease(&mut self, now: MonoTime, lease_end: u64) {
        let latest = self.clock(now) + self.lease_max.as_millis() as u64;
        self.lease_end = self.lease_end.max(lease_end.min(latest));
    }

    /// Removes a running run and lists it as ended.
    fn end_run(&mut self, run: RunId, outcome: RunOutcome) {
        self.running.remove(&run);
        self.ended_count += 1;
        self.ended.push(EndedRun { number: self.ended_count, run: Some(run), outcome });
        let ended = self.last_ended.entry(run.task).or_default();
        *ended = run.run.max(*ended);
    }
}

/// Returns how the run has ended by `now`, or `None` if it is still running.
fn compute_outcome(now: MonoTime, slowness: u32, state: &RunState) -> Option<RunOutcome> {
    if now.since(state.started_at) >= state.work * slowness {
        return Some(if state.fails { RunOutcome::Failed } else { RunOutcome::Done });
    }
    state.stop_at.filter(|at| now >= *at).map(|_| RunOutcome::Stopped)
}

/// Returns the share of the run's work that is done, in percent. A running run has at most 99.
fn compute_percent(now: MonoTime, slowness: u32, state: &RunState) -> u8 {
    let work = (state.work * slowness).as_micros().max(1);
    (now.since(state.started_at).as_micros() * 100 / work).min(99) as u8
}
