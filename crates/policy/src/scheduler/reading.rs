//! How long prompts take against the estimate of their reading, learned from answers.

use std::time::Duration;

/// Shortest expected time that tells something of the reading of prompts.
const MIN_EXPECTED: Duration = Duration::from_millis(20);

/// Share of an error by which the ratio follows it: about ten answers to learn a new rate.
const GAIN: f64 = 0.1;

/// Largest error of one answer that counts, as a ratio: an engine that stands still says nothing
/// of reading.
const MAX_ERROR: f64 = 4.0;

/// Bounds of the learned ratio.
const RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.5..=3.0;

/// Ratio of the real to the estimated time until a pool's engines have read a prompt.
///
/// Every answer moves it by a small share of its own error (least mean squares on the logarithm;
/// Widrow and Hoff, 1960), so that it comes to the geometric mean of what the estimate leaves out:
/// another reading rate, the tokens generated between two chunks, and prompts of other VMs that
/// were not told yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadingRatio(f64);

impl Default for ReadingRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl ReadingRatio {
    /// The ratio.
    pub(super) const fn get(self) -> f64 {
        self.0
    }

    /// Learns from one answer.
    pub(super) fn learn(&mut self, expected: Duration, observed: Duration) {
        if expected < MIN_EXPECTED {
            return;
        }
        let error = observed.as_secs_f64() / expected.as_secs_f64();
        let error = error.clamp(1.0 / MAX_ERROR, MAX_ERROR);
        self.0 = (self.0 * error.powf(GAIN)).clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
    }
}
