//! Keeps a customer's rate limit while hundreds of VMs disagree about which of them live, in virtual
//! time.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinator_of;
use cranberryvalve_coordination::limits::LimitClient;
use cranberryvalve_coordination::limits::LimitCoordinator;
use cranberryvalve_core::CustomerSpec;
use cranberryvalve_core::Digest;
use cranberryvalve_core::VmId;

const VMS: usize = 340;

/// Limit of the customer, far below its demand.
const LIMIT_PER_S: f64 = 680.0;

/// Requests a second of the customer at each VM.
const DEMAND_PER_S: f64 = 10.0;

const TIME_STEP: Duration = Duration::from_millis(100);

/// Time in which all shares of an earlier state have expired: three reports of each VM, of which a
/// coordinator receives 20 a second.
const SETTLING_TIME: Duration = Duration::from_secs(3 * VMS as u64 / 20 + 3);

/// A VM with the members that it takes for alive.
struct Vm {
    name: VmId,
    client: LimitClient,
    coordinator: LimitCoordinator,
    alive: Vec<VmId>,
    due: f64,
}

struct Fleet {
    now: Instant,
    customer: CustomerSpec,
    vms: Vec<Vm>,
    index: HashMap<VmId, usize>,
}

impl Fleet {
    fn new() -> Self {
        let customer = CustomerSpec {
            id: "tasman".into(),
            key_sha256: Digest::of(b"key"),
            classes: Vec::new(),
            weight: 1,
            requests_per_s: Some(LIMIT_PER_S),
            max_in_flight: None,
        };
        let names: Vec<VmId> = (0..VMS).map(|it| format!("vm-{it}").into()).collect();
        let index = names.iter().cloned().zip(0..).collect();
        let vms = names.iter().zip(0..).map(|(name, number): (&VmId, u32)| Vm {
            name: name.clone(),
            client: LimitClient::default(),
            coordinator: LimitCoordinator::default(),
            alive: names.clone(),
            due: f64::from(number) / VMS as f64,
        });
        Self { now: Instant::now(), customer, vms: vms.collect(), index }
    }

    /// Returns the VM that all VMs take for the coordinator while they agree.
    fn coordinator(&self) -> VmId {
        let names: Vec<VmId> = self.vms.iter().map(|it| it.name.clone()).collect();
        coordinator_of(&self.customer.id, &names).expect("a coordinator").clone()
    }

    /// Returns the VM that takes its place if it is taken for dead.
    fn next_coordinator(&self) -> VmId {
        let first = self.coordinator();
        let others: Vec<VmId> = self.index.keys().filter(|it| **it != first).cloned().collect();
        coordinator_of(&self.customer.id, &others).expect("a coordinator").clone()
    }

    /// Lets callers send requests for a time, and returns the requests admitted a second.
    fn run(&mut self, duration: Duration) -> f64 {
        let until = self.now + duration;
        let mut admitted = 0_u32;
        while self.now < until {
            self.now += TIME_STEP;
            for vm in &mut self.vms {
                vm.due += DEMAND_PER_S * TIME_STEP.as_secs_f64();
                while vm.due >= 1.0 {
                    vm.due -= 1.0;
                    if vm.client.admit(self.now, &self.customer, VMS).is_ok() {
                        vm.client.on_request_ended(&self.customer.id);
                        admitted += 1;
                    }
                }
            }
            (0..VMS).for_each(|it| self.report(it));
        }
        f64::from(admitted) / duration.as_secs_f64()
    }

    /// Sends the reports of a VM to the coordinator that it takes for alive. That one replies if it takes
    /// the VM for alive, and itself for the coordinator.
    fn report(&mut self, number: usize) {
        for demand in self.vms[number].client.due_reports(self.now) {
            let vm = &self.vms[number];
            let (name, alive) = (vm.name.clone(), vm.alive.clone());
            let to = coordinator_of(&demand.customer, &alive).expect("a living VM");
            let receiver = &mut self.vms[self.index[to]];
            let own = coordinator_of(&demand.customer, &receiver.alive);
            if !receiver.alive.contains(&name) || own != Some(&receiver.name) {
                continue;
            }
            let fraction = receiver.alive.len() as f64 / VMS as f64;
            let coordinator = &mut receiver.coordinator;
            let share = coordinator.on_report(self.now, &name, &demand, &self.customer, fraction);
            self.vms[number].client.on_share(self.now, &share);
        }
    }

