//! Admission control for jobs.
//!
//! A job is refused before any of its tasks starts if no worker can ever run it, if it cannot meet its deadline, or if
//! the queue is full.

use std::time::Duration;

use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{CallRefusal, RefusalCode};
use vanillacleat_core::units::Millis;

/// Delay after which a refused caller should retry if the wait cannot be estimated.
const RETRY_AFTER_DEFAULT: Millis = Millis(1_000);

/// Share of the deadline that a job's estimated duration may use.
const DEADLINE_SHARE: f64 = 0.75;

/// The state of the queue and workers from which a new job's admission is decided.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView {
    /// Whether some known worker serves the service.
    pub is_served: bool,
    /// Whether every task of the job fits the total capacity of some worker.
    pub can_ever_run: bool,
    /// Tasks of all services that wait at this entry.
    pub waiting: usize,
    /// Tasks of the service that wait at this entry.
    pub waiting_for_service: usize,
    /// Maximum number of tasks that may wait.
    pub queue_limit: usize,
    /// This entry's share of the service's slots.
    pub slots: f64,
    /// Mean run time of the service's tasks; absent until enough runs have been measured.
    pub mean_run: Option<Duration>,
    /// Run time that few of the service's tasks exceed; absent until enough runs have been measured.
    pub tail_run: Option<Duration>,
}

impl AdmissionView {
    /// Estimates how long a job of `tasks` tasks would take: the wait until its last task starts, plus a long run of that
    /// task.
    ///
    /// Returns `None` while the run times are unknown or the service has no slots.
    pub fn estimate(&self, tasks: usize) -> Option<Duration> {
        if self.slots <= 0.0 {
            return None;
        }
        let mean_runs_until_start = (self.waiting_for_service + tasks - 1) as f64 / self.slots;
        Some(self.mean_run?.mul_f64(mean_runs_until_start) + self.tail_run?)
    }

    /// Returns the refusal if the job must not be admitted.
    pub fn refusal(&self, spec: &JobSpec) -> Option<CallRefusal> {
        if !self.is_served {
            let detail = format!("no upstream of service {} is known", spec.service);
            return Some(CallRefusal::new(RefusalCode::ServiceUnknown, detail).retry_after(RETRY_AFTER_DEFAULT));
        }
        if !self.can_ever_run {
            return Some(CallRefusal::new(RefusalCode::NeverRunnable, "no worker could ever hold a task of the job"));
        }
        let estimate = self.estimate(spec.tasks.len());
        if self.waiting + spec.tasks.len() > self.queue_limit {
            let wait = estimate.map_or(RETRY_AFTER_DEFAULT, Millis::from_duration);
            return Some(CallRefusal::new(RefusalCode::Overloaded, "the queue is full").retry_after(wait));
        }
        let duration_max = spec.deadline_ms.to_duration().mul_f64(DEADLINE_SHARE);
        let excessive = estimate.filter(|estimate| *estimate > duration_max)?;
        let detail = format!("the job would take {} ms", excessive.as_millis());
        let wait = Millis::from_duration(excessive - duration_max).max(Millis(100));
        Some(CallRefusal::new(RefusalCode::DeadlineInfeasible, detail).retry_after(wait))
    }
}
