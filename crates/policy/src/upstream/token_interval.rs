//! Token interval of an upstream, used to detect stragglers.

use std::time::Duration;

/// Weight of a new sample in the moving average, between 0 and 1.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Minimum number of samples before the average is used.
const MIN_SAMPLES: u32 = 3;

/// Exponentially weighted moving average of the time between tokens.
#[derive(Debug, Default)]
pub(crate) struct TokenIntervalAverage {
    mean_ms: f64,
    sample_count: u32,
}

impl TokenIntervalAverage {
    /// Adds a sample to the average.
    pub(crate) fn record(&mut self, interval: Duration) {
        let sample_ms = interval.as_secs_f64() * 1_000.0;
        if self.sample_count == 0 {
            self.mean_ms = sample_ms;
        } else {
            self.mean_ms += SAMPLE_WEIGHT * (sample_ms - self.mean_ms);
        }
        self.sample_count = self.sample_count.saturating_add(1);
    }

    /// Returns the average in milliseconds, or `None` if there are fewer than [`MIN_SAMPLES`].
    pub(crate) fn mean_ms(&self) -> Option<f64> {
        (self.sample_count >= MIN_SAMPLES).then_some(self.mean_ms)
    }
}
