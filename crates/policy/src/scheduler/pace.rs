//! How fast an engine generates when nothing disturbs it.

use std::time::Duration;

/// Ratio to the pool's fast engines from which an engine is slow.
const SLOW_RATIO: f64 = 1.15;

/// Shortest typical time between two events of a stream, over all streams of all VMs.
///
/// It only falls, and VMs tell it to each other, so that they come to agree on it: the least of all
/// streams leaves out what other prompts add.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EnginePace(Option<Duration>);

impl EnginePace {
    /// Takes the typical time between two events of a stream, or what another VM knows.
    pub(super) fn record(&mut self, gap: Duration) {
        self.0 = Some(self.0.map_or(gap, |it| it.min(gap)));
    }

    /// The shortest time; none before there was a stream.
    pub(super) const fn gap(&self) -> Option<Duration> {
        self.0
    }

    /// Whether the engine is slow against the `fast` ones of its pool.
    pub(super) fn is_slow(&self, fast: Option<Duration>) -> bool {
        match (self.0, fast) {
            (Some(own), Some(fast)) => own > fast.mul_f64(SLOW_RATIO),
            _ => false,
        }
    }
}

/// The pace that a quarter of the engines reach; an outlier among them does not decide.
pub(super) fn fast_gap(paces: impl Iterator<Item = EnginePace>) -> Option<Duration> {
    let mut gaps: Vec<Duration> = paces.filter_map(|it| it.gap()).collect();
    gaps.sort_unstable();
    gaps.get(gaps.len() / 4).copied()
}
