//! Evaluates the observations of an experiment and writes the report as a table and as TOML.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use vanillacleat_standin::StartRecord;

use super::faults::ChangeObservation;
use super::settings::{FaultKind, LoadSettings, LoadVariant};
use super::single_requests::AddedLatency;
use super::workload::PlannedJob;
use vanillacleat_core::api::JobView;

/// Time after the acceptance of a change during which tasks may still start in the zone or at the upstream that it took
/// out of service.
const CHANGE_GRACE: Duration = Duration::from_secs(3);
/// Ratios are recorded in thousandths because histograms hold integers.
const RATIO_SCALE: f64 = 1_000.0;

/// A job as its caller observed it.
#[derive(Clone, Debug)]
pub struct JobObservation {
    /// Index of the job in the plan.
    pub index: usize,
    /// Response time, counted from the planned arrival.
    pub response_time: Duration,
    /// The answer, or the error code if the job was refused or no entry was reachable.
    pub answer: Result<JobView, String>,
    /// Whether the second submission of the job received a different answer.
    pub has_differing_answer: bool,
}

/// All observations of one run, from the callers, the upstreams and the processes.
pub struct RunObservation {
    /// Start of the arrivals.
    pub started_at: Instant,
    /// Time from the start of the arrivals to the last answer.
    pub elapsed: Duration,
    /// Latency that the system adds to a single request.
    pub added_latency: AddedLatency,
    /// The planned jobs, in order of arrival.
    pub jobs: Arc<Vec<PlannedJob>>,
    /// The callers' observations.
    pub job_observations: Vec<JobObservation>,
    /// The operators' changes, in order.
    pub changes: Vec<ChangeObservation>,
    /// The task starts that the upstreams recorded.
    pub starts: Vec<StartRecord>,
    /// The entries' counters at the end of the arrivals; null for entries that were killed.
    pub counters_after: Vec<serde_json::Value>,
    /// The entries' counters before the run.
    pub counters_before: Vec<serde_json::Value>,
    /// Number of calls to the platform's store.
    pub platform_calls: u64,
    /// CPU time of all entries.
    pub entry_cpu_time: Duration,
    /// CPU time of all agents.
    pub agent_cpu_time: Duration,
    /// The availability zone of each agent.
    pub agent_zones: Vec<String>,
}

/// The results of one variant. The field names are the keys of the TOML report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VariantReport {
    /// Name of the variant.
    pub name: String,
    /// Offered work, as a share of the work that all slots can do.
    pub load: f64,
    /// Number of jobs: submitted, complete, failed, refused.
    pub jobs: [usize; 4],
    /// Response time of complete jobs divided by their ideal makespan: median, 95th and 99th percentile.
    pub response_over_ideal: [f64; 3],
    /// Work of the jobs that were completed before their deadline, in slot-seconds per second.
    pub goodput: f64,
    /// Latency added to a single request, in milliseconds: median and 99th percentile.
    pub added_ms: [f64; 2],
    /// Number of useful messages: the dispatch and the result of each task that ended.
    pub messages_useful: u64,
    /// Number of other messages, by kind.
    pub messages_wasted: BTreeMap<String, u64>,
    /// Number of wasted messages divided by the number of useful ones.
    pub wasted_share: f64,
    /// Utilization of the remaining zones' slots while a zone was out of service.
    pub zone_work_share: f64,
    /// Number of jobs completed in each second of the run.
    pub completed_by_second: Vec<usize>,
    /// Maximum time from the submission of a change to its acceptance, in milliseconds.
    pub change_ms: f64,
    /// Share of task starts that went to the broken upstream, counted from five seconds after it broke.
    pub broken_share: f64,
    /// Calls to the platform's store per second.
    pub platform_calls_per_second: f64,
    /// CPU time of all entries per task start, in microseconds.
    pub entry_us_per_start: f64,
    /// CPU time of all agents per task start, in microseconds.
    pub agent_us_per_start: f64,
    /// Number of refusals by code, and of unsuccessful tasks by outcome and reason.
    pub causes: BTreeMap<String, usize>,
    /// Number of tasks that started more than once. Must be zero.
    pub started_twice: u64,
    /// Number of task starts in zones and at upstreams that were out of service, after the grace period. Must be zero.
    pub late_starts: u64,
    /// Number of jobs whose second submission received a different answer. Must be zero.
    pub answers_differing: u64,
    /// Number of outcomes that reported `not_run` for a task that had started. Must be zero.
    pub false_not_run: u64,
}

