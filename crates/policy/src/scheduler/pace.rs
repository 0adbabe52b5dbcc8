//! How fast an engine generates when nothing disturbs it.

use std::time::Duration;

/// Ratio of two engines' shortest times between events from which one of them is slow.
const SLOW_RATIO: f64 = 1.15;

/// Streams that are needed before an engine's pace counts.
const MIN_STREAMS: u32 = 3;

/// Weight of a new stream in the average.
const STREAM_WEIGHT: f64 = 0.2;

/// Average over streams of the shortest time between two events of a stream.
///
/// The shortest time leaves out pauses for the prompts of others, so that it tells the engine's own
/// speed.
#[derive(Debug, Default)]
pub(super) struct EnginePace {
    mean: Duration,
    streams: u32,
}

impl EnginePace {
    /// Adds a stream's shortest time between two events.
    pub(super) fn record(&mut self, shortest: Duration) {
        self.mean = if self.streams == 0 {
            shortest
        } else {
            self.mean.mul_f64(1.0 - STREAM_WEIGHT) + shortest.mul_f64(STREAM_WEIGHT)
        };
        self.streams = self.streams.saturating_add(1);
    }

    /// The average; none before there are enough streams.
    pub(super) fn shortest(&self) -> Option<Duration> {
        (self.streams >= MIN_STREAMS).then_some(self.mean)
    }

    /// Whether the engine is slow against the `best` of its pool.
    pub(super) fn is_slow(&self, best: Option<Duration>) -> bool {
        match (self.shortest(), best) {
            (Some(own), Some(best)) => own > best.mul_f64(SLOW_RATIO),
            _ => false,
        }
    }
}
