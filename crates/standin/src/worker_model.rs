//! A model of a worker that runs tasks under a lease, without I/O: what it lists, refuses, stops and lets lapse.

use std::collections::BTreeMap;
use std::time::Duration;

use vanillacleat_core::caller_job::{ResourceAmount, RunId, TaskId};
use vanillacleat_core::run_frames::RunOutcome;
use vanillacleat_core::units::MonoTime;
use vanillacleat_runs::agent::{EndedRun, LeasePollReply, RunList, RunningTask, StartRefusal, StartReply, StopReply};

/// A `ModelTask` is a run at work in the model.
#[derive(Clone, Debug)]
struct ModelTask {
    demand: ResourceAmount,
    started_at: MonoTime,
    work: Duration,
    fails: bool,
    stop_at: Option<MonoTime>,
}

/// A `WorkerModel` is one life of a worker. Times are those of the model's world; the worker's own clock may be slow.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// The worker's name.
    pub name: String,
    /// Start of this life, in Unix milliseconds.
    pub born: u64,
    /// What it holds.
    pub capacity: ResourceAmount,
    /// Rate of its clock, in percent of true time.
    pub clock_percent: u32,
    /// Longest lease that it grants.
    pub hold_max: Duration,
    /// Time that it takes to stop a run.
    pub stop_time: Duration,
    /// Multiple of the usual run times.
    pub slowness: u32,
    started_at: MonoTime,
    lease_end: u64,
    token: u64,
    running: BTreeMap<RunId, ModelTask>,
    ended: Vec<EndedRun>,
    ended_count: u64,
    last_ended: BTreeMap<TaskId, u32>,
}

impl WorkerModel {
    /// Returns a worker that starts at `now`.
    pub fn new(now: MonoTime, name: &str, born: u64, capacity: ResourceAmount) -> Self {
        Self {
            name: name.to_owned(),
            born,
            capacity,
            clock_percent: 100,
            hold_max: Duration::from_millis(1_000),
            stop_time: Duration::from_millis(50),
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
        let lived = now.since(self.started_at) * self.clock_percent / 100;
        100_000 + lived.as_millis() as u64
    }

    /// Returns the runs at work.
    pub fn running(&self) -> impl Iterator<Item = &RunId> {
        self.running.keys()
    }

    /// Returns whether an end beyond `observed` is listed.
    pub fn has_ended(&self, observed: u64) -> bool {
        self.ended.iter().any(|end| end.number > observed)
    }

    /// Lets time pass: runs end, stops take effect, leases lapse.
    pub fn advance(&mut self, now: MonoTime) {
        if !self.running.is_empty() && self.clock(now) >= self.lease_end {
            let lapsed: Vec<RunId> = self.running.keys().copied().collect();
            lapsed.into_iter().for_each(|run| self.end(run, RunOutcome::Lost));
        }
        let slowness = self.slowness;
        let ends: Vec<(RunId, RunOutcome)> =
            self.running.iter().filter_map(|(run, task)| find_end(now, slowness, task).map(|end| (*run, end))).collect();
        ends.into_iter().for_each(|(run, outcome)| self.end(run, outcome));
    }

    /// Takes a start that carries `token` and ends the lease at `lease_end`.
    pub fn start(&mut self, now: MonoTime, token: u64, run: RunId, lease_end: u64, plan: (ResourceAmount, Duration, bool)) -> StartReply {
        self.advance(now);
        let clock = self.clock(now);
        if token < self.token {
            return StartReply::Refused(StartRefusal::Fenced, clock);
        }
        self.token = token;
        if self.running.contains_key(&run) {
            return StartReply::Started(clock);
        }
        if lease_end <= clock {
            return StartReply::Refused(StartRefusal::Late, clock);
        }
        self.extend(now, lease_end);
        let is_outdated = self.last_ended.get(&run.task).is_some_and(|ended| *ended >= run.run);
        if is_outdated || self.running.keys().any(|other| other.task == run.task) {
            return StartReply::Refused(StartRefusal::Outdated, clock);
        }
        let (demand, work, fails) = plan;
        let used = self.running.values().fold(ResourceAmount::default(), |sum, task| sum + task.demand);
        if !demand.fits(&self.capacity.saturating_sub(&used)) {
            return StartReply::Refused(StartRefusal::NoRoom, clock);
        }
        self.running.insert(run, ModelTask { demand, started_at: now, work, fails, stop_at: None });
        StartReply::Started(clock)
    }

    /// Takes a stop that carries `token`.
    pub fn stop(&mut self, now: MonoTime, token: u64, run: RunId) -> StopReply {
        self.advance(now);
        if token < self.token {
            return StopReply::Fenced;
        }
        self.token = token;
        let ended = self.last_ended.entry(run.task).or_default();
        *ended = run.run.max(*ended);
        let stop_at = now + self.stop_time;
        for (other, task) in &mut self.running {
            if other.task == run.task && other.run <= run.run {
                task.stop_at.get_or_insert(stop_at);
            }
        }
        StopReply::Taken(self.clock(now))
    }

    /// Serves a lease poll that carries `token`: renews the lease if an end is given and returns the lists.
    pub fn lease_poll(&mut self, now: MonoTime, token: u64, lease_end: Option<u64>, observed: u64) -> LeasePollReply {
        self.advance(now);
        if token < self.token {
            return LeasePollReply::Fenced;
        }
        self.token = token;
        if let Some(lease_end) = lease_end {
            self.extend(now, lease_end);
        }
        self.ended.retain(|end| end.number > observed);
        let slowness = self.slowness;
        let running = self.running.iter().map(|(run, task)| RunningTask { run: *run, percent: find_percent(now, slowness, task) });
        LeasePollReply::Listed(RunList { born: self.born, clock: self.clock(now), running: running.collect(), ended: self.ended.clone() })
    }

    fn extend(&mut self, now: MonoTime, lease_end: u64) {
        let latest = self.clock(now) + self.hold_max.as_millis() as u64;
        self.lease_end = self.lease_end.max(lease_end.min(latest));
    }

    fn end(&mut self, run: RunId, outcome: RunOutcome) {
        self.running.remove(&run);
        self.ended_count += 1;
        self.ended.push(EndedRun { number: self.ended_count, run: Some(run), outcome });
        let ended = self.last_ended.entry(run.task).or_default();
        *ended = run.run.max(*ended);
    }
}

fn find_end(now: MonoTime, slowness: u32, task: &ModelTask) -> Option<RunOutcome> {
    if now.since(task.started_at) >= task.work * slowness {
        return Some(if task.fails { RunOutcome::Failed } else { RunOutcome::Done });
    }
    task.stop_at.filter(|at| now >= *at).map(|_| RunOutcome::Stopped)
}

fn find_percent(now: MonoTime, slowness: u32, task: &ModelTask) -> u8 {
    let work = (task.work * slowness).as_micros().max(1);
    (now.since(task.started_at).as_micros() * 100 / work).min(99) as u8
}
