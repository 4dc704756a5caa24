//! Deterministic model, without I/O, of a worker that runs tasks under a lease: accepts and rejects starts, stops runs, lists
//! them, and ends all of them when the lease expires.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::caller_job::{ResourceAmount, RunId, TaskId};
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::{EndedRun, LeasePollReply, RunList, RunningTask, StartRejection, StartReply, StopReply};

/// Reading of a worker's clock at its start, in milliseconds.
const FIRST_CLOCK: u64 = 100_000;

/// The state of a run that has started and not ended.
#[derive(Clone, Debug)]
struct RunState {
    demand: ResourceAmount,
    /// Run time if the worker's `slowness` is one.
    work: Duration,
    /// Part of `work` that was done by `counted_from`.
    work_done: Duration,
    /// Start of the run, or the last change of the worker's speed.
    counted_from: MonoTime,
    fails: bool,
    /// When a requested stop takes effect.
    stop_at: Option<MonoTime>,
}

impl RunState {
    /// Returns how much of the work is done at `now`.
    fn work_done(&self, now: MonoTime, slowness: u32) -> Duration {
        self.work.min(self.work_done + now.since(self.counted_from) / slowness)
    }

    /// Returns when and how the run ends if the lease expires at `lapse_at` and nothing changes.
    fn expected_end(&self, slowness: u32, lapse_at: MonoTime) -> (MonoTime, RunOutcome) {
        let finished_at = self.counted_from + self.work.saturating_sub(self.work_done) * slowness;
        let outcome = if self.fails { RunOutcome::Failed } else { RunOutcome::Done };
        let ends = [Some((lapse_at, RunOutcome::Lost)), Some((finished_at, outcome)), self.stop_at.map(|at| (at, RunOutcome::Stopped))];
        ends.into_iter().flatten().min_by_key(|(at, _)| *at).expect("every run has a lease")
    }
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
    /// Factor by which the run times are multiplied; one is the normal speed. `set_slowness` changes it for the rest of the
    /// current runs.
    pub slowness: u32,
    started_at: MonoTime,
    /// End of the lease on the worker's clock, in milliseconds.
    lease_end: u64,
    /// Highest fencing token received.
    token: u64,
    running: BTreeMap<RunId, RunState>,
    /// Ended runs that the agent has not acknowledged by a lease poll, each with the time of its end.
    ended: Vec<(MonoTime, EndedRun)>,
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
        FIRST_CLOCK + elapsed.as_millis() as u64
    }

    /// Returns the runs that are running.
    pub fn running(&self) -> impl Iterator<Item = &RunId> {
        self.running.keys()
    }

    /// Returns whether a run has ended that the agent does not know of. `observed` is the number of the last end that it
    /// knows of.
    pub fn has_ended(&self, observed: u64) -> bool {
        self.ended.iter().any(|(_, end)| end.number > observed)
    }

    /// Returns the ended runs that the agent has not acknowledged, each with the time of its end, in the order of their numbers.
    pub fn unacknowledged(&self) -> impl Iterator<Item = (MonoTime, &EndedRun)> {
        self.ended.iter().map(|(at, end)| (*at, end))
    }

    /// Returns when the next run ends if nothing changes.
    pub fn next_end(&self) -> Option<MonoTime> {
        let lapse_at = self.lapse_time();
        self.running.values().map(|state| state.expected_end(self.slowness, lapse_at).0).min()
    }

    /// Changes the speed of the worker from `now` on. Work that is done stays done.
    pub fn set_slowness(&mut self, now: MonoTime, slowness: u32) {
        self.advance(now);
        for state in self.running.values_mut() {
            state.work_done = state.work_done(now, self.slowness);
            state.counted_from = now;
        }
        self.slowness = slowness;
    }

    /// Advances the model to `now`: runs end, stops take effect, and an expired lease ends all runs as lost. Each end has the
    /// time at which it occurred, however late the model is advanced. Ends since the last advance are numbered in the order of
    /// their runs.
    pub fn advance(&mut self, now: MonoTime) {
        let lapse_at = self.lapse_time();
        let expected = self.running.iter().map(|(run, state)| (state.expected_end(self.slowness, lapse_at), *run));
        let ends: Vec<((MonoTime, RunOutcome), RunId)> = expected.filter(|((at, _), _)| *at <= now).collect();
        ends.into_iter().for_each(|((at, outcome), run)| self.end_run(at, run, outcome));
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
        self.running.insert(run, RunState { demand, work, work_done: Duration::ZERO, counted_from: now, fails, stop_at: None });
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
        self.ended.retain(|(_, end)| end.number > observed);
        let slowness = self.slowness;
        let running = self.running.iter().map(|(run, state)| RunningTask { run: *run, percent: compute_percent(now, slowness, state) });
        let ended = self.ended.iter().map(|(_, end)| *end).collect();
        LeasePollReply::Runs(RunList { born: self.born, clock: self.clock(now), running: running.collect(), ended, is_complete: true })
    }

    /// Extends the lease to `lease_end`, or to `lease_max` after `now` if that is earlier. Never shortens it.
    fn extend_lease(&mut self, now: MonoTime, lease_end: u64) {
        let latest = self.clock(now) + self.lease_max.as_millis() as u64;
        self.lease_end = self.lease_end.max(lease_end.min(latest));
    }

    /// Returns when the worker's clock reaches the end of the lease.
    fn lapse_time(&self) -> MonoTime {
        let lease_micros = self.lease_end.saturating_sub(FIRST_CLOCK) * 1_000;
        self.started_at + Duration::from_micros((lease_micros * 100).div_ceil(u64::from(self.clock_percent)))
    }

    /// Removes a running run and lists it as ended at `at`.
    fn end_run(&mut self, at: MonoTime, run: RunId, outcome: RunOutcome) {
        self.running.remove(&run);
        self.ended_count += 1;
        self.ended.push((at, EndedRun { number: self.ended_count, run: Some(run), outcome }));
        let ended = self.last_ended.entry(run.task).or_default();
        *ended = run.run.max(*ended);
    }
}

/// Returns the share of the run's work that is done, in percent. A running run has at most 99.
fn compute_percent(now: MonoTime, slowness: u32, state: &RunState) -> u8 {
    (state.work_done(now, slowness).as_micros() * 100 / state.work.as_micros().max(1)).min(99) as u8
}
