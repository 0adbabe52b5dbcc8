//! Tests a customer's limits across many VMs, in simulated time.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::limits::LimitClient;
use cranberryvalve_coordination::limits::LimitCoordinator;
use cranberryvalve_coordination::limits::LimitDemand;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::VmId;

const TIME_STEP: Duration = Duration::from_millis(20);

struct Deployment {
    now: Instant,
    customer: CustomerSpec,
    vms: Vec<(VmId, LimitClient)>,
    coordinator: Option<LimitCoordinator>,
    last_report: Instant,
}

impl Deployment {
    fn new(vms: usize, requests_per_s: Option<f64>, max_in_flight: Option<u32>) -> Self {
        let now = Instant::now();
        let customer = CustomerSpec {
            id: "tasman".into(),
            key_sha256: Digest::of(b"key"),
            classes: Vec::new(),
            weight: 1,
            requests_per_s,
            max_in_flight,
        };
        let vms = (0..vms).map(|it| (format!("vm-{it}").into(), LimitClient::default()));
        let (vms, coordinator) = (vms.collect(), Some(LimitCoordinator::default()));
        Self { now, customer, vms, coordinator, last_report: now }
    }

    fn admit(&mut self, vm: usize) -> bool {
        let alive = self.vms.len();
        self.vms[vm].1.admit(self.now, &self.customer, alive).is_ok()
    }

    fn exchange_reports(&mut self) {
        if self.now - self.last_report < Duration::from_millis(200) {
            return;
        }
        self.last_report = self.now;
        let Some(coordinator) = &mut self.coordinator else { return };
        for (name, client) in &mut self.vms {
            for demand in client.due_reports(self.now) {
                let share = coordinator.on_report(self.now, name, &demand, &self.customer, 1.0);
                client.on_share(self.now, &share);
            }
        }
    }

    /// Sends `requests_per_s` requests per second to each VM in `vms` for `duration`.
    ///
    /// Returns the number of admitted requests.
    fn send_requests(
        &mut self,
        vms: std::ops::Range<usize>,
        requests_per_s: f64,
        duration: Duration,
    ) -> u32 {
        let mut admitted = 0;
        let mut due = 0.0;
        let until = self.now + duration;
        while self.now < until {
            due += requests_per_s * TIME_STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                for vm in vms.clone() {
                    if self.admit(vm) {
                        admitted += 1;
                        self.vms[vm].1.on_request_ended("tasman");
                    }
                }
            }
            self.now += TIME_STEP;
            self.exchange_reports();
        }
        admitted
    }
}

#[test]
fn rate_limit_holds_across_all_vms() {
    let mut deployment = Deployment::new(8, Some(40.0), None);
    deployment.send_requests(0..8, 50.0, Duration::from_secs(3));
    let admitted = deployment.send_requests(0..8, 50.0, Duration::from_secs(20));
    assert!((760..=840).contains(&admitted), "{admitted} requests admitted, limit 800");
}

#[test]
fn one_vm_can_use_the_whole_rate_limit() {
    let mut deployment = Deployment::new(8, Some(40.0), None);
    deployment.send_requests(0..1, 100.0, Duration::from_secs(3));
    let admitted = deployment.send_requests(0..1, 100.0, Duration::from_secs(20));
    assert!((760..=840).contains(&admitted), "{admitted} requests admitted, limit 800");
}

#[test]
fn rate_stays_within_error_bound_when_load_moves() {
    let mut deployment = Deployment::new(8, Some(40.0), None);
    deployment.send_requests(0..4, 100.0, Duration::from_secs(10));
    let admitted = deployment.send_requests(4..8, 100.0, Duration::from_secs(10));
    // The limit may be exceeded by the even shares of the 4 new VMs for one report interval, and by
    // one request for each of them.
    assert!(admitted <= 400 + 40 + 4, "{admitted} requests admitted, limit 400");
    assert!(admitted >= 300, "{admitted} requests admitted, limit 400");
}

#[test]
fn even_shares_apply_without_a_coordinator() {
    let mut deployment = Deployment::new(8, Some(40.0), None);
    deployment.coordinator = None;
    let admitted = deployment.send_requests(0..8, 50.0, Duration::from_secs(20));
    assert!((720..=808).contains(&admitted), "{admitted} requests admitted, limit 800");
}

#[test]
fn in_flight_limit_holds_across_all_vms() {
    let mut deployment = Deployment::new(8, None, Some(24));
    let mut in_flight = 0_u32;
    for _ in 0..400 {
        for vm in 0..8 {
            in_flight += u32::from(deployment.admit(vm));
        }
        deployment.now += TIME_STEP;
        deployment.exchange_reports();
        // The limit may be exceeded by one request for each VM.
        assert!(in_flight <= 24 + 8, "{in_flight} requests in flight, limit 24");
    }
    assert!(in_flight >= 20, "{in_flight} requests in flight, limit 24");
}

#[test]
fn refused_caller_is_admitted_after_retry_delay() {
    let mut deployment = Deployment::new(1, Some(2.0), None);
    while deployment.admit(0) {}
    let refused = deployment.vms[0].1.admit(deployment.now, &deployment.customer, 1);
    let retry_after = refused.expect_err("above the limit").retry_after;
    deployment.now += retry_after;
    assert!(deployment.admit(0), "refused again after waiting for retry_after, {retry_after:?}");
}

