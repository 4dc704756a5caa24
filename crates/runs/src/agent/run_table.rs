//! The runs that entries ordered at one worker, each from its order until its end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::SessionId;
use vanillacleat_core::caller_job::{ResourceAmount, RunId, TaskId};
use vanillacleat_core::run_frames::{OrderId, RunProgress};
use vanillacleat_core::units::{Millis, MonoTime};

/// How long ended runs are retained. No call to a worker stays open longer, so a reply that still lists an ended run as
/// running arrives within this time.
const ENDED_RUN_RETENTION: Duration = Duration::from_millis(1_000);

/// Time after which a run that its worker still runs has not crashed it by being started.
const START_SURVIVAL_TIME: Duration = Duration::from_millis(50);

/// The state of a run at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Waits for free capacity at the worker.
    Queued,
    /// The start call was sent, and the worker has neither answered it nor listed the run.
    Starting {
        /// How often the start call was sent.
        tries: u32,
        /// When the start call is sent again.
        retry_at: MonoTime,
    },
    /// The worker has started the run.
    Running {
        /// Share of the work that was done when the worker last listed the run, in percent.
        percent: u8,
        /// When the worker last listed the run. Until it has listed the run, when it answered the start.
        listed_at: MonoTime,
    },
    /// The run has to be stopped; it may still be running.
    Stopping {
        /// When the next stop call is due.
        call_at: MonoTime,
        /// When the worker accepted the stop, or rejected a start as outdated, after which it can't start the run.
        taken_at: Option<MonoTime>,
        /// Whether the run is stopped because the result of its start is unknown.
        is_unanswered: bool,
    },
}

/// Why a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// Its entry ordered the stop.
    Ordered,
    /// The session with its entry was lost.
    EntryLost,
    /// The lease of the session with its entry ended.
    LeaseLapsed,
    /// Its start was not answered, or not with a definite result.
    Unanswered,
    /// The worker rejected its start as outdated.
    Outdated,
    /// The worker's incarnation ended, and the run may have started in the next one.
    IncarnationEnded,
    /// The agent is about to exit.
    Draining,
}

impl StopCause {
    /// Returns the name that is used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::EntryLost => "entry_lost",
            Self::LeaseLapsed => "lease_lapsed",
            Self::Unanswered => "unanswered",
            Self::Outdated => "outdated",
            Self::IncarnationEnded => "incarnation_ended",
            Self::Draining => "draining",
        }
    }
}

/// An order that a run answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOwner {
    /// The run as the entry numbers it. Entries number the runs of a task independently.
    pub run: RunId,
    /// The order.
    pub order: OrderId,
    /// The session with the entry; absent while there is none.
    pub session: Option<SessionId>,
    /// Address of the entry.
    pub entry: SmolStr,
    /// Whether the entry has ordered the run to stop.
    pub has_withdrawn: bool,
    /// End of the lease of the session that ordered the run, if that session was lost. A later session with the entry renews no lease of
    /// the run, because the entry may have restarted without it.
    pub lost_lease_end: Option<MonoTime>,
}

/// One run and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The orders that the run answers. There are several if entries ordered runs of the same task at the same time, or one entry did
    /// so again. The end of the run is reported to each of them.
    pub owners: Vec<RunOwner>,
    /// The resources that the run occupies.
    pub demand: ResourceAmount,
    /// The task's payload.
    pub payload: SmolStr,
    /// The job's route; empty if the order names none.
    pub route: SmolStr,
    /// The caller's estimate of the run time; zero if there is none.
    pub estimate: Duration,
    /// The state of the run.
    pub state: RunState,
    /// When the order was received.
    pub ordered_at: MonoTime,
    /// The time from which the order leased its session. The entry sent the order later.
    pub leased_from: MonoTime,
    /// When the start call was first sent. Once the worker has answered it, when the answer was received.
    pub started_at: MonoTime,
    /// When the agent first received an answer or a list that shows the run as running. Lease polls sent earlier may
    /// return a list without it.
    pub confirmed_at: Option<MonoTime>,
    /// When a list last showed the run.
    pub seen_at: Option<MonoTime>,
    /// Why the run is to be stopped; absent until then.
    pub stop_cause: Option<StopCause>,
    /// How often the stop call was sent.
    pub stop_calls: u32,
    /// Number of start calls that were not answered and may still be executed.
    pub open_calls: u32,
    /// Whether a list has shown the run, and so the incarnation that runs it.
    pub is_listed: bool,
    /// Whether the worker was given up as silent, and the end of the run is held back because a start may still be executed.
    pub is_held: bool,
}