impl VariantReport {
    /// Computes the report from the observations of a run.
    pub fn new(settings: &LoadSettings, variant: &LoadVariant, run: &RunObservation) -> Self {
        let is_complete = |job: &&JobObservation| job.answer.as_ref().is_ok_and(|view| view.verdict == "complete");
        let refused = run.job_observations.iter().filter(|job| job.answer.is_err()).count();
        let completed: Vec<&JobObservation> = run.job_observations.iter().filter(is_complete).collect();
        let (useful, wasted) = count_messages(run);
        let starts = run.starts.len().max(1) as f64;
        Self {
            name: variant.name.clone(),
            load: variant.load,
            jobs: [run.job_observations.len(), completed.len(), run.job_observations.len() - completed.len() - refused, refused],
            response_over_ideal: response_quantiles(run, &completed),
            goodput: compute_goodput(settings, run, &completed),
            added_ms: [run.added_latency.p50, run.added_latency.p99],
            messages_useful: useful,
            wasted_share: wasted.values().sum::<u64>() as f64 / useful.max(1) as f64,
            messages_wasted: wasted,
            zone_work_share: compute_zone_work_share(settings, run),
            completed_by_second: count_by_second(run, &completed),
            change_ms: slowest_change_ms(run),
            broken_share: compute_broken_share(settings, run),
            platform_calls_per_second: run.platform_calls as f64 / run.elapsed.as_secs_f64(),
            entry_us_per_start: run.entry_cpu_time.as_micros() as f64 / starts,
            agent_us_per_start: run.agent_cpu_time.as_micros() as f64 / starts,
            causes: count_causes(run),
            started_twice: count_tasks_started_twice(run),
            late_starts: count_late_starts(run),
            answers_differing: run.job_observations.iter().filter(|job| job.has_differing_answer).count() as u64,
            false_not_run: count_false_not_run(run),
        }
    }

    /// Returns the number of violated guarantees.
    pub fn violation_count(&self) -> u64 {
        self.started_twice + self.late_starts + self.answers_differing + self.false_not_run
    }
}

/// Returns the quantiles of response time divided by ideal makespan of the completed jobs.
fn response_quantiles(run: &RunObservation, completed: &[&JobObservation]) -> [f64; 3] {
    let mut ratios = Histogram::<u64>::new(3).expect("three digits are allowed");
    for job in completed {
        let ratio = job.response_time.as_secs_f64() / run.jobs[job.index].ideal_makespan.as_secs_f64();
        ratios.record((ratio * RATIO_SCALE) as u64).expect("the histogram grows");
    }
    [0.5, 0.95, 0.99].map(|quantile| ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE)
}

fn compute_goodput(settings: &LoadSettings, run: &RunObservation, completed: &[&JobObservation]) -> f64 {
    let in_time = completed.iter().filter(|job| job.response_time <= Duration::from_millis(settings.deadline_ms));
    let work: Duration = in_time.map(|job| run.jobs[job.index].total_work).sum();
    work.as_secs_f64() / run.elapsed.as_secs_f64()
}

/// Returns the number of useful messages, and of the others by kind, from the growth of the entries' counters.
fn count_messages(run: &RunObservation) -> (u64, BTreeMap<String, u64>) {
    let snapshots = run.counters_before.iter().zip(&run.counters_after);
    let growth = |name: &str, before: &serde_json::Value, after: &serde_json::Value| Some(after[name].as_u64()? - before[name].as_u64()?);
    let total = |name: &str| snapshots.clone().filter_map(|(before, after)| growth(name, before, after)).sum::<u64>();
    // Each of these counts an exchange of two messages: a frame, or an item of a frame, and its answer.
    let exchanges = ["bounced", "reclaimed", "cancelled", "seals", "echoes", "gossips"];
    let single_messages = ["unwanted", "configs"];
    let two_each = exchanges.iter().map(|name| ((*name).to_owned(), total(name) * 2));
    let wasted = two_each.chain(single_messages.iter().map(|name| ((*name).to_owned(), total(name))));
    (total("ended") * 2, wasted.collect())
}

