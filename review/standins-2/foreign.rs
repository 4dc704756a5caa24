//! Clients of two queues choose the same ID for their jobs.

use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::site::{config, route, Site};
use crate::Verdict;

const HOST: &str = "nony24.example";
const DEADLINE: Duration = Duration::from_secs(10);

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let routes = vec![route("r-1", HOST, "/lohu930/", "huvo11a"), route("r-2", HOST, "/pufi791/", "dele69a")];
    let plan = config(7, routes, &["huvo11a", "dele69a"]);
    let site = Site::start(3, &["huvo11a", "huvo11a", "huvo11a", "dele69a", "dele69a", "dele69a"], &plan, record)?;
    let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", DEADLINE.as_millis().to_string())];
    let mut violations = Vec::new();
    for number in 1..=5_u64 {
        let other = if has_trouble { number } else { 100 + number };
        let mut sent = Vec::new();
        for (prefix, id, spec) in [("/lohu930/", number, "ms=400 cpu=1000 first"), ("/pufi791/", other, "ms=300 cpu=1000 second")] {
            let path = format!("{prefix}{id:016x}");
            let body = format!(
                "{{\"spec\":\"{spec}\",\"best_effort\":true,\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":400}}]}}"
            );
            record.line(format!("client POST {path} spec={spec:?}"));
            let pending = http::send(site.callers_at(0), "POST", &path, &headers, &body, DEADLINE);
            sent.push((path, id, spec, pending.map_err(|error| error.to_string())?));
            std::thread::sleep(Duration::from_millis(50));
        }
        for (path, id, spec, pending) in sent {
            let answer = pending.answer();
            record.line(format!("client POST {path} answer={answer:?}"));
            let is_succeeded = matches!(&answer, Ok((200, body)) if body.contains("succeeded"));
            let prefix = format!("{id:016x}.");
            let done = record.runs().iter().filter(|run| run.task.starts_with(&prefix) && run.spec == spec && run.how == "done").count();
            if is_succeeded && done < 2 {
                violations.push(format!("MIXED: POST {path} was answered as succeeded, and {done} of its 2 tasks have ended done"));
            }
        }
    }
    Ok(violations)
}
