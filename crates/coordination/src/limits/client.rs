//! Enforces customer limits on one VM.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::CustomerSpec;

use super::LimitDemand;
use super::LimitShare;
use super::MIN_REPORT_INTERVAL;
use super::SHARE_VALIDITY_INTERVALS;

/// Burst capacity, in seconds at the rate of the share.
const BURST_CAPACITY_S: f64 = 1.0;

/// Minimum delay after which a refused caller may retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after which a refused caller may retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Admits requests on one VM within its shares of the customers' limits, and reports demand.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::limits::LimitClient;
/// use cranberryvalve_core::CustomerSpec;
/// use cranberryvalve_core::Digest;
///
/// let customer = CustomerSpec {
///     id: "tasman".into(),
///     key_sha256: Digest::of(b"key"),
///     classes: vec![],
///     weight: 1,
///     requests_per_s: None,
///     max_in_flight: Some(2),
/// };
/// let now = Instant::now();
/// let mut limits = LimitClient::default();
/// assert!(limits.admit(now, &customer, 1).is_ok());
/// assert!(
///     limits.admit(now, &customer, 1).is_err(),
///     "one request until the coordinator has responded"
/// );
/// limits.on_request_ended("tasman");
/// assert!(limits.admit(now, &customer, 1).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct LimitClient {
    customers: BTreeMap<CustomerId, CustomerUsage>,
}

#[derive(Debug)]
struct CustomerUsage {
    tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
    requested: u32,
    refused: u32,
    reported_at: Instant,
    report_every: Duration,
    share: Option<ActiveShare>,
    created_at: Instant,
}

#[derive(Debug)]
struct ActiveShare {
    requests_per_s: Option<f64>,
    in_flight: Option<u32>,
    valid_until: Instant,
}

/// Error returned if a customer has reached its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// Delay after which the customer may retry.
    pub retry_after: Duration,
}

impl LimitClient {
    /// Admits a request if the customer is within its limits on this VM. `vms_known` is the number of VMs
    /// among which a limit is divided without a coordinator: those that live or were seen recently.
    ///
    /// Call [`LimitClient::on_request_ended`] once for each admitted request.
    ///
    /// # Errors
    ///
    /// Returns `LimitReached` if the customer has reached its limit.
    pub fn admit(
        &mut self,
        now: Instant,
        customer: &CustomerSpec,
        vms_known: usize,
    ) -> Result<(), LimitReached> {
        if customer.requests_per_s.is_none() && customer.max_in_flight.is_none() {
            return Ok(());
        }
        let usage =
            self.customers.entry(customer.id.clone()).or_insert_with(|| CustomerUsage::new(now));
        usage.requested += 1;
        let admitted = usage.admit(now, customer, vms_known.max(1));
        match admitted {
            Ok(()) => usage.in_flight += 1,
            Err(_) => usage.refused += 1,
        }
        admitted
    }

    /// Records the end of an admitted request.
    pub fn on_request_ended(&mut self, customer: &str) {
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Returns the reports that are due, and removes idle customers.
    pub fn due_reports(&mut self, now: Instant) -> Vec<LimitDemand> {
        self.customers.retain(|_, it| !it.is_idle(now));
        let due = self.customers.iter_mut().filter(|(_, it)| it.is_report_due(now));
        due.map(|(customer, usage)| usage.report(now, customer)).collect()
    }

    /// Stores a share that was received from a customer's coordinator.
    pub fn on_share(&mut self, now: Instant, share: &LimitShare) {
        let Some(usage) = self.customers.get_mut(&share.customer) else { return };
        usage.report_every = Duration::from_millis(share.report_every_ms.into());
        usage.share = Some(ActiveShare {
            requests_per_s: share.requests_per_s,
            in_flight: share.in_flight,
            // The coordinator counts from when it received the report, which is later.
            valid_until: usage.reported_at.min(now) + usage.report_every * SHARE_VALIDITY_INTERVALS,
        });
    }
}

impl CustomerUsage {
    const fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
            in_flight: 0,
            requested: 0,
            refused: 0,
            reported_at: now,
            report_every: MIN_REPORT_INTERVAL,
            share: None,
            created_at: now,
        }
    }

    /// Returns the limit of requests in flight that applies without a valid share.
    ///
    /// It is the even share, and one request at least unless the limit is none at all. Only one is
    /// allowed during the first report interval, since the other VMs may have been assigned the whole
    /// limit.
    fn in_flight_without_share(&self, now: Instant, limit: u32, vms_known: usize) -> u32 {
        if limit == 0 {
            return 0;
        }
        if now.saturating_duration_since(self.created_at) < MIN_REPORT_INTERVAL {
            return 1;
        }
        let vms_known = u32::try_from(vms_known).unwrap_or(u32::MAX);
        (limit / vms_known).max(1)
    }

    fn admit(
        &mut self,
        now: Instant,
        customer: &CustomerSpec,
        vms_known: usize,
    ) -> Result<(), LimitReached> {
        let share = self.share.as_ref().filter(|it| now < it.valid_until);
        let even_fraction = 1.0 / vms_known as f64;
        let in_flight_limit = match share {
            Some(share) => share.in_flight,
            None => customer
                .max_in_flight
                .map(|limit| self.in_flight_without_share(now, limit, vms_known)),
        };
        let rate = match share {
            Some(share) => share.requests_per_s,
            None => customer.requests_per_s.map(|it| it * even_fraction),
        };
        if in_flight_limit.is_some_and(|limit| self.in_flight >= limit) {
            return Err(LimitReached { retry_after: MIN_REPORT_INTERVAL });
        }
        let even_rate = customer.requests_per_s.map_or(0.0, |it| it * even_fraction);
        rate.map_or(Ok(()), |rate| self.take_token(now, rate, even_rate))
    }

    /// Takes a token at the rate of the share. A share below the even one is likely to grow with the next
    /// report.
    fn take_token(
        &mut self,
        now: Instant,
        requests_per_s: f64,
        even_rate: f64,
    ) -> Result<(), LimitReached> {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = (requests_per_s * BURST_CAPACITY_S).max(1.0);
        self.tokens = (self.tokens + elapsed * requests_per_s).min(capacity);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let expected_rate = requests_per_s.max(even_rate).max(f64::MIN_POSITIVE);
        let wait_s = (1.0 - self.tokens) / expected_rate;
        let max_delay_s = MAX_RETRY_DELAY.as_secs_f64();
        let retry_after = Duration::from_secs_f64(wait_s.min(max_delay_s)).max(MIN_RETRY_DELAY);
        Err(LimitReached { retry_after })
    }

    fn is_report_due(&self, now: Instant) -> bool {
        let is_first = self.share.is_none() && self.requested > 0;
        is_first || now.saturating_duration_since(self.reported_at) >= self.report_every
    }

    fn is_idle(&self, now: Instant) -> bool {
        let idle_time = now.saturating_duration_since(self.refilled_at.max(self.reported_at));
        let lifetime = self.report_every * SHARE_VALIDITY_INTERVALS;
        self.in_flight == 0 && self.requested == 0 && idle_time >= lifetime
    }

    fn report(&mut self, now: Instant, customer: &CustomerId) -> LimitDemand {
        let elapsed = now.saturating_duration_since(self.reported_at).max(MIN_REPORT_INTERVAL);
        let demand = LimitDemand {
            customer: customer.clone(),
            requests_per_s: f64::from(self.requested) / elapsed.as_secs_f64(),
            in_flight: self.in_flight,
            refused: self.refused,
        };
        self.requested = 0;
        self.refused = 0;
        self.reported_at = now;
        demand
    }
}
