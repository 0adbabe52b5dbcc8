//! What an engine is believed to have in its prefix cache.

use std::collections::HashMap;

use super::Prompt;

/// Share of an engine's memory that is counted on for cached prefixes; running requests take the
/// rest.
const CACHE_SHARE: f64 = 0.6;

/// Model of an engine's prefix cache: the least recently used parts yield.
///
/// It knows only the prompts that this VM sent.
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
    /// Sets the memory of the engine.
    pub(super) fn resize(&mut self, memory_tokens: u64) {
        self.capacity_tokens = (memory_tokens as f64 * CACHE_SHARE) as u64;
        self.evict();
    }

    /// Tokens at the beginning of `prompt` that are cached.
    pub(super) fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prompt.prefixes().take_while(|it| self.parts.contains_key(&it.hash));
        cached.map(|it| it.part_tokens).sum()
    }

    /// Notes that the engine reads `prompt`.
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

    /// Drops the least recently used parts of an overfull cache until a tenth is free.
    fn evict(&mut self) {
        if self.used_tokens <= self.capacity_tokens {
            return;
        }
        let mut by_age: Vec<(u64, u64)> =
            self.parts.iter().map(|(hash, it)| (it.used_at, *hash)).collect();
        by_age.sort_unstable();
        let goal = self.capacity_tokens - self.capacity_tokens / 10;
        for (_, hash) in by_age {
            if self.used_tokens <= goal {
                return;
            }
            if let Some(part) = self.parts.remove(&hash) {
                self.used_tokens -= u64::from(part.tokens);
            }
        }
    }
}
