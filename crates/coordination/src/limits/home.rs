//! The home of a customer, which shares the limits out.

use std::collections::BTreeMap;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::VmId;

use super::LimitDemand;
use super::LimitShare;
use super::SHARE_INTERVALS;
use super::report_interval;

/// What the VMs reported about the customers whose home this VM is.
///
/// ```
/// use std::time::Instant;
///
/// use cranberryvalve_coordination::limits::LimitDemand;
/// use cranberryvalve_coordination::limits::LimitHome;
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
/// let mut home = LimitHome::default();
/// home.on_report(now, &"vm-1".into(), &demand(2.0), &customer);
/// let share = home.on_report(now, &"vm-2".into(), &demand(50.0), &customer);
/// assert_eq!(share.requests_per_s, Some(8.0));
/// ```
#[derive(Debug, Default)]
pub struct LimitHome {
    reports: BTreeMap<CustomerId, BTreeMap<VmId, Report>>,
}

#[derive(Debug, Clone)]
struct Report {
    demand: LimitDemand,
    received_at: Instant,
    /// Requests in flight that the VM was given.
    given: u32,
}

impl Report {
    fn wanted(&self) -> u32 {
        self.demand.in_flight + self.demand.refused
    }

    /// Requests in flight that the VM has or may still admit.
    fn taken(&self) -> u32 {
        self.given.max(self.demand.in_flight)
    }
}

impl LimitHome {
    /// Takes a report and returns the reporter's share.
    pub fn on_report(
        &mut self,
        now: Instant,
        from: &VmId,
        demand: &LimitDemand,
        customer: &CustomerSpec,
    ) -> LimitShare {
        let reports = self.reports.entry(customer.id.clone()).or_default();
        let lifetime = report_interval(reports.len()) * SHARE_INTERVALS;
        reports.retain(|_, it| now.saturating_duration_since(it.received_at) < lifetime);
        let report = Report { demand: demand.clone(), received_at: now, given: 0 };
        reports.insert(from.clone(), report);
        let rates = reports.values().map(|it| it.demand.requests_per_s).collect();
        let in_flight = customer.max_in_flight.map(|limit| fair_in_flight(limit, reports, from));
        if let Some(report) = reports.get_mut(from) {
            report.given = in_flight.unwrap_or(0);
        }
        let interval = report_interval(reports.len());
        LimitShare {
            customer: customer.id.clone(),
            requests_per_s: customer
                .requests_per_s
                .map(|limit| fair_share(limit, rates, demand.requests_per_s)),
            in_flight,
            report_every_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// The share of `from` in `limit` requests in flight, of what the others have not taken.
fn fair_in_flight(limit: u32, reports: &BTreeMap<VmId, Report>, from: &VmId) -> u32 {
    let wanted = |it: &Report| f64::from(it.wanted());
    let demands = reports.values().map(wanted).collect();
    let own = reports.get(from).map_or(0.0, wanted);
    let share = fair_share(limit.into(), demands, own).floor() as u32;
    let others = reports.iter().filter(|(vm, _)| *vm != from);
    let taken: u32 = others.map(|(_, it)| it.taken()).sum();
    share.min(limit.saturating_sub(taken))
}

/// The share of one with `demand` when `limit` is shared out over `demands` by max-min fairness.
///
/// What nobody asks for is shared out evenly on top, so that a share leaves room to grow.
fn fair_share(limit: f64, mut demands: Vec<f64>, demand: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = limit;
    let mut sharers = demands.len() as f64;
    let mut level = f64::INFINITY;
    for it in &demands {
        let even = left / sharers;
        if *it >= even {
            level = even;
            break;
        }
        left -= it;
        sharers -= 1.0;
    }
    if level.is_finite() { demand.min(level) } else { demand + left / demands.len().max(1) as f64 }
}
