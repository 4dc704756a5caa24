//! Logs: one line of key=value pairs for each event, on standard output. A reader that falls behind costs lines, which
//! are counted, and never time.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

use env_logger::{Builder, Env, Target};

/// Lines that may wait for the writer; several times what a host's share of a core can write in a pause.
const WAITING_LINES_MAX: usize = 4_096;
/// Pause of the writer between two batches. A writer that waits for each line is woken for each, which costs a small host
/// more than the line does.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time given to the last lines before a process ends.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// A `LineQueue` takes formatted lines and hands them to the writing thread.
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(bytes.to_vec()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a daemon's logging at the level of `RUST_LOG`, or at `info`. A second call has no effect.
pub fn init_logging() {
    let (lines, waiting) = sync_channel(WAITING_LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LineQueue { lines, dropped: dropped.clone() };
    let started = std::thread::Builder::new().name("log-writer".to_owned()).spawn(move || write_lines(&waiting, &dropped));
    let mut builder = make_builder();
    if started.is_ok() {
        builder.target(Target::Pipe(Box::new(queue)));
    }
    let _ = builder.try_init();
}

/// Waits until the lines logged so far are written. To be called last in a daemon's program.
pub fn finish_logging() {
    std::thread::sleep(FLUSH_TIME);
}

/// Starts the logging of a command, whose results go to standard output: its lines go to standard error.
pub fn init_command_logging() {
    let _ = make_builder().target(Target::Stderr).try_init();
}

fn make_builder() -> Builder {
    let filter = Env::default().default_filter_or("info,rocket=off,_=off,hyper=off,h2=off");
    let mut builder = Builder::from_env(filter);
    builder.format(|buffer, record| {
        let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(buffer, "unix_ms={} level={level} {}", at.as_millis(), record.args())
    });
    builder
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = waiting.recv() {
        let mut batch = line;
        waiting.try_iter().for_each(|line| batch.extend_from_slice(&line));
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("level=warn event=log_lines_dropped count={lost}\n").as_bytes());
        }
        // A closed standard output leaves nobody to tell.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        std::thread::sleep(WRITE_PAUSE);
    }
}
