//! Customers and their limits.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassId;
use crate::CustomerId;
use crate::Digest;

/// A customer, with the service classes it may use and its limits.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Name, unique among the customers.
    pub id: CustomerId,
    /// SHA-256 digest of the API key, in hexadecimal. The key itself is never stored.
    pub key_sha256: Digest,
    /// Names of the service classes that the customer may use.
    pub classes: Vec<ClassId>,
    /// Share of the capacity of a tier, relative to the weights of the other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests per second over all VMs; `None` if unlimited.
    #[serde(default)]
    pub requests_per_s: Option<f64>,
    /// Maximum number of requests in flight over all VMs; `None` if unlimited.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
}

impl CustomerSpec {
    /// Returns whether the customer may use the service class named `class`.
    pub fn allows(&self, class: &str) -> bool {
        self.classes.iter().any(|it| &**it == class)
    }
}

const fn default_weight() -> u32 {
    1
}
