//! What an experiment shows, as a table and as TOML.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use vanillacleat_standin::StartRecord;

use super::faults::ChangeSeen;
use super::settings::{FaultKind, LoadSettings, LoadVariant};
use super::single_requests::AddedTimes;
use super::workload::PlannedJob;
use vanillacleat_core::api::JobView;

/// Time after an accepted change in which work may still start where it was taken out.
const CHANGE_GRACE: Duration = Duration::from_secs(3);
/// Ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// A `JobSeen` is a job as its caller saw it.
#[derive(Clone, Debug)]
pub struct JobSeen {
    /// The job.
    pub index: usize,
    /// Time from the planned arrival to the answer.
    pub response: Duration,
    /// The answer, or the code of the refusal.
    pub answer: Result<JobView, String>,
    /// Whether a second submission through another entry had another answer.
    pub is_differing: bool,
}

/// A `RunSeen` is everything that was seen of one run.
pub struct RunSeen {
    /// When the first job was due.
    pub started_at: Instant,
    /// Until the last answer.
    pub elapsed: Duration,
    /// What the system adds to a single request.
    pub added: AddedTimes,
    /// The planned jobs.
    pub jobs: Arc<Vec<PlannedJob>>,
    /// What the callers saw.
    pub seen: Vec<JobSeen>,
    /// The operators' changes.
    pub changes: Vec<ChangeSeen>,
    /// What the upstreams saw.
    pub starts: Vec<StartRecord>,
    /// The entries' counters after the last arrival; empty for killed ones.
    pub counters: Vec<serde_json::Value>,
    /// The entries' counters before the run.
    pub counters_before: Vec<serde_json::Value>,
    /// Calls of the platform's store.
    pub platform_calls: u64,
    /// Processor time of the entries.
    pub entry_time: Duration,
    /// Processor time of the agents.
    pub agent_time: Duration,
    /// Each agent's availability zone.
    pub zones: Vec<String>,
}

/// A `VariantReport` is the result of one variant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VariantReport {
    /// The variant.
    pub name: String,
    /// Offered work over the work that all slots can do.
    pub load: f64,
    /// Jobs submitted, complete, failed and refused.
    pub jobs: [usize; 4],
    /// Response over ideal of complete jobs: median, 95th and 99th percentile.
    pub response_over_ideal: [f64; 3],
    /// Work of jobs completed inside the deadline, in slot-seconds a second.
    pub goodput: f64,
    /// Time added to a single request, in milliseconds: median and 99th percentile.
    pub added_ms: [f64; 2],
    /// Useful messages: the dispatch and the result of each task that ended.
    pub messages_useful: u64,
    /// Other messages by kind.
    pub messages_wasted: BTreeMap<String, u64>,
    /// Wasted messages over useful ones.
    pub wasted_share: f64,
    /// Share of the remaining slots' time that was used while a zone was out.
    pub zone_work_share: f64,
    /// Jobs complete in each second.
    pub completed_by_second: Vec<usize>,
    /// Time from asking to acceptance of the slowest change, in milliseconds.
    pub change_ms: f64,
    /// Share of starts that reached broken upstreams, from five seconds after the break.
    pub broken_share: f64,
    /// Calls of the platform's store a second.
    pub platform_calls_per_second: f64,
    /// Processor time of all entries for one start, in microseconds.
    pub entry_us_per_start: f64,
    /// Processor time of all agents for one start, in microseconds.
    pub agent_us_per_start: f64,
    /// Codes of refusals and reasons of failures.
    pub causes: BTreeMap<String, usize>,
    /// Tasks that started more than once.
    pub started_twice: u64,
    /// Starts where operators had taken work out, beyond the grace.
    pub late_starts: u64,
    /// Second submissions that were answered differently.
    pub answers_differing: u64,
    /// Outcomes that said `not_run` of a task that started.
    pub false_not_run: u64,
}

