//! Rate limits that upstreams name for all VMs together, kept by permits for single requests.
//!
//! An upstream in need names the rate of requests that it takes from all VMs together. A VM that has
//! heard of the limit asks the upstream's coordinator for a permit before each request. Shares of a
//! rate, as [`limits`](crate::limits) assigns them, do not fit here: one request a second cannot be
//! shared by hundreds of VMs of which each needs a whole request at a time.
//!
//! A permit that is not used soon lapses, so that permits cannot pile up and be used all at once.
//! All of this is soft state. VMs tell the coordinator what they heard and how long ago, and the
//! latest notice counts, whether it names a limit or lifts it.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use cranberryvalve_coordination::permits::PERMIT_LIFETIME;
//! use cranberryvalve_coordination::permits::PermitIssuer;
//! use cranberryvalve_core::RateLimitNotice;
//! use cranberryvalve_core::PermitRequest;
//! use cranberryvalve_core::PermitVerdict;
//!
//! let now = Instant::now();
//! let mut issuer = PermitIssuer::default();
//! let notice = RateLimitNotice { limit_per_s: Some(2.0), age: Duration::ZERO };
//! let request = PermitRequest { upstream: "engine-1".into(), incarnation: 7, notice };
//! assert_eq!(issuer.decide(now, &request, 1.0), PermitVerdict::Granted(PERMIT_LIFETIME));
//! let verdict = issuer.decide(now, &request, 1.0);
//! assert_eq!(verdict, PermitVerdict::NotBefore(Duration::from_millis(500)));
//! ```

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::UpstreamId;

/// Time in which a permit must be used.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// Lowest rate of permits, in requests a second, so that a VM finds out when a limit of zero is
/// lifted.
pub const MIN_RATE_PER_S: f64 = 0.1;

/// Number of unused permits that are kept for a burst.
const BURST: f64 = 1.0;

/// Minimum time until a VM asks again that got no permit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time until a VM asks again that got no permit, since the limit may be lifted before.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time after which an upstream that no VM asks about is forgotten.
const MEMORY: Duration = Duration::from_secs(60);

/// Issues the permits of the upstreams that this VM coordinates.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    upstreams: HashMap<UpstreamId, IssuedPermits>,
}

#[derive(Debug)]
struct IssuedPermits {
    incarnation: u64,
    limit_per_s: Option<f64>,
    /// When the upstream said so.
    said_at: Instant,
    /// Permits that can be issued now.
    available: f64,
    refilled_at: Instant,
    /// When a VM last asked.
    asked_at: Instant,
}

impl PermitIssuer {
    /// Decides on a VM's request for a permit. `fraction` is the part of the limit that this
    /// coordinator may issue: less than 1 if other VMs may have another coordinator.
    pub fn decide(
        &mut self,
        now: Instant,
        request: &PermitRequest,
        fraction: f64,
    ) -> PermitVerdict {
        let issued = self.record(now, request);
        if issued.incarnation != request.incarnation {
            // The directory of the VM lists an earlier start.
            return PermitVerdict::NotBefore(MAX_RETRY_DELAY);
        }
        let Some(limit_per_s) = issued.limit_per_s else { return PermitVerdict::Lifted };
        let rate_per_s = limit_per_s.max(MIN_RATE_PER_S) * fraction.clamp(0.0, 1.0);
        issued.refill(now, rate_per_s);
        if issued.available >= 1.0 {
            issued.available -= 1.0;
            return PermitVerdict::Granted(PERMIT_LIFETIME);
        }
        let delay_s = (1.0 - issued.available) / rate_per_s;
        let delay = Duration::try_from_secs_f64(delay_s).unwrap_or(MAX_RETRY_DELAY);
        PermitVerdict::NotBefore(delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
    }

    /// Records what a VM heard of an upstream, unless something later is known.
    fn record(&mut self, now: Instant, request: &PermitRequest) -> &mut IssuedPermits {
        let PermitRequest { upstream, incarnation, notice } = request;
        let said_at = now.checked_sub(notice.age).unwrap_or(now);
        self.upstreams.retain(|_, it| now.saturating_duration_since(it.asked_at) < MEMORY);
        let new = || IssuedPermits {
            incarnation: *incarnation,
            limit_per_s: notice.limit_per_s,
            said_at,
            available: BURST,
            refilled_at: now,
            asked_at: now,
        };
        let issued = self.upstreams.entry(upstream.clone()).or_insert_with(new);
        issued.asked_at = now;
        if said_at >= issued.said_at {
            if issued.incarnation != *incarnation {
                *issued = new();
            }
            issued.limit_per_s = notice.limit_per_s;
            issued.said_at = said_at;
        }
        issued
    }
}

impl IssuedPermits {
    fn refill(&mut self, now: Instant, rate_per_s: f64) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed_s * rate_per_s).min(BURST);
        self.refilled_at = now;
    }
}
