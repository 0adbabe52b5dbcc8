//! Exchanges loads and decode paces of upstreams with the other VMs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::IncarnationHash;
use cranberryvalve_core::PaceStep;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::VmId;

use super::PredictedQuantity;
use super::Prediction;
use super::ReportedLoad;
use super::Scheduler;
use super::SchedulerAction;
use super::decode_pace::DecodePace;
use super::upstream::Upstream;

/// Maximum number of decode paces kept for upstreams that are not in the directory: three times
/// the 600 upstreams that the system is designed for.
const MAX_PENDING_PACES: usize = 1_800;

impl Scheduler {
    pub(super) fn on_load_reported(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        load: ReportedLoad,
    ) {
        let Some(it) = self.upstreams.get_mut(upstream) else { return };
        if load.work_time_percent.is_some() && !self.measured_pools.contains(&it.record.pool) {
            self.measured_pools.insert(it.record.pool.clone());
        }
        it.record_reported_load(now, load);
    }

    /// Returns this VM's load on each upstream where it has requests in flight, for reporting to
    /// other VMs.
    pub fn loads_for_peers(&self) -> Vec<UpstreamLoad> {
        self.upstreams.values().filter_map(Upstream::load_for_peers).collect()
    }

    /// Returns this VM's load on one upstream, for reporting to other VMs, or `None` if it has no
    /// requests in flight there.
    pub fn load_for_peers(&self, upstream: &UpstreamId) -> Option<UpstreamLoad> {
        self.upstreams.get(upstream)?.load_for_peers()
    }

    /// Takes up to `limit` decode paces that still have to be forwarded to all neighbouring VMs.
    ///
    /// A VM forwards whatever is new to it, so an update reaches all VMs in as many rounds as the
    /// diameter of the neighbour graph (flooding).
    pub fn take_pace_updates(&mut self, limit: usize) -> Vec<UpstreamPace> {
        let updates = self.upstreams.values_mut().filter_map(|it| {
            let step = it.pace.take_update()?;
            Some(UpstreamPace { upstream: it.key(), step })
        });
        updates.take(limit).collect()
    }

    /// Returns all known decode paces, for a VM that has just joined.
    pub fn paces(&self) -> Vec<UpstreamPace> {
        let known = self.upstreams.values();
        let paces =
            known.filter_map(|it| Some(UpstreamPace { upstream: it.key(), step: it.pace.step()? }));
        paces.collect()
    }

    /// Returns the load of all VMs except `vm` on the given upstreams, for which this VM is the
    /// load coordinator. Upstreams that are not in the directory are left out.
    pub fn loads_excluding(
        &self,
        now: Instant,
        vm: &VmId,
        upstreams: &[UpstreamId],
    ) -> Vec<UpstreamLoad> {
        let known = upstreams.iter().filter_map(|it| self.upstreams.get(it));
        known.map(|it| it.load_excluding(now, vm)).collect()
    }

    pub(super) fn on_peer_loads(&mut self, now: Instant, vm: &VmId, loads: &[UpstreamLoad]) {
        for load in loads {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.record_peer_load(now, vm, load);
            }
        }
    }

    pub(super) fn on_stream_measured(
        &mut self,
        upstream: &UpstreamId,
        event_gap: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        if let Some(expected) = upstream.pace.gap() {
            let predicted = PredictedQuantity::EventGap;
            let prediction = Prediction { predicted, expected, observed: event_gap };
            actions.push(SchedulerAction::PredictionObserved(prediction));
        }
        upstream.pace.record(event_gap);
    }

    pub(super) fn on_short_stream_measured(&mut self, upstream: &UpstreamId, event_gap: Duration) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        if self.measured_pools.contains(&upstream.record.pool) {
            upstream.pace.record(event_gap);
        }
    }

    pub(super) fn on_peer_paces(&mut self, paces: &[UpstreamPace]) {
        let mut steps: HashMap<IncarnationHash, PaceStep> = HashMap::new();
        for pace in paces {
            let step = steps.entry(pace.upstream).or_insert(pace.step);
            *step = pace.step.min(*step);
        }
        for upstream in self.upstreams.values_mut() {
            if let Some(step) = steps.remove(&upstream.key()) {
                upstream.pace.merge(step);
            }
        }
        // A VM that is starting hears from its peers before it has the whole directory.
        for (upstream, step) in steps {
            let mut pace = self.pending_paces.get(&upstream).copied().unwrap_or_default();
            pace.merge(step);
            self.keep_pace(upstream, pace);
        }
    }

    /// Keeps the pace of an upstream that the directory does not list, as it may list it later.
    pub(super) fn keep_pace(&mut self, upstream: IncarnationHash, pace: DecodePace) {
        // Entries that are kept for long mostly belong to upstreams that have left.
        if self.pending_paces.len() >= MAX_PENDING_PACES {
            self.pending_paces.clear();
        }
        self.pending_paces.insert(upstream, pace);
    }
}
