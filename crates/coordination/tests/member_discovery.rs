//! VMs that know one seed each find all others.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::membership::DEAD_AFTER;
use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::Heartbeat;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_core::PressureDigest;
use quickcheck::quickcheck;

const ROUND: Duration = Duration::from_secs(1);

/// Rounds after which all VMs know each other: more than enough for any order of messages.
const MAX_ROUNDS: usize = 30;

/// Rounds after which four VMs know each other although a few messages in a row were lost.
const MAX_LOSSY_ROUNDS: usize = 5;

/// Numbers of the VMs of a deployment of four.
const ALL: [usize; 4] = [0, 1, 2, 3];

fn address(number: usize) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{number}").into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        failure_domain: "a".into(),
    }
}

fn send(vms: &mut [Membership], now: Instant, from: usize, to: usize) {
    send_over(&mut |_| false, vms, now, from, to);
}

/// Sends a heartbeat and the reply to it, each of which is lost if `is_lost` says so of its
/// receiver.
fn send_over(
    is_lost: &mut impl FnMut(usize) -> bool,
    vms: &mut [Membership],
    now: Instant,
    from: usize,
    to: usize,
) {
    let receiver = address(to);
    let heartbeat = Heartbeat {
        from: vms[from].local().clone(),
        incarnation: vms[from].incarnation(),
        sequence: 1,
        acknowledged: 0,
        config_version: 0,
        config_fresh: false,
        pressure: PressureDigest::default(),
        members: vms[from].updates_for(&receiver.vm),
    };
    if is_lost(to) {
        return;
    }
    let relation = vms[to].on_heartbeat(now, &heartbeat);
    if !relation.is_neighbour {
        send_updates(is_lost, vms, now, to, from);
    }
}

/// Sends the reply to a heartbeat of a VM that is not a neighbour.
fn send_updates(
    is_lost: &mut impl FnMut(usize) -> bool,
    vms: &mut [Membership],
    now: Instant,
    from: usize,
    to: usize,
) {
    let receiver = address(to);
    let sender = vms[from].local().clone();
    let incarnation = vms[from].incarnation();
    let members = vms[from].updates_for(&receiver.vm);
    if is_lost(to) {
        return;
    }
    vms[to].on_direct_message(now, &sender, incarnation);
    members.iter().for_each(|it| vms[to].on_update(now, it));
}

/// Lets the running VMs send heartbeats for some rounds.
fn run(vms: &mut [Membership], now: &mut Instant, rounds: usize, running: &[usize]) {
    run_over(&mut |_| false, vms, now, rounds, running);
}

/// Lets the running VMs send heartbeats for some rounds, some of which are lost.
fn run_over(
    is_lost: &mut impl FnMut(usize) -> bool,
    vms: &mut [Membership],
    now: &mut Instant,
    rounds: usize,
    running: &[usize],
) {
    for round in 0..rounds {
        *now += ROUND;
        for vm in running {
            vms[*vm].on_tick(*now);
            let mut receivers = vms[*vm].neighbours();
            receivers.extend(vms[*vm].probe_target(round));
            for receiver in receivers {
                let to = usize::from(receiver.address.port()) - 1_000;
                if running.contains(&to) {
                    send_over(is_lost, vms, *now, *vm, to);
                }
            }
        }
    }
}

/// Returns four VMs that know each other.
fn four_vms(now: &mut Instant) -> Vec<Membership> {
    let mut vms: Vec<_> = ALL.map(|it| Membership::new(address(it), 1)).into();
    for vm in 1..4 {
        send(&mut vms, *now, vm, 0);
    }
    run(&mut vms, now, MAX_ROUNDS, &ALL);
    vms
}

/// Puts a new process, which knows no other VM, in the place of a VM.
fn restart(vms: &mut [Membership], vm: usize) {
    let incarnation = vms[vm].incarnation() + 1;
    vms[vm] = Membership::new(address(vm), incarnation);
}

#[test]
fn restarted_vm_is_told_of_all_members() {
    let mut now = Instant::now();
    let mut vms = four_vms(&mut now);
    for (restarted, seed) in ALL.iter().flat_map(|vm| ALL.map(|seed| (*vm, seed))) {
        // It is back before its silence is noticed, and knows one of the others.
        restart(&mut vms, restarted);
        if seed != restarted {
            send(&mut vms, now, restarted, seed);
        }
        run(&mut vms, &mut now, MAX_ROUNDS, &ALL);
        let counts: Vec<usize> = vms.iter().map(Membership::alive_count).collect();
        assert_eq!(counts, [4; 4], "after a restart of VM {restarted} with seed {seed}");
    }
}