/// Returns the planned run time of a started task; zero if its id is not that of a planned task.
fn planned_run_time(run: &RunObservation, start: &StartRecord) -> Duration {
    let (job, task) = start.task_id.split_once('-').unwrap_or(("", ""));
    let (Ok(job), Ok(task)) = (job.parse::<usize>(), task.parse::<usize>()) else {
        return Duration::ZERO;
    };
    let spec = run.jobs.get(job).and_then(|job| job.spec.tasks.get(task));
    let script = spec.and_then(|task| serde_json::from_str::<vanillacleat_standin::TaskScript>(&task.payload).ok());
    script.map_or(Duration::ZERO, |script| Duration::from_millis(script.run_ms))
}

/// Returns the agent index, the start and the end of each span in which a zone or upstream was out of service. A span
/// starts when the removal is accepted, and ends when its reversal is requested or when the run ends.
fn removal_spans(run: &RunObservation, kind: FaultKind) -> Vec<(usize, Instant, Instant)> {
    let end = run.started_at + run.elapsed;
    let removals = run.changes.iter().filter(|change| change.kind == kind && change.is_removal);
    let span = |removal: &ChangeObservation| {
        let accepted_at = removal.accepted_at?;
        let reversal = run.changes.iter().find(|change| change.kind == kind && !change.is_removal && change.index == removal.index);
        let removed_until = reversal.filter(|reversal| reversal.requested_at > accepted_at).map_or(end, |reversal| reversal.requested_at);
        Some((removal.index, accepted_at, removed_until))
    };
    removals.filter_map(span).collect()
}

/// Returns the utilization of the other zones' slots during the first removal of a zone; zero if there was none.
fn compute_zone_work_share(settings: &LoadSettings, run: &RunObservation) -> f64 {
    let Some((index, from, to)) = removal_spans(run, FaultKind::ZoneOut).into_iter().next() else {
        return 0.0;
    };
    let zone = &run.agent_zones[index];
    let remaining_slots = run.agent_zones.iter().filter(|other| *other != zone).count() as f64 * f64::from(settings.slots);
    let busy_seconds = run.starts.iter().filter(|start| start.zone != *zone).map(|start| {
        let end = start.arrived_at + planned_run_time(run, start);
        end.min(to).saturating_duration_since(start.arrived_at.max(from)).as_secs_f64()
    });
    busy_seconds.sum::<f64>() / (remaining_slots * to.duration_since(from).as_secs_f64())
}

/// Counts the task starts at zones and upstreams that were out of service, after `CHANGE_GRACE`.
fn count_late_starts(run: &RunObservation) -> u64 {
    let zones = removal_spans(run, FaultKind::ZoneOut).into_iter();
    let zone_counts = zones.map(|(index, from, to)| {
        let is_late =
            |start: &&StartRecord| start.zone == run.agent_zones[index] && start.arrived_at > from + CHANGE_GRACE && start.arrived_at < to;
        run.starts.iter().filter(is_late).count()
    });
    let upstreams = removal_spans(run, FaultKind::UpstreamRetire).into_iter();
    let upstream_counts = upstreams.map(|(index, from, to)| {
        let name = format!("upstream-agent-{index:03}");
        let is_late = |start: &&StartRecord| start.upstream == name && start.arrived_at > from + CHANGE_GRACE && start.arrived_at < to;
        run.starts.iter().filter(is_late).count()
    });
    zone_counts.chain(upstream_counts).sum::<usize>() as u64
}

fn count_by_second(run: &RunObservation, completed: &[&JobObservation]) -> Vec<usize> {
    let mut counts = vec![0; run.elapsed.as_secs() as usize + 1];
    for job in completed {
        let second = (run.jobs[job.index].arrival + job.response_time).as_secs() as usize;
        if let Some(count) = counts.get_mut(second) {
            *count += 1;
        }
    }
    counts
}

fn slowest_change_ms(run: &RunObservation) -> f64 {
    let change_times = run.changes.iter().filter_map(|change| Some(change.accepted_at?.duration_since(change.requested_at)));
    change_times.max().unwrap_or_default().as_secs_f64() * 1_000.0
}

/// Returns the share of the task starts that the first broken upstream received, from five seconds after it broke.
fn compute_broken_share(settings: &LoadSettings, run: &RunObservation) -> f64 {
    let Some(fault) = settings.faults.iter().find(|fault| fault.kind == FaultKind::UpstreamBroken) else {
        return 0.0;
    };
    let name = format!("upstream-agent-{:03}", fault.index);
    let from = run.started_at + Duration::from_secs_f64(fault.at + 5.0);
    let later_starts: Vec<&StartRecord> = run.starts.iter().filter(|start| start.arrived_at >= from).collect();
    later_starts.iter().filter(|start| start.upstream == name).count() as f64 / later_starts.len().max(1) as f64
}

