//! A job is cancelled at another entry than the one that runs it.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::site::{config, route, Site};
use crate::Verdict;

const HOST: &str = "nony24.example";
const JOB: &str = "5c0e7a21d94b36f8";
const DEADLINE: Duration = Duration::from_secs(30);
/// `retransmit_ms`, `cancel_ms`, `stop_timeout_ms` and `contact_ms` of the small deployments.
const RETRANSMIT: Duration = Duration::from_millis(1_300);
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;
/// Time that is left for the scheduling of this machine.
const SLACK_MS: u64 = 200;

/// Sends the job to an entry and returns when it is answered or the channel ends.
fn submit(site: &Site, entry: usize, record: &Record) -> mpsc::Receiver<std::io::Result<(u16, String)>> {
    // Six steps, one after the other, of two tasks of 2 s.
    let step = |number: usize| {
        let after = if number == 0 { String::new() } else { format!(",\"after\":[{}]", number - 1) };
        format!("{{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"estimate_ms\":2000{after}}}")
    };
    let steps: Vec<String> = (0..6).map(step).collect();
    let body = format!("{{\"spec\":\"ms=2000 cpu=3100\",\"best_effort\":true,\"steps\":[{}]}}", steps.join(","));
    let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", DEADLINE.as_millis().to_string())];
    record.line(format!("client POST job={JOB} entry={entry}"));
    let pending = http::send(site.callers_at(entry), "POST", &format!("/lohu930/{JOB}"), &headers, &body, DEADLINE);
    let (sender, answer) = mpsc::channel();
    let record = record.clone();
    std::thread::spawn(move || {
        let result = pending.and_then(|pending| pending.answer());
        record.line(format!("client POST answer={result:?}"));
        let _ = sender.send(result);
    });
    answer
}

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let plan = config(7, vec![route("r-1", HOST, "/lohu930/", "huvo11a")], &["huvo11a"]);
    let mut site = Site::start(3, &["huvo11a"; 6], &plan, record)?;
    // The client is in the zone of entry 0, which gets its new channels while it is in rotation.
    let mut answer = submit(&site, 0, record);
    std::thread::sleep(Duration::from_millis(500));
    let mut home = 0;
    if has_trouble {
        record.line("entry=0 killed");
        site.entries[0].kill();
        let broken = answer.recv_timeout(Duration::from_secs(2));
        if !matches!(broken, Ok(Err(_))) {
            return Err(format!("the channel did not break: {broken:?}"));
        }
        std::thread::sleep(Duration::from_secs(1));
        site.entries[0].start()?;
        record.line("entry=0 started again");
        // The job is sent again; retries reach other nodes.
        std::thread::sleep(RETRANSMIT - Duration::from_secs(1));
        home = 1;
        answer = submit(&site, home, record);
    } else {
        std::thread::sleep(RETRANSMIT);
    }
    // Until well after `contact_ms`. By then entry 0 takes new channels again.
    std::thread::sleep(Duration::from_secs(4));
    let started_at = Instant::now();
    while !site.is_ready(0) {
        if started_at.elapsed() > Duration::from_secs(10) {
            return Err("entry 0 is not ready again".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if let Ok(ended) = answer.try_recv() {
        return Err(format!("the job has ended before it was cancelled: {ended:?}"));
    }
    let running = site.workers.len() > 0 && record.runs().iter().any(|run| run.ended_ms.is_none());
    if !running {
        return Err("no task of the job runs".to_owned());
    }
    let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", "4000".to_owned())];
    let path = format!("/lohu930/{JOB}");
    let state = http::call(site.callers_at(0), "GET", &path, &headers, "", Duration::from_secs(4));
    record.line(format!("client GET entry=0 answer={state:?}"));
    record.line("client DELETE entry=0");
    let cancelled = http::call(site.callers_at(0), "DELETE", &path, &headers, "", Duration::from_secs(4));
    let acked_ms = record.now();
    record.line(format!("client DELETE answer={cancelled:?}"));
    let Ok((200 | 410, _)) = cancelled else {
        return Err(format!("the cancelling was not acknowledged: {cancelled:?}"));
    };
    std::thread::sleep(Duration::from_millis(CANCEL_MS + STOP_MS + 3_500));
    let still_waits = answer.try_recv().is_err();
    record.line(format!("home entry={home} client still waits for its POST: {still_waits}"));
    let mut violations = Vec::new();
    for run in record.runs() {
        let limit = acked_ms + CANCEL_MS + SLACK_MS;
        if run.begun_ms > limit {
            violations.push(format!(
                "UNASKED: {} run {} was started {} ms after the ack of the DELETE",
                run.task,
                run.number,
                run.begun_ms - acked_ms
            ));
        } else if run.ended_ms.is_none_or(|ended| ended > limit + STOP_MS) {
            violations
                .push(format!("UNASKED: {} run {} runs on {CANCEL_MS} + {STOP_MS} ms after the ack of the DELETE", run.task, run.number));
        }
    }
    Ok(violations)
}
