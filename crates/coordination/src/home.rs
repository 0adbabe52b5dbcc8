//! The VM that keeps the common knowledge of something.

use cranberryvalve_core::VmId;
use cranberryvalve_core::shared_hash;

/// The home of `thing` among `vms`.
///
/// All VMs that know the same members find the same home without talking to each other, and a
/// member that comes or goes changes few homes (rendezvous hashing: Thaler and Ravishankar, 1998).
///
/// ```
/// use cranberryvalve_coordination::home::home_of;
///
/// let vms = ["vm-1".into(), "vm-2".into()];
/// assert_eq!(home_of("engine-1", &vms), home_of("engine-1", &vms));
/// assert_eq!(home_of("engine-1", &[]), None);
/// ```
pub fn home_of<'a>(thing: &str, vms: &'a [VmId]) -> Option<&'a VmId> {
    vms.iter().max_by_key(|vm| shared_hash((thing, vm)))
}
