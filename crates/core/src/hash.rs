//! A hash on which all VMs agree.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// The hash of `value`, the same on all VMs that run the same build.
///
/// It places things on VMs and upstreams without talking. Between builds with different versions of
/// the standard library it may differ, which costs caches and nothing else.
///
/// ```
/// use cranberryvalve_core::shared_hash;
///
/// assert_eq!(shared_hash(("engine-1", 7)), shared_hash(("engine-1", 7)));
/// ```
pub fn shared_hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
