//! What the scheduler knows of a call.

use std::sync::Arc;
use std::time::Instant;

use cranberryvalve_core::CustomerId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::Tier;
use cranberryvalve_core::shared_hash;
use cranberryvalve_core::table::RouteRule;

/// A request that waits for, or has, an upstream.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier, unique on this VM.
    pub id: RequestId,
    /// Route that it came by.
    pub route: Arc<RouteRule>,
    /// Pool that is to answer.
    pub pool: PoolId,
    /// Customer that asks; none on public routes.
    pub customer: Option<CustomerId>,
    /// Tier, 0 is the highest.
    pub tier: Tier,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When it is of no use any more.
    pub deadline: Instant,
    /// Prompt, when a model engine answers.
    pub prompt: Option<Prompt>,
    /// Bytes of the body.
    pub body_bytes: usize,
}

impl Call {
    /// When an answer, or its first event, would stop to be on time.
    pub fn target_at(&self) -> Instant {
        self.arrived_at + self.route.target
    }
}

/// Sizes of a prompt and the parts that it shares with others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to read.
    pub input_tokens: u32,
    /// Tokens to generate, at most.
    pub output_tokens: u32,
    /// Parts in order; the last one is the request's own.
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

/// A beginning of a prompt: a part with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the parts up to here.
    pub hash: u64,
    /// Length of the last part of the prefix in tokens.
    pub part_tokens: u32,
}

impl Prompt {
    /// The prefixes of the prompt, shortest first.
    pub fn prefixes(&self) -> impl Iterator<Item = PromptPrefix> + '_ {
        let mut hash = 0;
        self.parts.iter().map(move |part| {
            hash = shared_hash((hash, part.id));
            PromptPrefix { hash, part_tokens: part.tokens }
        })
    }

    /// Hash of all that the prompt may share with other requests; none when that is nothing.
    pub fn shared_hash(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1)?;
        self.prefixes().take(shared).last().map(|it| it.hash)
    }

    /// Tokens that the prompt may share with other requests.
    pub fn shared_tokens(&self) -> u32 {
        let own = self.parts.last().map_or(0, |it| it.tokens);
        self.parts.iter().map(|it| it.tokens).sum::<u32>() - own
    }
}
