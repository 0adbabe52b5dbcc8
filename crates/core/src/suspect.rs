//! Work that may crash upstreams.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::PoolId;
use crate::RequestFingerprint;
use crate::UpstreamId;

/// Identifier of a part of a prompt, chosen by the caller.
pub type PartId = u64;

/// What calls have in common that may crash the upstreams that run them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum SuspectKey {
    /// A part of a prompt that other prompts may share.
    PromptPart {
        /// Pool whose upstreams respond to the prompt.
        pool: PoolId,
        /// Identifier of the part.
        part: PartId,
    },
    /// The whole content of a request.
    Request(RequestFingerprint),
}

impl SuspectKey {
    /// Returns the kind of key in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::PromptPart { .. } => "prompt_part",
            Self::Request(_) => "request",
        }
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PromptPart { pool, part } => write!(f, "prompt part {part:x} at {pool}"),
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
        }
    }
}

/// One start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStart {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Identifies the start among those under the same name.
    pub incarnation: u64,
}
