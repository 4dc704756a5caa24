//! A client's channel breaks while the entry that runs its job is frozen. The client has a second request on that channel.

use std::time::Duration;

use crate::http;
use crate::record::{Record, RunRecord};
use crate::site::{config, route, Site};
use crate::Verdict;

const HOST: &str = "nony24.example";
const DEADLINE: Duration = Duration::from_secs(20);
const RETRANSMIT: Duration = Duration::from_millis(1_300);
/// Length of the freeze; `node_freeze` of the site files lasts 4 s.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Overlap of two runs that counts, for the resolution of the record.
const OVERLAP_MIN_MS: u64 = 20;

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    // For comparison: `SECOND=none` sends nothing more on the channel, `SECOND=newline` an empty line in place of the request.
    let second = std::env::var("SECOND").unwrap_or_default();
    let plan = config(7, vec![route("r-1", HOST, "/lohu930/", "huvo11a")], &["huvo11a"]);
    let site = Site::start(3, &["huvo11a"; 6], &plan, record)?;
    let path = "/lohu930/5c0e7a21d94b36fd";
    let body =
        "{\"spec\":\"ms=6000 cpu=3100\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"estimate_ms\":6000}]}";
    let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", DEADLINE.as_millis().to_string())];
    record.line("client POST entry=0");
    let mut pending = http::send(site.callers_at(0), "POST", path, &headers, body, DEADLINE)
        .map_err(|error| format!("the job can't be sent: {error}"))?;
    std::thread::sleep(Duration::from_millis(20));
    // The client also looks at the queue, on the same channel.
    let more = match second.as_str() {
        "none" => String::new(),
        "newline" => "\r\n".to_owned(),
        _ => format!("GET /lohu930/ HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
    };
    record.line(format!("client sends on the same channel: {:?}", more.lines().next().unwrap_or_default()));
    pending.write(&more).map_err(|error| error.to_string())?;
    std::thread::sleep(Duration::from_millis(280));
    if has_trouble {
        record.line("entry=0 frozen");
        site.entries[0].signal("STOP");
    }
    std::thread::sleep(Duration::from_millis(200));
    record.line("the client's channel to entry 0 breaks");
    drop(pending);
    std::thread::sleep(RETRANSMIT);
    record.line("client POST entry=1");
    let again = http::send(site.callers_at(1), "POST", path, &headers, body, DEADLINE);
    let again = again.map_err(|error| format!("the job can't be sent again: {error}"))?;
    if has_trouble {
        std::thread::sleep(FREEZE - RETRANSMIT - Duration::from_millis(200));
        record.line("entry=0 runs again");
        site.entries[0].signal("CONT");
    }
    let answer = again.answer();
    record.line(format!("client POST answer={answer:?}"));
    std::thread::sleep(Duration::from_millis(500));
    let runs = record.runs();
    let now = record.now();
    if runs.is_empty() {
        return Err("no task was started".to_owned());
    }
    let end = |run: &RunRecord| run.ended_ms.unwrap_or(now);
    let mut violations = Vec::new();
    for (index, run) in runs.iter().enumerate() {
        for other in runs[index + 1..].iter().filter(|other| other.task == run.task) {
            let (from, until) = (run.begun_ms.max(other.begun_ms), end(run).min(end(other)));
            if until > from + OVERLAP_MIN_MS {
                violations.push(format!(
                    "TWICE: {} runs at {} (run {}) and at {} (run {}) from {from} to {until} ms",
                    run.task, run.worker, run.number, other.worker, other.number
                ));
            }
        }
    }
    Ok(violations)
}
