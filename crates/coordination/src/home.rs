//! Choice of the coordinator of a resource, the VM that holds its shared state, by rendezvous
//! hashing.

use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;

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
