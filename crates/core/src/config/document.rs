//! Versioned configuration documents.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::ConfigVersion;
use crate::Digest;
use crate::OperatorId;
use crate::PlanId;

/// An accepted configuration, with its version and origin.
///
/// Each document refers to its predecessor, so that the history can be read backwards to find out
/// whether a plan was applied.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version, one higher than that of the predecessor.
    pub version: ConfigVersion,
    /// Plan that created this version.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub operator: OperatorId,
    /// Time of confirmation, in seconds since the Unix epoch.
    pub confirmed_unix_s: u64,
    /// Digest of the serialized predecessor; `None` for the first document.
    pub previous: Option<Digest>,
    /// Configuration in this version.
    pub config: Arc<Config>,
}

impl ConfigDocument {
    /// Returns the empty document of version 0, used until a configuration is accepted.
    pub fn initial() -> Self {
        Self {
            version: 0,
            plan: "".into(),
            operator: "".into(),
            confirmed_unix_s: 0,
            previous: None,
            config: Arc::default(),
        }
    }

    /// Serializes the document to the JSON that is stored and sent to other VMs.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented in JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the document holds only JSON-representable fields")
    }

    /// Parses a serialized document.
    ///
    /// # Errors
    ///
    /// Returns the parser's message if the bytes are not a valid document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, crate::ConfigParseError> {
        serde_json::from_slice(bytes)
            .map_err(|error| crate::ConfigParseError { message: error.to_string() })
    }
}
