//! Choice of the coordinator of a resource, the VM that holds its shared state, by rendezvous
//! hashing.

use std::collections::HashSet;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;

use crate::peer::PeerAddress;

/// Returns the VM among `vms` that is the coordinator of `resource`, or `None` if `vms` is empty.
///
/// VMs with the same member list choose the same coordinator without communicating, and a member
/// that joins or leaves changes only few coordinators (rendezvous hashing: Thaler and Ravishankar,
/// 1998).
///
/// ```
/// use cranberryvalve_coordination::home::coordinator_of;
///
/// let vms = ["vm-1".into(), "vm-2".into()];
/// assert_eq!(coordinator_of("engine-1", &vms), coordinator_of("engine-1", &vms));
/// assert_eq!(coordinator_of("engine-1", &[]), None);
/// ```
pub fn coordinator_of<'a>(resource: &str, vms: &'a [VmId]) -> Option<&'a VmId> {
    vms.iter().max_by_key(|vm| stable_hash((resource, vm)))
}

/// Returns the `count` VMs that hold the state of `resource`, so that it outlives the loss of some
/// of them.
///
/// The VMs are in different failure domains as far as there are enough. VMs whose member lists differ
/// little choose mostly the same ones.
pub fn coordinators_of(resource: u64, vms: &[PeerAddress], count: usize) -> Vec<&PeerAddress> {
    let mut ranked: Vec<&PeerAddress> = vms.iter().collect();
    ranked.sort_by_cached_key(|it| std::cmp::Reverse(stable_hash((resource, &it.vm))));
    let mut domains: HashSet<&FailureDomainId> = HashSet::new();
    let (first, others): (Vec<&PeerAddress>, Vec<&PeerAddress>) =
        ranked.into_iter().partition(|it| domains.insert(&it.failure_domain));
    first.into_iter().chain(others).take(count).collect()
}
