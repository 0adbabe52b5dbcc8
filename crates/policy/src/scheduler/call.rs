//! The data about a call that scheduling needs.

use std::sync::Arc;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::Tier;
use cranberryvalve_core::stable_hash;
use cranberryvalve_core::table::RouteRule;

/// A request that is queued or has an upstream.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier, unique on this VM.
    pub id: RequestId,
    /// Route that matched the request.
    pub route: Arc<RouteRule>,
    /// Pool whose upstreams may respond to the call.
    pub pool: PoolId,
    /// Customer that sent the request, or `None` on a public route.
    pub customer: Option<CustomerId>,
    /// Priority tier; 0 is the highest.
    pub tier: Tier,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Time after which a response is of no use any more.
    pub deadline: Instant,
    /// Prompt sizes, or `None` if the call is not for a language-model engine.
    pub prompt: Option<Prompt>,
    /// Maximum number of attempts that reach upstreams.
    pub max_attempts: u32,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    /// Software version that the upstream must run, as the call continues a stream that such an
    /// upstream began. `None` if any version will do.
    pub software_version: Option<SoftwareVersion>,
}

impl Call {
    /// Returns the time until which a response, or its first event, is on time.
    pub fn target_at(&self) -> Instant {
        self.arrived_at + self.route.latency_target
    }
}

/// Sizes of a prompt, and the parts that it may share with other prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens to prefill, cached ones included.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Parts in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; equal parts have equal identifiers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prefix of a prompt: a part together with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of all parts of the prefix.
    pub hash: u64,
    /// Length of the prefix's last part in tokens.
    pub part_tokens: u32,
}

impl Prompt {
    /// Returns the prefixes of the prompt, shortest first.
    pub fn prefixes(&self) -> impl Iterator<Item = PromptPrefix> + '_ {
        let mut hash = 0;
        self.parts.iter().map(move |part| {
            hash = stable_hash((hash, part.id));
            PromptPrefix { hash, part_tokens: part.tokens }
        })
    }

    /// Returns the hash of the longest prefix that other requests may share, or `None` if there is
    /// no such prefix.
    pub fn shared_prefix_hash(&self) -> Option<u64> {
        let shared_parts = self.parts.len().checked_sub(1)?;
        self.prefixes().take(shared_parts).last().map(|it| it.hash)
    }

    /// Returns the identifiers of the parts that other prompts may share, in order.
    pub fn shared_part_ids(&self) -> Vec<u64> {
        let shared_parts = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared_parts).map(|it| it.id).collect()
    }

    /// Returns the length in tokens of the longest prefix that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared_parts = self.parts.len().saturating_sub(1);
        let shared = self.parts.iter().take(shared_parts);
        shared.fold(0, |total, it| total.saturating_add(it.tokens))
    }
}
