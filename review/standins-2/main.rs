//! The scripts of the second review: `cases NAME DIRECTORY` plays a case and writes `record.txt` into the directory. The variable
//! `TROUBLE`, if it is 0, leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod foreign;
mod http;
mod json;
mod late_start;
mod long_after;
mod record;
mod site;
mod store;
mod twice;
mod worker;

use std::path::Path;
use std::time::Duration;

use record::Record;

/// A case that takes longer can't be judged.
const TIME_MAX: Duration = Duration::from_secs(112);

/// What a case has shown: the violations of its rule, or why it couldn't run.
pub type Verdict = Result<Vec<String>, String>;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, directory] = &words[..] else {
        eprintln!("usage: cases NAME DIRECTORY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let quiet = if name == "long-after" { "ms=1 " } else { "" };
    let Ok(record) = Record::create(&Path::new(directory).join("record.txt"), quiet) else {
        eprintln!("record.txt can't be written");
        std::process::exit(2);
    };
    record.line(format!("case={name} trouble={has_trouble}"));
    let (sender, verdict) = std::sync::mpsc::channel();
    let (case, case_record) = (name.clone(), record.clone());
    let thread = std::thread::spawn(move || {
        let verdict = match case.as_str() {
            "late-start" => late_start::play(has_trouble, &case_record),
            "foreign" => foreign::play(has_trouble, &case_record),
            "long-after" => long_after::play(has_trouble, &case_record),
            "twice" => twice::play(has_trouble, &case_record),
            _ => Err("no such case".to_owned()),
        };
        let _ = sender.send(verdict);
    });
    let verdict = verdict.recv_timeout(TIME_MAX).unwrap_or_else(|_| Err("the case took too long".to_owned()));
    drop(thread);
    site::end_all();
    let code = match verdict {
        Ok(violations) if violations.is_empty() => {
            record.line("the rule held");
            0
        }
        Ok(violations) => {
            violations.iter().for_each(|violation| record.line(format!("BROKEN: {violation}")));
            violations.iter().take(5).for_each(|violation| println!("{violation}"));
            1
        }
        Err(problem) => {
            record.line(format!("could not run: {problem}"));
            println!("could not run: {problem}");
            2
        }
    };
    std::process::exit(code);
}
