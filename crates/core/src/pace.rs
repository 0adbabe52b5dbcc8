//! Decode paces of upstreams, as exchanged between VMs.

use serde::Deserialize;
use serde::Serialize;

/// Hash that identifies one run of an upstream, from its start to its stop; the same on all VMs.
///
/// It has only 32 bits because the paces of hundreds of upstreams are sent to all VMs. Among 1,000
/// upstreams, two share a hash with a probability of 1 in 10,000. They would then share one pace,
/// and with it a lane: the group of engines for long or for short prompts.
pub type IncarnationHash = u32;

/// Typical time between two events of a stream, on a logarithmic scale with steps of 5 %.
///
/// Because of the steps, all VMs arrive at the same value, however many VMs forwarded it.
pub type PaceStep = u16;

/// Decode pace of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamPace {
    /// Hash of the run of the upstream.
    pub upstream: IncarnationHash,
    /// Shortest typical time between two events that any VM has measured.
    pub step: PaceStep,
}