    fn set_alive(&mut self, vms: impl Fn(&VmId) -> bool, alive: impl Fn(&VmId) -> bool) {
        let seen: Vec<VmId> = self.index.keys().filter(|it| alive(it)).cloned().collect();
        for vm in self.vms.iter_mut().filter(|it| vms(&it.name)) {
            vm.alive = seen.clone();
        }
    }
}

fn number(vm: &VmId) -> usize {
    vm.trim_start_matches("vm-").parse().expect("a number")
}

/// Returns a rate to which one request for each VM is added in [`SETTLING_TIME`].
fn with_one_request_each(rate_per_s: f64) -> f64 {
    rate_per_s + VMS as f64 / SETTLING_TIME.as_secs_f64()
}

#[test]
fn two_sides_of_a_partition_stay_within_one_limit() {
    let mut fleet = Fleet::new();
    fleet.run(SETTLING_TIME);
    for side in 0..2 {
        fleet.set_alive(|it| number(it) % 2 == side, |it| number(it) % 2 == side);
    }
    let transition = fleet.run(SETTLING_TIME);
    let partition = fleet.run(SETTLING_TIME);
    fleet.set_alive(|_| true, |_| true);
    let healing = fleet.run(SETTLING_TIME);
    // Shares of the state before may be used until the next report of their VM.
    let excess_time = Duration::from_secs(VMS as u64 / 20).as_secs_f64();
    let in_transition = LIMIT_PER_S * (1.0 + excess_time / SETTLING_TIME.as_secs_f64());
    let rates = format!("{transition}, {partition} and {healing} requests a second");
    assert!(transition.max(healing) <= with_one_request_each(in_transition), "{rates}");
    assert!(partition <= with_one_request_each(LIMIT_PER_S), "{rates}");
    assert!(partition >= 0.9 * LIMIT_PER_S, "{rates}");
}

#[test]
fn vms_that_miss_the_coordinator_add_their_even_shares_at_most() {
    let mut fleet = Fleet::new();
    fleet.run(SETTLING_TIME);
    let missed = fleet.coordinator();
    let next = fleet.next_coordinator();
    let misses = |it: &VmId| number(it).is_multiple_of(3) && *it != missed;
    // The next coordinator still takes the first one for alive.
    fleet.set_alive(|it| misses(it) && *it != next, |it| *it != missed);
    fleet.run(SETTLING_TIME);
    let disagreement = fleet.run(SETTLING_TIME);
    let even_shares = LIMIT_PER_S * VMS.div_ceil(3) as f64 / VMS as f64;
    let bound = with_one_request_each(LIMIT_PER_S + even_shares);
    assert!(disagreement <= bound, "{disagreement} requests a second, at most {bound}");
}

#[test]
fn two_live_coordinators_assign_the_limit_twice_at_most() {
    let mut fleet = Fleet::new();
    fleet.run(SETTLING_TIME);
    let missed = fleet.coordinator();
    let next = fleet.next_coordinator();
    let misses = |it: &VmId| (number(it).is_multiple_of(3) && *it != missed) || *it == next;
    fleet.set_alive(misses, |it| *it != missed);
    let rates = [fleet.run(SETTLING_TIME), fleet.run(SETTLING_TIME)];
    let bound = with_one_request_each(2.0 * LIMIT_PER_S);
    assert!(rates.iter().all(|it| *it <= bound), "{rates:?} requests a second, at most {bound}");
    fleet.set_alive(|_| true, |_| true);
    fleet.run(SETTLING_TIME);
    let agreement = fleet.run(SETTLING_TIME);
    assert!(agreement <= with_one_request_each(LIMIT_PER_S), "{agreement} requests a second");
}
