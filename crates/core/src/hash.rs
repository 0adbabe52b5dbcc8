//! Hash function with the same result on all VMs.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Returns a hash of `value` that is the same on all VMs that run the same build.
///
/// It is used to assign work to VMs and upstreams without coordination. The hash may differ between
/// builds with different versions of the standard library, which only lowers cache hit rates.
///
/// ```
/// use cranberryvalve_core::stable_hash;
///
/// assert_eq!(stable_hash(("engine-1", 7)), stable_hash(("engine-1", 7)));
/// ```
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
