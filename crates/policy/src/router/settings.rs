//! Per-VM settings of a router that are not part of the shared configuration.

use cranberryvalve_core::VmId;

/// Settings of one VM's router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// Name of this VM, unique among all VMs.
    pub vm: VmId,
    /// Failure domain of this VM, whose upstreams are preferred at equal load; `None` if unknown.
    pub failure_domain: Option<cranberryvalve_core::FailureDomainId>,
    /// Seed of the router's random number generator.
    pub seed: u64,
    /// Maximum number of upstreams in a pool to which this VM sends requests.
    pub subset_size: usize,
}

/// Default for [`RouterSettings::subset_size`].
const DEFAULT_SUBSET_SIZE: usize = 24;

impl RouterSettings {
    /// Creates settings with the default subset size and no failure domain.
    pub const fn new(vm: VmId, seed: u64) -> Self {
        Self { vm, failure_domain: None, seed, subset_size: DEFAULT_SUBSET_SIZE }
    }

    /// Sets the failure domain of this VM.
    #[must_use]
    pub fn failure_domain(mut self, failure_domain: cranberryvalve_core::FailureDomainId) -> Self {
        self.failure_domain = Some(failure_domain);
        self
    }

    /// Sets the maximum number of upstreams in a pool to which this VM sends requests.
    #[must_use]
    pub const fn subset_size(mut self, subset_size: usize) -> Self {
        self.subset_size = subset_size;
        self
    }
}