/// The runs ordered at one worker. A run occupies capacity at the worker from its start call until its end is known.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<RunId, RunRecord>,
    used: ResourceAmount,
    ended: VecDeque<(MonoTime, RunId)>,
}

impl RunTable {
    /// Adds an ordered run. Returns false and changes nothing if the run is already in the table.
    pub fn add(&mut self, run: RunId, record: RunRecord) -> bool {
        if self.runs.contains_key(&run) {
            return false;
        }
        self.used += record.demand;
        self.runs.insert(run, record);
        true
    }

    /// Removes a run that has ended, and retains its id for [`Self::has_ended_since`].
    pub fn remove(&mut self, now: MonoTime, run: &RunId) -> Option<RunRecord> {
        let record = self.runs.remove(run)?;
        self.used -= record.demand;
        self.ended.push_back((now, *run));
        while self.ended.front().is_some_and(|(at, _)| now.since(*at) >= ENDED_RUN_RETENTION) {
            self.ended.pop_front();
        }
        Some(record)
    }

    /// Returns whether a run ended at `since` or later. Calls sent before its end may still list it as running.
    pub fn has_ended_since(&self, run: &RunId, since: MonoTime) -> bool {
        self.ended.iter().any(|(at, ended)| ended == run && *at >= since)
    }

    /// Returns the record of a run.
    pub fn get(&self, run: &RunId) -> Option<&RunRecord> {
        self.runs.get(run)
    }

    /// Returns the record of a run for changes.
    pub fn get_mut(&mut self, run: &RunId) -> Option<&mut RunRecord> {
        self.runs.get_mut(run)
    }

    /// Returns the run of a task. The table holds at most one, because the worker must not run a task twice at once.
    pub fn run_of(&self, task: &TaskId) -> Option<RunId> {
        let (first, last) = (RunId { task: *task, run: 0 }, RunId { task: *task, run: u32::MAX });
        self.runs.range(first..=last).next().map(|(run, _)| *run)
    }

    /// Returns all runs, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&RunId, &RunRecord)> {
        self.runs.iter()
    }

    /// Returns all runs for changes, ordered by id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&RunId, &mut RunRecord)> {
        self.runs.iter_mut()
    }

    /// Returns the ids of the runs whose records satisfy `matches`.
    pub fn select(&self, matches: impl Fn(&RunRecord) -> bool) -> Vec<RunId> {
        self.runs.iter().filter(|(_, record)| matches(record)).map(|(run, _)| *run).collect()
    }

    /// Returns the total demand of all runs, queued ones included.
    pub fn used(&self) -> ResourceAmount {
        self.used
    }

    /// Returns the total demand of each session's runs, queued ones included. Sessions without runs are left out.
    pub fn used_by_owner(&self) -> BTreeMap<SessionId, ResourceAmount> {
        let mut used: BTreeMap<SessionId, ResourceAmount> = BTreeMap::new();
        for record in self.runs.values() {
            let sessions: BTreeSet<SessionId> = record.owners.iter().filter_map(|owner| owner.session).collect();
            sessions.into_iter().for_each(|session| *used.entry(session).or_default() += record.demand);
        }
        used
    }

    /// Returns the progress of one session's running runs.
    pub fn progress_of(&self, session: SessionId) -> Vec<RunProgress> {
        let records = self.runs.values().flat_map(|record| record.owners.iter().map(move |owner| (owner, record)));
        let owned = records.filter(|(owner, _)| owner.session == Some(session));
        let progress = owned.filter_map(|(owner, record)| {
            let (percent, elapsed) = record.progress()?;
            Some(RunProgress { run: owner.run, order: owner.order, percent, elapsed: Millis::from_duration(elapsed) })
        });
        progress.collect()
    }

    /// Returns the demand of the runs whose start was sent to the worker.
    pub fn used_at_worker(&self) -> ResourceAmount {
        let sent = self.runs.values().filter(|record| record.state != RunState::Queued);
        sent.fold(ResourceAmount::default(), |sum, record| sum + record.demand)
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the number of runs, queued ones included.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether any run may be running at the worker, because its start was sent.
    pub fn has_runs_at_worker(&self) -> bool {
        self.runs.values().any(|record| record.state != RunState::Queued)
    }
}

