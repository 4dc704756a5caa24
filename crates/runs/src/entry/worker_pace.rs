//! How fast and how reliably a worker runs tasks, from the progress and the ends that its agent reports.

use std::time::Duration;

use vanillacleat_core::units::MonoTime;

/// Weight of the ratio of one run that is done.
const END_WEIGHT: f64 = 0.3;
/// Weight of the ratio that one report of progress predicts.
const PROGRESS_WEIGHT: f64 = 0.15;
/// Samples from which a pace is believed.
const SAMPLES_MIN: u32 = 3;
/// Age of the last sample from which a pace says nothing any more, so that the worker gets a trial.
const PACE_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Weight of one job's failure or success.
const FAULT_WEIGHT: f64 = 0.35;
/// Share of failing jobs from which a worker is left alone for a while.
const FAULT_SHARE_MAX: f64 = 0.5;
/// First and longest time for which a failing worker is left alone.
const FAULT_PAUSE_MIN: Duration = Duration::from_millis(500);
const FAULT_PAUSE_MAX: Duration = Duration::from_secs(4);

/// A `WorkerPace` is what runs at one worker tell of it. A ratio is a run time over the run time to expect.
#[derive(Clone, Debug, Default)]
pub struct WorkerPace {
    log_ratio: f64,
    samples: u32,
    sampled_at: MonoTime,
    fault_share: f64,
    pauses: u32,
    paused_until: MonoTime,
}

impl WorkerPace {
    /// Takes the ratio of a run that is done.
    pub fn note_end(&mut self, now: MonoTime, ratio: f64) {
        self.note(now, ratio, END_WEIGHT);
        self.fault_share *= 1.0 - FAULT_WEIGHT;
        self.pauses = 0;
    }

    /// Takes the ratio that a run at work will have, as far as its progress tells.
    pub fn note_progress(&mut self, now: MonoTime, ratio: f64) {
        self.note(now, ratio, PROGRESS_WEIGHT);
    }

    /// Notes that a job failed there that may be sound.
    pub fn note_fault(&mut self, now: MonoTime) {
        self.fault_share += FAULT_WEIGHT * (1.0 - self.fault_share);
        if self.fault_share >= FAULT_SHARE_MAX && now >= self.paused_until {
            let pause = (FAULT_PAUSE_MIN * 2_u32.pow(self.pauses.min(5))).min(FAULT_PAUSE_MAX);
            self.pauses += 1;
            self.paused_until = now + pause;
        }
    }

    /// Returns how many times as long as expected runs take there, or nothing while that is not known.
    pub fn slowness(&self, now: MonoTime) -> Option<f64> {
        let is_known = self.samples >= SAMPLES_MIN && now.since(self.sampled_at) < PACE_AGE_MAX;
        is_known.then(|| self.log_ratio.exp())
    }

    /// Returns whether the worker is left alone since jobs fail there.
    pub fn is_failing(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    fn note(&mut self, now: MonoTime, ratio: f64, weight: f64) {
        if now.since(self.sampled_at) >= PACE_AGE_MAX {
            self.samples = 0;
        }
        let log_ratio = ratio.clamp(0.01, 100.0).ln();
        let weight = weight.max(1.0 / f64::from(self.samples + 1));
        self.log_ratio += weight * (log_ratio - self.log_ratio);
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
    }
}
