//! Model of the contents of an engine's prefix cache.

use std::collections::HashMap;

use super::Prompt;

/// Fraction of an engine's memory that is assumed to hold cached prefixes; running requests take
/// the rest.
const CACHE_MEMORY_FRACTION: f64 = 0.6;

/// Model of an engine's prefix cache, with eviction of the least recently used parts.
///
/// It covers only the prompts that this VM sent.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    clock: u64,
    parts: HashMap<u64, CachedPart>,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    used_at: u64,
}

impl PrefixCache {
    /// Sets the capacity from the engine's memory, in tokens.
    pub(super) fn set_memory(&mut self, memory_tokens: u64) {
        self.capacity_tokens = (memory_tokens as f64 * CACHE_MEMORY_FRACTION) as u64;
        self.evict();
    }

    /// Returns the number of tokens at the start of `prompt` that are cached.
    pub(super) fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prompt.prefixes().take_while(|it| self.parts.contains_key(&it.hash));
        cached.fold(0, |total, it| total.saturating_add(it.part_tokens))
    }

    /// Records that the engine prefills `prompt`, which caches all of its parts.
    pub(super) fn insert(&mut self, prompt: &Prompt) {
        for prefix in prompt.prefixes() {
            self.clock += 1;
            let part = self.parts.entry(prefix.hash).or_insert_with(|| {
                self.used_tokens += u64::from(prefix.part_tokens);
                CachedPart { tokens: prefix.part_tokens, used_at: 0 }
            });
            part.used_at = self.clock;
        }
        self.evict();
    }

    /// Evicts the least recently used parts once the cache exceeds its capacity, until a tenth of
    /// it is free.
    fn evict(&mut self) {
        if self.used_tokens <= self.capacity_tokens {
            return;
        }
        let mut by_last_use: Vec<(u64, u64)> =
            self.parts.iter().map(|(hash, it)| (it.used_at, *hash)).collect();
        by_last_use.sort_unstable();
        let target_tokens = self.capacity_tokens - self.capacity_tokens / 10;
        for (_, hash) in by_last_use {
            if self.used_tokens <= target_tokens {
                return;
            }
            if let Some(part) = self.parts.remove(&hash) {
                self.used_tokens -= u64::from(part.tokens);
            }
        }
    }
}
