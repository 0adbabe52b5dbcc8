//! A simulated inference engine with continuous batching.
//!
//! Each step produces one token for every decoding request and prefills a chunk of the pending
//! prompts, the most urgent tier first (continuous batching with chunked prefill: Agrawal et al.,
//! 2023). Step times are those of a 70-billion-parameter model on two accelerators.

use std::collections::HashMap;
use std::time::Duration;

use cranberryvalve_policy::scheduler::Prompt;

/// Base time of a step, in milliseconds.
const BASE_STEP_MS: f64 = 4.43;

/// Additional step time per running request, in milliseconds.
const STEP_MS_PER_REQUEST: f64 = 0.0194;

/// Additional step time per thousand context tokens of the running requests, in milliseconds.
const STEP_MS_PER_KILOTOKEN: f64 = 0.0114;

/// Number of prompt tokens prefilled per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 38.1;

/// Additional prefill time for attention, per million pairs of a new token and an earlier one, in
/// milliseconds.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.737;

/// Maximum number of prompt tokens prefilled in one step.
const PREFILL_CHUNK_TOKENS: u32 = 1_024;

/// Base time of a fetch from another engine's cache, in milliseconds.
const BASE_FETCH_MS: f64 = 1.7;

/// Additional time per thousand fetched tokens, in milliseconds.
const FETCH_MS_PER_KILOTOKEN: f64 = 1.2;

/// Maximum number of requests that an engine runs at the same time.
pub(crate) const SLOTS: usize = 64;

/// Maximum number of requests that wait at an engine.
const QUEUE_CAPACITY: usize = 192;

/// Number of tokens in one event of a stream.
const TOKENS_PER_EVENT: u32 = 4;

/// A request as an engine receives it.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) number: usize,
    pub(crate) tier: u8,
    pub(crate) prompt: Prompt,
    pub(crate) tokens: u32,
    /// Number of the prompt's prefixes that can be fetched from another engine's cache.
    pub(crate) fetchable_prefixes: usize,
}

#[derive(Debug)]
struct Running {
    job: Job,
    /// Prompt tokens still to prefill.
    remaining_prefill: u32,
    /// Prompt and generated tokens in memory.
    context: u32,
    /// Generated tokens.
    generated: u32,
}

/// Output of an engine step for one request, by the request's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// An event of the response's stream.
    Event(usize),
    /// The end of the response.
    Complete(usize),
}

/// An engine with its queue, running batch and prefix cache.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Factor on the step time; larger values are slower.
    slowdown: f64,
    memory_tokens: u64,
    pub(crate) is_down: bool,
    queue: Vec<Job>,
    running: Vec<Running>,
    cache: HashMap<u64, CachedPrefix>,
    cache_tokens: u64,
    clock: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) fetched_tokens: u64,
    /// Time of the cache fetches that the next step waits for, in milliseconds.
    pending_fetch_ms: f64,
    /// Prefixes of the prompts admitted since the simulation last took this list.
    pub(crate) prefix_uses: Vec<PrefixUse>,
}

/// Use of a prefix by a prompt that was admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefixUse {
    pub(crate) hash: u64,
    pub(crate) tokens: u32,
    /// Whether the prefix was cached or fetched and needed no prefill.
    pub(crate) is_hit: bool,
}

#[derive(Debug)]
struct CachedPrefix {
    tokens: u32,
    /// Value of the engine's logical clock at the last use.
    last_used: u64,
}

impl Engine {
    pub(crate) fn new(slowdown: f64, memory_tokens: u64) -> Self {
        Self {
            slowdown,
            memory_tokens,
            is_down: false,
            queue: Vec::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            cache_tokens: 0,
            clock: 0,
            prefilled_tokens: 0,
            cached_tokens: 0,
            fetched_tokens: 0,
            pending_fetch_ms: 0.0,
            prefix_uses: Vec::new(),
        }
    }

    /// Returns the numbers of running and waiting requests.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// Returns whether no request is running or waiting.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Returns how many of the prompt's prefixes, counted from the shortest, are in the cache.
    pub(crate) fn cached_prefixes(&self, prompt: &Prompt) -> usize {
        prompt.prefixes().take_while(|it| self.cache.contains_key(&it.hash)).count()
    }

    /// Queues a request by tier; returns false if the queue is full.
    pub(crate) fn accept(&mut self, job: Job) -> bool {
        if self.queue.len() >= QUEUE_CAPACITY {
            return false;
        }
        let at = self.queue.partition_point(|it| it.tier <= job.tier);
        self.queue.insert(at, job);
        true
    }

