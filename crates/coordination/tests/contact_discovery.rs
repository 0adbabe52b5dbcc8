//! VMs find each other through the contacts in the store.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::contacts::ContactRecord;
use cranberryvalve_coordination::contacts::Discovery;
use cranberryvalve_coordination::contacts::INITIAL_VM_COUNT;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::membership::REMOVE_AFTER;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::watch::JOIN_TIME;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

fn address(number: usize) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{number:03}").into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        failure_domain: format!("domain-{}", number % 8).into(),
    }
}

/// Returns the membership of VM `own`, which knows `others`.
fn membership(now: Instant, own: usize, others: impl IntoIterator<Item = usize>) -> Membership {
    let mut membership = Membership::new(address(own), 1);
    others.into_iter().for_each(|it| membership.add_seed(now, address(it)));
    membership
}

fn record(vms: impl IntoIterator<Item = usize>) -> ContactRecord {
    ContactRecord { contacts: vms.into_iter().map(address).collect(), revision: 1 }
}

/// VMs read the row, and write it if that is due, for `time`. Returns the numbers of reads and writes.
fn run(
    start: Instant,
    time: Duration,
    members: &[Membership],
    row: &mut ContactRecord,
) -> (usize, usize) {
    let mut vms: Vec<Discovery> = members.iter().map(|_| Discovery::new(start)).collect();
    let (mut reads, mut writes) = (0, 0);
    let mut now = start;
    while now < start + time {
        for (discovery, membership) in vms.iter_mut().zip(members) {
            if !discovery.is_read_due(now, membership) {
                continue;
            }
            reads += 1;
            discovery.on_read(now, membership, row.clone());
            if let Some(due) = discovery.due_record(now, membership) {
                writes += 1;
                *row = ContactRecord { revision: row.revision + 1, ..due };
            }
        }
        now += CHECK_INTERVAL;
    }
    (reads, writes)
}

/// A VM whose seeds were gone stayed alone.
#[test]
fn lone_vm_learns_contacts() {
    let now = Instant::now();
    let alone = membership(now, 9, []);
    let mut discovery = Discovery::new(now);
    assert!(discovery.is_read_due(now, &alone));
    discovery.on_read(now, &alone, record([1, 2]));
    assert_eq!(discovery.unknown_contacts(now, &alone), [address(1), address(2)]);
    let joined = membership(now, 9, [1]);
    assert_eq!(discovery.unknown_contacts(now, &joined), [address(2)]);
    assert_eq!(discovery.unseen_count(now, &joined), 0);
}

/// A lone VM issued whole limits, although it had reason to think that it did not see all VMs.
#[test]
fn unseen_vms_count() {
    let start = Instant::now();
    let alone = membership(start, 9, []);
    let mut discovery = Discovery::new(start);
    let joined_at = start + JOIN_TIME;
    assert_eq!(discovery.unseen_count(joined_at, &alone), INITIAL_VM_COUNT - 1);
    discovery.on_read(start, &alone, record([9]));
    assert_eq!(discovery.unseen_count(start, &alone), INITIAL_VM_COUNT - 1);
    assert_eq!(discovery.unseen_count(joined_at, &alone), 0);
    discovery.on_read(joined_at, &alone, record([1, 2, 3, 9]));
    assert_eq!(discovery.unseen_count(joined_at, &alone), 3);
    assert_eq!(discovery.unseen_count(joined_at + REMOVE_AFTER, &alone), 0);
}

/// A VM that was cut off for so long that it forgot the others took itself for the only one.
#[test]
fn forgotten_vms_count() {
    let start = Instant::now();
    let mut discovery = Discovery::new(start);
    discovery.on_read(start, &membership(start, 9, [1, 2, 3]), record([1, 2, 3, 9]));
    let later = start + REMOVE_AFTER * 2;
    assert_eq!(discovery.unseen_count(later, &membership(start, 9, [])), 3);
}

/// A group whose row was overwritten by another one was not found by anybody.
#[test]
fn groups_keep_each_other() {
    let start = Instant::now();
    let members =
        [membership(start, 1, [2, 3]), membership(start, 6, [7, 8]), membership(start, 7, [6, 8])];
    let mut row = ContactRecord::default();
    // For as long as the groups do not reach each other.
    let (_, writes) = run(start, REMOVE_AFTER, &members, &mut row);
    let mut names: Vec<String> = row.contacts.iter().map(|it| it.vm.to_string()).collect();
    names.sort();
    assert_eq!(names, ["vm-001", "vm-002", "vm-003", "vm-006", "vm-007", "vm-008"]);
    assert_eq!(writes, 2);
}

#[test]
fn gone_contacts_are_removed() {
    let start = Instant::now();
    let members = [membership(start, 1, [2, 3, 4])];
    let mut row = record([1, 2, 3, 50, 51]);
    run(start, REMOVE_AFTER * 2, &members, &mut row);
    assert_eq!(row.contacts, [1, 2, 3, 4].map(address));
}

#[test]
fn large_deployment_reads_seldom() {
    let start = Instant::now();
    let members: Vec<Membership> =
        (0..340).map(|own| membership(start, own, (0..340).filter(|it| *it != own))).collect();
    let mut row = ContactRecord::default();
    run(start, JOIN_TIME, &members, &mut row);
    let (reads, writes) = run(start, Duration::from_secs(600), &members, &mut row);
    // Each VM reads once when it starts; the first ones in 15 s, 30 s, 60 s and so on.
    assert!(reads <= 340 + 2 * 2 * 600 / 15, "{reads} reads");
    assert_eq!(writes, 1);
    assert_eq!(row.contacts, (0..8).map(address).collect::<Vec<_>>());
}
