//! Upstreams that fail if they have to refuse too many requests for want of room.
//!
//! A refusal of a brittle upstream shows that it is full. All VMs then leave it alone for so long that
//! it refuses at most half as many requests a second as it bears: each VM that is refused tells the
//! others. So that they do not all come back with more than there is room for, each VM halves the
//! number of requests that it has in flight there with each refusal, and raises it slowly while
//! requests are served (additive increase, multiplicative decrease: Chiu and Jain, 1989).

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::MAX_REFUSAL_RECEIVERS;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamRefusal;

use super::Scheduler;
use super::upstream::Upstream;

/// Time for which the upstreams of a pool count as brittle after one has said so. They say so in all
/// their responses.
const BRITTLE_MEMORY: Duration = Duration::from_secs(3);

/// Part of the refusals that an upstream bears which the VMs make use of, as `1 / REFUSAL_MARGIN`:
/// requests that are on their way when an upstream becomes full are refused, too.
const REFUSAL_MARGIN: u32 = 2;

/// Time in which the refusals of an upstream count together.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of refusals of an upstream that are remembered.
const MAX_REFUSALS: usize = 64;

/// Shortest time for which a full upstream is left alone: the time until its refusal is known to all
/// VMs of a region.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Number of further requests in flight that a VM allows itself for each one that is served.
const SHARE_INCREASE: f64 = 0.1;

/// Longest time for which a full upstream is left alone.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What an upstream says of its brittleness.
#[derive(Debug, Clone, Copy)]
pub(super) struct Brittleness {
    pub(super) max_refusals_per_s: u32,
    pub(super) said_at: Instant,
}

/// Returns how long all VMs leave an upstream alone that has refused a request.
fn pause_after_refusal(max_refusals_per_s: u32) -> Duration {
    let refusals_per_s = (max_refusals_per_s / REFUSAL_MARGIN).max(1);
    (Duration::from_secs(1) / refusals_per_s).clamp(MIN_PAUSE, MAX_PAUSE)
}

impl Scheduler {
    /// Returns `true` if an upstream of the pool has lately said that it is brittle.
    pub fn is_brittle(&self, now: Instant, pool: &str) -> bool {
        self.max_refusals_per_s(now, pool).is_some()
    }

    /// Returns `true` if an upstream that failed at `at` may have done so for want of room: its pool is
    /// brittle, and it had refused more requests than the VMs together make use of. Fewer refusals
    /// show nothing in deployments that are so large that this VM does not hear of all.
    pub fn may_lack_room(&self, at: Instant, upstream: &UpstreamId) -> bool {
        let Some(known) = self.upstreams.get(upstream) else { return false };
        let Some(max_refusals_per_s) = self.max_refusals_per_s(at, &known.record.pool) else {
            return false;
        };
        let hears_of_all = self.vm_count as usize <= MAX_REFUSAL_RECEIVERS + 1;
        let is_recent = |it: &&Instant| at.saturating_duration_since(**it) <= REFUSAL_WINDOW;
        let refusals = known.refused_at.iter().filter(is_recent).count();
        let usual = (max_refusals_per_s / REFUSAL_MARGIN) as usize;
        !hears_of_all || max_refusals_per_s == 0 || refusals > usual.min(MAX_REFUSALS - 1)
    }

    /// Takes the refusals of brittle upstreams that still have to be told to the other VMs.
    pub fn take_refusals(&mut self) -> Vec<UpstreamRefusal> {
        std::mem::take(&mut self.unsent_refusals)
    }

    /// Pauses a brittle upstream that refused a request of this VM for want of room.
    pub(super) fn on_refused(&mut self, now: Instant, upstream: &UpstreamId) {
        let Some(known) = self.upstreams.get(upstream) else { return };
        let (pool, incarnation) = (known.record.pool.clone(), known.record.incarnation);
        let Some(max_refusals_per_s) = self.max_refusals_per_s(now, &pool) else { return };
        let pause = pause_after_refusal(max_refusals_per_s);
        let pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        let refusal = UpstreamRefusal { upstream: upstream.clone(), incarnation, pause_ms };
        self.on_peer_refusal(now, &refusal);
        self.unsent_refusals.push(refusal);
    }

    /// Pauses an upstream that refused a request.
    pub(super) fn on_peer_refusal(&mut self, now: Instant, refusal: &UpstreamRefusal) {
        let pause = Duration::from_millis(refusal.pause_ms.into()).min(MAX_PAUSE);
        let known = self.upstreams.get_mut(&refusal.upstream);
        if let Some(known) = known.filter(|it| it.record.incarnation == refusal.incarnation) {
            known.pause.extend(now, pause);
            known.refused_at.retain(|it| now.saturating_duration_since(*it) <= REFUSAL_WINDOW);
            if known.refused_at.len() == MAX_REFUSALS {
                known.refused_at.remove(0);
            }
            known.refused_at.push(now);
            let share = known.brittle_share.unwrap_or(f64::from(known.own_in_flight()));
            known.brittle_share = Some((share / 2.0).max(1.0));
        }
    }

    fn max_refusals_per_s(&self, now: Instant, pool: &str) -> Option<u32> {
        let of_pool = self.upstreams.values().filter(|it| &*it.record.pool == pool);
        of_pool.filter_map(|it| it.max_refusals_per_s(now)).min()
    }
}

impl Upstream {
    /// Records that a request was served, so that there may be room for more.
    pub(super) fn record_room(&mut self) {
        let max_share = f64::from(self.record.slots.max(1));
        self.brittle_share = self.brittle_share.map(|it| (it + SHARE_INCREASE).min(max_share));
    }

    /// Returns `true` if this VM may have a further request in flight at the upstream, which is
    /// brittle. Before the first refusal the VMs share its slots.
    pub(super) fn has_brittle_room(&self, vm_count: u32) -> bool {
        let equal_share = f64::from(self.record.slots) / f64::from(vm_count.max(1));
        let share = self.brittle_share.unwrap_or(equal_share).max(1.0);
        f64::from(self.own_in_flight()) + 1.0 <= share
    }

    fn max_refusals_per_s(&self, now: Instant) -> Option<u32> {
        let said = self.brittleness?;
        let is_recent = now.saturating_duration_since(said.said_at) < BRITTLE_MEMORY;
        is_recent.then_some(said.max_refusals_per_s)
    }
}
