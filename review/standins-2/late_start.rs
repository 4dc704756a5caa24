//! A worker leaves a start unanswered and crashes. The start is carried out once the worker is back under its name.

use std::time::{Duration, Instant};

use crate::http;
use crate::record::{Record, RunRecord};
use crate::site::{config, route, Site};
use crate::Verdict;

const HOST: &str = "nony24.example";
const DEADLINE: Duration = Duration::from_secs(25);
/// How long the worker is down: `for_s` of `srv_crash`.
const DOWN: Duration = Duration::from_millis(4_500);

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let plan = config(7, vec![route("r-1", HOST, "/lohu930/", "huvo11a")], &["huvo11a"]);
    // One worker of eight crashes, and one start of 31 is held up.
    let site = Site::start(3, &["huvo11a"; 8], &plan, record)?;
    for number in 0..30_u64 {
        let body =
            "{\"spec\":\"ms=60 cpu=1000\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":60}]}";
        let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", "1500".to_owned())];
        let path = format!("/lohu930/7a{number:014x}");
        let answer = http::call(site.callers_at(number as usize % 3), "POST", &path, &headers, body, Duration::from_secs(2));
        if !matches!(answer, Ok((200, _))) {
            return Err(format!("a job before the disruption was not served: {answer:?}"));
        }
    }
    let path = "/lohu930/5c0e7a21d94b36fd";
    let body =
        "{\"spec\":\"ms=8000 cpu=3100\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":3100,\"mem_mb\":64,\"estimate_ms\":8000}]}";
    let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", DEADLINE.as_millis().to_string())];
    if has_trouble {
        site.workers.iter().for_each(|worker| worker.hold_next_start());
    }
    record.line("client POST entry=0");
    let pending = http::send(site.callers_at(0), "POST", path, &headers, body, DEADLINE).map_err(|error| error.to_string())?;
    if has_trouble {
        let begun_at = Instant::now();
        let worker = loop {
            if let Some(worker) = site.workers.iter().find(|worker| worker.held_start().is_some()) {
                break worker;
            }
            if begun_at.elapsed() > Duration::from_secs(5) {
                return Err("no start was sent".to_owned());
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        worker.crash();
        site.workers.iter().for_each(|worker| worker.release_next_start());
        std::thread::sleep(DOWN);
        worker.restart();
        worker.deliver();
    }
    let answer = pending.answer();
    record.line(format!("client POST answer={answer:?}"));
    std::thread::sleep(Duration::from_millis(500));
    let (runs, now) = (record.runs(), record.now());
    let end = |run: &RunRecord| run.ended_ms.unwrap_or(now);
    let mut violations = Vec::new();
    for (index, run) in runs.iter().enumerate() {
        for other in runs[index + 1..].iter().filter(|other| other.task == run.task) {
            let (from, until) = (run.begun_ms.max(other.begun_ms), end(run).min(end(other)));
            if until > from {
                violations.push(format!(
                    "TWICE: {} runs at {} (run {}) and at {} (run {}) from {from} to {until} ms",
                    run.task, run.worker, run.number, other.worker, other.number
                ));
            }
        }
    }
    if runs.is_empty() {
        return Err("no task was started".to_owned());
    }
    Ok(violations)
}