    /// Removes a request whose caller disconnected.
    pub(crate) fn cancel(&mut self, number: usize) {
        self.queue.retain(|it| it.number != number);
        self.running.retain(|it| it.job.number != number);
    }

    /// Takes the engine down and clears its queue, batch and cache; returns the numbers of the lost
    /// requests.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.is_down = true;
        self.cache.clear();
        self.cache_tokens = 0;
        let queued = self.queue.drain(..).map(|it| it.number);
        let running = self.running.drain(..).map(|it| it.job.number);
        queued.chain(running).collect()
    }

    /// Runs a step; returns its duration and the outputs at its end.
    pub(crate) fn step(&mut self) -> (Duration, Vec<Output>) {
        self.admit();
        let context: u64 = self.running.iter().map(|it| u64::from(it.context)).sum();
        let mut time_ms = BASE_STEP_MS
            + STEP_MS_PER_REQUEST * self.running.len() as f64
            + STEP_MS_PER_KILOTOKEN * context as f64 / 1_000.0
            + std::mem::take(&mut self.pending_fetch_ms);
        let mut chunk_left = PREFILL_CHUNK_TOKENS;
        self.running.sort_by_key(|it| it.job.tier);
        for running in self.running.iter_mut().filter(|it| it.remaining_prefill > 0) {
            let tokens = running.remaining_prefill.min(chunk_left);
            let pairs = f64::from(tokens) * f64::from(running.context + tokens / 2);
            time_ms += f64::from(tokens) / PREFILL_TOKENS_PER_MS
                + pairs / 1.0e6 * ATTENTION_MS_PER_MILLION_PAIRS;
            running.remaining_prefill -= tokens;
            running.context += tokens;
            self.prefilled_tokens += u64::from(tokens);
            chunk_left -= tokens;
        }
        let outputs = self.generate();
        (Duration::from_secs_f64(time_ms * self.slowdown / 1_000.0), outputs)
    }

    fn generate(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for running in self.running.iter_mut().filter(|it| it.remaining_prefill == 0) {
            running.generated += 1;
            running.context += 1;
            let is_last = running.generated >= running.job.tokens;
            if running.generated % TOKENS_PER_EVENT == 0 || is_last {
                outputs.push(Output::Event(running.job.number));
            }
            if is_last {
                outputs.push(Output::Complete(running.job.number));
            }
        }
        self.running.retain(|it| it.generated < it.job.tokens);
        outputs
    }

    fn admit(&mut self) {
        while self.running.len() < SLOTS && !self.queue.is_empty() {
            let job = self.queue.remove(0);
            let cached = self.look_up_prefixes(&job);
            self.cached_tokens += u64::from(cached);
            let remaining_prefill = job.prompt.input_tokens.saturating_sub(cached).max(1);
            self.running.push(Running { job, remaining_prefill, context: cached, generated: 0 });
        }
    }

    /// Returns the number of prompt tokens in the longest prefix that is cached here or can be
    /// fetched, and adds all prefixes of the prompt to the cache. Evicts the least recently used
    /// prefixes if the memory is exceeded.
    fn look_up_prefixes(&mut self, job: &Job) -> u32 {
        let mut cached = 0;
        let mut fetched = 0;
        let mut is_hit = true;
        for (index, prefix) in job.prompt.prefixes().enumerate() {
            self.clock += 1;
            let is_cached = self.cache.contains_key(&prefix.hash);
            is_hit &= is_cached || index < job.fetchable_prefixes;
            if is_hit {
                cached += prefix.part_tokens;
                fetched += if is_cached { 0 } else { prefix.part_tokens };
            }
            let tokens = prefix.part_tokens;
            self.prefix_uses.push(PrefixUse { hash: prefix.hash, tokens, is_hit });
            let cached_prefix = self.cache.entry(prefix.hash).or_insert_with(|| {
                self.cache_tokens += u64::from(tokens);
                CachedPrefix { tokens, last_used: 0 }
            });
            cached_prefix.last_used = self.clock;
        }
        if fetched > 0 {
            self.fetched_tokens += u64::from(fetched);
            self.pending_fetch_ms +=
                BASE_FETCH_MS + f64::from(fetched) / 1_000.0 * FETCH_MS_PER_KILOTOKEN;
        }
        let running: u64 = self.running.iter().map(|it| u64::from(it.context)).sum();
        while self.cache_tokens + running > self.memory_tokens {
            let least_recent = self.cache.iter().min_by_key(|(_, it)| it.last_used);
            let Some(hash) = least_recent.map(|(hash, _)| *hash) else { break };
            if let Some(evicted) = self.cache.remove(&hash) {
                self.cache_tokens -= u64::from(evicted.tokens);
            }
        }
        cached
    }
}
