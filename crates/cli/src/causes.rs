//! Counts from entries' logs what became of the jobs of each route, and why those were late or refused that were.

use std::collections::BTreeMap;
use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;

use crate::explain::{find_field, read_logs, LogLine};
use crate::operators::{CommandError, CommandResult};

/// Maximum delay that is told apart from longer ones, in milliseconds.
const DELAY_MAX_MS: u64 = 600_000;
/// Significant digits of a delay.
const DELAY_DIGITS: u8 = 2;
/// Route of the jobs whose route no line names.
const UNKNOWN_ROUTE: &str = "unknown";

/// The delays of the jobs with one fate, in milliseconds.
type DelayHistogram = Histogram<u64>;

/// What became of jobs, by route and fate.
#[derive(Debug, Default)]
pub struct CauseTable {
    admitted: BTreeMap<String, u64>,
    delays: BTreeMap<(String, String), DelayHistogram>,
}

/// One row of a table of causes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CauseRow {
    /// The route.
    pub route: String,
    /// `late` or `refused` with its cause, or `abandoned`.
    pub fate: String,
    /// Number of jobs.
    pub jobs: u64,
    /// Median of the lateness of late jobs, or of the wait of the others, in milliseconds.
    pub median_ms: u64,
    /// The ninetieth percentile of the same.
    pub high_ms: u64,
}

impl CauseTable {
    /// Returns the table of the jobs that `lines` of entries' logs name.
    pub fn new(lines: &[LogLine]) -> Self {
        let mut table = Self::default();
        let mut routes: BTreeMap<&str, &str> = BTreeMap::new();
        for line in lines {
            let text = line.text.as_str();
            let field = |key: &str| find_field(text, key);
            let (Some(event), Some(job)) = (field("event"), field("job")) else {
                continue;
            };
            if event == "job_admitted" {
                let route = field("route").unwrap_or(UNKNOWN_ROUTE);
                routes.insert(job, route);
                *table.admitted.entry(route.to_owned()).or_default() += 1;
            }
            let Some((fate, delay_ms)) = job_fate(event, &field) else {
                continue;
            };
            let route = field("route").or_else(|| routes.get(job).copied()).unwrap_or(UNKNOWN_ROUTE);
            table.record(route, &fate, delay_ms);
        }
        table
    }

    fn record(&mut self, route: &str, fate: &str, delay_ms: u64) {
        let delays = self.delays.entry((route.to_owned(), fate.to_owned()));
        let delays = delays.or_insert_with(|| {
            let bounds = Histogram::new_with_max(DELAY_MAX_MS, DELAY_DIGITS);
            bounds.expect("the bounds are constants that fit each other")
        });
        delays.saturating_record(delay_ms);
    }

    /// Returns the number of admitted jobs by route.
    pub fn admitted(&self) -> &BTreeMap<String, u64> {
        &self.admitted
    }

    /// Returns the rows, ordered by route, the most frequent fate first.
    pub fn rows(&self) -> Vec<CauseRow> {
        let to_row = |((route, fate), delays): (&(String, String), &DelayHistogram)| CauseRow {
            route: route.clone(),
            fate: fate.clone(),
            jobs: delays.len(),
            median_ms: delays.value_at_quantile(0.5),
            high_ms: delays.value_at_quantile(0.9),
        };
        let mut rows: Vec<CauseRow> = self.delays.iter().map(to_row).collect();
        rows.sort_by(|one, other| one.route.cmp(&other.route).then(other.jobs.cmp(&one.jobs)));
        rows
    }
}

/// Returns what a log line says became of its job, and its lateness or wait in milliseconds.
fn job_fate<'a>(event: &str, field: &impl Fn(&str) -> Option<&'a str>) -> Option<(String, u64)> {
    let millis = |key: &str| field(key).and_then(|value| value.parse().ok()).unwrap_or(0);
    match event {
        "job_delayed" => Some((format!("late {}", field("cause")?), millis("late_ms"))),
        "job_refused" => Some((format!("refused {}", field("reason")?.trim_matches('"')), 0)),
        "job_late" if field("started") == Some("true") => Some(("abandoned".to_owned(), millis("waited_ms"))),
        "job_late" => Some(("refused waiting".to_owned(), millis("waited_ms"))),
        _ => None,
    }
}

/// Prints what became of the jobs in entries' logs, from files, or from standard input if there are none.
pub fn print_causes(files: &[PathBuf]) -> CommandResult {
    let table = CauseTable::new(&read_logs(files)?);
    if table.admitted().is_empty() {
        return Err(Report::new(CommandError::File)).attach_printable("no log line admits a job");
    }
    for (route, admitted) in table.admitted() {
        println!("route={route} admitted={admitted}");
        for row in table.rows().into_iter().filter(|row| row.route == *route) {
            let share = 100.0 * row.jobs as f64 / *admitted as f64;
            println!("  {:<36} {:>7} {share:>6.2}%  median {:>6} ms  p90 {:>6} ms", row.fate, row.jobs, row.median_ms, row.high_ms);
        }
    }
    table.rows().iter().filter(|row| !table.admitted().contains_key(&row.route)).for_each(|row| {
        println!("route={} {} {}", row.route, row.fate, row.jobs);
    });
    Ok(())
}
