//! Rate limits that upstreams name, as one VM keeps them.
//!
//! The upstream's coordinator issues permits that keep all VMs together within the limit. A VM asks
//! for one when a call of the pool arrives or waits, and sends a request only with a permit.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RateLimitNotice;
use cranberryvalve_core::UpstreamId;

use super::NoticeSource;
use super::Scheduler;
use super::SchedulerAction;
use super::upstream::Upstream;

/// Time within which a coordinator's verdict is expected: a round trip between the failure domains
/// of a region, with the processing time on two small VMs.
const VERDICT_TIME: Duration = Duration::from_millis(5);

/// Time after which a request for a permit is taken as lost.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time that a verdict holds, several times the longest one that coordinators give. A longer
/// one comes from a build that means something else.
const MAX_VERDICT: Duration = Duration::from_secs(10);

/// A rate limit that an upstream named, if any, and this VM's permit.
#[derive(Debug, Default)]
pub(super) struct RateLimit(Option<NamedLimit>);

#[derive(Debug)]
struct NamedLimit {
    limit_per_s: f64,
    said_at: Instant,
    permit: PermitState,
}

#[derive(Debug)]
enum PermitState {
    /// A permit may be requested from this time on.
    Missing { ask_at: Instant },
    /// A permit was requested.
    Requested { at: Instant },
    /// One request may be sent before this time.
    Granted { until: Instant },
}

impl RateLimit {
    /// Returns the limit in requests a second, or `None` if there is none.
    pub(super) fn limit_per_s(&self) -> Option<f64> {
        self.0.as_ref().map(|it| it.limit_per_s)
    }

    /// Returns `true` if a request may be sent.
    pub(super) fn allows(&self, now: Instant) -> bool {
        let is_granted =
            |it: &NamedLimit| matches!(it.permit, PermitState::Granted { until } if now < until);
        self.0.as_ref().is_none_or(is_granted)
    }

    /// Returns the time until a request may be sent, as far as is known.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        let Some(named) = &self.0 else { return Duration::ZERO };
        match named.permit {
            PermitState::Granted { until } if now < until => Duration::ZERO,
            PermitState::Missing { ask_at } => {
                ask_at.saturating_duration_since(now).max(VERDICT_TIME)
            }
            PermitState::Granted { .. } | PermitState::Requested { .. } => VERDICT_TIME,
        }
    }

    /// Records the limit that the upstream named. Returns `true` if it changed.
    fn name(&mut self, now: Instant, limit_per_s: f64) -> bool {
        match &mut self.0 {
            Some(named) => {
                named.said_at = now;
                std::mem::replace(&mut named.limit_per_s, limit_per_s) != limit_per_s
            }
            None => {
                let permit = PermitState::Missing { ask_at: now };
                self.0 = Some(NamedLimit { limit_per_s, said_at: now, permit });
                true
            }
        }
    }

    /// Ends the limit. Returns `true` if there was one.
    fn lift(&mut self) -> bool {
        self.0.take().is_some()
    }

    /// Returns what to tell the coordinator if a permit is needed and none is awaited.
    fn take_request(&mut self, now: Instant) -> Option<RateLimitNotice> {
        let named = self.0.as_mut()?;
        let is_due = match named.permit {
            PermitState::Missing { ask_at } => ask_at <= now,
            PermitState::Requested { at } => now.saturating_duration_since(at) >= VERDICT_TIMEOUT,
            PermitState::Granted { until } => until <= now,
        };
        if !is_due {
            return None;
        }
        named.permit = PermitState::Requested { at: now };
        let age = now.saturating_duration_since(named.said_at);
        Some(RateLimitNotice { limit_per_s: Some(named.limit_per_s), age })
    }

    /// Records a coordinator's verdict. The lifetime of a permit counts from the request for it, so
    /// that one that was held up on the way is not used late.
    fn record_verdict(&mut self, now: Instant, verdict: PermitVerdict) {
        let Some(named) = &mut self.0 else { return };
        match verdict {
            PermitVerdict::Granted(lifetime) => {
                if let PermitState::Requested { at } = named.permit {
                    named.permit = PermitState::Granted { until: at + lifetime.min(MAX_VERDICT) };
                }
            }
            PermitVerdict::NotBefore(delay) => {
                named.permit = PermitState::Missing { ask_at: now + delay.min(MAX_VERDICT) };
            }
            PermitVerdict::Lifted => self.0 = None,
        }
    }

    /// Uses the permit for a request. Returns the time by which the request must be sent, or `None`
    /// if there is no limit.
    pub(super) fn use_permit(&mut self, now: Instant) -> Option<Instant> {
        let named = self.0.as_mut()?;
        let until = match named.permit {
            PermitState::Granted { until } => until,
            PermitState::Missing { .. } | PermitState::Requested { .. } => now,
        };
        named.permit = PermitState::Missing { ask_at: now };
        Some(until)
    }
}

