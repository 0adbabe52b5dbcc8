//! Identifiers and numbers used by all crates.

use std::sync::Arc;

/// Name of a VM, unique among all VMs of the deployment.
pub type VmId = Arc<str>;

/// Name of a failure domain: VMs and upstreams that may fail together.
pub type FailureDomainId = Arc<str>;

/// Name of a customer, unique among all customers.
pub type CustomerId = Arc<str>;

/// Name of an upstream: a model engine or a worker of a plain service.
pub type UpstreamId = Arc<str>;

/// Version of the software that an upstream runs. Versions have no order.
pub type SoftwareVersion = Arc<str>;

/// Stands for the version of an upstream that is not known for certain. No upstream has it: what must
/// continue at it is not continued.
pub const UNKNOWN_VERSION: &str = "\0";

/// Name of a pool: the model or plain service that a group of upstreams serves.
pub type PoolId = Arc<str>;

/// Name of a service class, unique among all classes.
pub type ClassId = Arc<str>;

/// Name of an operator, who may confirm configuration plans.
pub type OperatorId = Arc<str>;

/// Identifier of a configuration plan, unique for each submission.
pub type PlanId = Arc<str>;

/// Key by which a caller identifies a non-idempotent call, so that it runs at most once.
pub type IdempotencyKey = Arc<str>;

/// Identifier of a request, unique on the VM that received it.
pub type RequestId = u64;

/// Number of an attempt to run a request, starting at 1.
pub type Attempt = u32;

/// Version of the configuration; 0 if none has been accepted yet.
pub type ConfigVersion = u64;

/// Fencing token, which increases with each new holder of a lease.
pub type FencingToken = u64;

/// Priority level; 0 is the highest.
pub type Tier = u8;