#[test]
fn restarted_vm_is_told_despite_loss() {
    let mut now = Instant::now();
    let mut vms = four_vms(&mut now);
    let mut failed = Vec::new();
    for (restarted, seed) in ALL.iter().flat_map(|vm| ALL.map(|seed| (*vm, seed))) {
        for first_lost in 1..7 {
            restart(&mut vms, restarted);
            let mut arrivals = 0;
            // Three messages in a row to the new process are lost.
            let is_lost = &mut |to: usize| {
                arrivals += usize::from(to == restarted);
                to == restarted && (first_lost..first_lost + 3).contains(&arrivals)
            };
            if seed != restarted {
                send_over(is_lost, &mut vms, now, restarted, seed);
            }
            run_over(is_lost, &mut vms, &mut now, MAX_LOSSY_ROUNDS, &ALL);
            let counts: Vec<usize> = vms.iter().map(Membership::alive_count).collect();
            if counts != [4; 4] {
                failed.push((restarted, seed, first_lost, counts));
            }
            run(&mut vms, &mut now, 70, &ALL);
        }
    }
    assert_eq!(failed, []);
}

#[test]
fn restarted_vm_without_a_living_seed_is_found() {
    let mut now = Instant::now();
    let mut vms: Vec<_> = (0..3).map(|it| Membership::new(address(it), 1)).collect();
    for vm in 1..3 {
        send(&mut vms, now, vm, 0);
    }
    run(&mut vms, &mut now, 5, &[0, 1, 2]);
    vms[0].stop();
    run(&mut vms, &mut now, 2, &[0, 1, 2]);
    run(&mut vms, &mut now, 5, &[1, 2]);
    vms[0] = Membership::new(address(0), 2);
    run(&mut vms, &mut now, MAX_ROUNDS, &[0, 1, 2]);
    assert_eq!(vms.iter().map(Membership::alive_count).collect::<Vec<_>>(), [3, 3, 3]);
}

quickcheck! {
    fn all_vms_find_each_other(seeds: Vec<usize>) -> bool {
        let start = Instant::now();
        let count = seeds.len().min(12) + 1;
        let mut vms: Vec<_> = (0..count).map(|it| Membership::new(address(it), 1)).collect();
        // Each VM starts later than the one before and knows one of those.
        let seeds: Vec<usize> = (1..count).map(|it| seeds[it - 1] % it).collect();
        let mut now = start;
        for round in 0..MAX_ROUNDS {
            now += ROUND;
            for vm in 0..count.min(round + 1) {
                vms[vm].on_tick(now);
                if vms[vm].alive_count() == 1 && vm > 0 {
                    send(&mut vms, now, vm, seeds[vm - 1]);
                }
                for neighbour in vms[vm].neighbours() {
                    let to = usize::from(neighbour.address.port()) - 1_000;
                    send(&mut vms, now, vm, to);
                }
            }
        }
        vms.iter().all(|it| it.alive_count() == count)
    }
}

#[test]
fn late_tick_does_not_declare_members_dead() {
    let mut now = Instant::now();
    let mut vms = four_vms(&mut now);
    // The process stood still for less than DEAD_AFTER. What arrived meanwhile is not read yet.
    now += ROUND + Duration::from_millis(2_500);
    vms[0].on_tick(now);
    assert_eq!(vms[0].alive_count(), 4, "dead: {:?}", vms[0].dead_names());
    let told = vms[0].updates_for(&address(1).vm);
    assert!(told.iter().all(|it| it.state == MemberState::Alive), "{told:?}");
}

#[test]
fn silent_members_are_dead_some_rounds_after_a_late_tick() {
    let mut now = Instant::now();
    let mut vms = four_vms(&mut now);
    now += Duration::from_secs(10);
    // One time limit for the neighbours, one more for the VM that becomes a neighbour then.
    let rounds = 1 + 2 * DEAD_AFTER.as_secs() as usize;
    run(&mut vms, &mut now, rounds, &[0]);
    assert_eq!(vms[0].alive_count(), 1);
}
