//! The causes of late and refused jobs are counted from the logs of entries.

use vanillacleat_cli::causes::CauseTable;
use vanillacleat_cli::explain::LogLine;

fn table(texts: &[&str]) -> CauseTable {
    let lines: Vec<LogLine> = texts.iter().filter_map(|text| LogLine::parse("entry-1", text)).collect();
    CauseTable::new(&lines)
}

#[test]
fn fates_are_counted_by_route() {
    let table = table(&[
        "unix_ms=1 event=job_admitted job=ab route=bids",
        "unix_ms=2 event=job_admitted job=cd route=bids",
        "unix_ms=3 event=job_admitted job=ef route=quotes",
        "unix_ms=4 event=job_delayed job=ab route=bids cause=returned_start late_ms=30",
        "unix_ms=5 event=job_late job=cd waited_ms=900 started=false",
        "unix_ms=6 event=job_late job=ef waited_ms=1500 started=true",
        "unix_ms=7 event=job_refused job=12 reason=strained",
    ]);
    let rows: Vec<(String, String, u64)> = table.rows().into_iter().map(|row| (row.route, row.fate, row.jobs)).collect();
    let expected = [
        ("bids", "late returned_start", 1),
        ("bids", "refused waiting", 1),
        ("quotes", "abandoned", 1),
        ("unknown", "refused strained", 1),
    ];
    assert_eq!(rows, expected.map(|(route, fate, jobs)| (route.to_owned(), fate.to_owned(), jobs)));
    assert_eq!(table.admitted().get("bids"), Some(&2));
}

#[test]
fn lines_of_other_events_count_for_nothing() {
    let table = table(&[
        "unix_ms=1 event=run_sent run=ab.0.0.0#1",
        "no time event=job_delayed job=ab cause=long_run",
        "unix_ms=2 event=job_delayed job=ab",
    ]);
    assert_eq!(table.rows(), vec![]);
}
