//! Learns how long prefills take, relative to their estimates, from observed responses.

use std::time::Duration;

/// Minimum estimate for an observation to be used; shorter ones say little about prefill.
const MIN_ESTIMATE: Duration = Duration::from_millis(20);

/// Fraction of an error by which the ratio is corrected: it takes about ten responses to learn a
/// new prefill rate.
const LEARNING_RATE: f64 = 0.1;

/// Maximum error of one response that counts, as a ratio. An engine that is stalled says nothing
/// about prefill.
const MAX_ERROR_RATIO: f64 = 4.0;

/// Bounds of the learned ratio.
const RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.5..=3.0;

/// Ratio of the observed to the estimated time until a pool's engines have prefilled a prompt.
///
/// Every response moves the ratio by a small fraction of its own error (least mean squares on the
/// logarithm; Widrow and Hoff, 1960). The ratio thus converges to the geometric mean of what the
/// estimate leaves out: another prefill rate, tokens that are generated between two chunks, and
/// prompts of other VMs that have not been reported yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillRatio(f64);

impl Default for PrefillRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl PrefillRatio {
    /// Returns the learned ratio.
    pub(super) const fn get(self) -> f64 {
        self.0
    }

    /// Updates the ratio from one response; ignored if the estimate is too short to be useful.
    pub(super) fn update(&mut self, expected: Duration, observed: Duration) {
        if expected < MIN_ESTIMATE {
            return;
        }
        let error = observed.as_secs_f64() / expected.as_secs_f64();
        let error = error.clamp(1.0 / MAX_ERROR_RATIO, MAX_ERROR_RATIO);
        self.0 =
            (self.0 * error.powf(LEARNING_RATE)).clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
    }
}