/// Counts refused jobs by code, and unsuccessful tasks by outcome and reason. Tasks that did not run only because another task
/// of their job failed are left out.
fn count_causes(run: &RunObservation) -> BTreeMap<String, usize> {
    let mut causes = BTreeMap::new();
    for job in &run.job_observations {
        match &job.answer {
            Err(code) => *causes.entry(format!("refused:{code}")).or_default() += 1,
            Ok(view) => {
                let unsuccessful =
                    view.outcomes.iter().filter(|outcome| outcome.outcome != "done" && outcome.reason.as_deref() != Some("job_failed"));
                for outcome in unsuccessful {
                    let reason = outcome.reason.as_deref().unwrap_or_default();
                    *causes.entry(format!("{}:{reason}", outcome.outcome)).or_default() += 1;
                }
            }
        }
    }
    causes
}

fn count_tasks_started_twice(run: &RunObservation) -> u64 {
    let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
    run.starts.iter().for_each(|start| *starts.entry(&start.task_id).or_default() += 1);
    starts.values().filter(|count| **count > 1).count() as u64
}

/// Counts the outcomes that report `not_run` for a task that an upstream started.
fn count_false_not_run(run: &RunObservation) -> u64 {
    let started: std::collections::BTreeSet<&str> = run.starts.iter().map(|start| start.task_id.as_str()).collect();
    let views = run.job_observations.iter().filter_map(|job| Some((job.index, job.answer.as_ref().ok()?)));
    let not_run_ids = views.flat_map(|(job, view)| {
        let outcomes = view.outcomes.iter().enumerate().filter(|(_, outcome)| outcome.outcome == "not_run");
        outcomes.map(move |(task, _)| format!("{job}-{task}"))
    });
    not_run_ids.filter(|id| started.contains(id.as_str())).count() as u64
}

/// Formats the reports as a table with one column per variant.
pub fn write_table(reports: &[VariantReport]) -> String {
    type Row = (&'static str, fn(&VariantReport) -> String);
    let rows: [Row; 19] = [
        ("variant", |report| report.name.clone()),
        ("load", |report| format!("{:.2}", report.load)),
        ("jobs", |report| report.jobs[0].to_string()),
        ("complete/failed/refused", |report| format!("{}/{}/{}", report.jobs[1], report.jobs[2], report.jobs[3])),
        ("response/ideal p50", |report| format!("{:.3}", report.response_over_ideal[0])),
        ("response/ideal p95", |report| format!("{:.3}", report.response_over_ideal[1])),
        ("response/ideal p99", |report| format!("{:.3}", report.response_over_ideal[2])),
        ("goodput slots", |report| format!("{:.2}", report.goodput)),
        ("added ms p50/p99", |report| format!("{:.2}/{:.2}", report.added_ms[0], report.added_ms[1])),
        ("wasted share", |report| format!("{:.4}", report.wasted_share)),
        ("zone work share", |report| format!("{:.3}", report.zone_work_share)),
        ("slowest change ms", |report| format!("{:.0}", report.change_ms)),
        ("broken share", |report| format!("{:.4}", report.broken_share)),
        ("platform calls/s", |report| format!("{:.2}", report.platform_calls_per_second)),
        ("entry us/start", |report| format!("{:.0}", report.entry_us_per_start)),
        ("agent us/start", |report| format!("{:.0}", report.agent_us_per_start)),
        ("started twice", |report| report.started_twice.to_string()),
        ("late starts", |report| report.late_starts.to_string()),
        ("differing/false not_run", |report| format!("{}/{}", report.answers_differing, report.false_not_run)),
    ];
    let mut text = String::new();
    for (name, cell) in rows {
        let cells: Vec<String> = reports.iter().map(|report| format!("{:>22}", cell(report))).collect();
        text.push_str(&format!("{name:<26}{}\n", cells.concat()));
    }
    for report in reports {
        text.push_str(&format!("variant={} wasted={:?} causes={:?}\n", report.name, report.messages_wasted, report.causes));
    }
    text
}

/// Formats the settings and the reports as TOML.
pub fn write_toml(settings: &LoadSettings, reports: &[VariantReport]) -> Result<String, toml::ser::Error> {
    #[derive(Serialize)]
    struct ReportFile<'a> {
        reports: &'a [VariantReport],
        settings: &'a LoadSettings,
    }
    toml::to_string(&ReportFile { reports, settings })
}
