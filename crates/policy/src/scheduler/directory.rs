//! Applies changes of the upstream directory.

use std::collections::HashSet;
use std::time::Instant;

use cranberryvalve_core::Departure;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamId;

use super::Scheduler;
use super::UpstreamRecord;
use super::upstream::Upstream;

impl Scheduler {
    /// Returns `true` if the directory lists any upstream.
    pub fn has_upstreams(&self) -> bool {
        !self.upstreams.is_empty()
    }

    /// Returns the upstream directory as this VM knows it.
    pub fn directory(&self) -> Vec<UpstreamRecord> {
        self.upstreams.values().map(|it| it.record.clone()).collect()
    }

    /// Returns an upstream of the directory, or `None` if it is not listed.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&UpstreamRecord> {
        self.upstreams.get(id).map(|it| &it.record)
    }

    /// Forgets pools that the routing table does not declare, unless they have upstreams or calls.
    pub(super) fn forget_removed_pools(&mut self) {
        let of_upstreams = self.upstreams.values().map(|it| &it.record.pool);
        let of_calls = self.calls.values().map(|it| &it.call.pool);
        let in_use: HashSet<PoolId> = of_upstreams.chain(of_calls).cloned().collect();
        let is_kept = |it: &PoolId| in_use.contains(it) || self.table.pool(it).is_some();
        self.queues.retain(|pool, _| is_kept(pool));
        self.budget.retain_pools(is_kept);
        self.recent_arrivals.retain_pools(is_kept);
        self.measured_pools.retain(is_kept);
        self.prefill_ratios.retain(|(pool, _), _| is_kept(pool));
    }

    pub(super) fn on_directory_changed(&mut self, now: Instant, records: Vec<UpstreamRecord>) {
        let mut previous = std::mem::take(&mut self.upstreams);
        for record in records {
            let is_known = |it: &UpstreamRecord| {
                it.incarnation == record.incarnation && it.address == record.address
            };
            let mut upstream = match previous.remove(&record.id) {
                Some(mut it) if is_known(&it.record) => {
                    it.is_gone &= it.record == record;
                    it.record = record;
                    it
                }
                replaced => {
                    replaced.iter().for_each(|it| self.keep_pace(it.key(), it.pace));
                    let mut upstream = Upstream::new(record, now);
                    if let Some(pace) = self.pending_paces.remove(&upstream.key()) {
                        upstream.pace = pace;
                    }
                    upstream
                }
            };
            upstream.set_engine(self.table.engine(&upstream.record.pool));
            let departure = Departure {
                upstream: upstream.record.id.clone(),
                incarnation: upstream.record.incarnation,
            };
            if upstream.record.is_leaving {
                self.departures.record(now, &departure);
            }
            // An upstream that is shutting down does not return under the same incarnation, even
            // if the directory still lists it as in service or has gone back to an older state.
            upstream.record.is_leaving =
                self.departures.is_leaving(&departure.upstream, departure.incarnation);
            self.upstreams.insert(upstream.record.id.clone(), upstream);
        }
        previous.values().for_each(|it| self.keep_pace(it.key(), it.pace));
        self.check_starts();
        self.has_rate_limits =
            self.upstreams.values().any(|it| it.rate_limit.limit_per_s().is_some());
    }
}
