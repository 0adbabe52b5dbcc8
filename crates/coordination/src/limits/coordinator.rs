//! Divides a customer's limits among the VMs, on the VM that is the customer's coordinator.

use std::collections::BTreeMap;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::VmId;

use super::LimitDemand;
use super::LimitShare;
use super::SHARE_VALIDITY_INTERVALS;
use super::report_interval;

/// Latest reports of all VMs about the customers whose coordinator is this VM.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::limits::LimitDemand;
/// use cranberryvalve_coordination::limits::LimitCoordinator;
/// use cranberryvalve_core::CustomerSpec;
/// use cranberryvalve_core::Digest;
///
/// let customer = CustomerSpec {
///     id: "tasman".into(),
///     key_sha256: Digest::of(b"key"),
///     classes: vec![],
///     weight: 1,
///     requests_per_s: Some(10.0),
///     max_in_flight: None,
/// };
/// let demand = |requests_per_s| LimitDemand {
///     customer: "tasman".into(),
///     requests_per_s,
///     in_flight: 0,
///     refused: 0,
/// };
/// let now = Instant::now();
/// let mut coordinator = LimitCoordinator::default();
/// coordinator.on_report(now, &"vm-1".into(), &demand(2.0), &customer, 1.0);
/// let share = coordinator.on_report(now, &"vm-2".into(), &demand(50.0), &customer, 1.0);
/// assert_eq!(share.requests_per_s, Some(5.0), "vm-1 has the rest until it reports again");
/// coordinator.on_report(now, &"vm-1".into(), &demand(2.0), &customer, 1.0);
/// let share = coordinator.on_report(now, &"vm-2".into(), &demand(50.0), &customer, 1.0);
/// assert_eq!(share.requests_per_s, Some(8.0));
/// ```
#[derive(Debug, Default)]
pub struct LimitCoordinator {
    reports: BTreeMap<CustomerId, BTreeMap<VmId, Report>>,
}

#[derive(Debug, Clone)]
struct Report {
    demand: LimitDemand,
    /// When the share that was assigned to the VM expires.
    valid_until: Instant,
    /// Rate of requests per second that was assigned to the VM.
    assigned_requests_per_s: f64,
    /// Limit of requests in flight that was assigned to the VM.
    assigned_in_flight: u32,
}

impl Report {
    fn demanded_in_flight(&self) -> u32 {
        self.demand.in_flight.saturating_add(self.demand.refused)
    }

    /// Returns the number of requests that the VM has in flight or may still admit.
    fn reserved_in_flight(&self) -> u32 {
        self.assigned_in_flight.max(self.demand.in_flight)
    }
}

impl LimitCoordinator {
    /// Processes a report and returns the share of the reporting VM. `fraction` is the part of the
    /// limits that this coordinator may assign: less than 1 if other VMs may have another coordinator.
    pub fn on_report(
        &mut self,
        now: Instant,
        from: &VmId,
        demand: &LimitDemand,
        customer: &CustomerSpec,
        fraction: f64,
    ) -> LimitShare {
        let fraction = fraction.clamp(0.0, 1.0);
        let reports = self.reports.entry(customer.id.clone()).or_default();
        reports.retain(|_, it| now < it.valid_until);
        let is_new = !reports.contains_key(from);
        let report = Report {
            demand: demand.clone(),
            valid_until: now,
            assigned_requests_per_s: 0.0,
            assigned_in_flight: 0,
        };
        reports.insert(from.clone(), report);
        let requests_per_s =
            customer.requests_per_s.map(|limit| fair_rate(limit * fraction, reports, from, is_new));
        let in_flight = customer
            .max_in_flight
            .map(|limit| fair_in_flight((f64::from(limit) * fraction) as u32, reports, from));
        let interval = report_interval(reports.len());
        if let Some(report) = reports.get_mut(from) {
            report.valid_until = now + interval * SHARE_VALIDITY_INTERVALS;
            report.assigned_requests_per_s = requests_per_s.unwrap_or(0.0);
            report.assigned_in_flight = in_flight.unwrap_or(0);
        }
        LimitShare {
            customer: customer.id.clone(),
            requests_per_s,
            in_flight,
            report_every_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Returns the share of `from` in a rate of `limit`, capped by the part that is not assigned to the
/// other VMs. A VM without a share gets up to the even one beside them, as it would without a coordinator.
fn fair_rate(limit: f64, reports: &BTreeMap<VmId, Report>, from: &VmId, is_new: bool) -> f64 {
    let demands = reports.values().map(|it| it.demand.requests_per_s).collect();
    let own = reports.get(from).map_or(0.0, |it| it.demand.requests_per_s);
    let others = reports.iter().filter(|(vm, _)| *vm != from);
    let assigned: f64 = others.map(|(_, it)| it.assigned_requests_per_s).sum();
    let even_share = if is_new { limit / reports.len().max(1) as f64 } else { 0.0 };
    fair_share(limit, demands, own).min((limit - assigned).max(even_share))
}

/// Returns the share of `from` in `limit` requests in flight, capped by the part that the other
/// VMs have not reserved.
fn fair_in_flight(limit: u32, reports: &BTreeMap<VmId, Report>, from: &VmId) -> u32 {
    let demanded_in_flight = |it: &Report| f64::from(it.demanded_in_flight());
    let demands = reports.values().map(demanded_in_flight).collect();
    let own = reports.get(from).map_or(0.0, demanded_in_flight);
    let share = fair_share(limit.into(), demands, own).floor() as u32;
    let others = reports.iter().filter(|(vm, _)| *vm != from);
    let reserved_in_flight =
        others.map(|(_, it)| it.reserved_in_flight()).fold(0, u32::saturating_add);
    share.min(limit.saturating_sub(reserved_in_flight))
}

/// Returns the share for `demand` if `limit` is divided among `demands` by max-min fairness.
///
/// Unused capacity is divided evenly and added, so that each share leaves room to grow.
fn fair_share(limit: f64, mut demands: Vec<f64>, demand: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = limit;
    let mut unsatisfied = demands.len() as f64;
    let mut fair_level = f64::INFINITY;
    for it in &demands {
        let even_share = remaining / unsatisfied;
        if *it >= even_share {
            fair_level = even_share;
            break;
        }
        remaining -= it;
        unsatisfied -= 1.0;
    }
    if fair_level.is_finite() {
        demand.min(fair_level)
    } else {
        demand + remaining / demands.len().max(1) as f64
    }
}
