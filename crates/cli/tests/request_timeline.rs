//! The timeline of one request is merged from the logs of several processes.

use vanillacleat_cli::explain::{build_timeline, LogLine};

fn lines(source: &str, texts: &[&str]) -> Vec<LogLine> {
    texts.iter().filter_map(|text| LogLine::parse(source, text)).collect()
}

#[test]
fn timeline_includes_context_in_order() {
    let mut logs = lines(
        "entry-1",
        &[
            "unix_ms=1000 level=info event=job_admitted job=00000000000000ab route=bids",
            "unix_ms=1001 level=info event=run_sent run=00000000000000ab.0.0.0#1 agent=agent-2",
            "unix_ms=1500 level=info event=run_back run=00000000000000ab.0.0.0#1 agent=agent-2 outcome=Lost",
            "unix_ms=1600 level=info event=job_answered job=00000000000000cd answer=Ended(Succeeded)",
            "unix_ms=1700 level=info event=job_answered job=00000000000000ab answer=Ended(Succeeded)",
            "unix_ms=9000 level=info event=store_lost purpose=plan",
            "a line without a time",
        ],
    );
    logs.extend(lines("agent-2", &["unix_ms=1450 level=info event=worker_silent failures=4 runs=1"]));
    let timeline = build_timeline("00000000000000ab", logs);
    assert_eq!(
        timeline,
        [
            "*       0 ms entry-1 event=job_admitted job=00000000000000ab route=bids",
            "*       1 ms entry-1 event=run_sent run=00000000000000ab.0.0.0#1 agent=agent-2",
            ".     450 ms agent-2 event=worker_silent failures=4 runs=1",
            "*     500 ms entry-1 event=run_back run=00000000000000ab.0.0.0#1 agent=agent-2 outcome=Lost",
            "*     700 ms entry-1 event=job_answered job=00000000000000ab answer=Ended(Succeeded)",
        ]
    );
}

#[test]
fn timeline_of_unknown_request_is_empty() {
    assert!(build_timeline("ff", lines("entry-1", &["unix_ms=1 event=job_admitted job=ab"])).is_empty());
}

#[test]
fn timeline_leaves_out_longer_ids() {
    let logs = lines(
        "entry-1",
        &["unix_ms=1 event=job_admitted job=00ab", "unix_ms=2 event=job_admitted job=00abc", "unix_ms=3 event=x job=100ab"],
    );
    assert_eq!(build_timeline("00ab", logs), ["*       0 ms entry-1 event=job_admitted job=00ab"]);
}

#[test]
fn timeline_shows_dropped_lines() {
    let logs = lines(
        "entry-1",
        &[
            "unix_ms=1 level=info event=job_admitted job=ab",
            "unix_ms=2 level=warn event=log_lines_dropped count=7",
            "unix_ms=3 level=info event=job_answered job=ab",
        ],
    );
    assert_eq!(build_timeline("ab", logs)[1], ".       1 ms entry-1 event=log_lines_dropped count=7");
}

#[test]
fn timeline_shows_what_ended_a_run() {
    let mut logs = lines(
        "entry-1",
        &[
            "unix_ms=1000 event=job_admitted job=ab",
            "unix_ms=1001 event=run_sent run=ab.0.0.0#1 agent=agent-2 report_age_ms=90 leased_from_ms=910 idle=false",
            "unix_ms=1400 event=stalled ms=380 phase=waiting events=9",
            "unix_ms=1401 event=agent_expired agent=agent-2 runs=1 connected=true contact_age_ms=960 resumed_age_ms=1000",
            "unix_ms=1402 event=caller_disconnected job=ab waiters=0 stopped=ab.0.0.0#1 unreachable=none",
        ],
    );
    logs.extend(lines(
        "agent-2",
        &[
            "unix_ms=1002 event=run_started run=ab.0.0.0#1 entry=10.0.0.1:7260 calls=1",
            "unix_ms=1200 event=lease_lapsed entry=10.0.0.1:7260 runs=1 late_ms=3",
            "unix_ms=1200 event=stop_sent run=ab.0.0.0#1 cause=lease_lapsed calls=1",
            "unix_ms=1300 event=entry_found entry=10.0.0.2:7260 unsettled=0",
            "unix_ms=1403 event=ends_unknown runs=1 ends=ab.0.0.0#1:Done",
        ],
    ));
    let timeline = build_timeline("ab", logs);
    let shown: Vec<(&str, &str)> = timeline
        .iter()
        .map(|line| (&line[..1], line.split("event=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or_default()))
        .collect();
    assert_eq!(
        shown,
        [
            ("*", "job_admitted"),
            ("*", "run_sent"),
            ("*", "run_started"),
            (".", "lease_lapsed"),
            ("*", "stop_sent"),
            (".", "entry_found"),
            (".", "stalled"),
            (".", "agent_expired"),
            ("*", "caller_disconnected"),
            ("*", "ends_unknown"),
        ]
    );
}
