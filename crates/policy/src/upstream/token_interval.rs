//! Pace of an upstream, for telling stragglers from their peers.

use std::time::Duration;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Samples that are needed before the average counts.
const MIN_SAMPLES: u32 = 3;

/// Exponentially weighted moving average of the time between tokens.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    mean_ms: f64,
    samples: u32,
}

impl Pace {
    /// Adds a sample.
    pub(crate) fn record(&mut self, interval: Duration) {
        let sample_ms = interval.as_secs_f64() * 1_000.0;
        if self.samples == 0 {
            self.mean_ms = sample_ms;
        } else {
            self.mean_ms += SAMPLE_WEIGHT * (sample_ms - self.mean_ms);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// The average in milliseconds; none before there are enough samples.
    pub(crate) fn mean_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_ms)
    }
}
