//! An engine that batches.
//!
//! Each step produces a token for every request that generates, and reads a chunk of the prompts
//! that are to be read, the most urgent first (continuous batching with chunked prefill: Agrawal
//! et al., 2023). Step times are those of a 70-billion-parameter model on two accelerators.

use std::collections::HashMap;
use std::time::Duration;

use cranberryvalve_policy::scheduler::Prompt;

/// Time of a step without anything to do, in milliseconds.
const STEP_MS: f64 = 4.43;

/// Further time for each request that runs, in milliseconds.
const STEP_MS_PER_REQUEST: f64 = 0.0194;

/// Further time for a thousand tokens in memory, in milliseconds.
const STEP_MS_PER_KILOTOKEN: f64 = 0.0114;

/// Prompt tokens read in a millisecond.
const READ_TOKENS_PER_MS: f64 = 38.1;

/// Time for a million pairs of a new token and one before it, in milliseconds.
const PAIRS_MS_PER_MILLION: f64 = 0.737;

/// Prompt tokens read in one step, at most.
const CHUNK_TOKENS: u32 = 1_024;

/// Time to begin a fetch from another engine's cache, in milliseconds.
const FETCH_MS: f64 = 1.7;

/// Further time for a thousand tokens that are fetched, in milliseconds.
const FETCH_MS_PER_KILOTOKEN: f64 = 1.2;

/// Requests that run at the same time.
pub(crate) const SLOTS: usize = 64;

/// Requests that wait, at most.
const QUEUE: usize = 192;

/// Tokens in one event of a stream.
const TOKENS_PER_EVENT: u32 = 4;

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) number: usize,
    pub(crate) tier: u8,
    pub(crate) prompt: Prompt,
    pub(crate) tokens: u32,
    /// Prefixes of the prompt that another engine has and this one may fetch.
    pub(crate) fetchable: usize,
}

#[derive(Debug)]
struct Running {
    job: Job,
    unread: u32,
    context: u32,
    generated: u32,
}

/// Something that an engine did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    Event(usize),
    Complete(usize),
}

/// An engine with its queue, its batch and its cache.
#[derive(Debug)]
pub(crate) struct Engine {
    speed: f64,
    memory_tokens: u64,
    pub(crate) is_down: bool,
    queue: Vec<Job>,
    running: Vec<Running>,
    cache: HashMap<u64, CachedPart>,
    cache_tokens: u64,
    clock: u64,
    pub(crate) read_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) fetched_tokens: u64,
    /// Time of the fetches that the next step waits for, in milliseconds.
    fetch_ms: f64,
    /// Prefixes of the prompts admitted since they were taken last.
    pub(crate) used: Vec<UsedPart>,
}

/// A prefix of a prompt that was admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UsedPart {
    pub(crate) hash: u64,
    pub(crate) tokens: u32,
    pub(crate) is_hit: bool,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    used_at: u64,
}

impl Engine {
    pub(crate) fn new(speed: f64, memory_tokens: u64) -> Self {
        Self {
            speed,
            memory_tokens,
            is_down: false,
            queue: Vec::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            cache_tokens: 0,
            clock: 0,
            read_tokens: 0,
            cached_tokens: 0,
            fetched_tokens: 0,
            fetch_ms: 0.0,
            used: Vec::new(),
        }
    }

    /// Requests that run and wait.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// Whether there is anything to do.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Prefixes of the prompt, from its beginning, that are in the cache.
    pub(crate) fn cached_prefixes(&self, prompt: &Prompt) -> usize {
        prompt.prefixes().take_while(|it| self.cache.contains_key(&it.hash)).count()
    }

    /// Takes a request; false when the queue is full.
    pub(crate) fn accept(&mut self, job: Job) -> bool {
        if self.queue.len() >= QUEUE {
            return false;
        }
        let at = self.queue.partition_point(|it| it.tier <= job.tier);
        self.queue.insert(at, job);
        true
    }

    /// Drops a request whose caller has left.
    pub(crate) fn cancel(&mut self, number: usize) {
        self.queue.retain(|it| it.number != number);
        self.running.retain(|it| it.job.number != number);
    }

    /// Loses everything; returns the requests that were lost.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.is_down = true;
        self.cache.clear();
        self.cache_tokens = 0;
        let queued = self.queue.drain(..).map(|it| it.number);
        let running = self.running.drain(..).map(|it| it.job.number);
        queued.chain(running).collect()
    }

    /// Takes a step and returns how long it took and what came of it at its end.
    pub(crate) fn step(&mut self) -> (Duration, Vec<Output>) {
        self.admit();
        let context: u64 = self.running.iter().map(|it| u64::from(it.context)).sum();
        let mut time_ms = STEP_MS
            + STEP_MS_PER_REQUEST * self.running.len() as f64
            + STEP_MS_PER_KILOTOKEN * context as f64 / 1_000.0
            + std::mem::take(&mut self.fetch_ms);
        let mut chunk = CHUNK_TOKENS;
        self.running.sort_by_key(|it| it.job.tier);
        for running in self.running.iter_mut().filter(|it| it.unread > 0) {
            let tokens = running.unread.min(chunk);
            let pairs = f64::from(tokens) * f64::from(running.context + tokens / 2);
            time_ms +=
                f64::from(tokens) / READ_TOKENS_PER_MS + pairs / 1.0e6 * PAIRS_MS_PER_MILLION;
            running.unread -= tokens;
            running.context += tokens;
            self.read_tokens += u64::from(tokens);
            chunk -= tokens;
        }
        let outputs = self.generate();
        (Duration::from_secs_f64(time_ms * self.speed / 1_000.0), outputs)
    }

    fn generate(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        for running in self.running.iter_mut().filter(|it| it.unread == 0) {
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
            let cached = self.look_up(&job);
            self.cached_tokens += u64::from(cached);
            let unread = job.prompt.input_tokens.saturating_sub(cached).max(1);
            self.running.push(Running { job, unread, context: cached, generated: 0 });
        }
    }

    /// Tokens of the prompt's beginning that are cached, here or at the engine that they are
    /// fetched from; the rest is cached from now on.
    fn look_up(&mut self, job: &Job) -> u32 {
        let mut cached = 0;
        let mut fetched = 0;
        let mut is_hit = true;
        for (number, prefix) in job.prompt.prefixes().enumerate() {
            self.clock += 1;
            let is_cached = self.cache.contains_key(&prefix.hash);
            is_hit &= is_cached || number < job.fetchable;
            if is_hit {
                cached += prefix.part_tokens;
                fetched += if is_cached { 0 } else { prefix.part_tokens };
            }
            let tokens = prefix.part_tokens;
            self.used.push(UsedPart { hash: prefix.hash, tokens, is_hit });
            let part = self.cache.entry(prefix.hash).or_insert_with(|| {
                self.cache_tokens += u64::from(tokens);
                CachedPart { tokens, used_at: 0 }
            });
            part.used_at = self.clock;
        }
        if fetched > 0 {
            self.fetched_tokens += u64::from(fetched);
            self.fetch_ms += FETCH_MS + f64::from(fetched) / 1_000.0 * FETCH_MS_PER_KILOTOKEN;
        }
        let running: u64 = self.running.iter().map(|it| u64::from(it.context)).sum();
        while self.cache_tokens + running > self.memory_tokens {
            let oldest = self.cache.iter().min_by_key(|(_, it)| it.used_at);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else { break };
            if let Some(part) = self.cache.remove(&hash) {
                self.cache_tokens -= u64::from(part.tokens);
            }
        }
        cached
    }
}
