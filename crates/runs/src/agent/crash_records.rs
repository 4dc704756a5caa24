//! The runs that an agent's worker was running when it crashed.
//!
//! The records outlive the sessions with the entries that ordered the runs: another entry may get the job.

use std::collections::VecDeque;
use std::time::Duration;

use vanillacleat_core::run_frames::CrashedRun;
use vanillacleat_core::units::MonoTime;

/// Maximum number of records. A worker runs a few dozen tasks at once, and crashes a few times within their retention.
const RECORDS_MAX: usize = 256;
/// How long a record is retained. Callers wait for their jobs for some seconds.
const RETENTION: Duration = Duration::from_secs(60);

/// Holds the records of recent crashes, numbered in their order.
#[derive(Debug, Default)]
pub struct CrashRecords {
    records: VecDeque<(u64, MonoTime, CrashedRun)>,
    /// The runs of a worker that answers no more. Whether it has crashed is not known yet.
    suspected: Vec<CrashedRun>,
    last_number: u64,
    crash_count: u64,
}

impl CrashRecords {
    /// Adds the runs of a worker that has crashed.
    pub fn add(&mut self, now: MonoTime, runs: Vec<CrashedRun>) {
        self.crash_count += 1;
        for run in runs {
            self.last_number += 1;
            self.records.push_back((self.last_number, now, run));
        }
        let is_surplus = |records: &VecDeque<(u64, MonoTime, CrashedRun)>| {
            records.len() > RECORDS_MAX || records.front().is_some_and(|(_, at, _)| now.since(*at) >= RETENTION)
        };
        while is_surplus(&self.records) {
            self.records.pop_front();
        }
    }

    /// Keeps the runs of a worker that answers no more until it is known whether it has crashed.
    pub fn suspect(&mut self, runs: Vec<CrashedRun>) {
        self.suspected = runs;
    }

    /// Returns the runs of a silent worker.
    pub fn suspected(&self) -> &[CrashedRun] {
        &self.suspected
    }

    /// Takes the runs of a silent worker, which has crashed or answers again.
    pub fn take_suspected(&mut self) -> Vec<CrashedRun> {
        std::mem::take(&mut self.suspected)
    }

    /// Returns the number of crashes so far.
    pub fn crash_count(&self) -> u64 {
        self.crash_count
    }

    /// Returns the number of the last record.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the records after that of a number.
    pub fn since(&self, number: u64) -> Vec<CrashedRun> {
        self.records.iter().filter(|(other, _, _)| *other > number).map(|(_, _, run)| run.clone()).collect()
    }
}
