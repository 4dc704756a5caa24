//! A job whose second step lists its first step many times in `after`, and whose second step fits no worker.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::site::{config, route, Site};
use crate::Verdict;

const HOST: &str = "nony24.example";
/// Number of the jobs, of the tasks of their first steps, and of the entries of `after`. A body stays below `max_body_bytes`.
const JOBS: u64 = 6;
const WIDTH: usize = 1_900;
const AFTER: usize = 130_000;
const JOB_DEADLINE: Duration = Duration::from_secs(90);
/// How long a usual client waits, how often one comes, and how long they are counted.
const CLIENT_DEADLINE: Duration = Duration::from_millis(1_500);
const CLIENT_INTERVAL: Duration = Duration::from_millis(250);
const COUNTED: Duration = Duration::from_secs(40);

fn long_body(after: usize) -> String {
    let list = vec!["0"; after].join(",");
    format!(
        "{{\"spec\":\"ms=1 cpu=500\",\"best_effort\":true,\"steps\":[{{\"count\":{WIDTH},\"cpu\":500,\"mem_mb\":1,\"estimate_ms\":1}},\
         {{\"count\":1,\"cpu\":64000,\"estimate_ms\":1,\"after\":[{list}]}}]}}"
    )
}

pub fn play(has_trouble: bool, record: &Record) -> Verdict {
    let plan = config(7, vec![route("r-1", HOST, "/lohu930/", "huvo11a")], &["huvo11a"]);
    let mut site = Site::start(1, &["huvo11a"; 3], &plan, record)?;
    let entry = site.callers_at(0);
    let body = long_body(if has_trouble { AFTER } else { 1 });
    if body.len() >= 262_144 {
        return Err(format!("the body has {} bytes", body.len()));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for job in 0..JOBS {
        let (body, record) = (body.clone(), record.clone());
        std::thread::spawn(move || {
            let path = format!("/lohu930/5c0e7a21d94b36{job:02x}");
            let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", JOB_DEADLINE.as_millis().to_string())];
            record.line(format!("stranger POST {path} bytes={}", body.len()));
            let answer = http::call(entry, "POST", &path, &headers, &body, JOB_DEADLINE);
            record.line(format!("stranger POST {path} answer={answer:?}"));
        });
    }
    // Until the first steps are done.
    let started_at = Instant::now();
    let first_steps = JOBS as usize * WIDTH;
    loop {
        let done = record.runs().iter().filter(|run| run.how == "done").count();
        if done >= first_steps {
            break;
        }
        if started_at.elapsed() > Duration::from_secs(20) {
            record.line(format!("the first steps are not done: {done} of {first_steps} tasks"));
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.line("the first steps are over");
    std::thread::sleep(Duration::from_secs(5));
    // Other clients: a job of one short task each, and a look at the queue.
    let answers: Arc<Mutex<Vec<(u64, u16)>>> = Arc::default();
    let begun_ms = record.now();
    let processor_before = site.entries[0].processor_seconds();
    let mut number = 0_u64;
    let counted_from = Instant::now();
    while counted_from.elapsed() < COUNTED {
        number += 1;
        let (record, answers, is_over) = (record.clone(), answers.clone(), is_over.clone());
        std::thread::spawn(move || {
            let headers = [("Host", HOST.to_owned()), ("Deadline-Ms", CLIENT_DEADLINE.as_millis().to_string())];
            let sent = record.now();
            let answer = if number % 4 == 0 {
                http::call(entry, "GET", "/lohu930/", &headers, "", CLIENT_DEADLINE)
            } else {
                let body = "{\"spec\":\"ms=100 cpu=1000\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":100}]}";
                http::call(entry, "POST", &format!("/lohu930/7a{number:014x}"), &headers, body, CLIENT_DEADLINE)
            };
            let what = if number % 4 == 0 { "GET" } else { "POST" };
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            let problem = answer.as_ref().err().map(ToString::to_string).unwrap_or_default();
            record.line(format!("client {what} number={number} sent={sent} status={status} {problem}"));
            if status != 0 && !is_over.load(Ordering::Relaxed) {
                let kind = if what == "POST" && status == 200 { 1 } else { 0 };
                answers.lock().unwrap().push((record.now(), kind));
            }
        });
        std::thread::sleep(CLIENT_INTERVAL);
    }
    std::thread::sleep(CLIENT_DEADLINE);
    is_over.store(true, Ordering::Relaxed);
    record.line(format!("the platform's check of readiness: ready={}", site.is_ready(0)));
    let until_ms = begun_ms + COUNTED.as_millis() as u64;
    let answers = answers.lock().unwrap().clone();
    let mut times: Vec<u64> = answers.iter().map(|(at, _)| *at).filter(|at| *at <= until_ms).collect();
    times.extend([begun_ms, until_ms]);
    times.sort_unstable();
    let silence = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default();
    let served = answers.iter().filter(|(_, kind)| *kind == 1).count();
    let processor = site.entries[0].processor_seconds() - processor_before;
    record.line(format!(
        "clients={number} answered={} served={served} longest_silence_ms={silence} processor_s={processor:.1} of {:.1} s",
        answers.len(),
        counted_from.elapsed().as_secs_f64()
    ));
    let mut violations = Vec::new();
    if served == 0 {
        violations.push(format!(
            "Fault: none of the {} jobs of other clients was served in {} s, and the entry used {processor:.1} s of a processor",
            number - number / 4,
            COUNTED.as_secs()
        ));
    }
    for ended in site.ended() {
        violations.push(format!("Fault: {ended}"));
    }
    Ok(violations)
}
