//! Membership updates reach all of 340 VMs within a bound, over loss, in virtual time.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_core::PressureDigest;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const VMS: usize = 340;
const LOSS: f64 = 0.05;
const ROUND: Duration = Duration::from_secs(1);

/// Rounds of heartbeats in which an update must reach all VMs: one for each of the 9 steps of the
/// ring, and as many again for lost heartbeats and for updates that wait for room in a heartbeat.
const BOUND_ROUNDS: usize = 18;

fn address(number: usize) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{number:03}").into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        failure_domain: format!("d-{}", number % 8).into(),
    }
}

fn heartbeat(membership: &mut Membership, receiver: &PeerAddress) -> Heartbeat {
    Heartbeat {
        from: membership.local().clone(),
        incarnation: membership.incarnation(),
        sequence: 1,
        acknowledged: 0,
        config_version: 0,
        config_fresh: false,
        pressure: PressureDigest::default(),
        members: membership.updates_for(&receiver.vm),
    }
}

/// Returns whether a VM lists none of these members as alive.
fn knows_as_lost(vm: &Membership, lost: &[usize]) -> bool {
    let alive = vm.alive_names();
    lost.iter().all(|it| !alive.contains(&address(*it).vm))
}

/// Lets VMs leave at the same time, and returns the number of rounds until all others know.
fn rounds_until_known(seed: u64, leaving: usize) -> usize {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = Instant::now();
    let mut vms: Vec<Membership> = (0..VMS).map(|it| Membership::new(address(it), 1)).collect();
    for vm in &mut vms {
        (0..VMS).for_each(|it| vm.add_seed(start, address(it)));
    }
    // The updates about members that have just joined are sent first.
    let mut now = start;
    let mut left: Vec<usize> = Vec::new();
    for round in 0..110 {
        if round == 60 {
            while left.len() < leaving {
                let vm = rng.random_range(0..VMS);
                if !left.contains(&vm) {
                    left.push(vm);
                    vms[vm].stop();
                }
            }
        }
        now += ROUND;
        for sender in 0..VMS {
            // A VM that leaves sends one last heartbeat to each neighbour.
            if round > 60 && left.contains(&sender) {
                continue;
            }
            vms[sender].on_tick(now);
            for receiver in vms[sender].neighbours() {
                let heartbeat = heartbeat(&mut vms[sender], &receiver);
                let index = usize::from(receiver.address.port()) - 1_000;
                if rng.random::<f64>() < LOSS {
                    continue;
                }
                let relation = vms[index].on_heartbeat(now, &heartbeat);
                // A VM replies to heartbeats of VMs that it sends none to.
                let is_lost = rng.random::<f64>() < LOSS;
                if !relation.is_neighbour && !is_lost && !left.contains(&index) {
                    let to = address(sender);
                    let reply = self::heartbeat(&mut vms[index], &to);
                    vms[sender].on_heartbeat(now, &reply);
                }
            }
        }
        let mut remaining = (0..VMS).filter(|it| !left.contains(it));
        if round >= 60 && remaining.all(|it| knows_as_lost(&vms[it], &left)) {
            return round - 60 + 1;
        }
    }
    usize::MAX
}

#[test]
fn departure_of_one_vm_reaches_all() {
    thread::scope(|scope| {
        for seed in 0..3 {
            scope.spawn(move || {
                let rounds = rounds_until_known(seed, 1);
                assert!(rounds <= BOUND_ROUNDS, "seed {seed}: {rounds} rounds");
            });
        }
    });
}

#[test]
fn loss_of_a_failure_domain_reaches_all() {
    let rounds = rounds_until_known(7, VMS / 8);
    assert!(rounds <= BOUND_ROUNDS, "{rounds} rounds");
}
