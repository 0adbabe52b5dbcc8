//! How fast an engine generates when nothing disturbs it.

use std::time::Duration;

use cranberryvalve_core::PaceStep;

/// Steps beyond the pool's fast engines from which an engine is slow: about 15 %.
const SLOW_STEPS: PaceStep = 3;

/// Ratio of a step to the one before.
const STEP_RATIO: f64 = 1.05;

/// Slowness beyond which a pace says nothing of reading: its streams never ran undisturbed.
const MAX_SLOWNESS: f64 = 1.5;

/// Times that news of a pace is told to each neighbour, in case a message is lost.
const TOLD_TIMES: u32 = 2;

/// Shortest typical time between two events of a stream, over all streams of all VMs.
///
/// It only falls, and VMs tell it to each other, so that they come to agree on it: the least of all
/// streams leaves out what other prompts add.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EnginePace {
    step: Option<PaceStep>,
    /// Times that it is still to be told.
    news_left: u32,
}

impl EnginePace {
    /// Takes the typical time between two events of a stream.
    pub(super) fn record(&mut self, gap: Duration) {
        let steps = (gap.as_secs_f64() * 1.0e6).max(1.0).ln() / STEP_RATIO.ln();
        self.learn(steps as PaceStep);
    }

    /// Takes what a VM saw, this one or another.
    pub(super) fn learn(&mut self, step: PaceStep) {
        if self.step.is_none_or(|it| step < it) {
            *self = Self { step: Some(step), news_left: TOLD_TIMES };
        }
    }

    /// The pace; none before there was a stream.
    pub(super) const fn step(&self) -> Option<PaceStep> {
        self.step
    }

    /// The time that the pace stands for.
    pub(super) fn gap(&self) -> Option<Duration> {
        let gap_us = STEP_RATIO.powi(i32::from(self.step?));
        Some(Duration::from_secs_f64(gap_us / 1.0e6))
    }

    /// The pace if the neighbours are still to be told of it; counts this time.
    pub(super) fn take_news(&mut self) -> Option<PaceStep> {
        self.news_left = self.news_left.checked_sub(1)?;
        self.step
    }

    /// How many times longer the engine takes than the `fast` ones of its pool; 1 unless it is slow.
    pub(super) fn slowness(&self, fast: Option<PaceStep>) -> f64 {
        match (self.step, fast) {
            (Some(own), Some(fast)) if own >= fast + SLOW_STEPS => {
                STEP_RATIO.powi(i32::from(own - fast)).min(MAX_SLOWNESS)
            }
            _ => 1.0,
        }
    }

    /// Whether the engine is slow against the `fast` ones of its pool.
    pub(super) fn is_slow(&self, fast: Option<PaceStep>) -> bool {
        self.slowness(fast) > 1.0
    }
}

/// The pace that a quarter of the engines reach; an outlier among them does not decide.
pub(super) fn fast_step(paces: impl Iterator<Item = EnginePace>) -> Option<PaceStep> {
    let mut steps: Vec<PaceStep> = paces.filter_map(|it| it.step()).collect();
    steps.sort_unstable();
    steps.get(steps.len() / 4).copied()
}
