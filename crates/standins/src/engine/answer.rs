//! Content of an engine's answers.

use cranberryvalve_core::Digest;
use serde_json::Value;
use serde_json::json;

use super::EngineRun;

/// The tokens of the whole answer to a body.
pub fn expected_tokens(body: &Value) -> Vec<String> {
    let (digest, count) = answer_of(body);
    (0..count).map(|position| token(&digest, position)).collect()
}

pub(super) fn answer_of(body: &Value) -> (Digest, u64) {
    let prompt = json!([body["model"], body["messages"]]).to_string();
    let digest = Digest::of(prompt.as_bytes());
    let count = body["max_tokens"].as_u64().unwrap_or(20 + digest.prefix_u64() % 40);
    (digest, count)
}

fn token(digest: &Digest, position: u64) -> String {
    let word = Digest::of(format!("{digest}/{position}").as_bytes());
    format!("{}-{position} ", &word.as_str()[..6])
}

/// The events for one token; a scrambled engine sends pairs the wrong way round, and more.
pub(super) fn events(
    run: &EngineRun,
    digest: &Digest,
    position: u64,
    is_last: bool,
    scrambled: bool,
) -> String {
    let own = event(&run.attempt_id, position, &token(digest, position));
    if !scrambled {
        return own;
    }
    let foreign = event("another-answer-1", position, "not yours ");
    let is_first_of_pair = (position - run.start).is_multiple_of(2);
    if is_first_of_pair && !is_last {
        return foreign;
    }
    if is_first_of_pair {
        return own;
    }
    let earlier = event(&run.attempt_id, position - 1, &token(digest, position - 1));
    format!("{own}{own}{foreign}{earlier}")
}

fn event(id: &str, position: u64, text: &str) -> String {
    let chunk = json!({
        "id": id, "object": "chat.completion.chunk", "token_index": position,
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}