impl RunRecord {
    /// Returns whether an entry ordered the run on this session, or has opened it since.
    pub fn is_owned_by(&self, session: SessionId) -> bool {
        self.owners.iter().any(|owner| owner.session == Some(session))
    }

    /// Returns the addresses of the entries that ordered the run, for the log.
    pub fn entries(&self) -> String {
        let entries: Vec<&str> = self.owners.iter().map(|owner| owner.entry.as_str()).collect();
        entries.join(",")
    }

    /// Marks the run to be stopped. Returns true and changes nothing if the run is queued: it was never sent to the worker
    /// and can be removed at once.
    pub fn request_stop(&mut self, now: MonoTime, cause: StopCause) -> bool {
        match self.state {
            RunState::Queued => return true,
            RunState::Stopping { .. } => {}
            RunState::Starting { .. } | RunState::Running { .. } => {
                let is_unanswered = cause == StopCause::Unanswered;
                self.state = RunState::Stopping { call_at: now, taken_at: None, is_unanswered };
                self.stop_cause = Some(cause);
            }
        }
        false
    }

    /// Returns whether the start call was sent, and the worker has neither answered it nor listed the run.
    pub fn is_starting(&self) -> bool {
        matches!(self.state, RunState::Starting { .. })
    }

    /// Marks the run to be stopped at the worker's next incarnation, even if the last one accepted a stop. The run may
    /// have started in either of them.
    pub fn request_stop_again(&mut self, now: MonoTime) {
        self.state = RunState::Stopping { call_at: now, taken_at: None, is_unanswered: false };
        self.stop_cause = Some(StopCause::IncarnationEnded);
        self.is_held = false;
    }

    /// Marks the run as held back from `now` on, because its start may still be executed. A call with a higher fencing token than the
    /// start's was sent since if the worker returns a list to a poll that was sent later: it then rejects the start.
    pub fn hold(&mut self, now: MonoTime) {
        self.state = RunState::Stopping { call_at: now, taken_at: Some(now), is_unanswered: true };
        self.stop_cause = Some(StopCause::Unanswered);
        self.is_held = true;
    }

    /// Records that the worker can't start the run from now on, but may have started it before. The next lease polls
    /// show whether it is running, how it ended, or that it never started.
    pub fn await_run_list(&mut self, now: MonoTime) {
        self.state = RunState::Stopping { call_at: now, taken_at: Some(now), is_unanswered: true };
        self.stop_cause = Some(StopCause::Outdated);
    }

    /// Returns whether the worker was seen running the run for some time.
    pub fn has_survived_start(&self) -> bool {
        let (confirmed_at, seen_at) = (self.confirmed_at, self.seen_at);
        confirmed_at.zip(seen_at).is_some_and(|(confirmed_at, seen_at)| seen_at >= confirmed_at + START_SURVIVAL_TIME)
    }

    /// Returns the share of the work that was done when the worker last listed the run, in percent, and the time that it had run by then.
    pub fn progress(&self) -> Option<(u8, Duration)> {
        let RunState::Running { percent, listed_at } = self.state else {
            return None;
        };
        Some((percent, listed_at.since(self.started_at)))
    }

    /// Returns the time since [`Self::started_at`].
    pub fn elapsed_since_start(&self, now: MonoTime) -> Duration {
        now.since(self.started_at)
    }
}
