//! What each VM runs is known to all VMs that announce it, also beside VMs that do not.

use std::collections::BTreeSet;

use cranberryvalve_coordination::builds::BuildLog;
use cranberryvalve_coordination::builds::CAPABILITIES;
use cranberryvalve_coordination::builds::PROTOCOL_VERSION;
use cranberryvalve_coordination::builds::REPEATED_BUILDS;
use cranberryvalve_coordination::builds::VmBuild;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::VmId;

/// Number of VMs at the target size.
const VMS: usize = 340;

/// Control traffic of a VM at the target size, in bytes a second.
const CONTROL_BYTES_PER_S: usize = 8_000;

/// Length of an authentication code.
const MAC_BYTES: usize = 32;

/// Time within which each VM knows the others, in seconds: it tells one VM after the other every two
/// seconds, so no other VM needs to forward anything.
const MAX_ROUNDS: usize = VMS * 2;

/// Incarnation of the VMs: a time in milliseconds.
const INCARNATION: u64 = 1_764_900_000_123;

fn name(number: usize) -> VmId {
    format!("front-chc-{}-{number:03}", number % 8).into()
}

fn build_of(number: usize) -> VmBuild {
    VmBuild::of_this_build(name(number), INCARNATION, "97079c5a7388".into())
}

fn is_member(_vm: &str) -> bool {
    true
}

#[expect(clippy::print_stdout, reason = "`--nocapture` shows the figures")]
fn print_line(line: &str) {
    println!("{line}");
}

/// Neighbours of a VM on the ring: at distances 1, 2, 4 and so on.
fn neighbours(number: usize) -> Vec<usize> {
    let distances = std::iter::successors(Some(1), |it| Some(it * 2));
    distances.take_while(|it| *it < VMS).map(|it| (number + it) % VMS).collect()
}

/// Returns the number of rounds until each VM that announces its build knows all others of its kind.
fn rounds_until_known(is_able: impl Fn(usize) -> bool) -> usize {
    let able: Vec<usize> = (0..VMS).filter(|it| is_able(*it)).collect();
    let mut logs: Vec<BuildLog> = (0..VMS).map(|_| BuildLog::default()).collect();
    for round in 0..MAX_ROUNDS {
        let mut sent: Vec<(usize, Vec<VmBuild>)> = Vec::new();
        for &vm in &able {
            let receivers = neighbours(vm);
            let updates = logs[vm].take_updates();
            sent.extend(receivers.iter().map(|it| (*it, updates.clone())));
            let mut builds = vec![build_of(vm)];
            builds.extend(logs[vm].next_repeated(REPEATED_BUILDS));
            // Neighbours and all VMs by turns, as `BuildExchange` does.
            let receiver = match round % 2 {
                0 => receivers[round / 2 % receivers.len()],
                _ => (vm + 1 + round / 2 % (VMS - 1)) % VMS,
            };
            sent.push((receiver, builds));
        }
        for (receiver, builds) in sent {
            // Older builds drop the message.
            if is_able(receiver) {
                logs[receiver].merge(builds, is_member);
            }
        }
        let knows = |vm: &usize, other: &usize| logs[*vm].build_of(&name(*other), 0).is_some();
        let is_complete = |vm: &usize| able.iter().all(|it| it == vm || knows(vm, it));
        if able.iter().all(is_complete) {
            return round + 1;
        }
    }
    panic!("announcements do not reach all VMs")
}

#[test]
fn announcements_reach_all_vms_beside_older_builds() {
    // All at once, which no upgrade does, at 8 new announcements in a message.
    let cases = [
        rounds_until_known(|_| true),
        rounds_until_known(|it| it % 3 != 0),
        rounds_until_known(|it| it % 2 == 0),
        rounds_until_known(|it| it < VMS / 2),
        // No VM has a neighbour that forwards announcements.
        rounds_until_known(|it| it % 3 == 0),
        rounds_until_known(|it| it == 0 || it == 170),
    ];
    print_line(&format!("seconds until all announcements are known: {cases:?}"));
}

#[test]
fn announcements_take_little_of_the_control_traffic() {
    let from = PeerAddress {
        vm: name(0),
        address: ([10, 101, 102, 140], 48_229).into(),
        failure_domain: "chc-a".into(),
    };
    let bytes = |count: usize| {
        let builds = (0..count).map(build_of).collect();
        let message = PeerMessage::Builds { from: from.clone(), builds };
        MAC_BYTES + postcard::to_stdvec(&message).expect("a message can be encoded").len()
    };
    // A twentieth of the target while nothing changes.
    let steady = bytes(1 + REPEATED_BUILDS);
    assert!(steady <= CONTROL_BYTES_PER_S / 20, "{steady} bytes a second");
    // All VMs replaced within 10 minutes: each is announced to 9 neighbours of each VM.
    let per_replacement = neighbours(0).len() * bytes(1);
    let during_upgrade = steady + per_replacement * VMS / 600;
    print_line(&format!("bytes a second: {steady} steady, {during_upgrade} during an upgrade"));
    assert!(during_upgrade <= CONTROL_BYTES_PER_S / 8, "{during_upgrade} bytes a second");
}

#[test]
fn restarted_vm_counts_as_unknown_until_it_announces_itself() {
    let mut log = BuildLog::default();
    log.merge(vec![build_of(1)], is_member);
    assert_eq!(log.build_of(&name(1), INCARNATION), Some(&build_of(1)));
    assert_eq!(log.build_of(&name(1), INCARNATION + 1), None);
    let next = VmBuild { incarnation: INCARNATION + 1, build: "later".into(), ..build_of(1) };
    assert_eq!(log.merge(vec![next.clone()], is_member), [next]);
    assert_eq!(log.merge(vec![build_of(1)], is_member), [], "an old announcement changes nothing");
    assert_eq!(log.build_of(&name(2), 0), None);
}

#[test]
fn announcements_of_vms_that_are_gone_do_not_circulate() {
    let (mut first, mut second) = (BuildLog::default(), BuildLog::default());
    first.merge(vec![build_of(1)], is_member);
    second.merge(first.take_updates(), is_member);
    first.retain(|_| false);
    assert_eq!(first.merge(second.take_updates(), |_| false), []);
    assert_eq!(first.take_updates(), []);
    assert_eq!(first.next_repeated(4), []);
}

#[test]
fn repetition_covers_all_vms_in_turn() {
    let mut log = BuildLog::default();
    log.merge((0..10).map(build_of).collect(), is_member);
    let repeated: BTreeSet<VmId> =
        (0..3).flat_map(|_| log.next_repeated(4)).map(|it| it.vm).collect();
    assert_eq!(repeated.len(), 10);
    assert_eq!(log.next_repeated(64).len(), 10, "each once");
}

#[test]
fn odd_announcements_are_ignored_or_shown_as_far_as_known() {
    let mut log = BuildLog::default();
    let long = VmBuild { build: "x".repeat(10_000).into(), ..build_of(1) };
    assert_eq!(log.merge(vec![long], is_member), []);
    let later = VmBuild { capabilities: u64::MAX, protocol_version: u32::MAX, ..build_of(1) };
    assert_eq!(later.capability_names().collect::<Vec<_>>(), CAPABILITIES);
    assert_eq!(log.merge(vec![later.clone()], is_member), [later]);
    assert_ne!(PROTOCOL_VERSION, 0, "0 stands for builds that announce nothing");
}