impl VariantReport {
    /// Returns the report of a run.
    pub fn make(settings: &LoadSettings, variant: &LoadVariant, run: &RunSeen) -> Self {
        let complete = |seen: &&JobSeen| seen.answer.as_ref().is_ok_and(|view| view.verdict == "complete");
        let refused = run.seen.iter().filter(|seen| seen.answer.is_err()).count();
        let completed: Vec<&JobSeen> = run.seen.iter().filter(complete).collect();
        let (useful, wasted) = count_messages(run);
        let starts = run.starts.len().max(1) as f64;
        Self {
            name: variant.name.clone(),
            load: variant.load,
            jobs: [run.seen.len(), completed.len(), run.seen.len() - completed.len() - refused, refused],
            response_over_ideal: response_quantiles(run, &completed),
            goodput: find_goodput(settings, run, &completed),
            added_ms: [run.added.p50, run.added.p99],
            messages_useful: useful,
            wasted_share: wasted.values().sum::<u64>() as f64 / useful.max(1) as f64,
            messages_wasted: wasted,
            zone_work_share: find_zone_work(settings, run),
            completed_by_second: count_by_second(run, &completed),
            change_ms: find_slowest_change(run),
            broken_share: find_broken_share(settings, run),
            platform_calls_per_second: run.platform_calls as f64 / run.elapsed.as_secs_f64(),
            entry_us_per_start: run.entry_time.as_micros() as f64 / starts,
            agent_us_per_start: run.agent_time.as_micros() as f64 / starts,
            causes: count_causes(run),
            started_twice: count_second_starts(run),
            late_starts: count_late_starts(run),
            answers_differing: run.seen.iter().filter(|seen| seen.is_differing).count() as u64,
            false_not_run: count_false_not_run(run),
        }
    }

    /// Returns how often a promise was broken.
    pub fn broken_promises(&self) -> u64 {
        self.started_twice + self.late_starts + self.answers_differing + self.false_not_run
    }
}

fn response_quantiles(run: &RunSeen, completed: &[&JobSeen]) -> [f64; 3] {
    let mut ratios = Histogram::<u64>::new(3).expect("three digits are allowed");
    for seen in completed {
        let ratio = seen.response.as_secs_f64() / run.jobs[seen.index].ideal.as_secs_f64();
        ratios.record((ratio * RATIO_SCALE) as u64).expect("the histogram grows");
    }
    [0.5, 0.95, 0.99].map(|quantile| ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE)
}

fn find_goodput(settings: &LoadSettings, run: &RunSeen, completed: &[&JobSeen]) -> f64 {
    let in_time = completed.iter().filter(|seen| seen.response <= Duration::from_millis(settings.deadline_ms));
    let work: Duration = in_time.map(|seen| run.jobs[seen.index].work).sum();
    work.as_secs_f64() / run.elapsed.as_secs_f64()
}

fn count_messages(run: &RunSeen) -> (u64, BTreeMap<String, u64>) {
    let pairs = run.counters_before.iter().zip(&run.counters);
    let grown = |name: &str, before: &serde_json::Value, after: &serde_json::Value| Some(after[name].as_u64()? - before[name].as_u64()?);
    let total = |name: &str| pairs.clone().filter_map(|(before, after)| grown(name, before, after)).sum::<u64>();
    // Each of these is a frame or an entry in one and its answer.
    let pairs = ["bounced", "reclaimed", "cancelled", "seals", "echoes", "gossips"];
    let single = ["unwanted", "configs"];
    let paired = pairs.iter().map(|name| ((*name).to_owned(), total(name) * 2));
    let wasted = paired.chain(single.iter().map(|name| ((*name).to_owned(), total(name))));
    (total("ended") * 2, wasted.collect())
}

fn run_time(run: &RunSeen, start: &StartRecord) -> Duration {
    let (job, task) = start.payload.split_once('-').unwrap_or(("", ""));
    let (Ok(job), Ok(task)) = (job.parse::<usize>(), task.parse::<usize>()) else {
        return Duration::ZERO;
    };
    let spec = run.jobs.get(job).and_then(|job| job.spec.tasks.get(task));
    let script = spec.and_then(|task| serde_json::from_str::<vanillacleat_standin::TaskScript>(&task.payload).ok());
    script.map_or(Duration::ZERO, |script| Duration::from_millis(script.run_ms))
}

/// Returns the spans in which something was out: from acceptance, or from asking where it came back.
fn out_spans(run: &RunSeen, kind: FaultKind) -> Vec<(usize, Instant, Instant)> {
    let end = run.started_at + run.elapsed;
    let outs = run.changes.iter().filter(|change| change.kind == kind && change.is_out);
    let span = |out: &ChangeSeen| {
        let accepted_at = out.accepted_at?;
        let back = run.changes.iter().find(|change| change.kind == kind && !change.is_out && change.index == out.index);
        let asked_at = back.filter(|back| back.asked_at > accepted_at).map_or(end, |back| back.asked_at);
        Some((out.index, accepted_at, asked_at))
    };
    outs.filter_map(span).collect()
}

