//! The decode pace of an engine: the interval between stream events without interference.

use std::time::Duration;

use cranberryvalve_core::PaceStep;

/// Number of steps above the pool's fast engines from which an engine counts as slow: about 15 %.
const MIN_SLOW_STEPS: PaceStep = 3;

/// Ratio of a step to the one before.
const STEP_RATIO: f64 = 1.05;

/// Largest step, which stands for hours; those that other VMs send are cut to it.
const MAX_STEP: PaceStep = 500;

/// Maximum slowness that is assumed for prefill. A higher value only means that the engine's
/// streams were never free of interference.
const MAX_SLOWNESS: f64 = 1.5;

/// Maximum slowness in pools with measured engines, whose speeds differ more: the largest error of one
/// response that counts when prefill times are learned.
const MAX_MEASURED_SLOWNESS: f64 = 4.0;

/// Number of times that a new pace is sent to each neighbour, in case a message is lost.
const SENDS_PER_UPDATE: u32 = 2;

/// Shortest typical interval between two events of a stream, over all streams of all VMs.
///
/// The value only decreases, and VMs exchange it, so they come to agree on it. Taking the minimum
/// over all streams leaves out the delay that other prompts add.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecodePace {
    step: Option<PaceStep>,
    /// Number of times that the pace still has to be sent to the neighbours.
    sends_left: u32,
}

impl DecodePace {
    /// Records the typical interval between two events of a stream.
    pub(super) fn record(&mut self, gap: Duration) {
        let steps = (gap.as_secs_f64() * 1.0e6).max(1.0).ln() / STEP_RATIO.ln();
        self.merge(steps as PaceStep);
    }

    /// Adopts `step` if it is shorter than the known pace, whether this VM or another one measured
    /// it.
    pub(super) fn merge(&mut self, step: PaceStep) {
        let step = step.min(MAX_STEP);
        if self.step.is_none_or(|it| step < it) {
            *self = Self { step: Some(step), sends_left: SENDS_PER_UPDATE };
        }
    }

    /// Returns the pace, or `None` before any stream has been measured.
    pub(super) const fn step(&self) -> Option<PaceStep> {
        self.step
    }

    /// Returns the interval that the pace stands for.
    pub(super) fn gap(&self) -> Option<Duration> {
        let gap_us = STEP_RATIO.powi(i32::from(self.step?));
        Some(Duration::from_secs_f64(gap_us / 1.0e6))
    }

    /// Returns the pace if it still has to be sent to the neighbours, and counts this as one time.
    pub(super) fn take_update(&mut self) -> Option<PaceStep> {
        self.sends_left = self.sends_left.checked_sub(1)?;
        self.step
    }

    /// Returns the factor by which the engine is slower than the `fast` engines of its pool, at
    /// most [`MAX_SLOWNESS`], or [`MAX_MEASURED_SLOWNESS`] in pools with measured engines; 1 if it isn't
    /// slow or a pace is unknown.
    pub(super) fn slowness(&self, fast: Option<PaceStep>, is_measured: bool) -> f64 {
        let max = if is_measured { MAX_MEASURED_SLOWNESS } else { MAX_SLOWNESS };
        match (self.step, fast) {
            (Some(own), Some(fast)) if own >= fast + MIN_SLOW_STEPS => {
                STEP_RATIO.powi(i32::from(own - fast)).min(max)
            }
            _ => 1.0,
        }
    }

    /// Returns `true` if the engine is slow compared with the `fast` engines of its pool.
    pub(super) fn is_slow(&self, fast: Option<PaceStep>) -> bool {
        self.slowness(fast, false) > 1.0
    }
}

/// Returns the pace that a quarter of the engines reach, so that no single outlier decides.
pub(super) fn fast_step(paces: impl Iterator<Item = DecodePace>) -> Option<PaceStep> {
    let mut steps: Vec<PaceStep> = paces.filter_map(|it| it.step()).collect();
    steps.sort_unstable();
    steps.get(steps.len() / 4).copied()
}