impl Scheduler {
    /// Takes the requests for permits that must be sent to the coordinators of their upstreams.
    pub fn take_permit_requests(&mut self) -> Vec<PermitRequest> {
        std::mem::take(&mut self.permit_requests)
    }

    /// Returns `true` if there are requests for permits to be sent.
    pub const fn has_permit_requests(&self) -> bool {
        !self.permit_requests.is_empty()
    }

    pub(super) fn on_rate_limit(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: u64,
        limit_per_s: Option<f64>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let known = self.upstreams.get_mut(upstream);
        let Some(known) = known.filter(|it| it.record.incarnation == incarnation) else { return };
        let is_changed = match limit_per_s {
            Some(limit_per_s) => known.rate_limit.name(now, limit_per_s),
            None => known.rate_limit.lift(),
        };
        if !is_changed {
            return;
        }
        self.has_rate_limits |= limit_per_s.is_some();
        if limit_per_s.is_none() {
            // The coordinator tells the other VMs when they ask for their next permit.
            let notice = RateLimitNotice { limit_per_s, age: Duration::ZERO };
            let upstream = upstream.clone();
            self.permit_requests.push(PermitRequest { upstream, incarnation, notice });
        }
        let (upstream, source) = (upstream.clone(), NoticeSource::Upstream);
        actions.push(SchedulerAction::RateLimitChanged { upstream, limit_per_s, source });
    }

    pub(super) fn on_permit_verdict(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: u64,
        verdict: PermitVerdict,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let known = self.upstreams.get_mut(upstream);
        let Some(known) = known.filter(|it| it.record.incarnation == incarnation) else { return };
        if verdict == PermitVerdict::Lifted && known.rate_limit.limit_per_s().is_some() {
            actions.push(SchedulerAction::RateLimitChanged {
                upstream: upstream.clone(),
                limit_per_s: None,
                source: NoticeSource::Peer,
            });
        }
        known.rate_limit.record_verdict(now, verdict);
        let pool = known.record.pool.clone();
        self.dispatch(now, &pool, actions);
    }

    /// Requests permits for the upstreams of a pool that name a limit.
    ///
    /// While other upstreams take the calls, each call that arrives asks for the next one, so that
    /// the limited upstreams keep the share that they want. Otherwise only calls that wait ask:
    /// they use a permit at once, while one that is asked for in advance may lapse.
    pub(super) fn request_permits(&mut self, now: Instant, pool: &PoolId, has_waiting: bool) {
        if !self.has_rate_limits {
            return;
        }
        let in_pool = |it: &&mut Upstream| it.record.pool == *pool && it.is_member();
        let has_unlimited = self.upstreams.values().any(|it| {
            it.record.pool == *pool && it.rate_limit.limit_per_s().is_none() && it.accepts_work(now)
        });
        if !has_waiting && !has_unlimited {
            return;
        }
        let members = self.upstreams.values_mut().filter(in_pool);
        let requests = members.filter_map(|it| {
            let notice = it.rate_limit.take_request(now)?;
            let (upstream, incarnation) = (it.record.id.clone(), it.record.incarnation);
            Some(PermitRequest { upstream, incarnation, notice })
        });
        self.permit_requests.extend(requests);
    }
}
