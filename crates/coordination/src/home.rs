//! Choice of the VM that holds the shared state of a resource.

use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;

/// Returns the VM among `vms` that is the home of `resource`, or `None` if `vms` is empty.
///
/// VMs with the same member list choose the same home without communicating, and a member that
/// joins or leaves changes only few homes (rendezvous hashing: Thaler and Ravishankar, 1998).
///
/// ```
/// use cranberryvalve_coordination::home::home_of;
///
/// let vms = ["vm-1".into(), "vm-2".into()];
/// assert_eq!(home_of("engine-1", &vms), home_of("engine-1", &vms));
/// assert_eq!(home_of("engine-1", &[]), None);
/// ```
pub fn home_of<'a>(resource: &str, vms: &'a [VmId]) -> Option<&'a VmId> {
    vms.iter().max_by_key(|vm| stable_hash((resource, vm)))
}
