//! Identifiers used across all crates.

use std::sync::Arc;

/// Name of one of our VMs, unique among all VMs.
pub type VmId = Arc<str>;

/// Name of a failure domain.
pub type FailureDomainId = Arc<str>;

/// Name of a customer.
pub type CustomerId = Arc<str>;

/// Name of an upstream: one model engine or plain-service worker.
pub type UpstreamId = Arc<str>;

/// Name of what a group of upstreams serves: a model, or a plain service.
pub type PoolId = Arc<str>;

/// Name of a service class.
pub type ClassId = Arc<str>;

/// Name of an operator.
pub type OperatorId = Arc<str>;

/// Identifier of a plan, unique for each submission.
pub type PlanId = Arc<str>;

/// Key by which a caller names a non-idempotent call.
pub type IdempotencyKey = Arc<str>;

/// Identifier of one request of one caller.
pub type RequestId = u64;

/// Number of an attempt at a request, starting at 1.
pub type Attempt = u32;

/// Version of the configuration. Version 0 means that none has been accepted yet.
pub type ConfigVersion = u64;

/// Number that grows with each new holder of a lease.
pub type FencingToken = u64;

/// Priority level; 0 is the highest.
pub type Tier = u8;
