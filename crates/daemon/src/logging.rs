//! Logging: one line of key=value pairs per event, on standard output. A slow reader of the output never blocks the daemon.
//! Lines are dropped instead, and the number of dropped lines is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};

/// Maximum number of lines queued for the writing thread. This is several times the number of lines that a daemon, with its
/// share of a core, can log in one [`WRITE_INTERVAL`].
const QUEUED_LINES_MAX: usize = 4_096;
/// Delay between two batches of the writing thread. Without it the thread would be woken for each line, which costs a small
/// host more than writing the line.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a process exits, so that its last lines are still written.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Queues formatted lines for the writing thread and counts those dropped because the queue is full.
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

/// Initializes the logging of a daemon. The filter is taken from `RUST_LOG`; the default is the level `info` without the
/// lines of the HTTP libraries. A second call has no effect.
pub fn init_logging() {
    let (lines, queued) = sync_channel(QUEUED_LINES_MAX);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LineQueue { lines, dropped: dropped.clone() };
    let started = std::thread::Builder::new().name("log-writer".to_owned()).spawn(move || write_lines(&queued, &dropped));
    let mut builder = log_builder();
    if started.is_ok() {
        builder.target(Target::Pipe(Box::new(queue)));
    }
    let _ = builder.try_init();
}

/// Gives the writing thread time to write the lines logged so far. Call it last in a daemon's `main`.
pub fn finish_logging() {
    std::thread::sleep(FLUSH_DELAY);
}

/// Initializes the logging of a command. It logs to standard error because its results go to standard output.
pub fn init_command_logging() {
    let _ = log_builder().target(Target::Stderr).try_init();
}

fn log_builder() -> Builder {
    let filter = Env::default().default_filter_or("info,rocket=off,_=off,hyper=off,h2=off");
    let mut builder = Builder::from_env(filter);
    builder.format(|buffer, record| {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(buffer, "unix_ms={} level={level} {}", time.as_millis(), record.args())
    });
    builder
}

fn write_lines(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = queued.recv() {
        let mut batch = line;
        queued.try_iter().for_each(|line| batch.extend_from_slice(&line));
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let line = format!("unix_ms={} level=warn event=log_lines_dropped count={count}\n", time.as_millis());
            batch.extend_from_slice(line.as_bytes());
        }
        // An error is ignored: if standard output is closed, there is nowhere to report it.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        std::thread::sleep(WRITE_INTERVAL);
    }
}
