//! Merges the logs of several processes into the timeline of one request.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use error_stack::{Report, ResultExt};

use crate::operators::{CommandError, CommandResult};

/// Events that do not name a request but may explain what happened to it.
const CONTEXT_EVENTS: [&str; 21] = [
    "agent_expired",
    "agent_found",
    "agent_lost",
    "agent_started",
    "drain_started",
    "entry_found",
    "entry_lost",
    "lease_lapsed",
    "load_changed",
    "log_lines_dropped",
    "plan_taken",
    "process_started",
    "slow_workers",
    "stalled",
    "store_back",
    "store_lost",
    "strangers_stopped",
    "worker_crashed",
    "worker_found",
    "worker_lost",
    "worker_silent",
];
/// Time before the first line of a request from which context events are included, in milliseconds.
const CONTEXT_BEFORE_MS: u64 = 2_000;

/// One line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Name of the log that the line was read from.
    pub source: String,
    /// Time at which the line was written, in Unix milliseconds.
    pub unix_ms: u64,
    /// The complete line.
    pub text: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it has no `unix_ms` field.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let unix_ms = find_field(text, "unix_ms")?.parse().ok()?;
        Some(Self { source: source.to_owned(), unix_ms, text: text.trim_end().to_owned() })
    }

    fn is_context(&self) -> bool {
        find_field(&self.text, "event").is_some_and(|event| CONTEXT_EVENTS.contains(&event))
    }
}

/// Returns the lines that contain `id`, marked with an asterisk, and the context events around them, marked with a dot. They
/// are ordered by time and show the time since the first line that contains `id`. Returns nothing if no line contains it.
pub fn build_timeline(id: &str, mut lines: Vec<LogLine>) -> Vec<String> {
    lines.sort_by_key(|line| line.unix_ms);
    let has_id = |line: &&LogLine| contains_id(&line.text, id);
    let (first, last) = (lines.iter().find(has_id), lines.iter().rev().find(has_id));
    let (Some(first), Some(last)) = (first, last) else {
        return Vec::new();
    };
    let span = first.unix_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.unix_ms;
    let shown = lines.iter().filter(|line| contains_id(&line.text, id) || (line.is_context() && span.contains(&line.unix_ms)));
    let start_ms = first.unix_ms as i64;
    shown
        .map(|line| {
            let marker = if contains_id(&line.text, id) { '*' } else { '.' };
            let event = line.text.find("event=").map_or(line.text.as_str(), |at| &line.text[at..]);
            format!("{marker} {:>7} ms {} {event}", line.unix_ms as i64 - start_ms, line.source)
        })
        .collect()
}

/// Returns whether `text` contains `id` as a whole word, and not as a part of a longer id.
fn contains_id(text: &str, id: &str) -> bool {
    let is_part = |character: Option<char>| character.is_some_and(|character| character.is_ascii_alphanumeric() || character == '-');
    text.match_indices(id).any(|(at, _)| {
        let (before, after) = (text[..at].chars().next_back(), text[at + id.len()..].chars().next());
        !is_part(before) && !is_part(after)
    })
}

/// Prints the timeline of the request `id` from the log files, or from standard input if there are none.
pub fn explain(id: &str, files: &[PathBuf]) -> CommandResult {
    let timeline = build_timeline(id, read_logs(files)?);
    if timeline.is_empty() {
        return Err(Report::new(CommandError::File).attach_printable(format!("no log line contains {id:?}")));
    }
    timeline.iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// Reads log files, or standard input if there are none.
pub(crate) fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, Report<CommandError>> {
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
    Ok(lines)
}

fn read_lines(source: &str, reader: impl Read, lines: &mut Vec<LogLine>) -> CommandResult {
    for line in BufReader::new(reader).lines() {
        let line = line.change_context(CommandError::File)?;
        lines.extend(LogLine::parse(source, &line));
    }
    Ok(())
}

/// Returns the value of `key` in a line of `key=value` pairs.
pub(crate) fn find_field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    text.split_whitespace().find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}
