//! Customers.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassId;
use crate::CustomerId;
use crate::Digest;

/// Who may call, with which classes and how much.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Unique name.
    pub id: CustomerId,
    /// SHA-256 of the API key, in hexadecimal. The key itself is never stored.
    pub key_sha256: Digest,
    /// Classes that the customer may use.
    pub classes: Vec<ClassId>,
    /// Share of a tier relative to other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests per second over all VMs; none means no limit.
    #[serde(default)]
    pub requests_per_s: Option<f64>,
    /// Requests in flight over all VMs; none means no limit.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
}

impl CustomerSpec {
    /// Whether the customer may use the class named `class`.
    pub fn allows(&self, class: &str) -> bool {
        self.classes.iter().any(|it| &**it == class)
    }
}

const fn default_weight() -> u32 {
    1
}
