//! Parsing and validation of the body of a model request.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use cranberryvalve_core::PoolId;
use serde_json::Map;
use serde_json::Value;

use super::Problem;

/// Maximum number of bytes of the first message that the prefix hash covers.
const PREFIX_BYTES: usize = 512;

/// A validated body of a model request.
#[derive(Debug, Clone)]
pub(super) struct ChatBody {
    pub(super) model: PoolId,
    pub(super) stream: bool,
    pub(super) prefix_hash: u64,
    pub(super) fields: Map<String, Value>,
}

impl ChatBody {
    /// Parses and validates a body.
    pub(super) fn parse(bytes: &[u8]) -> Result<Self, Problem> {
        let fields: Map<String, Value> = serde_json::from_slice(bytes).map_err(|error| {
            Problem::field("body", format!("the body must be a JSON object: {error}"))
        })?;
        let model = parse_model(&fields)?;
        check_messages(&fields)?;
        let stream = parse_stream(&fields)?;
        let prefix_hash = prefix_hash(&model, &fields);
        Ok(Self { model, stream, prefix_hash, fields })
    }
}

fn parse_model(fields: &Map<String, Value>) -> Result<PoolId, Problem> {
    match fields.get("model").and_then(Value::as_str) {
        Some(model) if !model.is_empty() => Ok(model.into()),
        _ => Err(Problem::field("model", "`model` must be the name of a model".to_owned())),
    }
}

fn parse_stream(fields: &Map<String, Value>) -> Result<bool, Problem> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(Problem::field("stream", "`stream` must be true or false".to_owned())),
    }
}

fn check_messages(fields: &Map<String, Value>) -> Result<(), Problem> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let is_valid = messages.is_some_and(|it| !it.is_empty() && it.iter().all(Value::is_object));
    if is_valid {
        return Ok(());
    }
    let message = "`messages` must be a list of one or more objects with `role` and `content`";
    Err(Problem::field("messages", message.to_owned()))
}

fn prefix_hash(model: &str, fields: &Map<String, Value>) -> u64 {
    let first = fields.get("messages").and_then(|it| it.get(0)).and_then(|it| it.get("content"));
    let text = first.and_then(Value::as_str).unwrap_or_default().as_bytes();
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    text[..text.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
