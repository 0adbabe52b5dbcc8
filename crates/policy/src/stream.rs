//! Assembly of a token stream from an engine's chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Chunks that may wait for an earlier one, at most.
const MAX_OUT_OF_ORDER: usize = 64;

/// A chunk as an engine sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineChunk {
    /// Identifier of the attempt that the engine says it answers.
    pub attempt_id: Arc<str>,
    /// Position in the whole answer, counted from 0; none when the engine does not number them.
    pub position: Option<u64>,
    /// Text of the token; none in a closing chunk.
    pub text: Option<Arc<str>>,
    /// Number of tokens of the whole answer, in a closing chunk.
    pub total_tokens: Option<u64>,
}

/// What to do with a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// Give these tokens to the caller, in this order; none when an earlier one is missing.
    Deliver(Vec<Arc<str>>),
    /// The answer is complete, after these tokens.
    Complete(Vec<Arc<str>>),
    /// The chunk is not part of this answer, or was had before; its token is wasted.
    Discard,
    /// Too many chunks are missing: the attempt is lost.
    Lost,
}

/// Puts the chunks of one answer in order, over all attempts at it.
///
/// ```
/// use cranberryvalve_policy::ChunkVerdict;
/// use cranberryvalve_policy::EngineChunk;
/// use cranberryvalve_policy::TokenAssembler;
///
/// let chunk = |position, text: &str| EngineChunk {
///     attempt_id: "7-1".into(),
///     position: Some(position),
///     text: Some(text.into()),
///     total_tokens: None,
/// };
/// let mut assembler = TokenAssembler::new(0);
/// assembler.start_attempt("7-1".into());
/// assert_eq!(assembler.accept(chunk(1, "tide")), ChunkVerdict::Deliver(vec![]));
/// let both = vec!["high ".into(), "tide".into()];
/// assert_eq!(assembler.accept(chunk(0, "high ")), ChunkVerdict::Deliver(both));
/// assert_eq!(assembler.accept(chunk(0, "high ")), ChunkVerdict::Discard);
/// ```
#[derive(Debug)]
pub struct TokenAssembler {
    attempt_id: Arc<str>,
    next: u64,
    unnumbered_next: u64,
    early: BTreeMap<u64, Arc<str>>,
    total_tokens: Option<u64>,
}

impl TokenAssembler {
    /// Creates an assembler whose caller already has the tokens before `position`.
    pub fn new(position: u64) -> Self {
        Self {
            attempt_id: "".into(),
            next: position,
            unnumbered_next: position,
            early: BTreeMap::new(),
            total_tokens: None,
        }
    }

    /// Position of the next token for the caller.
    pub const fn position(&self) -> u64 {
        self.next
    }

    /// Starts an attempt that continues at [`TokenAssembler::position`].
    pub fn start_attempt(&mut self, attempt_id: Arc<str>) {
        self.attempt_id = attempt_id;
        self.unnumbered_next = self.next;
        self.early.clear();
        self.total_tokens = None;
    }

    /// Takes a chunk.
    pub fn accept(&mut self, chunk: EngineChunk) -> ChunkVerdict {
        if chunk.attempt_id != self.attempt_id {
            return ChunkVerdict::Discard;
        }
        if chunk.total_tokens.is_some() {
            self.total_tokens = chunk.total_tokens;
        }
        if let Some(text) = chunk.text {
            let position = chunk.position.unwrap_or(self.unnumbered_next);
            self.unnumbered_next = position.saturating_add(1);
            if position < self.next || self.early.contains_key(&position) {
                return ChunkVerdict::Discard;
            }
            self.early.insert(position, text);
        }
        if self.early.len() > MAX_OUT_OF_ORDER {
            return ChunkVerdict::Lost;
        }
        let ready = self.take_ready();
        match self.total_tokens {
            Some(total) if self.next == total => ChunkVerdict::Complete(ready),
            Some(total) if self.next > total => ChunkVerdict::Lost,
            _ => ChunkVerdict::Deliver(ready),
        }
    }

    fn take_ready(&mut self) -> Vec<Arc<str>> {
        let mut ready = Vec::new();
        while let Some(text) = self.early.remove(&self.next) {
            ready.push(text);
            self.next += 1;
        }
        ready
    }
}
