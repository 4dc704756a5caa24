//! The story of one request, in order, from the logs of all processes.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use error_stack::{Report, ResultExt};

use crate::operators::{CommandError, CommandResult};

/// Events that may explain what happened to a request although they don't name it.
const CONTEXT_EVENTS: [&str; 14] = [
    "agent_found",
    "agent_lost",
    "drain_started",
    "entry_lost",
    "log_lines_dropped",
    "plan_taken",
    "process_started",
    "slow_workers",
    "store_back",
    "store_lost",
    "strangers_stopped",
    "worker_found",
    "worker_lost",
    "worker_silent",
];
/// Time before a request's first line from which context is shown, in milliseconds.
const CONTEXT_BEFORE_MS: u64 = 2_000;

/// A `LogLine` is one line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Where the line was read.
    pub source: String,
    /// When it was written, in Unix milliseconds.
    pub unix_ms: u64,
    /// The line.
    pub text: String,
}

impl LogLine {
    /// Returns the line, or nothing for one without a time.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let unix_ms = find_value(text, "unix_ms")?.parse().ok()?;
        Some(Self { source: source.to_owned(), unix_ms, text: text.trim_end().to_owned() })
    }

    fn is_context(&self) -> bool {
        find_value(&self.text, "event").is_some_and(|event| CONTEXT_EVENTS.contains(&event))
    }
}

/// Returns the lines that name `id` and, marked with a dot, what else happened around them, in order of time.
pub fn tell_story(id: &str, mut lines: Vec<LogLine>) -> Vec<String> {
    lines.sort_by_key(|line| line.unix_ms);
    let named = |line: &&LogLine| line.text.contains(id);
    let (first, last) = (lines.iter().find(named), lines.iter().rev().find(named));
    let (Some(first), Some(last)) = (first, last) else {
        return Vec::new();
    };
    let span = first.unix_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.unix_ms;
    let told = lines.iter().filter(|line| line.text.contains(id) || (line.is_context() && span.contains(&line.unix_ms)));
    let start = first.unix_ms as i64;
    told.map(|line| {
        let mark = if line.text.contains(id) { '*' } else { '.' };
        let event = line.text.find("event=").map_or(line.text.as_str(), |at| &line.text[at..]);
        format!("{mark} {:>7} ms {} {event}", line.unix_ms as i64 - start, line.source)
    })
    .collect()
}

/// Prints the story of `id` from the files, or from standard input where there are none.
pub fn explain(id: &str, files: &[PathBuf]) -> CommandResult {
    let mut lines = Vec::new();
    for file in files {
        let source = file.file_stem().map_or_else(|| file.display().to_string(), |stem| stem.to_string_lossy().into_owned());
        let reader =
            std::fs::File::open(file).change_context(CommandError::File).attach_printable_lazy(|| format!("file={}", file.display()))?;
        read_lines(&source, reader, &mut lines)?;
    }
    if files.is_empty() {
        read_lines("stdin", std::io::stdin(), &mut lines)?;
    }
    let story = tell_story(id, lines);
    if story.is_empty() {
        return Err(Report::new(CommandError::File).attach_printable(format!("no line names {id:?}")));
    }
    story.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn read_lines(source: &str, reader: impl Read, lines: &mut Vec<LogLine>) -> CommandResult {
    for line in BufReader::new(reader).lines() {
        let line = line.change_context(CommandError::File)?;
        lines.extend(LogLine::parse(source, &line));
    }
    Ok(())
}

fn find_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    text.split_whitespace().find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
