//! Refuses what can never run, what cannot be on time, and what does not fit the queue, before anything starts.

use std::time::Duration;

use vanillacleat_core::job::JobSpec;
use vanillacleat_core::outcome::{CallRefusal, RefusalCode};
use vanillacleat_core::units::Millis;

/// Time to come back when the wait is not known.
const RETRY_AFTER_DEFAULT: Millis = Millis(1_000);

/// Share of the deadline within which a job's estimate must fall.
const DEADLINE_SHARE: f64 = 0.75;

/// An `AdmissionView` is the state of the queue that a new job would join.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView {
    /// Whether any worker that serves the service is known.
    pub is_served: bool,
    /// Whether every task of the job fits some worker.
    pub can_ever_run: bool,
    /// Tasks that wait at this entry.
    pub waiting: usize,
    /// Tasks of the service that wait at this entry.
    pub waiting_for_service: usize,
    /// Most tasks that may wait.
    pub queue_limit: usize,
    /// Slots of the service that fall to this entry.
    pub slots: f64,
    /// Mean run time of the service's tasks, once learnt.
    pub mean_run: Option<Duration>,
    /// Run time that few tasks exceed, once learnt.
    pub tail_run: Option<Duration>,
}

impl AdmissionView {
    /// Returns how long a job of `tasks` tasks would take, once run times are learnt: until its last task starts,
    /// and then a long run.
    pub fn estimate(&self, tasks: usize) -> Option<Duration> {
        if self.slots <= 0.0 {
            return None;
        }
        let until_start = (self.waiting_for_service + tasks - 1) as f64 / self.slots;
        Some(self.mean_run?.mul_f64(until_start) + self.tail_run?)
    }

    /// Returns why the job is refused, if it is.
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
        let deadline = spec.deadline_ms.to_duration().mul_f64(DEADLINE_SHARE);
        let late = estimate.filter(|estimate| *estimate > deadline)?;
        let detail = format!("the job would take {} ms", late.as_millis());
        let wait = Millis::from_duration(late - deadline).max(Millis(100));
        Some(CallRefusal::new(RefusalCode::DeadlineInfeasible, detail).retry_after(wait))
    }
}