#[test]
fn coordinator_receives_few_reports_from_many_vms() {
    let mut deployment = Deployment::new(340, Some(1_000.0), None);
    let mut reports = 0;
    deployment.send_requests(0..340, 5.0, Duration::from_secs(5));
    let coordinator = deployment.coordinator.as_mut().expect("a coordinator");
    for _ in 0..300 {
        deployment.now += Duration::from_millis(200);
        for (name, client) in &mut deployment.vms {
            let _ = client.admit(deployment.now, &deployment.customer, 340);
            client.on_request_ended("tasman");
            for demand in client.due_reports(deployment.now) {
                reports += 1;
                let share =
                    coordinator.on_report(deployment.now, name, &demand, &deployment.customer, 1.0);
                client.on_share(deployment.now, &share);
            }
        }
    }
    assert!(reports <= 60 * 25, "{reports} reports from 340 VMs in one minute");
}

/// Returns the demand of a VM that has as many requests as it may send.
fn high_demand() -> LimitDemand {
    LimitDemand { customer: "tasman".into(), requests_per_s: 500.0, in_flight: 0, refused: 0 }
}

#[test]
fn shares_that_are_valid_at_the_same_time_stay_within_the_rate() {
    const LIMIT: f64 = 40.0;
    let mut deployment = Deployment::new(3, Some(LIMIT), None);
    let mut coordinator = LimitCoordinator::default();
    let mut rates = [0.0; 3];
    let mut report = |vm: usize, demand_per_s: f64| {
        deployment.now += Duration::from_millis(330);
        let (name, customer) = (&deployment.vms[vm].0, &deployment.customer);
        let demand = LimitDemand { requests_per_s: demand_per_s, ..high_demand() };
        let share = coordinator.on_report(deployment.now, name, &demand, customer, 1.0);
        rates[vm] = share.requests_per_s.expect("a limited rate");
        rates
    };
    // A VM without a share gets up to the even one beside those of the others.
    let even_shares = [0.0, LIMIT / 2.0, LIMIT / 2.0 + LIMIT / 3.0];
    for (vm, (demand, excess)) in [1.0, 500.0, 500.0].into_iter().zip(even_shares).enumerate() {
        let rates = report(vm, demand);
        assert!(rates.iter().sum::<f64>() <= LIMIT + excess + 1e-6, "{rates:?}");
    }
    report(0, 1.0);
    report(1, 500.0);
    // The demand of the first VM grows while the others have the rest.
    for vm in [2, 0, 1, 2, 0, 1, 2] {
        let rates = report(vm, 500.0);
        assert!(rates.iter().sum::<f64>() <= LIMIT + 1e-6, "VM {vm}: {rates:?}");
    }
    assert!(rates.iter().all(|it| (it - LIMIT / 3.0).abs() < 1e-6), "{rates:?}");
}

#[test]
fn share_given_among_many_vms_counts_as_long_as_it_is_valid() {
    const LIMIT: u32 = 2_000;
    let mut deployment = Deployment::new(100, None, Some(LIMIT));
    let mut coordinator = LimitCoordinator::default();
    let mut report = |deployment: &Deployment, vm: usize| {
        let (name, customer) = (&deployment.vms[vm].0, &deployment.customer);
        let demand = LimitDemand { refused: 50, ..high_demand() };
        coordinator.on_report(deployment.now, name, &demand, customer, 1.0)
    };
    for _ in 0..3 {
        deployment.now += Duration::from_secs(5);
        (0..100).for_each(|vm| drop(report(&deployment, vm)));
    }
    deployment.now += Duration::from_secs(10);
    let last = report(&deployment, 99);
    let assigned = last.in_flight.expect("a limit");
    let validity = Duration::from_millis(last.report_every_ms.into()) * 3;
    assert!(assigned > 0 && validity == Duration::from_secs(15), "{last:?}");
    // All but two VMs have gone, so that reports are due more often.
    deployment.now += Duration::from_millis(5_100);
    report(&deployment, 0);
    deployment.now += Duration::from_millis(100);
    let share = report(&deployment, 0).in_flight.expect("a limit");
    assert!(share + assigned <= LIMIT, "{share} beside {assigned} that are still valid");
}

#[test]
fn caller_refused_for_want_of_a_share_is_asked_back_after_the_next_report() {
    let mut deployment = Deployment::new(2, Some(40.0), None);
    deployment.send_requests(0..1, 100.0, Duration::from_secs(5));
    while deployment.admit(1) {}
    deployment.send_requests(0..1, 100.0, Duration::from_millis(400));
    while deployment.admit(1) {}
    let refused = deployment.vms[1].1.admit(deployment.now, &deployment.customer, 2);
    let retry_after = refused.expect_err("above the share").retry_after;
    assert!(retry_after <= Duration::from_secs(1), "{retry_after:?}");
}

/// Guards against requests of a customer whose limit is none at a time, which each VM admitted until
/// the coordinator assigned it a share.
#[test]
fn limit_of_none() {
    let mut deployment = Deployment::new(3, None, Some(0));
    let admitted =
        |deployment: &mut Deployment| deployment.send_requests(0..3, 10.0, Duration::from_secs(3));
    assert_eq!(admitted(&mut deployment), 0);
    deployment.coordinator = None;
    deployment.now += Duration::from_secs(60);
    assert_eq!(admitted(&mut deployment), 0, "without a coordinator");
}
