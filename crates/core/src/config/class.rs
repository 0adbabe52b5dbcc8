//! Service classes of requests.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassId;
use crate::Tier;

/// A kind of request, with its priority and latency targets.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceClass {
    /// Name, unique among the classes.
    pub id: ClassId,
    /// Priority level; 0 is the highest.
    pub tier: Tier,
    /// Target for the time to the first token, in milliseconds.
    #[serde(default = "default_first_token_target_ms")]
    pub first_token_target_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    #[serde(default = "default_token_interval_target_ms")]
    pub token_interval_target_ms: u64,
    /// Maximum time in the queue before a request is given up, in milliseconds.
    #[serde(default = "default_queue_limit_ms")]
    pub queue_limit_ms: u64,
    /// Time in the queue after which a request may be promoted ahead of higher tiers, in
    /// milliseconds.
    #[serde(default = "default_promote_after_ms")]
    pub promote_after_ms: u64,
    /// Maximum time between two tokens before a stream is considered lost, in milliseconds.
    #[serde(default = "default_silence_limit_ms")]
    pub silence_limit_ms: u64,
    /// Maximum time until the response begins, over all attempts, in milliseconds.
    #[serde(default = "default_answer_limit_ms")]
    pub answer_limit_ms: u64,
}

const fn default_first_token_target_ms() -> u64 {
    1_500
}

const fn default_token_interval_target_ms() -> u64 {
    39
}

const fn default_queue_limit_ms() -> u64 {
    30_000
}

const fn default_promote_after_ms() -> u64 {
    10_000
}

const fn default_silence_limit_ms() -> u64 {
    3_000
}

const fn default_answer_limit_ms() -> u64 {
    300_000
}
