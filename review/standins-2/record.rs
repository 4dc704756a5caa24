//! The record of what was sent, answered and run, with times in milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run of a task at a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub worker: String,
    pub task: String,
    pub number: u32,
    pub spec: String,
    pub begun_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<RunRecord>>>,
    /// Runs whose spec begins so are counted but not written line by line.
    quiet: &'static str,
}

impl Record {
    pub fn create(path: &Path, quiet: &'static str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started_at: Instant::now(), file, runs: Arc::default(), quiet })
    }

    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>7} {}", self.now(), text.as_ref());
    }

    pub fn run_started(&self, worker: &str, task: &str, number: u32, spec: &str) {
        let run = RunRecord {
            worker: worker.to_owned(),
            task: task.to_owned(),
            number,
            spec: spec.to_owned(),
            begun_ms: self.now(),
            ended_ms: None,
            how: "",
        };
        self.runs.lock().unwrap().push(run);
        if self.quiet.is_empty() || !spec.starts_with(self.quiet) {
            self.line(format!("worker={worker} started task={task} run={number} spec={spec:?}"));
        }
    }

    pub fn run_ended(&self, worker: &str, task: &str, number: u32, how: &'static str) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let run =
            runs.iter_mut().rev().find(|run| run.worker == worker && run.task == task && run.number == number && run.ended_ms.is_none());
        let Some(run) = run else { return };
        (run.ended_ms, run.how) = (Some(now), how);
        if self.quiet.is_empty() || !run.spec.starts_with(self.quiet) {
            self.line(format!("worker={worker} ended task={task} run={number} how={how}"));
        }
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.runs.lock().unwrap().clone()
    }
}
