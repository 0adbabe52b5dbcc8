//! An accepted configuration with its place in history.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::ConfigVersion;
use crate::Digest;
use crate::OperatorId;
use crate::PlanId;

/// A configuration as it was accepted.
///
/// Each document names its predecessor, so that history can be read backwards and the fate of any
/// plan can be told from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version, one higher than the predecessor's.
    pub version: ConfigVersion,
    /// Plan that brought it about.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub operator: OperatorId,
    /// Time of confirmation, in seconds since the Unix epoch.
    pub confirmed_unix_s: u64,
    /// Digest of the predecessor's body; none for the first document.
    pub previous: Option<Digest>,
    /// The declared configuration.
    pub config: Arc<Config>,
}

impl ConfigDocument {
    /// The document before any configuration was accepted.
    pub fn genesis() -> Self {
        Self {
            version: 0,
            plan: "".into(),
            operator: "".into(),
            confirmed_unix_s: 0,
            previous: None,
            config: Arc::default(),
        }
    }

    /// The bytes that are stored and sent to peers.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented in JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the document holds only JSON-representable fields")
    }

    /// Parses stored bytes.
    ///
    /// # Errors
    ///
    /// Returns the parser's message when the bytes are not a document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, crate::ConfigParseError> {
        serde_json::from_slice(bytes)
            .map_err(|error| crate::ConfigParseError { message: error.to_string() })
    }
}
