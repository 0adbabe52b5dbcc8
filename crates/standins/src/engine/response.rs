//! Content of an engine's responses.

use cranberryvalve_core::Digest;
use serde_json::Value;
use serde_json::json;

use super::EngineRun;

/// Returns all tokens of the complete response to a request body.
pub fn expected_tokens(body: &Value) -> Vec<String> {
    let (digest, count) = response_parameters(body);
    (0..count).map(|position| token(&digest, position)).collect()
}

/// Returns the digest that determines the tokens of a response, and the number of tokens.
pub(super) fn response_parameters(body: &Value) -> (Digest, u64) {
    let prompt = json!([body["model"], body["messages"]]).to_string();
    let digest = Digest::of(prompt.as_bytes());
    let count = body["max_tokens"].as_u64().unwrap_or(20 + digest.prefix_u64() % 40);
    (digest, count)
}

fn token(digest: &Digest, position: u64) -> String {
    let word = Digest::of(format!("{digest}/{position}").as_bytes());
    format!("{}-{position} ", &word.as_str()[..6])
}

/// Returns the server-sent events for one token.
///
/// With `reorders_chunks`, the two tokens of each pair come in reverse order; the later one is
/// repeated, and chunks of another response are mixed in.
pub(super) fn token_events(
    run: &EngineRun,
    digest: &Digest,
    position: u64,
    is_last: bool,
    reorders_chunks: bool,
) -> String {
    let own = chunk_event(&run.attempt_id, position, &token(digest, position));
    if !reorders_chunks {
        return own;
    }
    let foreign = chunk_event("another-answer-1", position, "not yours ");
    let is_first_of_pair = (position - run.start).is_multiple_of(2);
    if is_first_of_pair && !is_last {
        return foreign;
    }
    if is_first_of_pair {
        return own;
    }
    let previous = chunk_event(&run.attempt_id, position - 1, &token(digest, position - 1));
    format!("{own}{own}{foreign}{previous}")
}

fn chunk_event(id: &str, position: u64, text: &str) -> String {
    let chunk = json!({
        "id": id, "object": "chat.completion.chunk", "token_index": position,
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}
