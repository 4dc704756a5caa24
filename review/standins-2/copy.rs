//! A copy of a request arrives at another entry, seconds after its job was cancelled and its first copy answered.

use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::site::{config, route, Site};
use crate::Verdict;

const HOST: &str = "nony24.example";
const DEADLINE: Duration = Duration::from_secs(10);
/// `cancel_ms` of the small deployments.
const CANCEL_MS: u64 = 3_000;

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let plan = config(7, vec![route("r-1", HOST, "/lohu930/", "huvo11a")], &["huvo11a"]);
    let site = Site::start(3, &["huvo11a"; 6], &plan, record)?;
    let path = "/lohu930/5c0e7a21d94b36f8";
    let body =
        "{\"spec\":\"ms=2000 cpu=3100\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"estimate_ms\":2000}]}";
    let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", DEADLINE.as_millis().to_string())];
    record.line("client POST entry=0");
    let pending = http::send(site.callers_at(0), "POST", path, &headers, body, DEADLINE).map_err(|error| error.to_string())?;
    std::thread::sleep(Duration::from_millis(400));
    record.line("client DELETE entry=0");
    let cancelled = http::call(site.callers_at(0), "DELETE", path, &[("Host", HOST.to_owned())], "", Duration::from_secs(4));
    let acked_ms = record.now();
    record.line(format!("client DELETE answer={cancelled:?}"));
    let answer = pending.answer();
    record.line(format!("client POST answer={answer:?}"));
    if !matches!((&cancelled, &answer), (Ok((200, _)), Ok((200, _)))) {
        return Err("the job was not cancelled".to_owned());
    }
    std::thread::sleep(Duration::from_millis(4_000));
    if has_trouble {
        record.line("a copy of the POST arrives at entry=1");
        let copy = http::call(site.callers_at(1), "POST", path, &headers, body, DEADLINE);
        record.line(format!("copy of the POST answer={copy:?}"));
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let late = record.runs().into_iter().filter(|run| run.begun_ms > acked_ms + CANCEL_MS);
    let violations = late.map(|run| {
        let after = run.begun_ms - acked_ms;
        format!("UNASKED: {} run {} was started at {} {after} ms after the cancelling was acknowledged", run.task, run.number, run.worker)
    });
    Ok(violations.collect())
}
