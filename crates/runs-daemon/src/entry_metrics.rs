//! The metrics of an entry.

use std::collections::HashMap;

use metrics::{Counter, Gauge, Histogram};
use vanillacleat_core::run_frames::{EndSign, RunOutcome};
use vanillacleat_runs::entry::{DelayCause, Measurement};

/// Handles of an entry's metrics. Those with labels are looked up in the recorder once, when their labels first occur.
pub(crate) struct EntryMetrics {
    /// How long the oldest input of each step has waited.
    pub(crate) control_lag: Histogram,
    pub(crate) sessions: Gauge,
    pub(crate) strained: Gauge,
    /// Routes whose tasks run on a part of the workers only.
    pub(crate) confined_routes: Gauge,
    pub(crate) outdated_hellos: Counter,
    pub(crate) refused_speeds: Counter,
    /// Tasks that are not started again because workers have crashed under them.
    pub(crate) deadly_tasks: Counter,
    /// By the kind of the answer.
    answers: HashMap<&'static str, Counter>,
    /// By the priority of the route.
    placement_waits: HashMap<u32, Histogram>,
    placed_again: HashMap<(RunOutcome, EndSign), Counter>,
    /// By the priority of the route and the kind of the answer.
    responses: HashMap<(u32, &'static str), Histogram>,
    delays: HashMap<DelayCause, Histogram>,
}

impl EntryMetrics {
    pub(crate) fn new() -> Self {
        Self {
            control_lag: metrics::histogram!("runs_control_lag_seconds"),
            sessions: metrics::gauge!("runs_sessions"),
            confined_routes: metrics::gauge!("runs_confined_routes"),
            strained: metrics::gauge!("runs_entry_strained"),
            outdated_hellos: metrics::counter!("runs_outdated_hellos_total"),
            deadly_tasks: metrics::counter!("runs_deadly_tasks_total"),
            refused_speeds: metrics::counter!("runs_refused_speeds_total"),
            answers: HashMap::new(),
            placement_waits: HashMap::new(),
            placed_again: HashMap::new(),
            responses: HashMap::new(),
            delays: HashMap::new(),
        }
    }

    /// Counts an answer to a caller.
    pub(crate) fn count_answer(&mut self, kind: &'static str) {
        self.answers.entry(kind).or_insert_with(|| metrics::counter!("runs_answers_total", "kind" => kind)).increment(1);
    }

    /// Records a value that the control state has measured.
    pub(crate) fn record(&mut self, measurement: Measurement) {
        match measurement {
            Measurement::Placed { priority, after } => {
                let waits = self.placement_waits.entry(priority);
                let wait = waits.or_insert_with(|| metrics::histogram!("runs_placement_wait_seconds", "priority" => priority.to_string()));
                wait.record(after.as_secs_f64());
            }
            Measurement::PlacedAgain { outcome, sign } => {
                let count = self.placed_again.entry((outcome, sign)).or_insert_with(
                    || metrics::counter!("runs_placed_again_total", "outcome" => outcome.as_str(), "evidence" => sign.as_str()),
                );
                count.increment(1);
            }
            Measurement::Answered { priority, kind, after } => {
                let response = self
                    .responses
                    .entry((priority, kind))
                    .or_insert_with(|| metrics::histogram!("runs_response_seconds", "priority" => priority.to_string(), "kind" => kind));
                response.record(after.as_secs_f64());
            }
            Measurement::Delayed { cause, late } => {
                let delays = self.delays.entry(cause);
                let delay = delays.or_insert_with(|| metrics::histogram!("runs_job_late_seconds", "cause" => cause.as_str()));
                delay.record(late.as_secs_f64());
            }
        }
    }
}
