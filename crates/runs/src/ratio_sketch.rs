//! Quantiles of how long runs take relative to their expected run time.

use hdrhistogram::Histogram;

/// Lowest and highest ratio that is recorded, in percent. Others are clamped.
const PERCENT_MIN: u64 = 1;
/// See [`PERCENT_MIN`].
const PERCENT_MAX: u64 = 10_000;
/// Significant decimal digits of a recorded ratio.
const DIGITS: u8 = 2;
/// Number of ratios after which the older half of the sketch is dropped.
const WINDOW: u64 = 128;

/// Holds the quantiles of the last 128 to 256 ratios. Outliers change only the outermost ones.
#[derive(Clone, Debug)]
pub struct RatioSketch {
    recent: Histogram<u32>,
    former: Histogram<u32>,
}

impl Default for RatioSketch {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(PERCENT_MIN, PERCENT_MAX, DIGITS).expect("the bounds are valid");
        Self { recent: empty.clone(), former: empty }
    }
}

impl RatioSketch {
    /// Records a ratio. One that is not a number is ignored.
    pub fn record(&mut self, ratio: f64) {
        self.record_many(ratio, 1);
    }

    /// Records a ratio `count` times.
    pub fn record_many(&mut self, ratio: f64, count: u32) {
        if ratio.is_nan() {
            return;
        }
        if self.recent.len() >= WINDOW {
            std::mem::swap(&mut self.recent, &mut self.former);
            self.recent.reset();
        }
        let percent = (ratio * 100.0).round() as u64;
        self.recent.saturating_record_n(percent.clamp(PERCENT_MIN, PERCENT_MAX), count);
    }

    /// Returns the number of ratios that the quantiles are computed from.
    pub fn count(&self) -> u64 {
        self.recent.len() + self.former.len()
    }

    /// Returns these quantiles in percent, or `None` while nothing is recorded.
    pub fn percents_at<const N: usize>(&self, quantiles: [f64; N]) -> Option<[u32; N]> {
        if self.count() == 0 {
            return None;
        }
        let mut all = self.recent.clone();
        all.add(&self.former).ok()?;
        Some(quantiles.map(|quantile| all.lowest_equivalent(all.value_at_quantile(quantile)) as u32))
    }

    /// Returns the median ratio, or `None` while nothing is recorded.
    pub fn median(&self) -> Option<f64> {
        self.percents_at([0.5]).map(|[median]| f64::from(median) / 100.0)
    }
}
