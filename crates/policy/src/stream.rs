//! Reassembly of a token stream from an engine's chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of chunks buffered while an earlier one is missing.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// A chunk received from an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineChunk {
    /// Identifier of the attempt, as stated by the engine.
    pub attempt_id: Arc<str>,
    /// Position in the whole response, counted from 0; `None` if the engine does not number chunks.
    pub position: Option<u64>,
    /// Text of the token; `None` in a closing chunk.
    pub text: Option<Arc<str>>,
    /// Number of tokens in the whole response; `None` except in a closing chunk.
    pub total_tokens: Option<u64>,
}

/// Result of [`TokenAssembler::accept`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkAction {
    /// Deliver these tokens to the caller, in this order; empty if an earlier token is missing.
    Deliver(Vec<Arc<str>>),
    /// Deliver these tokens; the response is then complete.
    Complete(Vec<Arc<str>>),
    /// Drop the chunk: it belongs to another attempt or is a duplicate. Its token is wasted work.
    Discard,
    /// The attempt cannot be completed: too many chunks are out of order, or more tokens were
    /// delivered than the response has.
    Lost,
}

/// Reorders the chunks of one response across all attempts to generate it.
///
/// ```
/// use cranberryvalve_policy::ChunkAction;
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
/// assert_eq!(assembler.accept(chunk(1, "tide")), ChunkAction::Deliver(vec![]));
/// let both = vec!["high ".into(), "tide".into()];
/// assert_eq!(assembler.accept(chunk(0, "high ")), ChunkAction::Deliver(both));
/// assert_eq!(assembler.accept(chunk(0, "high ")), ChunkAction::Discard);
/// ```
#[derive(Debug)]
pub struct TokenAssembler {
    attempt_id: Arc<str>,
    next_position: u64,
    next_unnumbered_position: u64,
    buffered: BTreeMap<u64, Arc<str>>,
    total_tokens: Option<u64>,
}

impl TokenAssembler {
    /// Creates an assembler for a caller that already has the tokens before `position`.
    pub fn new(position: u64) -> Self {
        Self {
            attempt_id: "".into(),
            next_position: position,
            next_unnumbered_position: position,
            buffered: BTreeMap::new(),
            total_tokens: None,
        }
    }

    /// Returns the position of the next token to deliver.
    pub const fn position(&self) -> u64 {
        self.next_position
    }

    /// Starts an attempt that resumes at [`TokenAssembler::position`].
    ///
    /// Buffered chunks of the previous attempt are dropped.
    pub fn start_attempt(&mut self, attempt_id: Arc<str>) {
        self.attempt_id = attempt_id;
        self.next_unnumbered_position = self.next_position;
        self.buffered.clear();
        self.total_tokens = None;
    }

    /// Adds a chunk and returns what to do with it.
    pub fn accept(&mut self, chunk: EngineChunk) -> ChunkAction {
        if chunk.attempt_id != self.attempt_id {
            return ChunkAction::Discard;
        }
        if chunk.total_tokens.is_some() {
            self.total_tokens = chunk.total_tokens;
        }
        if let Some(text) = chunk.text {
            let position = chunk.position.unwrap_or(self.next_unnumbered_position);
            self.next_unnumbered_position = position.saturating_add(1);
            if position < self.next_position || self.buffered.contains_key(&position) {
                return ChunkAction::Discard;
            }
            self.buffered.insert(position, text);
        }
        if self.buffered.len() > MAX_BUFFERED_CHUNKS {
            return ChunkAction::Lost;
        }
        let ready = self.take_ready();
        match self.total_tokens {
            Some(total) if self.next_position == total => ChunkAction::Complete(ready),
            Some(total) if self.next_position > total => ChunkAction::Lost,
            _ => ChunkAction::Deliver(ready),
        }
    }

    fn take_ready(&mut self) -> Vec<Arc<str>> {
        let mut ready = Vec::new();
        while let Some(text) = self.buffered.remove(&self.next_position) {
            ready.push(text);
            self.next_position += 1;
        }
        ready
    }
}