fn find_zone_work(settings: &LoadSettings, run: &RunSeen) -> f64 {
    let Some((index, from, to)) = out_spans(run, FaultKind::ZoneOut).into_iter().next() else {
        return 0.0;
    };
    let zone = &run.zones[index];
    let remaining = run.zones.iter().filter(|other| *other != zone).count() as f64 * f64::from(settings.slots);
    let used = run.starts.iter().filter(|start| start.zone != *zone).map(|start| {
        let end = start.at + run_time(run, start);
        end.min(to).saturating_duration_since(start.at.max(from)).as_secs_f64()
    });
    used.sum::<f64>() / (remaining * to.duration_since(from).as_secs_f64())
}

fn count_late_starts(run: &RunSeen) -> u64 {
    let zones = out_spans(run, FaultKind::ZoneOut).into_iter();
    let in_zones = zones.map(|(index, from, to)| {
        let is_late = |start: &&StartRecord| start.zone == run.zones[index] && start.at > from + CHANGE_GRACE && start.at < to;
        run.starts.iter().filter(is_late).count()
    });
    let upstreams = out_spans(run, FaultKind::UpstreamRetire).into_iter();
    let at_upstreams = upstreams.map(|(index, from, to)| {
        let name = format!("upstream-agent-{index:03}");
        let is_late = |start: &&StartRecord| start.upstream == name && start.at > from + CHANGE_GRACE && start.at < to;
        run.starts.iter().filter(is_late).count()
    });
    in_zones.chain(at_upstreams).sum::<usize>() as u64
}

fn count_by_second(run: &RunSeen, completed: &[&JobSeen]) -> Vec<usize> {
    let mut counts = vec![0; run.elapsed.as_secs() as usize + 1];
    for seen in completed {
        let second = (run.jobs[seen.index].at + seen.response).as_secs() as usize;
        if let Some(count) = counts.get_mut(second) {
            *count += 1;
        }
    }
    counts
}

fn find_slowest_change(run: &RunSeen) -> f64 {
    let times = run.changes.iter().filter_map(|change| Some(change.accepted_at?.duration_since(change.asked_at)));
    times.max().unwrap_or_default().as_secs_f64() * 1_000.0
}

fn find_broken_share(settings: &LoadSettings, run: &RunSeen) -> f64 {
    let Some(fault) = settings.faults.iter().find(|fault| fault.kind == FaultKind::UpstreamBroken) else {
        return 0.0;
    };
    let name = format!("upstream-agent-{:03}", fault.index);
    let from = run.started_at + Duration::from_secs_f64(fault.at + 5.0);
    let after: Vec<&StartRecord> = run.starts.iter().filter(|start| start.at >= from).collect();
    after.iter().filter(|start| start.upstream == name).count() as f64 / after.len().max(1) as f64
}

fn count_causes(run: &RunSeen) -> BTreeMap<String, usize> {
    let mut causes = BTreeMap::new();
    for seen in &run.seen {
        match &seen.answer {
            Err(code) => *causes.entry(format!("refused:{code}")).or_default() += 1,
            Ok(view) => {
                let bad =
                    view.outcomes.iter().filter(|outcome| outcome.outcome != "done" && outcome.reason.as_deref() != Some("job_failed"));
                for outcome in bad {
                    let reason = outcome.reason.as_deref().unwrap_or_default();
                    *causes.entry(format!("{}:{reason}", outcome.outcome)).or_default() += 1;
                }
            }
        }
    }
    causes
}

fn count_second_starts(run: &RunSeen) -> u64 {
    let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
    run.starts.iter().for_each(|start| *starts.entry(&start.payload).or_default() += 1);
    starts.values().filter(|count| **count > 1).count() as u64
}

fn count_false_not_run(run: &RunSeen) -> u64 {
    let started: std::collections::BTreeSet<&str> = run.starts.iter().map(|start| start.payload.as_str()).collect();
    let views = run.seen.iter().filter_map(|seen| Some((seen.index, seen.answer.as_ref().ok()?)));
    let not_run = views.flat_map(|(job, view)| {
        let outcomes = view.outcomes.iter().enumerate().filter(|(_, outcome)| outcome.outcome == "not_run");
        outcomes.map(move |(task, _)| format!("{job}-{task}"))
    });
    not_run.filter(|id| started.contains(id.as_str())).count() as u64
}

/// Returns the reports side by side.
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

/// Returns the settings and the reports as TOML.
pub fn write_toml(settings: &LoadSettings, reports: &[VariantReport]) -> Result<String, toml::ser::Error> {
    #[derive(Serialize)]
    struct WholeReport<'a> {
        reports: &'a [VariantReport],
        settings: &'a LoadSettings,
    }
    toml::to_string(&WholeReport { reports, settings })
}
